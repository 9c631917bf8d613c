//! Anti-entropy: after its start, a process pulls one whole member table, and members whose views remain different pull
//! what differs. A member has at most one pull in progress, which transfers the table page by page within a byte
//! budget.

use sableloom_types::{Span, Time};

use super::{Membership, Output};
use crate::codec::{MAX_DATAGRAM_BYTES, MAX_PAGE_BYTES};
use crate::message::{Body, Key, Page, Pull, Update};
use crate::meter::HEADER_BYTES;
use crate::page::{self, Grouping};

/// A page is requested only if its expected bytes and those of the last second are together within this number of
/// bytes.
const PULL_BUDGET_BYTES: usize = 4500;
/// A page is limited to the size at which its bytes and those of the last second are together within this number of
/// bytes. Without this bound, a member that receives requests from many others at once would send more than its budget.
const SERVE_BUDGET_BYTES: usize = 4500;
/// The expected size of a page in bytes. A page is larger if all its entries are new to the receiver, as in a first
/// pull.
const EXPECTED_PAGE_BYTES: usize = MAX_PAGE_BYTES / 2;
/// The minimum size in bytes to which the budget may limit a page. A smaller page is not worth its headers.
const MIN_PAGE_BYTES: usize = 256;
/// The number of probe intervals after which a request for a page times out. The page is then requested from another
/// member, if one has answered.
const PAGE_TIMEOUT_INTERVALS: i64 = 3;
/// The number of timeouts that ends a pull.
const MAX_TIMEOUTS: u32 = 4;
/// The number of probe intervals for which views have to differ before they are compared. Gossip spreads most changes
/// within this time.
const SETTLING_INTERVALS: i64 = 10;
/// The number of probe intervals that the next pull waits after one that changed nothing. The wait doubles after each
/// further such pull, as long as the view does not change between them.
const MIN_BACKOFF_INTERVALS: i64 = 5;
/// The maximum number of probe intervals that the next pull waits. Where lists differ, views differ permanently.
const MAX_BACKOFF_INTERVALS: i64 = 160;
/// How long a member whose budget leaves no space for a page waits before it tries again.
const BUDGET_RETRY_INTERVAL: Span = Span(100_000);

/// A pull that is in progress.
#[derive(Clone, Debug)]
struct CurrentPull {
    server: Key,
    /// The first key whose members were not compared yet.
    next_key: Key,
    salt: u32,
    grouping: Grouping,
    /// The sequence number of the request that has no answer yet.
    pending_seq: Option<u32>,
    /// When the next page is requested, or the pending request times out.
    due: Time,
    timeouts: u32,
    /// A member whose view differs too and that has answered since the pull began. The next request goes to it if the
    /// server does not answer.
    fallback: Option<Key>,
    has_changed_view: bool,
}

/// The period in which other members have stated views that differ. A member with an equal view does not end it,
/// because both views may lack the same member.
#[derive(Clone, Copy, Debug)]
struct Difference {
    since: Time,
    /// When a different view was stated last.
    last: Time,
}

/// The schedule of the comparisons of member tables, and the pull in progress.
#[derive(Clone, Debug)]
pub(super) struct AntiEntropy {
    current: Option<CurrentPull>,
    difference: Option<Difference>,
    /// The earliest time at which the next pull may begin.
    not_before: Time,
    /// The wait after the next pull that changes nothing. It is `None` after a pull that changed the view: the next
    /// pull then begins as soon as another member states a different view.
    backoff: Option<Span>,
    /// The digest of the view at the end of the last pull that changed nothing.
    digest_at_last_pull: u32,
    /// Whether no table was pulled completely since the process started.
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

    /// Returns when the pull in progress has to be continued; `None` without a pull.
    pub(super) fn due(&self) -> Option<Time> {
        self.current.as_ref().map(|pull| pull.due)
    }

    /// Returns whether a pull is in progress.
    pub(super) fn is_pulling(&self) -> bool {
        self.current.is_some()
    }

    /// Ends the pull in progress if its server is no longer known.
    pub(super) fn retain(&mut self, is_listed: impl Fn(Key) -> bool) {
        self.current = self.current.take().filter(|pull| is_listed(pull.server));
    }

    /// Records that a member's view differs. Returns the time since which views differ.
    fn record_difference(&mut self, now: Time, settling: Span, min_backoff: Span) -> Time {
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
    /// Compares this member's view with the digest of the view of another member that has answered. Starts a pull from
    /// that member if views have differed for long enough and no pull is in progress.
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
        let since = self.anti_entropy.record_difference(now, settling, min_backoff);
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

    /// Requests the next page if it is due and the budget leaves space for it. If a request has timed out, the page is
    /// requested from another member that has answered, if there is one.
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
        if self.meter.remaining(now, PULL_BUDGET_BYTES) >= expected {
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

    /// Answers a request for a page. If the budget leaves no space for a page, there is no answer. The request then
    /// times out, and the requesting member sends it to another one that has answered, if there is one.
    pub(super) fn answer_pull(&mut self, now: Time, to: Key, pull: &Pull, output: &mut Output) {
        let remaining = self.meter.remaining(now, SERVE_BUDGET_BYTES);
        let max_bytes = remaining.saturating_sub(HEADER_BYTES).min(MAX_PAGE_BYTES);
        if max_bytes < MIN_PAGE_BYTES {
            return;
        }
        let known = self.table.peers_from(pull.first_key).filter(|peer| peer.key != to);
        if let Some(page) = page::build_page(pull, self.process_incarnation, max_bytes, known) {
            self.send(to, Body::Page(page), output);
        }
    }

    /// Processes a page. One that was not requested, comes from another member than the server, or is a duplicate has
    /// no effect. No page shows that the members that it names are alive at this time.
    pub(super) fn receive_page(&mut self, now: Time, from: Key, page: &Page, output: &mut Output) {
        let is_requested =
            |pull: &mut CurrentPull| (pull.server, pull.pending_seq) == (from, Some(page.seq));
        let Some(mut pull) = self.anti_entropy.current.take_if(is_requested) else { return };
        let Some(entries) = page::decode_entries(page, pull.next_key) else {
            // An invalid page is treated like a request that has timed out.
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

    /// Ends the pull in progress. After a pull that changed the view, the next one begins as soon as another member
    /// states a different view. After a pull that changed nothing, the next one waits for the backoff.
    fn end_pull(&mut self, now: Time, has_changed_view: bool) {
        let min_backoff = self.intervals(MIN_BACKOFF_INTERVALS);
        let max_backoff = self.intervals(MAX_BACKOFF_INTERVALS);
        let digest = self.digest();
        let anti_entropy = &mut self.anti_entropy;
        if has_changed_view || anti_entropy.is_first_pull {
            anti_entropy.backoff = None;
            return;
        }
        // The backoff is meant for lists that differ. While a view goes on changing, further pulls may change it too,
        // and the backoff starts again from its minimum.
        let backoff = anti_entropy.backoff.filter(|_| anti_entropy.digest_at_last_pull == digest);
        let backoff = backoff.unwrap_or(min_backoff);
        anti_entropy.digest_at_last_pull = digest;
        anti_entropy.not_before = now.plus(backoff);
        anti_entropy.backoff = Some(Span((backoff.0 * 2).min(max_backoff.0)));
    }
}
