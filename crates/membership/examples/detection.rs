//! How soon a death is known, how many false deaths there are, and what it costs: this crate's protocol, the same
//! without local health (plain SWIM), and heartbeats of all to all, on one simulated network.
//!
//! `cargo run --release -p sableloom-membership --example detection -- [LARGEST]`. Timing are the model's. Fleets of up
//! to 100 take one to two minutes on six cores; a thousand are played for two losses, and without
//! heartbeats, whose cost there is plain: 4,995 packets a second and member.

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

/// From one probe, or heartbeat, to the next.
const PERIOD: i64 = 200 * MILLISECOND;
/// Heartbeats that may be missing in a row: as long as the shortest suspicion among ten.
const MISSED: i64 = 5;
/// How long a fleet is watched before one is killed,
const WATCHED: i64 = 30 * SECOND;
/// and after it.
const AFTER: i64 = 60 * SECOND;

enum Member {
    Swim(Box<Membership>),
    Heartbeats(Heart),
}

/// Sends a heartbeat to all others in each period.
struct Heart {
    own: usize,
    heard: Vec<Time>,
    dead: Vec<bool>,
    next: Time,
}

fn key(i: usize) -> Key {
    key_of(&format!("m{i}"))
}

fn carry(out: Output, sent: &mut NetworkOutput<Change>) {
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
                carry(out, sent);
            }
            Member::Heartbeats(heart) => {
                let Some(i) = host_at(from) else { return };
                heart.heard[i] = now;
                if std::mem::take(&mut heart.dead[i]) {
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
                carry(out, sent);
            }
            Member::Heartbeats(heart) => {
                heart.next = now.plus(Span(PERIOD));
                for i in (0..heart.heard.len()).filter(|i| *i != heart.own) {
                    // As many bytes as a ping without updates.
                    sent.datagrams.push((address_of(i), vec![0; 36]));
                    if now.since(heart.heard[i]).0 > MISSED * PERIOD && !heart.dead[i] {
                        heart.dead[i] = true;
                        sent.changes
                            .push(Change::Died { member: key(i), reported_by: key(heart.own) });
                    }
                }
            }
        }
    }

    fn next_wakeup(&self) -> Time {
        match self {
            Member::Swim(membership) => membership.next_wakeup(),
            Member::Heartbeats(heart) => heart.next,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum How {
    Lifeguard,
    Swim,
    Heartbeats,
}

struct Seen {
    /// Until the first, and the last of those that live, knew it; of the kills.
    first: Vec<i64>,
    all: Vec<i64>,
    /// Deaths of members that lived, as declared by any of the others, a member and hour.
    false_deaths: f64,
    /// How long those were held, in all, a member and hour, in seconds.
    held: f64,
    packets: f64,
    bytes: f64,
}

fn dead(member: &Member, of: usize) -> bool {
    match member {
        Member::Swim(membership) => {
            membership.peers().any(|p| p.key == key(of) && p.health == Health::Dead)
        }
        Member::Heartbeats(heart) => heart.dead[of],
    }
}

/// One fleet that is watched.
#[derive(Clone, Copy, PartialEq)]
struct Game {
    members: usize,
    /// The fraction of datagrams that is lost.
    loss: f64,
    /// Whether one member in ten does nothing for 600 ms every 2 s.
    slow: bool,
    how: How,
    seed: u64,
}

/// How often the network is looked at.
const SLICE: i64 = 10 * MILLISECOND;

impl Game {
    /// Starts all members and gives them time to know each other.
    fn start(&self) -> Network<Member> {
        let mut network: Network<Member> = Network::new(self.members, self.seed, 0.01);
        let listed = |i| ListedMember { name: format!("m{i}"), address: address_of(i) };
        let list = MemberList::new((0..self.members).map(listed));
        for i in 0..self.members {
            network.start(i, |process_incarnation, seed, now| match self.how {
                How::Heartbeats => Member::Heartbeats(Heart {
                    own: i,
                    heard: vec![now; self.members],
                    dead: vec![false; self.members],
                    next: now.plus(Span(seed as i64 & 0xffff)),
                }),
                How::Lifeguard | How::Swim => {
                    let local_health_enabled = self.how == How::Lifeguard;
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
                        carry(output, sent);
                    }
                });
            }
        }
        self.run(&mut network, 10 * SECOND);
        network
    }

    fn run(&self, network: &mut Network<Member>, until: i64) {
        while network.now < until {
            if self.slow && network.now % (2 * SECOND) < SLICE {
                (0..self.members).step_by(10).for_each(|i| network.suspend(i, 600 * MILLISECOND));
            }
            let next = (network.now + SLICE).min(until);
            network.run(next);
        }
    }

    /// Watches the fleet with no failure, and then kills a member.
    fn play(&self) -> Seen {
        let watched = if self.members > 500 { WATCHED / 3 } else { WATCHED };
        let mut network = self.start();
        network.hosts.iter_mut().for_each(|place| place.changes.clear());
        network.loss = self.loss;
        let (sent, bytes, from) = (network.sent, network.bytes, network.now);
        let until = network.now + watched;
        self.run(&mut network, until);
        let seconds = (network.now - from) as f64 / SECOND as f64 * self.members as f64;
        let hours = seconds / 3600.0;
        let (deaths, held) = false_deaths(&network);
        let mut seen = Seen {
            first: Vec::new(),
            all: Vec::new(),
            false_deaths: deaths as f64 / hours,
            held: held as f64 / SECOND as f64 / hours,
            packets: (network.sent - sent) as f64 / seconds,
            bytes: (network.bytes - bytes) as f64 / seconds,
        };
        self.kill_one(&mut network, &mut seen);
        seen
    }

    /// Kills a member, and notes when the first and the last of the others know it.
    fn kill_one(&self, network: &mut Network<Member>, seen: &mut Seen) {
        let victim = 1;
        network.kill(victim);
        let from = network.now;
        let mut first = None;
        while network.now < from + AFTER {
            let until = network.now + SLICE;
            self.run(network, until);
            let others = (0..self.members).filter(|i| *i != victim);
            let knows =
                |i: usize| network.hosts[i].process.as_ref().is_some_and(|m| dead(m, victim));
            if first.is_none() && others.clone().any(knows) {
                first = Some(network.now - from);
            }
            if others.clone().all(knows) {
                seen.first.extend(first);
                seen.all.push(network.now - from);
                break;
            }
        }
    }
}

/// How often living members were declared dead, and for how long all together, in microseconds.
fn false_deaths(network: &Network<Member>) -> (usize, i64) {
    let (mut deaths, mut held) = (0usize, 0i64);
    for place in &network.hosts {
        let mut since: HashMap<Key, i64> = HashMap::new();
        for (at, change) in &place.changes {
            match change {
                Change::Died { member, .. } => {
                    deaths += 1;
                    since.insert(*member, *at);
                }
                Change::Joined { member, .. } => {
                    held += since.remove(member).map_or(0, |from| at - from);
                }
                _ => {}
            }
        }
        held += since.values().map(|from| network.now - from).sum::<i64>();
    }
    (deaths, held)
}

fn middle(times: &mut [i64]) -> String {
    times.sort_unstable();
    times.get(times.len() / 2).map_or("-".to_string(), |us| format!("{:.1}", *us as f64 / 1e6))
}

/// Plays all of these on all cores, the longest first.
fn play_all(games: &[Game]) -> Vec<Seen> {
    let next = AtomicUsize::new(games.len());
    let seen: Vec<Mutex<Option<Seen>>> = games.iter().map(|_| Mutex::new(None)).collect();
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(i) = next.fetch_sub(1, Ordering::Relaxed).checked_sub(1) {
                    let Some(game) = games.get(i) else { break };
                    let one = game.play();
                    if let Ok(mut place) = seen[i].lock() {
                        *place = Some(one);
                    }
                }
            });
        }
    });
    seen.into_iter().filter_map(|one| one.into_inner().ok().flatten()).collect()
}

fn main() {
    let most: usize = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(1000);
    let hows = [("members", How::Lifeguard), ("SWIM", How::Swim), ("heartbeats", How::Heartbeats)];
    let mut games = Vec::new();
    for n in [10, 100, 1000].into_iter().filter(|n| *n <= most) {
        for (loss, slow) in [(0.0, false), (0.05, false), (0.3, false), (0.0, true)] {
            for (_, how) in hows {
                if n == 1000 && (slow || loss == 0.05 || how == How::Heartbeats) {
                    continue;
                }
                let seeds = if n == 10 {
                    20
                } else if n == 100 {
                    6
                } else {
                    1
                };
                let game = |seed| Game { members: n, loss, slow, how, seed };
                games.extend((0..seeds).map(game));
            }
        }
    }
    let seen = play_all(&games);
    println!(
        "how, members, loss, one in ten slow | death known to the first and to all, s (middle) | false \
         deaths told a member and hour, seconds held | packets and bytes a second and member"
    );
    let played: Vec<_> = games.iter().zip(&seen).collect();
    for row in played.chunk_by(|(a, _), (b, _)| Game { seed: 0, ..**a } == Game { seed: 0, ..**b })
    {
        let Game { members: n, loss, slow, how, .. } = *row[0].0;
        let name = hows.iter().find(|(_, h)| *h == how).map_or("", |(name, _)| name);
        let seeds = row.len();
        let mean =
            |of: fn(&Seen) -> f64| row.iter().map(|(_, s)| of(s)).sum::<f64>() / seeds as f64;
        let mut first: Vec<i64> = row.iter().flat_map(|(_, s)| s.first.clone()).collect();
        let mut all: Vec<i64> = row.iter().flat_map(|(_, s)| s.all.clone()).collect();
        println!(
            "{name:10} {n:5} {loss:4} {slow:5} | {:>5} {:>5} ({} of {seeds}) | {:8.1} {:8.1} | {:6.1} \
             {:8.0}",
            middle(&mut first),
            middle(&mut all),
            all.len(),
            mean(|s| s.false_deaths),
            mean(|s| s.held),
            mean(|s| s.packets),
            mean(|s| s.bytes),
        );
    }
}
