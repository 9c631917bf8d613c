//! Runs thousands of seeded schedules in which balancers poll a discovery service, or each an agent of its own, through
//! silence, resets, outages, moves and late answers, while servers begin to drain. By the rules of the platform, each
//! drain counts as notified to each balancer at some time. By the end of the grace after that time the balancer must
//! have received the drain; otherwise a request could be forwarded to a server that is shutting down. A failure reports
//! its seed; `SEED=17 cargo test -p sableloom-discovery-schedule --test simulation` replays it.

mod plan;
mod simulator;

use std::collections::BTreeMap;

use oorandom::Rand64;
use sableloom_discovery_schedule::{PollTiming, ScheduleOptions};
use sableloom_types::Span;

use plan::{MS, Plan, S};
use simulator::{END, Simulator};

const SEEDS: u64 = 6000;
/// Events that must happen in at least one schedule.
const REQUIRED_EVENTS: [&str; 5] = ["silence", "poll silent", "reset", "poll rejected", "hedged"];

fn seeds() -> Vec<u64> {
    match std::env::var("SEED") {
        Ok(seed) => vec![seed.parse().expect("SEED is a number")],
        Err(_) => (0..SEEDS).collect(),
    }
}

/// The result of running all schedules.
struct Summary {
    /// The seeds of the schedules in which a drain was received too late, and by how many microseconds.
    late: Vec<(u64, i64)>,
    /// How often each event happened, in all schedules together.
    events: BTreeMap<&'static str, usize>,
}

/// Runs the schedules of all seeds with this timing.
fn run_all(timing: impl Fn(&ScheduleOptions) -> PollTiming) -> Summary {
    let mut summary = Summary { late: Vec::new(), events: BTreeMap::new() };
    for seed in seeds() {
        let plan = Plan::random(&mut Rand64::new(u128::from(seed)));
        let simulator = Simulator::new(plan, seed, &timing).run();
        for (event, count) in &simulator.events {
            *summary.events.entry(*event).or_default() += count;
        }
        let lateness = simulator.greatest_lateness();
        if lateness > 0 {
            summary.late.push((seed, lateness));
        }
    }
    summary
}

#[test]
fn each_drain_is_known_by_the_end_of_the_grace_after_its_notification() {
    let Summary { late, events } = run_all(PollTiming::new);
    let examples = &late[..late.len().min(10)];
    assert!(
        late.is_empty(),
        "late in {} of {SEEDS} schedules; seeds and us late: {examples:?}",
        late.len()
    );
    if seeds().len() > 1 {
        for event in REQUIRED_EVENTS {
            assert!(events.contains_key(event), "no {event} in all schedules: {events:?}");
        }
    }
}

/// Returns a timing without hedges and short waits, whose waits all end at once, with more slack and longer urgent
/// backoffs. With it, requests were forwarded to servers whose drain had been announced.
fn defective_timing(options: &ScheduleOptions) -> PollTiming {
    let timing = PollTiming::new(options);
    let slack = Span(1500 * MS);
    let backoff = Span(if options.local_agent { 250 * MS } else { S });
    let wait = Span(10 * S);
    PollTiming {
        wait,
        answer_slack: slack,
        short_wait: wait,
        max_backoff: backoff,
        max_urgent_backoff: backoff,
        hedge_delay: Span(END),
        // The waits of all balancers end at the same time.
        phase: 0.0,
        poll_timeout: slack,
        ..timing
    }
}

#[test]
fn the_same_schedules_detect_late_drains_with_the_defective_timing() {
    if seeds().len() > 1 {
        let late = run_all(defective_timing).late;
        assert!(late.len() > 100, "{}", late.len());
    }
}
