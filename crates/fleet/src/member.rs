//! The state machine of a member, which combines the membership protocol with the capacity share. Its inputs are
//! datagrams, answers to absence queries and the time. Its outputs are datagrams, absence queries, changes of the view
//! and the share.

use std::net::SocketAddr;
use std::sync::Arc;

use sableloom_capacity_share::{CapacityShare, Share, Timing as ShareTiming};
use sableloom_membership::{
    Change, Key, MemberList, Membership, Output as MembershipOutput, Reachability,
    Timing as MembershipTiming,
};
use sableloom_types::{Span, Time};

use crate::query_pacing::QueryPacing;

/// The maximum number of other silent members that are queried when one member is proved absent.
const MAX_RELATED_QUERIES: usize = 16;
/// The maximum number of members that are examined to find silent ones when one member is proved absent. Members that
/// are not examined are queried in their regular turn.
const MAX_RELATED_CANDIDATES: usize = 256;
/// The maximum number of unconfirmed members that are considered for absence queries at one event.
const MAX_UNCONFIRMED_CANDIDATES: usize = 64;
/// How long a process that has just started with a long list waits before it checks again whether it may send absence
/// queries (0.5 s).
const JUST_STARTED_RETRY_INTERVAL: Span = Span(500_000);

/// The names and the timing of a member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The fleet's name. Members drop messages of other fleets.
    pub fleet_name: String,
    /// The member's own name.
    pub own_name: String,
    /// The timing of the membership protocol.
    pub membership_timing: MembershipTiming,
    /// The timing of the capacity share.
    pub share_timing: ShareTiming,
}

/// The actions that the caller has to perform.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// The datagrams to send, with their destinations.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// The members whose operating systems have to be queried whether any process holds the member's address.
    pub absence_queries: Vec<(Key, SocketAddr)>,
    /// The changes of the view, in the order in which they occurred.
    pub changes: Vec<Change>,
}

/// One member of a fleet, without I/O.
#[derive(Debug)]
pub struct FleetMember {
    membership: Membership,
    capacity_share: CapacityShare,
    /// The share as of the last event.
    share: Share,
    /// The time that was passed with the last event.
    now: Time,
    query_pacing: QueryPacing,
    /// No unconfirmed member can be queried before this time, unless the view changes.
    next_queries_at: Time,
}

impl FleetMember {
    /// Creates a member whose process has just bound its address. `process_incarnation` has to be greater than that of
    /// the member's previous process. The list may or may not name the member itself, so that several members in one
    /// process can share a list. All random choices depend on `seed`.
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
        let query_pacing = QueryPacing::new(now, seed);
        let share = capacity_share.share(now);
        Self { membership, capacity_share, share, now, query_pacing, next_queries_at: now }
    }

    /// Starts the protocol. Other members are probed, and the operating systems of members that do not answer are
    /// queried.
    pub fn start(&mut self, now: Time, output: &mut Output) {
        // `apply_event` probes the members that have not acknowledged this process, as long as the process waits for
        // them.
        self.apply_event(now, output, |_, _| {});
    }

    /// Handles a datagram that was received from the address `from`.
    pub fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8], output: &mut Output) {
        let sender = self.membership.member_at(from);
        if let Some(key) = sender {
            self.capacity_share.datagram_received(now, key);
        }
        self.apply_event(now, output, |membership, output| {
            membership.receive(now, from, bytes, output)
        });
        // A datagram counts as an acknowledgement only if the membership protocol accepted its message.
        let peer = sender.and_then(|key| self.membership.peer(key));
        if let Some(peer) = peer.filter(|peer| peer.last_message_at == Some(now)) {
            self.capacity_share.acknowledged(now, peer.key, peer.list_length);
            self.share = self.capacity_share.share(now);
        }
    }

    /// Handles the answer of a member's operating system that no process holds the member's address. `queried_at` is
    /// when the absence query was sent.
    pub fn proved_absent(&mut self, now: Time, key: Key, queried_at: Time, output: &mut Output) {
        let is_new_proof = self.capacity_share.proved_absent(key, queried_at);
        self.apply_event(now, output, |membership, output| {
            membership.proved_absent(now, key, queried_at, output);
        });
        if is_new_proof {
            self.query_related_members(now, queried_at, output);
        }
    }

    /// Queries members from which no message was received since `queried_at`, the time of the query that proved another
    /// member absent. Several members often fail together. Without these queries, when half of a fleet died at
    /// one moment, the dead members were detected one by one, by probes that bad local health had slowed down.
    fn query_related_members(&mut self, now: Time, queried_at: Time, output: &mut Output) {
        let membership = &self.membership;
        let is_silent = |key: &Key| {
            let last_heard = membership.peer(*key).and_then(|peer| peer.last_message_at);
            last_heard.is_none_or(|heard| heard < queried_at)
        };
        let candidates = self.capacity_share.query_order().take(MAX_RELATED_CANDIDATES);
        let silent: Vec<Key> = candidates.filter(is_silent).collect();
        self.query_absence_paced(now, MAX_RELATED_QUERIES, silent, output);
    }

    /// Performs the actions that are due at `now`. To be called at the time that [`Self::next_wakeup`] returns.
    pub fn tick(&mut self, now: Time, output: &mut Output) {
        self.apply_event(now, output, |membership, output| membership.tick(now, output));
    }

    /// Replaces the operators' list of members. The state of members that are on both lists is kept.
    pub fn update_list(&mut self, now: Time, list: Arc<MemberList>, output: &mut Output) {
        let own = self.membership.own_key();
        let others = list.members().iter().map(|(key, _)| *key).filter(|key| *key != own);
        self.capacity_share.update_members(others);
        self.apply_event(now, output, |membership, output| {
            membership.update_list(now, list, output);
            membership.ping_missing_members(now, output);
        });
        self.share = self.capacity_share.share(now);
    }

    /// Sets the digest of the endpoint lists that this balancer has in force. It is sent to the other members.
    pub fn set_endpoints_digest(&mut self, digest: u32) {
        self.membership.set_endpoints_digest(digest);
    }

    /// Announces to other members that this member leaves on purpose. To be called when no request is left.
    pub fn leave(&mut self, output: &mut Output) {
        let now = self.now;
        self.apply_event(now, output, |membership, output| membership.leave(output));
    }

    /// Passes an event to the membership protocol, updates the share, and sends the probes and absence queries that are
    /// due.
    fn apply_event(
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
            self.next_queries_at = now;
        }
        let suspected = self.locally_suspected(&changes);
        output.changes.append(&mut changes);
        self.send_probes(now, output);
        if !suspected.is_empty() {
            self.query_absence(now, usize::MAX, suspected, output);
        }
        if now >= self.next_queries_at {
            let first_key = self.capacity_share.next_query_key();
            let unconfirmed = self.membership.unconfirmed_from(first_key);
            let unconfirmed: Vec<Key> = unconfirmed.take(MAX_UNCONFIRMED_CANDIDATES).collect();
            self.next_queries_at = self.query_absence_paced(now, usize::MAX, unconfirmed, output);
        }
        self.share = self.capacity_share.share(now);
    }

    /// Probes the members that have to acknowledge this process before it has a share.
    fn send_probes(&mut self, now: Time, output: &mut Output) {
        let mut probes = MembershipOutput::default();
        for key in self.capacity_share.due_probes(now) {
            self.membership.ping(key, &mut probes);
        }
        output.datagrams.append(&mut probes.datagrams);
    }

    /// Returns the members that this member is the first to suspect because its own probe failed. Their operating
    /// systems are queried without pacing. Other members query when they receive the suspicion.
    fn locally_suspected(&self, changes: &[Change]) -> Vec<Key> {
        let own = self.membership.own_key();
        let suspected = changes.iter().filter_map(|change| match change {
            Change::Suspected { member, reported_by } if *reported_by == own => Some(*member),
            _ => None,
        });
        suspected.collect()
    }

    /// Queries the operating systems of up to `max` of the candidates, in their order. If the list is long, the rate of
    /// queries is limited, too. Returns the time before which no candidate can be queried again.
    fn query_absence_paced(
        &mut self,
        now: Time,
        max: usize,
        candidates: Vec<Key>,
        output: &mut Output,
    ) -> Time {
        if self.membership.has_short_list() {
            return self.query_absence(now, max, candidates, output);
        }
        if self.membership.has_just_started() {
            return now.plus(JUST_STARTED_RETRY_INTERVAL);
        }
        let unconfirmed = self.membership.count_unconfirmed();
        let other_senders = self.membership.count_reachable();
        let max = max.min(self.query_pacing.available(now, unconfirmed, other_senders));
        let queries_before = output.absence_queries.len();
        let retry_at = self.query_absence(now, max, candidates, output);
        self.query_pacing.spend(output.absence_queries.len() - queries_before);
        retry_at
    }

    /// Queries the operating systems of up to `max` of the candidates, in their order and without pacing. Returns the
    /// time before which no candidate can be queried again.
    fn query_absence(
        &mut self,
        now: Time,
        max: usize,
        candidates: Vec<Key>,
        output: &mut Output,
    ) -> Time {
        let queries = self.capacity_share.query_absence(now, max, candidates);
        self.membership.record_absence_queries(now, queries.to.len());
        let membership = &self.membership;
        let address = |key| Some((key, membership.listed(key)?.address));
        output.absence_queries.extend(queries.to.into_iter().filter_map(address));
        queries.retry_at
    }

    /// Returns when [`Self::tick`] has to be called next. Each event may change this time.
    pub fn next_wakeup(&self) -> Time {
        self.membership.next_wakeup().min(self.capacity_share.next_wakeup(self.now))
    }

    /// Returns the share as of the last event. It may expire before the next event: [`Share::fraction`] returns the
    /// fraction that applies at a given time.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns the state of the membership protocol.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the state from which the share is computed.
    pub fn capacity_share(&self) -> &CapacityShare {
        &self.capacity_share
    }

    /// Returns the name of another member. For this member, and for a key that is not on the list, it returns `itself`.
    pub fn name(&self, key: Key) -> &str {
        let other = self.membership.listed(key).filter(|_| key != self.membership.own_key());
        other.map_or("itself", |listed| &listed.name)
    }
}
