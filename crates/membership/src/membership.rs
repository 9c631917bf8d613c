//! One member's state machine: which members it probes, what it believes of each, and how it adapts to being slow
//! itself.

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
use self::probing::{Probe, Relay};
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

/// For so many probe intervals a process with a long list queries no member's system: while many start at once, most
/// of those that it believes to be missing are there.
const START_PHASE_INTERVALS: i64 = 50;

/// A change of the view. Members by their keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// A member is there, with this process.
    Joined {
        /// The member.
        member: Key,
        /// The incarnation of its process.
        process_incarnation: u32,
    },
    /// A member is suspected.
    Suspected {
        /// The member.
        member: Key,
        /// The member that suspected it first.
        reported_by: Key,
    },
    /// A member has refuted the suspicion.
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
    /// This member reaches more or less of the fleet.
    Reachability(Reachability),
    /// Another process acts under this member's own name.
    DuplicateIdentity,
}

/// What the caller is to do.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Datagrams to send, and where.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Changes of the view, in their order.
    pub changes: Vec<Change>,
}

/// One member of the fleet.
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
    /// The members that are still to be probed in this round, the last first.
    probe_round: Vec<Key>,
    probe: Option<Probe>,
    next_probe: Time,
    /// When it sends updates next, if it sends no probe before.
    next_gossip: Time,
    relays: Vec<Relay>,
    gossip: Dissemination,
    /// What it sends and receives.
    meter: TrafficMeter,
    /// When it was last called with a time.
    now: Time,
    started: Time,
    anti_entropy: AntiEntropy,
    /// How many pings a process that has started may still send to members that it never heard of.
    start_pings_left: usize,
    /// 0 for a healthy member, up to 8 for one that is slow or unreachable itself.
    local_health: u32,
    /// When its timer is due, as it last said.
    timer_due: Option<Time>,
    is_leaving: bool,
    /// How often another process of its own name had a later incarnation.
    superseded_count: u32,
    last_seq: u32,
    view_version: u64,
    endpoints_digest: u32,
    reachability: Reachability,
    dropped: FxHashMap<DropReason, u64>,
}

impl Membership {
    /// A member whose process has just started. `process_incarnation` has to be greater than that of its process
    /// before; other members correct one that is not. Whether the list names this member itself makes no difference.
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
        // 0 says that a nonce is not known.
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
            relays: Vec::new(),
            gossip: Dissemination::default(),
            meter: TrafficMeter::new(now),
            now,
            started: now,
            anti_entropy: AntiEntropy::new(now),
            start_pings_left: 0,
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

    /// Whether the list is short enough for all members to be pinged by a process that starts. Budgets of traffic bind
    /// in longer lists only.
    pub fn has_short_list(&self) -> bool {
        self.table.len() <= self.timing.max_short_list
    }

    /// Whether the process has just started, with a list too long to ping all members.
    pub fn has_just_started(&self) -> bool {
        let start_phase_end = self.started.plus(self.intervals(START_PHASE_INTERVALS));
        self.now < start_phase_end && !self.has_short_list()
    }

    fn intervals(&self, count: i64) -> Span {
        Span(self.timing.probe_interval.0 * count)
    }

    /// The view now.
    pub fn view(&self) -> View {
        View {
            version: self.view_version,
            digest: self.digest(),
            reachability: self.reachability,
            peers: self.peers().cloned().collect(),
        }
    }

    /// The member that has this address.
    pub fn member_at(&self, address: SocketAddr) -> Option<Key> {
        self.table.position_at(address).map(|position| self.table.at(position).key)
    }

    /// The other members.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.table.peers()
    }

    /// One of the other members.
    pub fn peer(&self, key: Key) -> Option<&Peer> {
        self.table.peer(key)
    }

    /// How many updates are queued.
    pub fn queued_updates(&self) -> usize {
        self.gossip.len()
    }

    /// Its own key.
    pub fn own_key(&self) -> Key {
        self.own_key
    }

    /// How many others there are on the list.
    pub fn count_others(&self) -> usize {
        self.table.len()
    }

    /// How many of the others have left.
    pub fn count_left(&self) -> usize {
        self.table.count_left()
    }

    /// How many of the others are reachable, the suspected among them.
    pub fn count_reachable(&self) -> usize {
        self.table.count_reachable()
    }

    /// The name and address of a member of the list.
    pub fn listed(&self, key: Key) -> Option<&ListedMember> {
        self.table.listed(key)
    }

    /// Those that are not confirmed to be alive, as they are missing or suspected, in the order of their keys from this
    /// one on, and then those before it. Members of a long list that were never heard of are left out as long as this
    /// process pulls a table.
    pub fn unconfirmed_from(&self, key: Key) -> impl Iterator<Item = Key> {
        let skips_unknown = self.anti_entropy.is_pulling() && !self.has_short_list();
        self.table.unconfirmed_from(key).filter(move |key| {
            let is_unknown = || self.peer(*key).is_some_and(|peer| peer.health == Health::Unknown);
            !skips_unknown || !is_unknown()
        })
    }

    /// How many are not confirmed to be alive.
    pub fn count_unconfirmed(&self) -> usize {
        self.table.count_unconfirmed()
    }

    /// How much of the fleet it reaches.
    pub fn reachability(&self) -> Reachability {
        self.reachability
    }

    /// The incarnation of its process: other members may have made it take a later one than it was given.
    pub fn process_incarnation(&self) -> u32 {
        self.process_incarnation
    }

    /// Sets the digest of the endpoint lists that are in force here, which other members are shown.
    pub fn set_endpoints_digest(&mut self, digest: u32) {
        self.endpoints_digest = digest;
    }

    /// The digest of its endpoint lists.
    pub fn endpoints_digest(&self) -> u32 {
        self.endpoints_digest
    }

    /// The view's version: one more with each change.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// The view's digest.
    pub fn digest(&self) -> u32 {
        let own = if self.is_leaving { &Health::Left } else { &Health::Alive };
        self.table.digest() ^ member_digest(self.own_key, self.process_incarnation, own)
    }

    /// How many datagrams were dropped for this reason.
    pub fn count_dropped(&self, reason: DropReason) -> u64 {
        self.dropped.get(&reason).copied().unwrap_or(0)
    }

    /// Counts absence queries to so many members' systems as traffic.
    pub fn count_absence_queries(&mut self, now: Time, queries: usize) {
        self.meter.add(now, queries * ABSENCE_QUERY_BYTES);
    }

    /// Its local health, 0 to 8: 0 is healthy. Its probe interval and timeout are longer by as many times.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }
}
