//! Histories of the fleet: members with their capacity shares on a lossy network, and capacity shares alone.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

use oorandom::Rand64;
use sableloom_capacity_share::{CapacityShare, Share, ShareReason, Timing};
use sableloom_fleet::{FleetMember, MemberSettings, Output};
use sableloom_membership::{
    Change, DropReason, Health, Key, ListedMember, MemberList, Reachability,
    Timing as MembershipTiming, key_of,
};
use sableloom_types::{Span, Time};

use crate::trace::Trace;

const MILLISECOND: i64 = 1000;
const SECOND: i64 = 1_000_000;
/// Histories of short lists.
const SHORT_HISTORIES: u64 = 150;
/// Members of the one long list: over 512, where pacing begins.
const LONG_LIST: usize = 560;
const SHARE_HISTORIES: u64 = 300;
/// Others on the lists of every thirtieth history of shares: over 512, where probes are paced.
const LONG_SHARE_LIST: u32 = 700;

/// Digest of the histories of members.
pub(crate) fn membership_digest() -> String {
    let mut trace = Trace::default();
    for seed in 0..SHORT_HISTORIES {
        let members = 2 + (seed % 11) as usize;
        Network::new(members, seed, 20 * SECOND).play(&mut trace);
    }
    Network::new(LONG_LIST, SHORT_HISTORIES, 12 * SECOND).play(&mut trace);
    trace.finish()
}

/// Digest of the histories of capacity shares.
pub(crate) fn capacity_share_digest() -> String {
    let mut trace = Trace::default();
    for seed in 0..SHARE_HISTORIES {
        play_share(seed, &mut trace);
    }
    trace.finish()
}

fn integers(trace: &mut Trace, values: &[i64]) {
    for value in values {
        trace.integer(*value);
    }
}

fn record_share(trace: &mut Trace, share: Share, now: Time) {
    let (reason, detail) = match share.reason {
        ShareReason::Waiting(members) => (0, members as i64),
        ShareReason::Sharing => (1, 0),
        ShareReason::Resumed => (2, 0),
        ShareReason::DuplicateIdentity => (3, 0),
    };
    let until = share.until.map_or(-1, |until| until.0);
    integers(
        trace,
        &[i64::from(share.balancers), until, i64::from(share.balancers_after), reason, detail],
    );
    trace.float(share.fraction(now));
    if let Some(until) = share.until {
        trace.float(share.fraction(until));
    }
}

/// One process's capacity share under random events.
fn play_share(seed: u64, trace: &mut Trace) {
    let mut rng = Rand64::new(u128::from(seed) + 5000);
    let others = match seed % 30 {
        29 => LONG_SHARE_LIST,
        _ => rng.rand_range(0..40) as u32,
    };
    let timing = Timing {
        lease: Span(SECOND + rng.rand_range(0..3) as i64 * SECOND),
        max_queries_per_lease: [10, 1024][seed as usize % 2],
        ..Timing::default()
    };
    trace.integer(timing.start_wait().0);
    let mut now = Time(SECOND);
    let mut share = CapacityShare::new(now, 1..=others, timing);
    share.set_next_query_key(rng.rand_range(0..40) as u32);
    for _ in 0..if others == LONG_SHARE_LIST { 400 } else { 300 } {
        now = now.plus(Span(rng.rand_range(0..300_000) as i64));
        let key = 1 + rng.rand_range(0..u64::from(others) + 3) as u32;
        match rng.rand_range(0..20) {
            0 => share.set_resumed(true),
            1 => share.set_resumed(false),
            2 if rng.rand_range(0..4) == 0 => {
                let first = rng.rand_range(0..10) as u32;
                share.update_members(first..first + others);
            }
            3 if rng.rand_range(0..40) == 0 => share.set_duplicate_identity(),
            4..=6 => {
                let probed = share.due_probes(now);
                trace.integer(probed.len() as i64);
                probed.iter().for_each(|key| trace.integer(i64::from(*key)));
            }
            7 | 8 => share.datagram_received(now, key),
            9..=12 => share.acknowledged(now, key, rng.rand_range(0..48) as u16),
            13..=15 => {
                let most = [3, usize::MAX][rng.rand_range(0..2) as usize];
                let wanted: Vec<Key> =
                    share.query_order().filter(|key| !key.is_multiple_of(3)).collect();
                let asked = share.query_absence(now, most, wanted);
                asked.to.iter().for_each(|key| trace.integer(i64::from(*key)));
                integers(trace, &[asked.retry_at.0, i64::from(share.next_query_key())]);
            }
            _ => {
                let asked = Time(now.0 - rng.rand_range(0..2_500_000) as i64);
                trace.integer(i64::from(share.proved_absent(key, asked)));
            }
        }
        record_share(trace, share.share(now), now);
        let absent = share.count_absent(now) as i64;
        integers(
            trace,
            &[share.next_wakeup(now).0, i64::from(share.longest_list_length()), absent],
        );
    }
}

/// What happens on the network.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A datagram arrives.
    Datagram { to: usize, from: usize, bytes: Vec<u8> },
    /// A probe of absence arrives at an address.
    Knock { to: usize, from: usize, process: u32, asked: i64 },
    /// The answer of a system that no process holds the address.
    Refusal { to: usize, process: u32, of: usize, asked: i64 },
    /// A process's own timer.
    Tick { member: usize, process: u32 },
    /// The operator or a failure does something.
    Incident,
}

/// Where a member's process runs, if it does.
struct Host {
    core: Option<FleetMember>,
    /// The number of its process: one more with each start.
    process: u32,
    /// A process that is stopped takes nothing before this time.
    stopped_until: i64,
    /// Its clock is ahead by so much.
    clock_ahead: i64,
    /// The time of its timer that is in the queue.
    tick_at: i64,
}

struct Network {
    rng: Rand64,
    now: i64,
    ends: i64,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(i64, u64, Event)>>,
    next_event: u64,
    list: Arc<MemberList>,
    member_timing: MembershipTiming,
    share_timing: Timing,
    /// Datagrams that are lost, in a thousand.
    loss: u64,
    /// Directions in which nothing passes.
    cuts: Vec<(usize, usize)>,
    /// The last datagram that came to a member, to be sent again.
    replay: Option<Event>,
}

fn name(member: usize) -> String {
    format!("balancer-{member}")
}

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (member / 250) as u8, (member % 250) as u8], 7000))
}

fn member_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(high) * 250 + usize::from(low))
}

fn list(members: impl Iterator<Item = usize>) -> Arc<MemberList> {
    MemberList::new(
        members.map(|member| ListedMember { name: name(member), address: address(member) }),
    )
}

impl Network {
    fn new(members: usize, seed: u64, ends: i64) -> Self {
        let mut rng = Rand64::new(u128::from(seed) + 9000);
        let host = |member: usize| Host {
            core: None,
            process: 0,
            stopped_until: 0,
            clock_ahead: (member % 5) as i64 * 37 * MILLISECOND,
            tick_at: -1,
        };
        let member_timing = MembershipTiming {
            probe_interval: Span([100, 200, 400][seed as usize % 3] * MILLISECOND),
            probe_timeout: Span([40, 80, 160][seed as usize % 3] * MILLISECOND),
            local_health_enabled: !seed.is_multiple_of(9),
            ..MembershipTiming::default()
        };
        let mut network = Self {
            loss: rng.rand_range(0..200),
            rng,
            now: 0,
            ends,
            hosts: (0..members).map(host).collect(),
            queue: BinaryHeap::new(),
            next_event: 0,
            list: list(0..members),
            member_timing,
            share_timing: Timing::default(),
            cuts: Vec::new(),
            replay: None,
        };
        network.push(100 * MILLISECOND, Event::Incident);
        network
    }

    fn push(&mut self, at: i64, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event, event)));
    }

    fn is_short(&self) -> bool {
        self.hosts.len() < 100
    }

    fn draw(&mut self, count: usize) -> usize {
        self.rng.rand_range(0..count as u64) as usize
    }

    fn play(mut self, trace: &mut Trace) {
        for member in 0..self.hosts.len() {
            if !member.is_multiple_of(7) || member == 0 {
                self.start(member, trace);
            }
        }
        while let Some(Reverse((at, number, event))) = self.queue.pop() {
            if at >= self.ends {
                break;
            }
            self.now = self.now.max(at);
            if let Some(until) = self.stopped(&event) {
                self.queue.push(Reverse((until, number, event)));
                continue;
            }
            self.happen(event, trace);
        }
        self.record_views(trace);
    }

    /// Until when the process that an event comes to is stopped.
    fn stopped(&self, event: &Event) -> Option<i64> {
        let member = match event {
            Event::Datagram { to, .. } | Event::Refusal { to, .. } => *to,
            Event::Tick { member, .. } => *member,
            Event::Knock { .. } | Event::Incident => return None,
        };
        Some(self.hosts[member].stopped_until).filter(|until| *until > self.now)
    }

    fn happen(&mut self, event: Event, trace: &mut Trace) {
        match event {
            Event::Datagram { to, from, bytes } => {
                self.replay = Some(Event::Datagram { to, from, bytes: bytes.clone() });
                self.call(to, trace, |core, now, out| {
                    core.receive(now, address(from), &bytes, out);
                });
            }
            Event::Knock { to, from, process, asked } => {
                if self.hosts[to].core.is_none() {
                    let at = self.now + self.delay();
                    self.push(at, Event::Refusal { to: from, process, of: to, asked });
                }
            }
            Event::Refusal { to, process, of, asked } => {
                if self.hosts[to].process == process {
                    self.call(to, trace, |core, now, out| {
                        core.proved_absent(now, key_of(&name(of)), Time(asked), out);
                    });
                }
            }
            Event::Tick { member, process } => {
                if self.hosts[member].process == process {
                    self.hosts[member].tick_at = -1;
                    self.call(member, trace, |core, now, out| core.tick(now, out));
                }
            }
            Event::Incident => {
                self.incident(trace);
                let pause = if self.is_short() { 600 } else { 60 };
                let at = self.now + self.draw(pause) as i64 * MILLISECOND + 1;
                self.push(at, Event::Incident);
            }
        }
    }

    fn delay(&mut self) -> i64 {
        let most = if self.rng.rand_range(0..50) == 0 { 900 } else { 20 };
        200 + self.rng.rand_range(0..most * 1000) as i64
    }

    fn start(&mut self, member: usize, trace: &mut Trace) {
        if self.hosts[member].core.is_some() {
            return;
        }
        let settings = MemberSettings {
            fleet_name: "points".to_string(),
            own_name: name(member),
            membership_timing: self.member_timing,
            share_timing: self.share_timing,
        };
        let seed = self.rng.rand_u64();
        // Some processes start with the number of an earlier one, as after a clock was set back.
        let life = match self.rng.rand_range(0..8) {
            0 => 1000,
            _ => 1000 + (self.now / (100 * MILLISECOND)) as u32,
        };
        let now = Time(self.now + self.hosts[member].clock_ahead);
        let core = FleetMember::new(&settings, life, self.list.clone(), seed, now);
        let host = &mut self.hosts[member];
        host.core = Some(core);
        host.process += 1;
        (host.stopped_until, host.tick_at) = (0, -1);
        self.call(member, trace, |core, now, out| core.start(now, out));
    }

    /// Something that is no datagram happens to a member or to the network.
    fn incident(&mut self, trace: &mut Trace) {
        let members = self.hosts.len();
        let member = self.draw(members);
        match self.rng.rand_range(0..16) {
            0 | 1 => self.hosts[member].core = None,
            2..=5 => self.start(member, trace),
            6 | 7 => {
                let stop = self.rng.rand_range(0..4000) as i64 * MILLISECOND;
                self.hosts[member].stopped_until = self.now + stop;
            }
            8 => {
                self.call(member, trace, |core, _, out| core.leave(out));
                self.hosts[member].core = None;
            }
            9 | 10 if self.is_short() => {
                let other = self.draw(members);
                self.cuts.push((member, other));
            }
            11 => self.cuts.clear(),
            12 if self.is_short() => self.loss = self.rng.rand_range(0..300),
            13 if self.is_short() || self.rng.rand_range(0..10) == 0 => self.change_list(trace),
            14 => {
                let digest = self.rng.rand_u64() as u32;
                self.call(member, trace, |core, _, _| core.set_endpoints_digest(digest));
            }
            15 => self.forge(member),
            _ => {}
        }
    }

    /// The operators' list loses or regains a member; most of those that run take it over.
    fn change_list(&mut self, trace: &mut Trace) {
        let members = self.hosts.len();
        let removed = self.draw(members + 2);
        self.list = list((0..members).filter(|member| *member != removed));
        for member in 0..members {
            if self.rng.rand_range(0..5) > 0 {
                let list = self.list.clone();
                self.call(member, trace, |core, now, out| core.update_list(now, list, out));
            }
        }
    }

    /// A datagram comes again, to another, or damaged.
    fn forge(&mut self, member: usize) {
        let Some(Event::Datagram { to, from, mut bytes }) = self.replay.take() else { return };
        match self.rng.rand_range(0..3) {
            0 => {
                let at = self.draw(bytes.len().max(1));
                if let Some(byte) = bytes.get_mut(at) {
                    *byte ^= 1 << self.rng.rand_range(0..8);
                }
            }
            1 => bytes.truncate(self.rng.rand_range(0..64) as usize),
            _ => {}
        }
        let to = if self.rng.rand_range(0..2) == 0 { member } else { to };
        let at = self.now + self.delay();
        self.push(at, Event::Datagram { to, from, bytes });
    }

    /// Calls a process if it runs, and records and carries out what it returns.
    fn call(
        &mut self,
        member: usize,
        trace: &mut Trace,
        what: impl FnOnce(&mut FleetMember, Time, &mut Output),
    ) {
        let host = &mut self.hosts[member];
        let now = Time(self.now + host.clock_ahead);
        let (process, clock_ahead) = (host.process, host.clock_ahead);
        let Some(core) = &mut host.core else { return };
        let mut out = Output::default();
        what(core, now, &mut out);
        integers(trace, &[self.now, member as i64]);
        for change in &out.changes {
            record_change(trace, *change);
        }
        record_share(trace, core.share(), now);
        let members = core.membership();
        integers(
            trace,
            &[core.next_wakeup().0, members.view_version() as i64, i64::from(members.digest())],
        );
        let tick_at = (core.next_wakeup().0 - clock_ahead).max(self.now + 1);
        if host.tick_at < 0 || tick_at < host.tick_at {
            host.tick_at = tick_at;
            self.push(tick_at, Event::Tick { member, process });
        }
        self.carry(member, process, now, out, trace);
    }

    fn carry(&mut self, from: usize, process: u32, now: Time, out: Output, trace: &mut Trace) {
        for (to, bytes) in out.datagrams {
            let to = member_at(to).expect("addresses are of the list");
            trace.integer(to as i64);
            trace.bytes(&bytes);
            if self.passes(from, to) {
                let at = self.now + self.delay();
                self.push(at, Event::Datagram { to, from, bytes });
            }
        }
        for (key, to) in out.absence_queries {
            let to = member_at(to).expect("addresses are of the list");
            integers(trace, &[i64::from(key), to as i64]);
            if self.passes(from, to) {
                let at = self.now + self.delay();
                self.push(at, Event::Knock { to, from, process, asked: now.0 });
            }
        }
    }

    fn passes(&mut self, from: usize, to: usize) -> bool {
        self.rng.rand_range(0..1000) >= self.loss && !self.cuts.contains(&(from, to))
    }

    /// What all that run know at the end.
    fn record_views(&self, trace: &mut Trace) {
        for core in self.hosts.iter().filter_map(|host| host.core.as_ref()) {
            let members = core.membership();
            integers(
                trace,
                &[
                    i64::from(members.process_incarnation()),
                    i64::from(members.local_health()),
                    members.queued_updates() as i64,
                    members.count_reachable() as i64,
                    members.count_left() as i64,
                    members.count_unconfirmed() as i64,
                    i64::from(members.endpoints_digest()),
                ],
            );
            for why in [
                DropReason::TooLong,
                DropReason::OtherVersion,
                DropReason::Malformed,
                DropReason::OtherFleet,
                DropReason::UnknownAddress,
                DropReason::WrongSender,
                DropReason::StaleNonce,
                DropReason::AbsenceQuery,
            ] {
                trace.integer(members.count_dropped(why) as i64);
            }
            record_reachability(trace, members.reachability());
            for peer in members.view().peers {
                let (state, confirmers, ends) = match &peer.health {
                    Health::Unknown => (0, 0, 0),
                    Health::Alive => (1, 0, 0),
                    Health::Suspect(suspicion) => {
                        (2, suspicion.confirmers.len(), suspicion.deadline.0)
                    }
                    Health::Dead => (3, 0, 0),
                    Health::Left => (4, 0, 0),
                };
                integers(
                    trace,
                    &[
                        i64::from(peer.key),
                        i64::from(peer.process_incarnation),
                        i64::from(peer.incarnation),
                        state,
                        confirmers as i64,
                        ends,
                        peer.health_since.0,
                        i64::from(peer.reported_by),
                        peer.last_message_at.map_or(-1, |heard| heard.0),
                        i64::from(peer.list_length),
                        i64::from(peer.endpoints_digest),
                    ],
                );
            }
        }
    }
}

fn record_reachability(trace: &mut Trace, reachability: Reachability) {
    let values = match reachability {
        Reachability::Complete => [0, 0, 0],
        Reachability::Partial { reachable, listed } => [1, reachable as i64, listed as i64],
        Reachability::Isolated => [2, 0, 0],
        Reachability::Resumed => [3, 0, 0],
    };
    integers(trace, &values);
}

fn record_change(trace: &mut Trace, change: Change) {
    let values = match change {
        Change::Joined { member, process_incarnation } => {
            [1, i64::from(member), i64::from(process_incarnation)]
        }
        Change::Suspected { member, reported_by } => [2, i64::from(member), i64::from(reported_by)],
        Change::Refuted(key) => [3, i64::from(key), 0],
        Change::Died { member, reported_by } => [4, i64::from(member), i64::from(reported_by)],
        Change::Left(key) => [5, i64::from(key), 0],
        Change::Reachability(reachability) => {
            trace.integer(6);
            return record_reachability(trace, reachability);
        }
        Change::DuplicateIdentity => [7, 0, 0],
    };
    integers(trace, &values);
}
