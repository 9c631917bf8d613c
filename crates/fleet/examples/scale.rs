//! Measures what membership costs each member by the size of the fleet: datagrams and bytes a second, processor time
//! and memory. The costs are measured at rest, while one member starts, and while a quarter of the members start at
//! once. The state machines of all members run in this process on a simulated network. The slopes are fitted by least
//! squares.
//!
//! Run it with `cargo run --release -p sableloom-fleet --example scale -- [SIZES]`. The default sizes are
//! `100 300 1000`. Each member keeps the state of all others, so that the memory of a simulation grows with the square
//! of the size. For sizes above 3,000, no fleet is simulated, and only the memory for each member of the list is
//! measured.

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

/// How long a fleet is measured while no member starts, in microseconds.
const REST_MEASURED_US: i64 = 10 * SECOND;
/// How long a fleet is measured while members start, in microseconds. It is longer than the start wait.
const START_MEASURED_US: i64 = 3 * SECOND;
/// The maximum time until all running members reach each other, in microseconds. After that the program continues.
const MAX_SETTLING_TIME_US: i64 = 600 * SECOND;
/// How many times a second the bytes of each member are read.
const SAMPLES_PER_SECOND: usize = 4;
/// The size of the largest fleet that is simulated. The memory of a simulation grows with the square of the size.
const MAX_SIMULATED_SIZE: usize = 3000;
/// The size to which the measurements are extrapolated.
const EXTRAPOLATED_SIZE: f64 = 7600.0;

/// A member and what it has used since it started.
struct Member {
    fleet_member: FleetMember,
    processor_time: Duration,
    /// The number of events that were passed to the member.
    events: u64,
    received_datagrams: u64,
}

impl Member {
    fn call(
        &mut self,
        network_output: &mut NetworkOutput<Change>,
        event: impl FnOnce(&mut FleetMember, &mut Output),
    ) {
        let mut output = Output::default();
        let started = processor_time();
        event(&mut self.fleet_member, &mut output);
        self.processor_time += processor_time().saturating_sub(started);
        self.events += 1;
        network_output.datagrams.extend(output.datagrams);
        network_output
            .absence_queries
            .extend(output.absence_queries.into_iter().map(|(_, address)| address));
    }
}

impl Process for Member {
    type Change = Change;

    fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        network_output: &mut NetworkOutput<Change>,
    ) {
        self.received_datagrams += 1;
        self.call(network_output, |fleet_member, output| {
            fleet_member.receive(now, from, bytes, output)
        });
    }

    fn proved_absent(
        &mut self,
        now: Time,
        address: SocketAddr,
        queried_at: Time,
        network_output: &mut NetworkOutput<Change>,
    ) {
        let Some(i) = host_at(address) else { return };
        self.call(network_output, |fleet_member, output| {
            fleet_member.proved_absent(now, key_of(&name(i)), queried_at, output)
        });
    }

    fn tick(&mut self, now: Time, network_output: &mut NetworkOutput<Change>) {
        self.call(network_output, |fleet_member, output| fleet_member.tick(now, output));
    }

    fn next_wakeup(&self) -> Time {
        self.fleet_member.next_wakeup()
    }
}

/// Returns the processor time of this thread. Reading it takes about 0.2 us, which is counted as the member's.
fn processor_time() -> Duration {
    Duration::try_from(clock_gettime(ClockId::ThreadCPUTime)).unwrap_or_default()
}

fn name(i: usize) -> String {
    format!("balancer-{i}")
}

fn start(network: &mut Network<Member>, i: usize, member_list: &Arc<MemberList>) {
    network.start(i, |process_incarnation, seed, now| {
        let settings = MemberSettings {
            fleet_name: "points".to_string(),
            own_name: name(i),
            membership_timing: Default::default(),
            share_timing: Default::default(),
        };
        let fleet_member =
            FleetMember::new(&settings, process_incarnation, member_list.clone(), seed, now);
        Member { fleet_member, processor_time: Duration::ZERO, events: 0, received_datagrams: 0 }
    });
    network.call(i, |member, now, network_output| {
        member.call(network_output, |fleet_member, output| fleet_member.start(now, output))
    });
}

fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kb.unwrap_or(0.0) * 1024.0
}

/// Returns the bytes of memory that a new member, which has received no message yet, takes for each member of its list.
fn bytes_per_listed_member(member_list: &Arc<MemberList>) -> f64 {
    let count = (4_000_000 / member_list.members().len()).clamp(1, 1000);
    let settings = |i| MemberSettings {
        fleet_name: "points".to_string(),
        own_name: name(i),
        membership_timing: Default::default(),
        share_timing: Default::default(),
    };
    let before = resident_bytes();
    let members: Vec<FleetMember> = (0..count)
        .map(|i| FleetMember::new(&settings(i), 1, member_list.clone(), i as u64, Time(0)))
        .collect();
    (resident_bytes() - before) / (members.len() * member_list.members().len()) as f64
}

fn running_members(network: &Network<Member>) -> impl Iterator<Item = &Member> {
    network.hosts.iter().filter_map(|host| host.process.as_ref())
}

/// The cost of a phase. Averages are for each running member and second.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    datagrams: f64,
    bytes: f64,
    /// The processor time in microseconds.
    processor_us: f64,
    events: f64,
    /// The maximum number of datagrams that any member received in any second.
    max_datagrams_per_second: u64,
    /// The maximum number of bytes that any member sent and received in any second, with the headers of UDP and IP.
    max_bytes_per_second: u64,
}

/// Runs for a time in microseconds and returns the cost.
fn measure(network: &mut Network<Member>, duration_us: i64) -> Cost {
    let total = |network: &Network<Member>| {
        running_members(network).fold((0.0, 0), |(processor_time, events), member| {
            (processor_time + member.processor_time.as_secs_f64() * 1e6, events + member.events)
        })
    };
    let received_datagrams = |network: &Network<Member>| {
        running_members(network).map(|m| m.received_datagrams).collect::<Vec<_>>()
    };
    let (before, sent, bytes, from) = (total(network), network.sent, network.bytes, network.now);
    let (mut max_datagrams_per_second, mut max_bytes_per_second) = (0, 0);
    while network.now < from + duration_us {
        let received_before = received_datagrams(network);
        max_bytes_per_second = max_bytes_per_second.max(max_bytes_in_a_second(network, 1));
        let gained = received_datagrams(network)
            .into_iter()
            .zip(received_before)
            .map(|(now, before)| now - before);
        max_datagrams_per_second = max_datagrams_per_second.max(gained.max().unwrap_or(0));
    }
    let after = total(network);
    let member_seconds =
        running_members(network).count() as f64 * duration_us as f64 / SECOND as f64;
    Cost {
        datagrams: (network.sent - sent) as f64 / member_seconds,
        bytes: (network.bytes - bytes) as f64 / member_seconds,
        processor_us: (after.0 - before.0) / member_seconds,
        events: (after.1 - before.1) as f64 / member_seconds,
        max_datagrams_per_second,
        max_bytes_per_second,
    }
}

/// Runs for a number of seconds, and returns the maximum number of bytes that any running member sent and received in
/// any second of that time, with headers. A second begins with each sample, four times a second.
fn max_bytes_in_a_second(network: &mut Network<Member>, seconds: usize) -> u64 {
    let traffic = |network: &Network<Member>| -> Vec<u64> {
        let is_running = |host: &sableloom_simulated_network::Host<Member>| host.process.is_some();
        network.hosts.iter().map(|host| if is_running(host) { host.traffic } else { 0 }).collect()
    };
    let mut samples = vec![traffic(network)];
    for _ in 0..seconds * SAMPLES_PER_SECOND {
        let until = network.now + SECOND / SAMPLES_PER_SECOND as i64;
        network.run(until);
        samples.push(traffic(network));
    }
    let seconds = samples.iter().zip(samples.iter().skip(SAMPLES_PER_SECOND));
    let gained = seconds.flat_map(|(from, to)| to.iter().zip(from).map(|(to, from)| to - from));
    gained.max().unwrap_or(0)
}

/// Runs until all running members reach each other, and prints how long that took and how many bytes were sent
/// meanwhile.
fn run_until_settled(network: &mut Network<Member>, n: usize) {
    let (from, bytes) = (network.now, network.bytes);
    let count = running_members(network).count();
    let mut max_bytes_per_second = 0;
    while running_members(network)
        .any(|member| member.fleet_member.membership().count_reachable() + 1 < count)
    {
        if network.now > from + MAX_SETTLING_TIME_US {
            return println!(
                "{n:6} {:24} not within {} s",
                "converged",
                MAX_SETTLING_TIME_US / SECOND
            );
        }
        max_bytes_per_second = max_bytes_per_second.max(max_bytes_in_a_second(network, 1));
    }
    let seconds = (network.now - from) as f64 / SECOND as f64;
    let bytes_per_second = (network.bytes - bytes) as f64 / seconds.max(1.0) / count as f64;
    println!(
        "{n:6} {:24} {seconds:8.1} s more, {bytes_per_second:.0} bytes/s a member, {max_bytes_per_second} \
         bytes at most in a second with headers",
        "converged after"
    );
}

/// Runs until no member has an update left to send.
fn run_until_no_updates(network: &mut Network<Member>) {
    let until = network.now + MAX_SETTLING_TIME_US;
    while network.now < until
        && running_members(network)
            .any(|member| member.fleet_member.membership().queued_updates() > 0)
    {
        let next = network.now + SECOND;
        network.run(next);
    }
}

fn print_cost(phase: &str, n: usize, cost: Cost) {
    let Cost {
        datagrams,
        bytes,
        processor_us,
        events,
        max_datagrams_per_second,
        max_bytes_per_second,
    } = cost;
    let us_per_event = processor_us / events.max(1e-9);
    println!(
        "{n:6} {phase:24} {datagrams:8.1} {bytes:10.0} {processor_us:10.1} {us_per_event:8.2} \
         {max_datagrams_per_second:6} {max_bytes_per_second:8}"
    );
}

/// Fits a line through the points. Returns its value at 0, its slope and the root mean square of the residuals.
fn least_squares(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let (sxy, sxx) = points.iter().fold((0.0, 0.0), |(sxy, sxx), p| {
        (sxy + (p.0 - x) * (p.1 - y), sxx + (p.0 - x) * (p.0 - x))
    });
    let slope = if sxx > 0.0 { sxy / sxx } else { 0.0 };
    let squared_residuals =
        points.iter().map(|p| (p.1 - y - slope * (p.0 - x)).powi(2)).sum::<f64>();
    (y - slope * x, slope, (squared_residuals / n).sqrt())
}

/// The measurements of a fleet of one size.
struct Measurement {
    size: f64,
    at_rest: Cost,
    one_starts: Cost,
    quarter_starts: Cost,
    memory_bytes_per_member: f64,
}

/// A row of the table: its label, and the value that it shows.
type Row = (&'static str, fn(&Measurement) -> f64);

fn member_list(n: usize) -> Arc<MemberList> {
    MemberList::new((0..n).map(|i| ListedMember { name: name(i), address: address_of(i) }))
}

fn measure_memory(n: usize) -> f64 {
    let memory_bytes_per_member = bytes_per_listed_member(&member_list(n));
    println!(
        "{n:6} {:24} {memory_bytes_per_member:8.0} bytes for each member of the list",
        "memory"
    );
    memory_bytes_per_member
}

fn simulate(n: usize) -> Measurement {
    let memory_bytes_per_member = measure_memory(n);
    let member_list = member_list(n);
    let mut network: Network<Member> = Network::new(n, 9, 0.01);
    (0..n).for_each(|i| start(&mut network, i, &member_list));
    print_cost("all start", n, measure(&mut network, START_MEASURED_US));
    run_until_settled(&mut network, n);
    let mut network: Network<Member> = Network::new(n, 7, 0.01);
    let (quarter, started) = (n / 4, Instant::now());
    (quarter..n).for_each(|i| start(&mut network, i, &member_list));
    print_cost("three quarters start", n, measure(&mut network, START_MEASURED_US));
    run_until_settled(&mut network, n);
    print_cost("just after a start", n, measure(&mut network, REST_MEASURED_US));
    run_until_no_updates(&mut network);
    print_cost("a quarter missing", n, measure(&mut network, REST_MEASURED_US));
    start(&mut network, 0, &member_list);
    let one_starts = measure(&mut network, START_MEASURED_US);
    print_cost("one starts", n, one_starts);
    run_until_settled(&mut network, n);
    run_until_no_updates(&mut network);
    (1..quarter).for_each(|i| start(&mut network, i, &member_list));
    let quarter_starts = measure(&mut network, START_MEASURED_US);
    print_cost("a quarter starts", n, quarter_starts);
    run_until_settled(&mut network, n);
    run_until_no_updates(&mut network);
    let at_rest = measure(&mut network, REST_MEASURED_US);
    print_cost("at rest", n, at_rest);
    (0..quarter).for_each(|i| network.kill(i));
    print_cost("a quarter dies", n, measure(&mut network, REST_MEASURED_US));
    println!("{n:6} {:24} {:8.1} s of real time", "simulated in", started.elapsed().as_secs_f64());
    Measurement { size: n as f64, at_rest, one_starts, quarter_starts, memory_bytes_per_member }
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![100, 300, 1000] } else { sizes };
    println!(
        "size, phase; for each running member and second: datagrams, bytes and processor time in us; \
         processor time of an event in us; the maximum of datagrams that any member received in a second; \
         the maximum of bytes that any member sent and received in a second, with headers"
    );
    let (simulated_sizes, memory_only_sizes): (Vec<usize>, Vec<usize>) =
        sizes.into_iter().partition(|n| *n <= MAX_SIMULATED_SIZE);
    // The sizes of which only the memory is measured come first, because memory that a simulation has freed is reused
    // and would not be measured.
    for n in memory_only_sizes {
        measure_memory(n);
    }
    let measurements: Vec<Measurement> = simulated_sizes.into_iter().map(simulate).collect();
    let rows: [Row; 8] = [
        ("at rest, datagrams/s", |m| m.at_rest.datagrams),
        ("at rest, bytes/s", |m| m.at_rest.bytes),
        ("at rest, processor us/s", |m| m.at_rest.processor_us),
        ("one starts, bytes/s", |m| m.one_starts.bytes),
        ("a quarter starts, bytes/s", |m| m.quarter_starts.bytes),
        ("a quarter starts, processor us/s", |m| m.quarter_starts.processor_us),
        ("a quarter starts, max datagrams in a second", |m| {
            m.quarter_starts.max_datagrams_per_second as f64
        }),
        ("bytes for each member of the list", |m| m.memory_bytes_per_member),
    ];
    if measurements.is_empty() {
        return;
    }
    println!(
        "\nleast squares: value; at size 0, slope for each 1,000 members, residual; at size {EXTRAPOLATED_SIZE}"
    );
    for (label, value) in rows {
        let points: Vec<(f64, f64)> = measurements.iter().map(|m| (m.size, value(m))).collect();
        let (at_0, slope, residual) = least_squares(&points);
        let at_size = at_0 + slope * EXTRAPOLATED_SIZE;
        println!("{label:46} {at_0:10.1} {:10.2} {residual:10.2} {at_size:10.1}", slope * 1e3);
    }
}
