//! Requests through real balancers, and as many past them to the same servers; what the balancers add.

use std::time::{Duration, Instant};

use crate::real::{RealBalancers, RealServers};
use crate::traffic::{Outcome, Traffic, WayOutcome};
use crate::usage::{Machine, Shortage, Usage, seconds};

/// Requests that leave later than this for one in a hundred meet each other, and not the balancer.
const LATE: Duration = Duration::from_millis(10);

/// Takes a row of a report: what, its value, and why it does not count.
pub type AddRow<'a> = dyn FnMut(&str, f64, Option<&str>) + 'a;

/// Requests that are being made, and what was used before.
#[derive(Debug)]
pub struct RequestRun {
    traffic: Traffic,
    begun: Instant,
    used: Usage,
    machine: Machine,
}

impl RequestRun {
    /// Starts requests through each of the balancers, and as many directly.
    ///
    /// # Errors
    ///
    /// If the traffic can't be started.
    pub fn start(real: &RealBalancers, servers: &RealServers, seed: u64) -> std::io::Result<Self> {
        let mut streams = real.through();
        streams.extend((0..real.count()).map(|_| servers.direct()));
        let (used, machine) = (real.usage(), Machine::now());
        Ok(Self { traffic: Traffic::start(streams, seed)?, begun: Instant::now(), used, machine })
    }

    /// Stops them, and adds what came of them; false if their thread has failed.
    pub fn end(self, real: &RealBalancers, add: &mut AddRow<'_>) -> bool {
        let used = real.usage().since(self.used);
        let time = seconds(self.begun.elapsed());
        let busy = Machine::now().busy_since(self.machine);
        let Some(outcome) = self.traffic.stop() else { return false };
        let late = Duration::from_micros(outcome.late.value_at_quantile(0.99));
        let void = Shortage { late, busy }.beyond(LATE);
        let void = void.as_deref();
        add_latencies(&outcome, void, add);
        let count = real.count().max(1) as f64;
        let answered = outcome.through.times.len() as f64 / time / count;
        add("requests/s answered through a balancer", answered, void);
        add_failures("through", &outcome.through, add);
        add_failures("directly", &outcome.direct, add);
        add("real balancer, % of a core", used.processor_us as f64 / 1e4 / time / count, void);
        add("real balancer, resident kB", used.resident_kb as f64 / count, None);
        add("real balancer, threads", real.most_threads() as f64, None);
        true
    }
}

fn add_latencies(outcome: &Outcome, void: Option<&str>, add: &mut AddRow<'_>) {
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (through, direct) = (outcome.through.at_ms(quantile), outcome.direct.at_ms(quantile));
        add(&format!("requests, ms through a balancer, {name}"), through, void);
        add(&format!("requests, ms directly, {name}"), direct, void);
        add(&format!("requests, ms added, {name}"), outcome.added_ms(quantile), void);
    }
}

/// The failures of one way in all, and of each reason that was met.
fn add_failures(way: &str, outcome: &WayOutcome, add: &mut AddRow<'_>) {
    add(&format!("requests failed, {way}"), outcome.failed() as f64, None);
    for (failure, count) in &outcome.failures {
        add(&format!("requests failed, {way}: {failure}"), *count as f64, None);
    }
}
