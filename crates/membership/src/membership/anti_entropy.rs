//! Anti-entropy: a process that has started pulls one whole member table, and members whose views go on to differ pull
//! what differs. One pull at a time, page by page, within the budget of bytes.

use sableloom_types::{Span, Time};

use super::{Membership, Output};
use crate::codec::{MAX_DATAGRAM_BYTES, MAX_PAGE_BYTES};
use crate::message::{Body, Key, Page, Pull, Update};
use crate::meter::HEADER_BYTES;
use crate::page::{self, Grouping};

/// A page is requested while the last second had so few bytes that it fits below this.
const PULL_BELOW_BYTES: usize = 4500;
/// A page is served while the last second had so few bytes that it fits below this. Without it a member that many
/// others ask at once would send more than its budget.
const SERVE_BELOW_BYTES: usize = 4500;
/// Bytes that a page is expected to have. It has more where all that it names is new, as in a first pull.
const EXPECTED_PAGE_BYTES: usize = MAX_PAGE_BYTES / 2;
/// A page that is shorter than this for lack of space is not worth its headers.
const MIN_PAGE_BYTES: usize = 256;
/// A page that did not come within so many probe intervals is requested again, of another member;
const PAGE_TIMEOUT_INTERVALS: i64 = 3;
/// so often in one pull.
const MAX_TIMEOUTS: u32 = 4;
/// Views differ for so many probe intervals before they are compared: gossip spreads most changes before.
const SETTLING_INTERVALS: i64 = 10;
/// After a pull that brought nothing, the next one waits for so many probe intervals, and twice as many after each
/// further one between which the view has not changed,
const MIN_BACKOFF_INTERVALS: i64 = 5;
/// up to so many: where lists differ, views differ for good.
const MAX_BACKOFF_INTERVALS: i64 = 160;
/// How long a member whose budget leaves no space for a page waits before it tries again.
const BUDGET_RETRY_INTERVAL: Span = Span(100_000);

/// A pull that is under way.
#[derive(Clone, Debug)]
struct CurrentPull {
    server: Key,
    /// All members before this key were compared.
    next_key: Key,
    salt: u32,
    grouping: Grouping,
    /// The sequence number of the request that has no answer yet.
    pending_seq: Option<u32>,
    /// When the next page is requested, or the pending request times out.
    due: Time,
    timeouts: u32,
    /// A member that has answered since, and is asked next if the server does not answer.
    fallback: Option<Key>,
    has_changed_view: bool,
}

/// The times between which other members stated views that differ. One that agrees ends nothing: of two that lack the
/// same member neither helps the other.
#[derive(Clone, Copy, Debug)]
struct Difference {
    since: Time,
    last: Time,
}

/// When tables are compared.
#[derive(Clone, Debug)]
pub(super) struct AntiEntropy {
    current: Option<CurrentPull>,
    difference: Option<Difference>,
    /// The next pull begins at this time at the earliest,
    not_before: Time,
    /// as the last one brought nothing. Without a backoff the next one begins at once.
    backoff: Option<Span>,
    /// The digest of the view when the last pull ended.
    digest_at_last_pull: u32,
    /// Whether no table was pulled completely since the process has started.
    is_first_pull: bool,
}

impl AntiEntropy {
    pub(super) fn new(now: Time) -> Self {
        Self {
            current: None,
            difference: None,
            not_before: now,
            backoff: None,
            digest_at_last_pull: 0,
            is_first_pull: true,
        }
    }

    /// When something is to be done.
    pub(super) fn due(&self) -> Option<Time> {
        self.current.as_ref().map(|pull| pull.due)
    }

    /// Whether a table is pulled.
    pub(super) fn is_pulling(&self) -> bool {
        self.current.is_some()
    }

    /// Ends a pull from a member that is no longer known.
    pub(super) fn retain(&mut self, is_known: impl Fn(Key) -> bool) {
        self.current = self.current.take().filter(|pull| is_known(pull.server));
    }

    /// Notes that a member's view differs. Returns since when views do.
    fn note_difference(&mut self, now: Time, settling: Span, min_backoff: Span) -> Time {
        let before = self.difference.filter(|difference| now < difference.last.plus(settling));
        let since = before.map_or(now, |difference| difference.since);
        self.difference = Some(Difference { since, last: now });
        if before.is_none() {
            self.backoff.get_or_insert(min_backoff);
        }
        since
    }
}

impl Membership {
    /// A member has answered, and stated its view's digest.
    pub(super) fn compare_view_digests(
        &mut self,
        now: Time,
        other: Key,
        digest: u32,
        output: &mut Output,
    ) {
        if digest == self.digest() {
            return;
        }
        let settling = self.intervals(SETTLING_INTERVALS);
        let min_backoff = self.intervals(MIN_BACKOFF_INTERVALS);
        let since = self.anti_entropy.note_difference(now, settling, min_backoff);
        if let Some(pull) = self.anti_entropy.current.as_mut().filter(|pull| pull.server != other) {
            pull.fallback = Some(other);
        }
        let AntiEntropy { current, not_before, backoff, is_first_pull, .. } = &self.anti_entropy;
        let is_settling = !is_first_pull && backoff.is_some() && now < since.plus(settling);
        if current.is_some() || now < *not_before || is_settling {
            return;
        }
        self.anti_entropy.current = Some(CurrentPull {
            server: other,
            next_key: 0,
            salt: self.rng.rand_u64() as u32,
            grouping: Grouping::for_members(self.table.len()),
            pending_seq: None,
            due: now,
            timeouts: 0,
            fallback: None,
            has_changed_view: false,
        });
        self.continue_pull(now, output);
    }

    /// Requests the next page if the budget leaves space for it, or requests it of another member if none came.
    pub(super) fn continue_pull(&mut self, now: Time, output: &mut Output) {
        let Some(mut pull) = self.anti_entropy.current.take_if(|pull| pull.due <= now) else {
            return;
        };
        if pull.pending_seq.take().is_some() {
            pull.timeouts += 1;
            if pull.timeouts == MAX_TIMEOUTS {
                return self.end_pull(now, pull.has_changed_view);
            }
            let fallback = pull.fallback.take().filter(|key| self.peer(*key).is_some());
            pull.server = fallback.unwrap_or(pull.server);
        }
        let expected = MAX_DATAGRAM_BYTES + EXPECTED_PAGE_BYTES + 2 * HEADER_BYTES;
        pull.due = now.plus(BUDGET_RETRY_INTERVAL);
        if self.meter.remaining(now, PULL_BELOW_BYTES) >= expected {
            let seq = self.next_seq();
            let CurrentPull { server, next_key, salt, grouping, .. } = pull;
            let own = self.table.peers_from(next_key).filter(|peer| peer.key != server);
            let request = page::build_request(seq, next_key, salt, grouping, own);
            self.send(server, Body::Pull(request), output);
            pull.pending_seq = Some(seq);
            pull.due = now.plus(self.intervals(PAGE_TIMEOUT_INTERVALS));
        }
        self.anti_entropy.current = Some(pull);
    }

    /// A member requests a page. If the budget leaves no space for one it gets no answer, and asks another member.
    pub(super) fn answer_pull(&mut self, now: Time, to: Key, pull: &Pull, output: &mut Output) {
        let remaining = self.meter.remaining(now, SERVE_BELOW_BYTES);
        let max_bytes = remaining.saturating_sub(HEADER_BYTES).min(MAX_PAGE_BYTES);
        if max_bytes < MIN_PAGE_BYTES {
            return;
        }
        let known = self.table.peers_from(pull.first_key).filter(|peer| peer.key != to);
        if let Some(page) = page::build_page(pull, self.process_incarnation, max_bytes, known) {
            self.send(to, Body::Page(page), output);
        }
    }

    /// A page has come. One that was not requested, or not of this member, or comes again, has no effect; and none
    /// shows that the members that it names are alive at this time.
    pub(super) fn receive_page(&mut self, now: Time, from: Key, page: &Page, output: &mut Output) {
        let is_requested =
            |pull: &mut CurrentPull| (pull.server, pull.pending_seq) == (from, Some(page.seq));
        let Some(mut pull) = self.anti_entropy.current.take_if(is_requested) else { return };
        let Some(entries) = page::decode_entries(page, pull.next_key) else {
            // As if it had not come.
            pull.due = now;
            self.anti_entropy.current = Some(pull);
            return self.continue_pull(now, output);
        };
        let digest = self.digest();
        for page::Entry { member, process_incarnation, incarnation, state } in entries {
            let reported_by = from;
            let update = Update { member, process_incarnation, incarnation, state, reported_by };
            self.apply_page_entry(now, update, output);
        }
        pull.has_changed_view |= self.digest() != digest;
        pull.pending_seq = None;
        pull.due = now;
        match page.last_key.checked_add(1) {
            Some(next_key) => pull.next_key = next_key,
            None => {
                self.anti_entropy.is_first_pull = false;
                return self.end_pull(now, pull.has_changed_view);
            }
        }
        self.anti_entropy.current = Some(pull);
        self.continue_pull(now, output);
    }

    /// After a pull that brought something the next one begins as soon as views are seen to differ.
    fn end_pull(&mut self, now: Time, has_changed_view: bool) {
        let min_backoff = self.intervals(MIN_BACKOFF_INTERVALS);
        let max_backoff = self.intervals(MAX_BACKOFF_INTERVALS);
        let digest = self.digest();
        let anti_entropy = &mut self.anti_entropy;
        if has_changed_view || anti_entropy.is_first_pull {
            anti_entropy.backoff = None;
            return;
        }
        // The backoff is for lists that differ. While a view goes on changing there is more to learn elsewhere.
        let backoff = anti_entropy.backoff.filter(|_| anti_entropy.digest_at_last_pull == digest);
        let backoff = backoff.unwrap_or(min_backoff);
        anti_entropy.digest_at_last_pull = digest;
        anti_entropy.not_before = now.plus(backoff);
        anti_entropy.backoff = Some(Span((backoff.0 * 2).min(max_backoff.0)));
    }
}
