//! The state machine of one member: which members it probes, which state of each it has recorded, and how it adapts
//! when it is slow itself.

mod anti_entropy;
mod list_update;
mod local_health;
mod probing;
mod receiving;
mod sending;
mod suspicion;
mod transitions;

use std::net::SocketAddr;
use std::sync::Arc;

use oorandom::Rand64;
use rustc_hash::FxHashMap;
use sableloom_types::{Span, Time};

use self::anti_entropy::AntiEntropy;
use self::probing::{Probe, RelayedProbe};
use crate::codec::DropReason;
use crate::digest::member_digest;
use crate::dissemination::Dissemination;
use crate::list::{ListedMember, MemberList};
use crate::message::{Key, key_of};
use crate::meter::{ABSENCE_QUERY_BYTES, TrafficMeter};
use crate::peer::{Health, Peer};
use crate::table::MemberTable;
use crate::timing::Timing;
use crate::view::{Reachability, View};

/// The number of probe intervals after its start in which a process with a long list sends no absence queries. While
/// many processes start at once, most of the members that it considers missing are running.
const START_PHASE_INTERVALS: i64 = 50;

/// A change of the view. Members are identified by their keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// A member has become reachable, or a reachable member has restarted.
    Joined {
        /// The member.
        member: Key,
        /// The incarnation of the member's current process.
        process_incarnation: u32,
    },
    /// A member is suspected to be dead.
    Suspected {
        /// The member.
        member: Key,
        /// The member that suspected it first.
        reported_by: Key,
    },
    /// A member has refuted the suspicion that it is dead.
    Refuted(Key),
    /// A member was declared dead.
    Died {
        /// The member.
        member: Key,
        /// The member that declared it dead.
        reported_by: Key,
    },
    /// A member has left on purpose.
    Left(Key),
    /// The part of the fleet that this member reaches has changed.
    Reachability(Reachability),
    /// Another process runs under this member's own name.
    DuplicateIdentity,
}

/// The actions that the caller has to perform.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// The datagrams to send, with their destinations.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// The changes of the view, in the order in which they occurred.
    pub changes: Vec<Change>,
}

/// The state of one member of the fleet.
#[derive(Debug)]
pub struct Membership {
    fleet: Key,
    own_key: Key,
    process_incarnation: u32,
    incarnation: u32,
    nonce: u32,
    timing: Timing,
    table: MemberTable,
    rng: Rand64,
    /// The members that remain to be probed in this round. The last one is probed next.
    probe_round: Vec<Key>,
    probe: Option<Probe>,
    next_probe: Time,
    /// When updates are sent next if no probe is sent before.
    next_gossip: Time,
    relayed_probes: Vec<RelayedProbe>,
    gossip: Dissemination,
    /// The bytes that this member sends and receives.
    meter: TrafficMeter,
    /// The time that was passed with the last call.
    now: Time,
    started: Time,
    anti_entropy: AntiEntropy,
    /// The number of initial pings, that is, pings of members of which nothing is known, that may still be sent.
    remaining_initial_pings: usize,
    /// The local health score: 0 for a healthy member, up to 8 for one that is slow or unreachable itself.
    local_health: u32,
    /// When the next call of [`Membership::tick`] is due, as computed by the last call.
    timer_due: Option<Time>,
    is_leaving: bool,
    /// How often another process of the same name had a later incarnation.
    superseded_count: u32,
    last_seq: u32,
    view_version: u64,
    endpoints_digest: u32,
    reachability: Reachability,
    dropped: FxHashMap<DropReason, u64>,
}

impl Membership {
    /// Creates a member whose process has just started. `process_incarnation` has to be greater than that of the
    /// member's previous process; other members correct one that is not. The list may or may not name this member
    /// itself. All random choices depend on `seed`.
    pub fn new(
        fleet: &str,
        own: &str,
        process_incarnation: u32,
        list: Arc<MemberList>,
        timing: Timing,
        seed: u64,
        now: Time,
    ) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        // A nonce of 0 means that the nonce is not known.
        let nonce = (rng.rand_u64() as u32).max(1);
        let mut membership = Self {
            fleet: key_of(fleet),
            own_key: key_of(own),
            process_incarnation,
            incarnation: 0,
            nonce,
            timing,
            table: MemberTable::default(),
            rng,
            probe_round: Vec::new(),
            probe: None,
            next_probe: now,
            next_gossip: now,
            relayed_probes: Vec::new(),
            gossip: Dissemination::default(),
            meter: TrafficMeter::new(now),
            now,
            started: now,
            anti_entropy: AntiEntropy::new(now),
            remaining_initial_pings: 0,
            local_health: 0,
            timer_due: None,
            is_leaving: false,
            superseded_count: 0,
            last_seq: 0,
            view_version: 0,
            endpoints_digest: 0,
            reachability: Reachability::Complete,
            dropped: FxHashMap::default(),
        };
        membership.update_list(now, list, &mut Output::default());
        membership
    }

    /// Returns whether the list is short enough for a process to ping all members at its start. Budgets for updates and
    /// absence queries apply to longer lists only.
    pub fn has_short_list(&self) -> bool {
        self.table.len() <= self.timing.max_short_list
    }

    /// Returns whether the process has just started with a list that is too long to ping all members.
    pub fn has_just_started(&self) -> bool {
        let start_phase_end = self.started.plus(self.intervals(START_PHASE_INTERVALS));
        self.now < start_phase_end && !self.has_short_list()
    }

    fn intervals(&self, count: i64) -> Span {
        Span(self.timing.probe_interval.0 * count)
    }

    /// Returns the current view.
    pub fn view(&self) -> View {
        View {
            version: self.view_version,
            digest: self.digest(),
            reachability: self.reachability,
            peers: self.peers().cloned().collect(),
        }
    }

    /// Returns the key of the member with this address, or `None` if no other member has it.
    pub fn member_at(&self, address: SocketAddr) -> Option<Key> {
        self.table.position_at(address).map(|position| self.table.at(position).key)
    }

    /// Returns the other members in the order of the list.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.table.peers()
    }

    /// Returns the state of another member, or `None` if it is not on the list.
    pub fn peer(&self, key: Key) -> Option<&Peer> {
        self.table.peer(key)
    }

    /// Returns how many updates are queued for gossip.
    pub fn queued_updates(&self) -> usize {
        self.gossip.len()
    }

    /// Returns this member's own key.
    pub fn own_key(&self) -> Key {
        self.own_key
    }

    /// Returns how many other members are on the list.
    pub fn count_others(&self) -> usize {
        self.table.len()
    }

    /// Returns how many of the other members have left.
    pub fn count_left(&self) -> usize {
        self.table.count_left()
    }

    /// Returns how many of the other members are reachable, suspected ones included.
    pub fn count_reachable(&self) -> usize {
        self.table.count_reachable()
    }

    /// Returns the name and address of a member, or `None` if it is not on the list.
    pub fn listed(&self, key: Key) -> Option<&ListedMember> {
        self.table.listed(key)
    }

    /// Returns the members that are not confirmed to be alive, as they are missing or suspected, in the order of their
    /// keys from `key` on and then from the first one. While this process pulls a table, members of a long list of
    /// which nothing is known are left out.
    pub fn unconfirmed_from(&self, key: Key) -> impl Iterator<Item = Key> {
        let skips_unknown = self.anti_entropy.is_pulling() && !self.has_short_list();
        self.table.unconfirmed_from(key).filter(move |key| {
            let is_unknown = || self.peer(*key).is_some_and(|peer| peer.health == Health::Unknown);
            !skips_unknown || !is_unknown()
        })
    }

    /// Returns how many members are not confirmed to be alive.
    pub fn count_unconfirmed(&self) -> usize {
        self.table.count_unconfirmed()
    }

    /// Returns how much of the fleet this member reaches.
    pub fn reachability(&self) -> Reachability {
        self.reachability
    }

    /// Returns the incarnation of this member's process. It is later than the one that was passed to [`Self::new`] if
    /// other members had recorded a later one.
    pub fn process_incarnation(&self) -> u32 {
        self.process_incarnation
    }

    /// Sets the digest of the endpoint lists that this balancer has in force. It is sent to the other members.
    pub fn set_endpoints_digest(&mut self, digest: u32) {
        self.endpoints_digest = digest;
    }

    /// Returns the digest of the endpoint lists that this balancer has in force; 0 if it was not set.
    pub fn endpoints_digest(&self) -> u32 {
        self.endpoints_digest
    }

    /// Returns the version of the view, which increases by one with each change.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// Returns the digest of the view. It is equal at members that agree on which members are reachable, and in which
    /// process incarnations.
    pub fn digest(&self) -> u32 {
        let own = if self.is_leaving { &Health::Left } else { &Health::Alive };
        self.table.digest() ^ member_digest(self.own_key, self.process_incarnation, own)
    }

    /// Returns how many datagrams were dropped for this reason.
    pub fn count_dropped(&self, reason: DropReason) -> u64 {
        self.dropped.get(&reason).copied().unwrap_or(0)
    }

    /// Counts the bytes of `queries` absence queries and of their answers as traffic of this member.
    pub fn record_absence_queries(&mut self, now: Time, queries: usize) {
        self.meter.add(now, queries * ABSENCE_QUERY_BYTES);
    }

    /// Returns the local health score from 0 (healthy) to 8. The probe interval and the probe timeout are multiplied by
    /// one more than the score.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }
}
