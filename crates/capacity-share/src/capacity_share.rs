//! The state machine that computes a process's share from the messages and proofs of absence that it receives.

use sableloom_types::Time;

use crate::absence_queries::{AbsenceQueries, QueryBudget};
use crate::member::{Key, NEVER};
use crate::member_table::MemberTable;
use crate::probes::ProbeBudget;
use crate::share::{Share, ShareReason};
use crate::timing::Timing;

/// The share of the servers' capacity that one process has among the members of a list.
#[derive(Clone, Debug)]
pub struct CapacityShare {
    timing: Timing,
    started: Time,
    members: MemberTable,
    resumed: bool,
    duplicate_identity: bool,
    queries: QueryBudget,
    probes: ProbeBudget,
    /// The key from which members are queried next. It need not be the key of a member.
    next_query_key: Key,
}

impl CapacityShare {
    /// Creates the share of a process that has just bound its address. `others` are the keys of all other members of
    /// the list.
    pub fn new(now: Time, others: impl IntoIterator<Item = Key>, timing: Timing) -> Self {
        let mut members = MemberTable::default();
        members.replace_list(others);
        Self {
            timing,
            started: now,
            members,
            resumed: false,
            duplicate_identity: false,
            queries: QueryBudget::new(timing.lease, timing.max_queries_per_lease),
            probes: ProbeBudget::new(timing.probe_interval),
            next_query_key: 0,
        }
    }

    /// Replaces the list of other members. The state of members that are on both lists is kept.
    pub fn update_members(&mut self, others: impl IntoIterator<Item = Key>) {
        self.members.replace_list(others);
    }

    /// Returns whether a proof of absence whose query was sent at `queried` has expired.
    fn is_expired(&self, now: Time, queried: Time) -> bool {
        now >= queried.plus(self.timing.lease)
    }

    /// Returns when the start wait ends.
    fn start_wait_end(&self) -> Time {
        self.started.plus(self.timing.start_wait())
    }

    /// Returns how many members this process still waits for before it has a share.
    fn count_awaited(&self, now: Time) -> usize {
        if now >= self.start_wait_end() { 0 } else { self.members.count_unconfirmed() }
    }

    /// Records a datagram from a member's address, whatever its content. A datagram proves nothing; it ends an older
    /// proof of the member's absence, so that it can only make the share smaller.
    pub fn datagram_received(&mut self, now: Time, key: Key) {
        self.members.change(key, |member| {
            member.last_datagram_at = now;
            member.absent_since = NEVER;
        });
    }

    /// Records that a member has acknowledged this process, not an earlier one at the same address, and has stated the
    /// length of its list, itself included.
    pub fn acknowledged(&mut self, now: Time, key: Key, list_length: u16) {
        self.datagram_received(now, key);
        self.members.change(key, |member| {
            member.cannot_hold_stale_proof = true;
            member.list_length = list_length;
        });
    }

    /// Records the answer of a member's operating system, to the query that was sent at `queried`, that no process
    /// holds the member's address. Returns whether the proof is new, that is, whether no earlier proof of this member's
    /// absence was valid at `queried`.
    pub fn proved_absent(&mut self, key: Key, queried: Time) -> bool {
        let started = self.started;
        let changed = self.members.change(key, |member| {
            let before = member.absent_since;
            member.cannot_hold_stale_proof |= queried >= started;
            // A datagram that was received later comes from a process that has started since the query.
            if member.last_datagram_at < queried {
                member.absent_since = before.max(queried);
                member.list_length = 0;
            }
            (before, member.absent_since)
        });
        changed.is_some_and(|(before, after)| after != NEVER && self.is_expired(queried, before))
    }

    /// Sets whether this process was suspended and has received messages from too few members since. If it was, all
    /// proofs are dropped, because the members may have started in the meantime.
    pub fn set_resumed(&mut self, resumed: bool) {
        self.resumed = resumed;
        if resumed {
            self.members.drop_proofs();
        }
    }

    /// Records that another process runs under this process's name. From then on, each of the two has half a share.
    pub fn set_duplicate_identity(&mut self) {
        self.duplicate_identity = true;
    }

    /// Sets the key from which members are queried next. Processes should begin at different keys, or all of them would
    /// query the same few members.
    pub fn set_next_query_key(&mut self, key: Key) {
        self.next_query_key = key;
    }

    /// Returns the key from which members are queried next. It advances with each query, so that every member is
    /// queried in turn where there are too many to query at once.
    pub fn next_query_key(&self) -> Key {
        self.next_query_key
    }

    /// Returns the other members in the order in which they are queried.
    pub fn query_order(&self) -> impl Iterator<Item = Key> {
        self.members.cyclic_from(self.next_query_key).map(|member| member.key)
    }

    /// Returns the absence queries to send now, and counts them as sent. They concern the first of `candidates` that
    /// may be queried, `max` at most.
    pub fn query_absence(
        &mut self,
        now: Time,
        max: usize,
        candidates: impl IntoIterator<Item = Key>,
    ) -> AbsenceQueries {
        let interval = self.timing.query_interval;
        self.queries.expire(now);
        let mut queries = AbsenceQueries { to: Vec::new(), retry_at: now.plus(interval) };
        let remaining_this_second =
            self.queries.remaining_this_second(now, self.members.is_short());
        let max = remaining_this_second.min(max);
        for key in candidates {
            if self.queries.is_exhausted() || queries.to.len() == max {
                break;
            }
            let Some(last) = self.members.get(key).map(|member| member.last_queried) else {
                continue;
            };
            if now.since(last) < interval {
                queries.retry_at = queries.retry_at.min(last.plus(interval));
                continue;
            }
            self.members.change(key, |member| member.last_queried = now);
            self.queries.spend(now);
            queries.to.push(key);
            self.next_query_key = key.wrapping_add(1);
        }
        if self.queries.is_exhausted()
            && let Some(next_release) = self.queries.next_release()
        {
            queries.retry_at = queries.retry_at.max(next_release);
        }
        queries
    }

    /// Returns the members to probe now, and counts the probes as sent. They are members that have not acknowledged
    /// this process, as long as it waits for them.
    pub fn due_probes(&mut self, now: Time) -> Vec<Key> {
        let lease = self.timing.lease;
        self.members.discard_proofs(|queried| now >= queried.plus(lease));
        if self.count_awaited(now) == 0 {
            return Vec::new();
        }
        let interval = self.timing.probe_interval;
        let max = self.probes.remaining(now);
        let due = self.members.probe_order().take_while(|(last, _)| now.since(*last) >= interval);
        let probed: Vec<Key> = due.take(max).map(|(_, key)| key).collect();
        self.probes.spend(probed.len());
        for key in &probed {
            self.members.change(*key, |member| member.last_probed = now);
        }
        probed
    }

    /// Returns when the first of the valid proofs expires; `None` without a valid proof.
    fn first_proof_expiry(&self, now: Time) -> Option<Time> {
        let mut valid =
            self.members.proof_query_times().filter(|queried| !self.is_expired(now, *queried));
        valid.next().map(|queried| queried.plus(self.timing.lease))
    }

    /// Returns how many members are proved absent at `now`.
    pub fn count_absent(&self, now: Time) -> usize {
        let expired =
            self.members.proof_query_times().take_while(|queried| self.is_expired(now, *queried));
        self.members.proof_count() - expired.count()
    }

    /// Returns the length of the longest list among this process's own and those that the other members, except absent
    /// ones, have stated. Where lists differ, the longest one counts, because the members that a shorter list lacks use
    /// capacity too.
    pub fn longest_list_length(&self) -> u32 {
        let own = self.members.len() as u32 + 1;
        own.max(u32::from(self.members.longest_list_length()))
    }

    /// Returns the share at `now`.
    pub fn share(&self, now: Time) -> Share {
        let processes_of_name = if self.duplicate_identity { 2 } else { 1 };
        let longest_list = self.longest_list_length();
        let balancers_after = longest_list * processes_of_name;
        let awaited = self.count_awaited(now);
        if awaited > 0 {
            let (until, reason) = (Some(self.start_wait_end()), ShareReason::Waiting(awaited));
            return Share { balancers: 0, until, balancers_after, reason };
        }
        let acting = longest_list.saturating_sub(self.count_absent(now) as u32).max(1);
        let reason = match (self.duplicate_identity, self.resumed) {
            (true, _) => ShareReason::DuplicateIdentity,
            (_, true) => ShareReason::Resumed,
            _ => ShareReason::Sharing,
        };
        let until = self.first_proof_expiry(now);
        Share { balancers: acting * processes_of_name, until, balancers_after, reason }
    }

    /// Returns when the share may next change without an event, or when a member may next be queried or probed.
    pub fn next_wakeup(&self, now: Time) -> Time {
        let is_waiting = self.count_awaited(now) > 0;
        let start_wait_end = is_waiting.then(|| self.start_wait_end());
        let first = self
            .first_proof_expiry(now)
            .into_iter()
            .chain(start_wait_end)
            .filter(|at| *at > now)
            .min();
        let interval =
            if is_waiting { self.timing.probe_interval } else { self.timing.query_interval };
        let next_retry = now.plus(interval);
        first.map_or(next_retry, |at| at.min(next_retry))
    }
}

#[cfg(test)]
mod tests;
