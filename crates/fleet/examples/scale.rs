//! What membership costs a member by the size of its fleet: datagrams and bytes a second, processor time, memory;
//! at rest, while one starts, and while a quarter starts at once. The state machines of a balancer on a
//! simulated network; the slopes by least squares.
//!
//! `cargo run --release -p sableloom-fleet --example scale -- [SIZES]`, by default `100 300 1000`. All members
//! know all others, so that memory grows with the square of the size. Of sizes above 3,000 only the memory is
//! measured: that a play takes grows with the square as well.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use sableloom_fleet::{FleetMember, MemberSettings, Output};
use sableloom_membership::{Change, ListedMember, MemberList, key_of};
use sableloom_simulated_network::{
    Network, Output as NetworkOutput, Process, SECOND, address_of, host_at,
};
use sableloom_types::Time;

/// How long a fleet at rest is watched.
const WATCHED: i64 = 10 * SECOND;
/// How long starts are watched: past the start wait.
const STARTS: i64 = 3 * SECOND;
/// The longest time in which all may come to know all; after that the program goes on.
const SETTLES_WITHIN: i64 = 600 * SECOND;
/// How often in a second a member's bytes are looked at.
const QUARTERS: usize = 4;
/// The largest fleet that is played.
const MAX_PLAYED: usize = 3000;
/// The size that figures are extrapolated to.
const EXTRAPOLATED_SIZE: f64 = 7600.0;

struct Member {
    core: FleetMember,
    time: Duration,
    events: u64,
    received: u64,
}

impl Member {
    fn call(
        &mut self,
        sent: &mut NetworkOutput<Change>,
        what: impl FnOnce(&mut FleetMember, &mut Output),
    ) {
        let mut out = Output::default();
        let begun = processor_time();
        what(&mut self.core, &mut out);
        self.time += processor_time().saturating_sub(begun);
        self.events += 1;
        sent.datagrams.extend(out.datagrams);
        sent.absence_queries.extend(out.absence_queries.into_iter().map(|(_, at)| at));
    }
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
        self.received += 1;
        self.call(sent, |core, out| core.receive(now, from, bytes, out));
    }

    fn proved_absent(
        &mut self,
        now: Time,
        at: SocketAddr,
        queried: Time,
        sent: &mut NetworkOutput<Change>,
    ) {
        let Some(i) = host_at(at) else { return };
        self.call(sent, |core, out| core.proved_absent(now, key_of(&name(i)), queried, out));
    }

    fn tick(&mut self, now: Time, sent: &mut NetworkOutput<Change>) {
        self.call(sent, |core, out| core.tick(now, out));
    }

    fn next_wakeup(&self) -> Time {
        self.core.next_wakeup()
    }
}

/// Of this thread; reading it takes some 0.2 us itself, which counts as the member's.
fn processor_time() -> Duration {
    Duration::try_from(clock_gettime(ClockId::ThreadCPUTime)).unwrap_or_default()
}

fn name(i: usize) -> String {
    format!("balancer-{i}")
}

fn start(network: &mut Network<Member>, i: usize, listed: &Arc<MemberList>) {
    network.start(i, |process_incarnation, seed, now| {
        let settings = MemberSettings {
            fleet_name: "points".to_string(),
            own_name: name(i),
            membership_timing: Default::default(),
            share_timing: Default::default(),
        };
        let core = FleetMember::new(&settings, process_incarnation, listed.clone(), seed, now);
        Member { core, time: Duration::ZERO, events: 0, received: 0 }
    });
    network.call(i, |member, now, sent| member.call(sent, |core, out| core.start(now, out)));
}

fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kb.unwrap_or(0.0) * 1024.0
}

/// What a member of this list takes for each that is on it, when it has heard of none yet.
fn bytes_a_member(listed: &Arc<MemberList>) -> f64 {
    let count = (4_000_000 / listed.members().len()).clamp(1, 1000);
    let settings = |i| MemberSettings {
        fleet_name: "points".to_string(),
        own_name: name(i),
        membership_timing: Default::default(),
        share_timing: Default::default(),
    };
    let before = resident_bytes();
    let members: Vec<FleetMember> = (0..count)
        .map(|i| FleetMember::new(&settings(i), 1, listed.clone(), i as u64, Time(0)))
        .collect();
    (resident_bytes() - before) / (members.len() * listed.members().len()) as f64
}

fn running(network: &Network<Member>) -> impl Iterator<Item = &Member> {
    network.hosts.iter().filter_map(|place| place.process.as_ref())
}

/// What a phase took, for each member and second.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    datagrams: f64,
    bytes: f64,
    /// In microseconds.
    processor: f64,
    events: f64,
    /// The most datagrams that any member got in any one second.
    most: u64,
    /// The most bytes that any member sent and got in any one second, with headers of UDP and IP.
    worst: u64,
}

fn watch(network: &mut Network<Member>, time: i64) -> Spent {
    let total = |network: &Network<Member>| {
        running(network).fold((0.0, 0), |(time, events), member| {
            (time + member.time.as_secs_f64() * 1e6, events + member.events)
        })
    };
    let received =
        |network: &Network<Member>| running(network).map(|m| m.received).collect::<Vec<_>>();
    let (before, sent, bytes, from) = (total(network), network.sent, network.bytes, network.now);
    let (mut most, mut worst) = (0, 0);
    while network.now < from + time {
        let counts = received(network);
        worst = worst.max(worst_second(network, 1));
        let gained = received(network).into_iter().zip(counts).map(|(now, before)| now - before);
        most = most.max(gained.max().unwrap_or(0));
    }
    let after = total(network);
    let each = running(network).count() as f64 * time as f64 / SECOND as f64;
    Spent {
        datagrams: (network.sent - sent) as f64 / each,
        bytes: (network.bytes - bytes) as f64 / each,
        processor: (after.0 - before.0) / each,
        events: (after.1 - before.1) as f64 / each,
        most,
        worst,
    }
}

/// The most bytes that any running member sends and gets in any second of the next so many, with headers; a
/// second begins each quarter of one.
fn worst_second(network: &mut Network<Member>, seconds: usize) -> u64 {
    let traffic = |network: &Network<Member>| -> Vec<u64> {
        let running = |place: &sableloom_simulated_network::Host<Member>| place.process.is_some();
        network.hosts.iter().map(|p| if running(p) { p.traffic } else { 0 }).collect()
    };
    let mut samples = vec![traffic(network)];
    for _ in 0..seconds * QUARTERS {
        let until = network.now + SECOND / QUARTERS as i64;
        network.run(until);
        samples.push(traffic(network));
    }
    let seconds = samples.iter().zip(samples.iter().skip(QUARTERS));
    let gained = seconds.flat_map(|(from, to)| to.iter().zip(from).map(|(to, from)| to - from));
    gained.max().unwrap_or(0)
}

/// Runs until all know all, and prints how long that took and what was sent meanwhile.
fn settle(network: &mut Network<Member>, n: usize) {
    let (from, bytes) = (network.now, network.bytes);
    let count = running(network).count();
    let mut worst = 0;
    while running(network).any(|member| member.core.membership().count_reachable() + 1 < count) {
        if network.now > from + SETTLES_WITHIN {
            return println!(
                "{n:6} {:24} not within {} s",
                "all know all",
                SETTLES_WITHIN / SECOND
            );
        }
        worst = worst.max(worst_second(network, 1));
    }
    let seconds = (network.now - from) as f64 / SECOND as f64;
    let each = (network.bytes - bytes) as f64 / seconds.max(1.0) / count as f64;
    println!(
        "{n:6} {:24} {seconds:8.1} s more, {each:.0} bytes/s a member, {worst} in the worst second with headers",
        "all know all after"
    );
}

/// Runs until no member has an update left to send.
fn calm(network: &mut Network<Member>) {
    let until = network.now + SETTLES_WITHIN;
    while network.now < until
        && running(network).any(|member| member.core.membership().queued_updates() > 0)
    {
        let next = network.now + SECOND;
        network.run(next);
    }
}

fn show(phase: &str, n: usize, spent: Spent) {
    let Spent { datagrams, bytes, processor, events, most, worst } = spent;
    let event = processor / events.max(1e-9);
    println!(
        "{n:6} {phase:24} {datagrams:8.1} {bytes:10.0} {processor:10.1} {event:8.2} {most:6} {worst:8}"
    );
}

/// The line through these points, and the root of the mean square of what it leaves.
fn least_squares(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let (sxy, sxx) = points.iter().fold((0.0, 0.0), |(sxy, sxx), p| {
        (sxy + (p.0 - x) * (p.1 - y), sxx + (p.0 - x) * (p.0 - x))
    });
    let slope = if sxx > 0.0 { sxy / sxx } else { 0.0 };
    let left = points.iter().map(|p| (p.1 - y - slope * (p.0 - x)).powi(2)).sum::<f64>();
    (y - slope * x, slope, (left / n).sqrt())
}

struct Figures {
    n: f64,
    rest: Spent,
    one: Spent,
    quarter: Spent,
    memory: f64,
}

/// What a line of figures is about, and which it is.
type Row = (&'static str, fn(&Figures) -> f64);

fn list(n: usize) -> Arc<MemberList> {
    MemberList::new((0..n).map(|i| ListedMember { name: name(i), address: address_of(i) }))
}

fn show_memory(n: usize) -> f64 {
    let memory = bytes_a_member(&list(n));
    println!("{n:6} {:24} {memory:8.0} bytes for each member of the list", "memory");
    memory
}

fn play(n: usize) -> Figures {
    let memory = show_memory(n);
    let listed = list(n);
    let mut network: Network<Member> = Network::new(n, 9, 0.01);
    (0..n).for_each(|i| start(&mut network, i, &listed));
    show("all start", n, watch(&mut network, STARTS));
    settle(&mut network, n);
    let mut network: Network<Member> = Network::new(n, 7, 0.01);
    let (quarter, begun) = (n / 4, Instant::now());
    (quarter..n).for_each(|i| start(&mut network, i, &listed));
    show("three quarters start", n, watch(&mut network, STARTS));
    settle(&mut network, n);
    show("just after a start", n, watch(&mut network, WATCHED));
    calm(&mut network);
    show("a quarter missing", n, watch(&mut network, WATCHED));
    start(&mut network, 0, &listed);
    let one = watch(&mut network, STARTS);
    show("one starts", n, one);
    settle(&mut network, n);
    calm(&mut network);
    (1..quarter).for_each(|i| start(&mut network, i, &listed));
    let many = watch(&mut network, STARTS);
    show("a quarter starts", n, many);
    settle(&mut network, n);
    calm(&mut network);
    let rest = watch(&mut network, WATCHED);
    show("at rest", n, rest);
    (0..quarter).for_each(|i| network.kill(i));
    show("a quarter dies", n, watch(&mut network, WATCHED));
    println!("{n:6} {:24} {:8.1} s of this machine", "played in", begun.elapsed().as_secs_f64());
    Figures { n: n as f64, rest, one, quarter: many, memory }
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![100, 300, 1000] } else { sizes };
    println!(
        "members, phase; then for each running member and second datagrams, bytes and processor time in us; \
         processor time of an event in us; the most datagrams that any member got in one second, and the most bytes that any sent and \
         got in one second, with headers"
    );
    let (played, large): (Vec<usize>, Vec<usize>) =
        sizes.into_iter().partition(|n| *n <= MAX_PLAYED);
    // First, as memory that a play has freed is used again.
    for n in large {
        show_memory(n);
    }
    let figures: Vec<Figures> = played.into_iter().map(play).collect();
    let rows: [Row; 8] = [
        ("at rest, datagrams/s", |f| f.rest.datagrams),
        ("at rest, bytes/s", |f| f.rest.bytes),
        ("at rest, processor us/s", |f| f.rest.processor),
        ("one starts, bytes/s", |f| f.one.bytes),
        ("a quarter starts, bytes/s", |f| f.quarter.bytes),
        ("a quarter starts, processor us/s", |f| f.quarter.processor),
        ("a quarter starts, most datagrams in a second", |f| f.quarter.most as f64),
        ("bytes a member of the list", |f| f.memory),
    ];
    if figures.is_empty() {
        return;
    }
    println!(
        "\nby least squares: what; at 0, slope for each 1,000 members, residual; at {EXTRAPOLATED_SIZE}"
    );
    for (what, of) in rows {
        let points: Vec<(f64, f64)> = figures.iter().map(|f| (f.n, of(f))).collect();
        let (at_0, slope, residual) = least_squares(&points);
        let at_size = at_0 + slope * EXTRAPOLATED_SIZE;
        println!("{what:46} {at_0:10.1} {:10.2} {residual:10.2} {at_size:10.1}", slope * 1e3);
    }
}
