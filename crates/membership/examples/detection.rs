//! Compares how soon a death is detected, how many false deaths there are, and the traffic, for three protocols on one
//! simulated network: this crate's protocol, the same without local health (plain SWIM), and heartbeats from each
//! member to all others.
//!
//! `cargo run --release -p sableloom-membership --example detection -- [MAX_MEMBERS]` measures fleets of 10, 100 and
//! 1,000 members, as far as `MAX_MEMBERS` allows. All times are simulated. Fleets of up to 100 members take one to two
//! minutes on six cores. Fleets of 1,000 are measured at two rates of loss and without heartbeats, whose traffic can be
//! computed: 4,995 packets per second and member.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use sableloom_membership::{
    Change, Health, Key, ListedMember, MemberList, Membership, Output, Timing, key_of,
};
use sableloom_simulated_network::{
    MILLISECOND, Network, Output as NetworkOutput, Process, SECOND, address_of, host_at,
};
use sableloom_types::{Span, Time};

/// The time from one probe, or heartbeat, to the next, in microseconds.
const INTERVAL: i64 = 200 * MILLISECOND;
/// The number of heartbeats that may be missing in a row. They take as long as the shortest suspicion among ten
/// members.
const MAX_MISSED_HEARTBEATS: i64 = 5;
/// How long a fleet is observed before a member is killed, in microseconds.
const OBSERVATION_TIME: i64 = 30 * SECOND;
/// How long a fleet is observed at most after a member is killed, in microseconds.
const MAX_DETECTION_TIME: i64 = 60 * SECOND;

enum Member {
    Swim(Box<Membership>),
    Heartbeats(HeartbeatMember),
}

/// A member that sends a heartbeat to all others in each interval.
struct HeartbeatMember {
    own: usize,
    last_received: Vec<Time>,
    dead: Vec<bool>,
    next_heartbeat: Time,
}

fn key(i: usize) -> Key {
    key_of(&format!("m{i}"))
}

fn forward_output(out: Output, sent: &mut NetworkOutput<Change>) {
    sent.datagrams.extend(out.datagrams);
    sent.changes.extend(out.changes);
}

impl Process for Member {
    type Change = Change;

    fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        sent: &mut NetworkOutput<Change>,
    ) {
        match self {
            Member::Swim(membership) => {
                let mut out = Output::default();
                membership.receive(now, from, bytes, &mut out);
                forward_output(out, sent);
            }
            Member::Heartbeats(member) => {
                let Some(i) = host_at(from) else { return };
                member.last_received[i] = now;
                if std::mem::take(&mut member.dead[i]) {
                    sent.changes.push(Change::Joined { member: key(i), process_incarnation: 0 });
                }
            }
        }
    }

    fn tick(&mut self, now: Time, sent: &mut NetworkOutput<Change>) {
        match self {
            Member::Swim(membership) => {
                let mut out = Output::default();
                membership.tick(now, &mut out);
                forward_output(out, sent);
            }
            Member::Heartbeats(member) => {
                member.next_heartbeat = now.plus(Span(INTERVAL));
                for i in (0..member.last_received.len()).filter(|i| *i != member.own) {
                    // A heartbeat has as many bytes as a ping without updates.
                    sent.datagrams.push((address_of(i), vec![0; 36]));
                    if now.since(member.last_received[i]).0 > MAX_MISSED_HEARTBEATS * INTERVAL
                        && !member.dead[i]
                    {
                        member.dead[i] = true;
                        sent.changes
                            .push(Change::Died { member: key(i), reported_by: key(member.own) });
                    }
                }
            }
        }
    }

    fn next_wakeup(&self) -> Time {
        match self {
            Member::Swim(membership) => membership.next_wakeup(),
            Member::Heartbeats(member) => member.next_heartbeat,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Protocol {
    Lifeguard,
    Swim,
    Heartbeats,
}

struct Measurements {
    /// The times from a kill until the first of the other members detects it, in microseconds.
    first_detections: Vec<i64>,
    /// The times from a kill until all of the other members have detected it, in microseconds.
    full_detections: Vec<i64>,
    /// False deaths per member and hour: declarations by any member that another one, which is running, is dead.
    false_deaths: f64,
    /// The time for which running members were considered dead, in seconds per member and hour.
    dead_time: f64,
    /// The packets that each member sends in a second.
    packets_per_second: f64,
    /// The bytes that each member sends in a second.
    bytes_per_second: f64,
}

fn considers_dead(member: &Member, target: usize) -> bool {
    match member {
        Member::Swim(membership) => {
            membership.peers().any(|p| p.key == key(target) && p.health == Health::Dead)
        }
        Member::Heartbeats(member) => member.dead[target],
    }
}

/// The fleet and the network that are measured.
#[derive(Clone, Copy, PartialEq)]
struct Scenario {
    members: usize,
    /// The fraction of datagrams that is lost.
    loss: f64,
    /// Whether one member in ten is suspended for 600 ms every 2 s.
    has_slow_members: bool,
    protocol: Protocol,
    seed: u64,
}

/// The simulated time between two inspections of the network, in microseconds.
const STEP: i64 = 10 * MILLISECOND;

impl Scenario {
    /// Starts all members and runs the network for 10 s, so that the members find each other.
    fn start(&self) -> Network<Member> {
        let mut network: Network<Member> = Network::new(self.members, self.seed, 0.01);
        let listed = |i| ListedMember { name: format!("m{i}"), address: address_of(i) };
        let list = MemberList::new((0..self.members).map(listed));
        for i in 0..self.members {
            network.start(i, |process_incarnation, seed, now| match self.protocol {
                Protocol::Heartbeats => Member::Heartbeats(HeartbeatMember {
                    own: i,
                    last_received: vec![now; self.members],
                    dead: vec![false; self.members],
                    next_heartbeat: now.plus(Span(seed as i64 & 0xffff)),
                }),
                Protocol::Lifeguard | Protocol::Swim => {
                    let local_health_enabled = self.protocol == Protocol::Lifeguard;
                    let timing = Timing { local_health_enabled, ..Timing::default() };
                    let (own, list) = (format!("m{i}"), list.clone());
                    let membership = Membership::new(
                        "fleet",
                        &own,
                        process_incarnation,
                        list,
                        timing,
                        seed,
                        now,
                    );
                    Member::Swim(Box::new(membership))
                }
            });
            if let Some(Member::Swim(_)) = &network.hosts[i].process {
                network.call(i, |member, now, sent| {
                    if let Member::Swim(membership) = member {
                        let mut output = Output::default();
                        membership.ping_missing_members(now, &mut output);
                        forward_output(output, sent);
                    }
                });
            }
        }
        self.run(&mut network, 10 * SECOND);
        network
    }

    fn run(&self, network: &mut Network<Member>, until: i64) {
        while network.now < until {
            if self.has_slow_members && network.now % (2 * SECOND) < STEP {
                (0..self.members).step_by(10).for_each(|i| network.suspend(i, 600 * MILLISECOND));
            }
            let next = (network.now + STEP).min(until);
            network.run(next);
        }
    }

    /// Observes the fleet without a failure, and then kills a member.
    fn measure(&self) -> Measurements {
        let observation_time =
            if self.members > 500 { OBSERVATION_TIME / 3 } else { OBSERVATION_TIME };
        let mut network = self.start();
        network.hosts.iter_mut().for_each(|host| host.changes.clear());
        network.loss = self.loss;
        let (sent, bytes, from) = (network.sent, network.bytes, network.now);
        let until = network.now + observation_time;
        self.run(&mut network, until);
        let seconds = (network.now - from) as f64 / SECOND as f64 * self.members as f64;
        let hours = seconds / 3600.0;
        let (deaths, dead_time) = false_deaths(&network);
        let mut measurements = Measurements {
            first_detections: Vec::new(),
            full_detections: Vec::new(),
            false_deaths: deaths as f64 / hours,
            dead_time: dead_time as f64 / SECOND as f64 / hours,
            packets_per_second: (network.sent - sent) as f64 / seconds,
            bytes_per_second: (network.bytes - bytes) as f64 / seconds,
        };
        self.kill_one(&mut network, &mut measurements);
        measurements
    }

    /// Kills a member, and measures when the first and the last of the others detect it.
    fn kill_one(&self, network: &mut Network<Member>, measurements: &mut Measurements) {
        let victim = 1;
        network.kill(victim);
        let from = network.now;
        let mut first = None;
        while network.now < from + MAX_DETECTION_TIME {
            let until = network.now + STEP;
            self.run(network, until);
            let others = (0..self.members).filter(|i| *i != victim);
            let detected = |i: usize| {
                network.hosts[i].process.as_ref().is_some_and(|m| considers_dead(m, victim))
            };
            if first.is_none() && others.clone().any(detected) {
                first = Some(network.now - from);
            }
            if others.clone().all(detected) {
                measurements.first_detections.extend(first);
                measurements.full_detections.push(network.now - from);
                break;
            }
        }
    }
}

/// Returns how often running members were declared dead, and for how long in all, in microseconds.
fn false_deaths(network: &Network<Member>) -> (usize, i64) {
    let (mut deaths, mut dead_time) = (0usize, 0i64);
    for host in &network.hosts {
        let mut since: HashMap<Key, i64> = HashMap::new();
        for (at, change) in &host.changes {
            match change {
                Change::Died { member, .. } => {
                    deaths += 1;
                    since.insert(*member, *at);
                }
                Change::Joined { member, .. } => {
                    dead_time += since.remove(member).map_or(0, |from| at - from);
                }
                _ => {}
            }
        }
        dead_time += since.values().map(|from| network.now - from).sum::<i64>();
    }
    (deaths, dead_time)
}

fn median(times: &mut [i64]) -> String {
    times.sort_unstable();
    times.get(times.len() / 2).map_or("-".to_string(), |us| format!("{:.1}", *us as f64 / 1e6))
}

/// Measures all scenarios on all cores, beginning with the last, which take longest.
fn measure_all(scenarios: &[Scenario]) -> Vec<Measurements> {
    let next = AtomicUsize::new(scenarios.len());
    let measurements: Vec<Mutex<Option<Measurements>>> =
        scenarios.iter().map(|_| Mutex::new(None)).collect();
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(i) = next.fetch_sub(1, Ordering::Relaxed).checked_sub(1) {
                    let Some(scenario) = scenarios.get(i) else { break };
                    let result = scenario.measure();
                    if let Ok(mut slot) = measurements[i].lock() {
                        *slot = Some(result);
                    }
                }
            });
        }
    });
    measurements.into_iter().filter_map(|one| one.into_inner().ok().flatten()).collect()
}

fn main() {
    let max_members: usize = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(1000);
    let protocols = [
        ("members", Protocol::Lifeguard),
        ("SWIM", Protocol::Swim),
        ("heartbeats", Protocol::Heartbeats),
    ];
    let mut scenarios = Vec::new();
    for n in [10, 100, 1000].into_iter().filter(|n| *n <= max_members) {
        for (loss, has_slow_members) in [(0.0, false), (0.05, false), (0.3, false), (0.0, true)] {
            for (_, protocol) in protocols {
                if n == 1000
                    && (has_slow_members || loss == 0.05 || protocol == Protocol::Heartbeats)
                {
                    continue;
                }
                let seeds = if n == 10 {
                    20
                } else if n == 100 {
                    6
                } else {
                    1
                };
                let scenario =
                    |seed| Scenario { members: n, loss, has_slow_members, protocol, seed };
                scenarios.extend((0..seeds).map(scenario));
            }
        }
    }
    let measurements = measure_all(&scenarios);
    println!(
        "protocol, members, loss, one in ten slow | death detected by the first and by all, s (median) | \
         false deaths per member and hour, seconds considered dead | packets and bytes per second \
         and member"
    );
    let results: Vec<_> = scenarios.iter().zip(&measurements).collect();
    for row in results
        .chunk_by(|(a, _), (b, _)| Scenario { seed: 0, ..**a } == Scenario { seed: 0, ..**b })
    {
        let Scenario { members: n, loss, has_slow_members, protocol, .. } = *row[0].0;
        let name = protocols.iter().find(|(_, p)| *p == protocol).map_or("", |(name, _)| name);
        let seeds = row.len();
        let mean = |of: fn(&Measurements) -> f64| {
            row.iter().map(|(_, s)| of(s)).sum::<f64>() / seeds as f64
        };
        let mut first_detections: Vec<i64> =
            row.iter().flat_map(|(_, s)| s.first_detections.clone()).collect();
        let mut full_detections: Vec<i64> =
            row.iter().flat_map(|(_, s)| s.full_detections.clone()).collect();
        println!(
            "{name:10} {n:5} {loss:4} {has_slow_members:5} | {:>5} {:>5} ({} of {seeds}) | {:8.1} {:8.1} | {:6.1} \
             {:8.0}",
            median(&mut first_detections),
            median(&mut full_detections),
            full_detections.len(),
            mean(|s| s.false_deaths),
            mean(|s| s.dead_time),
            mean(|s| s.packets_per_second),
            mean(|s| s.bytes_per_second),
        );
    }
}
