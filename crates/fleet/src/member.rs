//! Membership and capacity share, joined: datagrams, answers to absence queries and time in; datagrams, absence queries,
//! changes of the view and the share out.

use std::net::SocketAddr;
use std::sync::Arc;

use sableloom_capacity_share::{CapacityShare, Share, Timing as ShareTiming};
use sableloom_membership::{
    Change, Key, MemberList, Membership, Output as MembershipOutput, Reachability,
    Timing as MembershipTiming,
};
use sableloom_types::{Span, Time};

use crate::query_pacing::QueryPacing;

/// When a member is proved absent, so many other members that were not heard since are queried too,
const MAX_RELATED_QUERIES: usize = 16;
/// of so many that are looked at. Members that this leaves out are queried in their turn.
const MAX_RELATED_LOOKED_AT: usize = 256;
/// Unconfirmed members that are looked at for queries at one event.
const MAX_UNCONFIRMED_LOOKED_AT: usize = 64;
/// A process with a long list that has just started looks again after so long whether it may send queries.
const JUST_STARTED_RETRY: Span = Span(500_000);

/// The names and timing of a member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The fleet's name.
    pub fleet_name: String,
    /// The member's own name.
    pub own_name: String,
    /// The timing of the membership protocol.
    pub membership_timing: MembershipTiming,
    /// The timing of the capacity share.
    pub share_timing: ShareTiming,
}

/// What the caller is to do.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Datagrams to send, and where.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Absence queries to send: whether any process holds these members' addresses.
    pub absence_queries: Vec<(Key, SocketAddr)>,
    /// Changes of the view, in their order.
    pub changes: Vec<Change>,
}

/// One member of a fleet.
#[derive(Debug)]
pub struct FleetMember {
    membership: Membership,
    capacity_share: CapacityShare,
    share: Share,
    now: Time,
    pacing: QueryPacing,
    /// No unconfirmed member can be queried before, unless the view changes.
    queries_due: Time,
}

impl FleetMember {
    /// A member whose process has just taken its address. `process_incarnation` is greater than that of the process
    /// before. Whether the list names the member itself makes no difference; members of one process may share it.
    pub fn new(
        settings: &MemberSettings,
        process_incarnation: u32,
        list: Arc<MemberList>,
        seed: u64,
        now: Time,
    ) -> Self {
        let MemberSettings { fleet_name, own_name, membership_timing, share_timing } = settings;
        let membership = Membership::new(
            fleet_name,
            own_name,
            process_incarnation,
            list,
            *membership_timing,
            seed,
            now,
        );
        let others = membership.peers().map(|peer| peer.key);
        let mut capacity_share = CapacityShare::new(now, others, *share_timing);
        capacity_share.set_next_query_key(seed as Key);
        let pacing = QueryPacing::new(now, seed);
        let share = capacity_share.share(now);
        Self { membership, capacity_share, share, now, pacing, queries_due: now }
    }

    /// Starts: all members are probed and, where none answers, their systems are queried.
    pub fn start(&mut self, now: Time, output: &mut Output) {
        // Members that have not acknowledged this process are probed as long as it waits for them.
        self.update(now, output, |_, _| {});
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8], output: &mut Output) {
        let sender = self.membership.member_at(from);
        if let Some(key) = sender {
            self.capacity_share.datagram_received(now, key);
        }
        self.update(now, output, |membership, output| membership.receive(now, from, bytes, output));
        // Only a message that had an effect counts as an acknowledgement.
        let peer = sender.and_then(|key| self.membership.peer(key));
        if let Some(peer) = peer.filter(|peer| peer.last_message_at == Some(now)) {
            self.capacity_share.acknowledged(now, peer.key, peer.list_length);
            self.share = self.capacity_share.share(now);
        }
    }

    /// A member's system has answered the absence query of this time that no process holds its address.
    pub fn proved_absent(&mut self, now: Time, key: Key, queried: Time, output: &mut Output) {
        let is_new = self.capacity_share.proved_absent(key, queried);
        self.update(now, output, |membership, output| {
            membership.proved_absent(now, key, queried, output);
        });
        if is_new {
            self.query_related(now, queried, output);
        }
    }

    /// Queries members that were not heard since the query that proved another one absent: failures are seldom alone.
    /// Without this, half of a fleet that died in one moment was found dead one by one, at the pace of probes that bad
    /// local health had made slow.
    fn query_related(&mut self, now: Time, queried: Time, output: &mut Output) {
        let membership = &self.membership;
        let is_silent = |key: &Key| {
            let last_heard = membership.peer(*key).and_then(|peer| peer.last_message_at);
            last_heard.is_none_or(|heard| heard < queried)
        };
        let looked_at = self.capacity_share.query_order().take(MAX_RELATED_LOOKED_AT);
        let silent: Vec<Key> = looked_at.filter(is_silent).collect();
        self.query_paced(now, MAX_RELATED_QUERIES, silent, output);
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Time, output: &mut Output) {
        self.update(now, output, |membership, output| membership.tick(now, output));
    }

    /// Replaces the operators' list.
    pub fn update_list(&mut self, now: Time, list: Arc<MemberList>, output: &mut Output) {
        let own = self.membership.own_key();
        let others = list.members().iter().map(|(key, _)| *key).filter(|key| *key != own);
        self.capacity_share.update_members(others);
        self.update(now, output, |membership, output| {
            membership.update_list(now, list, output);
            membership.ping_missing_members(now, output);
        });
        self.share = self.capacity_share.share(now);
    }

    /// Sets the digest of the endpoint lists that are in force here, which other members are shown.
    pub fn set_endpoints_digest(&mut self, digest: u32) {
        self.membership.set_endpoints_digest(digest);
    }

    /// Leaves on purpose, with no requests left.
    pub fn leave(&mut self, output: &mut Output) {
        let now = self.now;
        self.update(now, output, |membership, output| membership.leave(output));
    }

    /// Passes an event to the membership, and does what follows for the share: probes and absence queries.
    fn update(
        &mut self,
        now: Time,
        output: &mut Output,
        event: impl FnOnce(&mut Membership, &mut MembershipOutput),
    ) {
        self.now = now;
        let mut membership_output = MembershipOutput::default();
        event(&mut self.membership, &mut membership_output);
        let MembershipOutput { mut datagrams, mut changes } = membership_output;
        if changes.contains(&Change::DuplicateIdentity) {
            self.capacity_share.set_duplicate_identity();
        }
        let is_resumed = self.membership.reachability() == Reachability::Resumed;
        self.capacity_share.set_resumed(is_resumed);
        output.datagrams.append(&mut datagrams);
        if !changes.is_empty() {
            self.queries_due = now;
        }
        let suspected = self.suspected_by_itself(&changes);
        output.changes.append(&mut changes);
        self.send_probes(now, output);
        if !suspected.is_empty() {
            self.query(now, usize::MAX, suspected, output);
        }
        if now >= self.queries_due {
            let next = self.capacity_share.next_query_key();
            let unconfirmed = self.membership.unconfirmed_from(next);
            let unconfirmed: Vec<Key> = unconfirmed.take(MAX_UNCONFIRMED_LOOKED_AT).collect();
            self.queries_due = self.query_paced(now, usize::MAX, unconfirmed, output);
        }
        self.share = self.capacity_share.share(now);
    }

    /// Probes the members that the share waits for.
    fn send_probes(&mut self, now: Time, output: &mut Output) {
        let mut probes = MembershipOutput::default();
        for key in self.capacity_share.due_probes(now) {
            self.membership.ping(key, &mut probes);
        }
        output.datagrams.append(&mut probes.datagrams);
    }

    /// Members that this member is the first to suspect, as its own probe failed. It queries their systems whatever the
    /// pace: other members do when they hear of the suspicion.
    fn suspected_by_itself(&self, changes: &[Change]) -> Vec<Key> {
        let own = self.membership.own_key();
        let suspected = changes.iter().filter_map(|change| match change {
            Change::Suspected { member, reported_by } if *reported_by == own => Some(*member),
            _ => None,
        });
        suspected.collect()
    }

    /// Queries the systems of so many of these members, in their turn, as far as the pace of a long list allows. Before
    /// the time that it returns none of them can be queried again.
    fn query_paced(
        &mut self,
        now: Time,
        max: usize,
        candidates: Vec<Key>,
        output: &mut Output,
    ) -> Time {
        if self.membership.has_short_list() {
            return self.query(now, max, candidates, output);
        }
        if self.membership.has_just_started() {
            return now.plus(JUST_STARTED_RETRY);
        }
        let unconfirmed = self.membership.count_unconfirmed();
        let others = self.membership.count_reachable();
        let max = max.min(self.pacing.remaining(now, unconfirmed, others));
        let before = output.absence_queries.len();
        let retry_at = self.query(now, max, candidates, output);
        self.pacing.spend(output.absence_queries.len() - before);
        retry_at
    }

    fn query(&mut self, now: Time, max: usize, candidates: Vec<Key>, output: &mut Output) -> Time {
        let queries = self.capacity_share.query_absence(now, max, candidates);
        self.membership.record_absence_queries(now, queries.to.len());
        let membership = &self.membership;
        let address = |key| Some((key, membership.listed(key)?.address));
        output.absence_queries.extend(queries.to.into_iter().filter_map(address));
        queries.retry_at
    }

    /// When [`Self::tick`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        self.membership.next_wakeup().min(self.capacity_share.next_wakeup(self.now))
    }

    /// The share, as it was at the last event. [`Share::fraction`] says what is left of it at a time.
    pub fn share(&self) -> Share {
        self.share
    }

    /// The membership protocol.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// What the share is made of.
    pub fn capacity_share(&self) -> &CapacityShare {
        &self.capacity_share
    }

    /// A member's name; `itself` for this member.
    pub fn name(&self, key: Key) -> &str {
        let other = self.membership.listed(key).filter(|_| key != self.membership.own_key());
        other.map_or("itself", |listed| &listed.name)
    }
}
