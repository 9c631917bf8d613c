//! A simulation of control machines and balancers in thousands of random schedules, over links that delay, drop and cut
//! connections. The environment variable `SEED=n` runs the schedule of one seed, and `SCHEDULES=n` changes the number
//! of schedules.

mod sim;

use std::panic::{AssertUnwindSafe, catch_unwind};

use sableloom_distribution::{Change, Origin, Resource, ResourceName};
use sim::coverage::{Coverage, add_publisher_counters, add_subscriber_counters};
use sim::history::{Contents, service};
use sim::world::World;

/// One second in microseconds.
const SECOND: i64 = 1_000_000;
/// The default number of schedules; [`check_coverage`] is called for at least this number.
const SCHEDULES: u64 = 5_000;
/// The seconds after the end of the faults by which every balancer has to be current.
const RECOVERY_SECONDS: i64 = 45;
/// The seconds after a reset of its connection by which a balancer has to be current again.
const RESUME_SECONDS: i64 = 15;
/// The seconds after a change by which every balancer has to be current again.
const CHANGE_SECONDS: i64 = 6;
/// The number of threads that run schedules in parallel.
const THREADS: u64 = 4;

/// All reasons for which the schedules may close a connection, and all events that subscribers may report.
const OCCURRENCES: &[&str] = &[
    "control: consecutive transactions did not match the state of the subscriber",
    "control: does not acknowledge",
    "control: does not read what is sent",
    "control: malformed frame, undecodable",
    "control: malformed frame, too long",
    "control: refused",
    "control: silent",
    "control: the store was replaced, as another log has been read",
    "event: connected",
    "event: current",
    "event: disconnected",
    "event: diverged",
    "event: drift",
    "event: mismatch",
    "event: rejected",
    "event: saved state damaged",
    "event: unreachable",
    "subscriber: behind",
    "subscriber: diverged",
    "subscriber: malformed frame",
    "subscriber: silent",
];

/// Runs the schedule of one seed: a period with faults, a period without faults, and the checks of the final state.
fn run_schedule(seed: u64) -> Coverage {
    let mut world = World::new(seed);
    let fault_seconds = 5 + world.random_below(25) as i64;
    world.run_until(fault_seconds * SECOND);
    world.end_faults();
    let resume_from = (fault_seconds + RECOVERY_SECONDS) * SECOND;
    world.run_until(resume_from);
    check_agreement(&world);
    check_resume_sends_nothing(&mut world, resume_from);
    let change_from = resume_from + RESUME_SECONDS * SECOND;
    check_change_reaches_only_its_subscribers(&mut world, change_from);
    world.collect_counters();
    world.coverage
}

/// Checks that after a period without faults, each balancer has applied exactly the contents of the operators' log,
/// except for services of which it has rejected a version.
fn check_agreement(world: &World) {
    let head_history = &world.histories[world.head_history];
    for (index, balancer) in world.balancers.iter().enumerate() {
        assert!(
            world.is_current(index),
            "balancer {index} is not current: {}",
            world.describe(index)
        );
        let subscriber = balancer.subscriber.as_ref().expect("a running subscriber");
        let rejected = subscriber.status(sableloom_types::Time(world.now)).rejected;
        assert!(
            balancer.applier.validates || rejected.is_empty(),
            "balancer {index} has rejected {rejected:?} although it validates nothing"
        );
        for service in balancer.scope.iter().filter(|service| !rejected.contains(service)) {
            let empty = (0, Contents::new());
            let (version, contents) = head_history.current.get(service).unwrap_or(&empty);
            let applied = balancer.applier.services.get(service);
            let found =
                applied.map_or((0, &empty.1), |applied| (applied.version, &applied.contents));
            assert_eq!(found, (*version, contents), "balancer {index}, {service}");
            assert!(
                subscriber.resources(service).eq(contents.values()),
                "the resources of {service} at balancer {index} differ from the log"
            );
        }
    }
}

/// Checks that balancers that have the latest versions receive no transaction when they reconnect.
fn check_resume_sends_nothing(world: &mut World, from: i64) {
    let before: Vec<u64> =
        world.balancers.iter().map(|balancer| balancer.begun_transactions).collect();
    for index in 0..world.balancers.len() {
        world.reset_connection(index);
    }
    world.run_until(from + RESUME_SECONDS * SECOND);
    for (index, balancer) in world.balancers.iter().enumerate() {
        assert!(world.is_current(index), "balancer {index} is not current after a reset");
        assert_eq!(
            balancer.begun_transactions, before[index],
            "balancer {index} was sent versions that it had applied"
        );
    }
}

/// Checks that a change of one service leads to transactions only for the balancers that subscribe to it.
fn check_change_reaches_only_its_subscribers(world: &mut World, from: i64) {
    let changed = service(0);
    let head_history = &mut world.histories[world.head_history];
    let name = ResourceName::server(changed.clone(), "new");
    let origin = Origin { file: "last.toml".into(), line: 1 };
    head_history.push(vec![Change::Set(Resource {
        name,
        version: head_history.number() + 1,
        origin,
        body: vec![1].into(),
    })]);
    let before: Vec<u64> =
        world.balancers.iter().map(|balancer| balancer.begun_transactions).collect();
    world.run_until(from + CHANGE_SECONDS * SECOND);
    for (index, balancer) in world.balancers.iter().enumerate() {
        assert!(world.is_current(index), "balancer {index} is not current after a change");
        let begun = balancer.begun_transactions - before[index];
        // Services that the balancer has rejected may be sent again with the change, in at most one transaction per
        // service of its scope.
        let max_transactions =
            if balancer.applier.validates { balancer.scope.len() as u64 } else { 1 };
        let is_subscribed = balancer.scope.contains(&changed);
        let expected = if is_subscribed { 1..=max_transactions } else { 0..=0 };
        assert!(
            expected.contains(&begun),
            "{begun} transactions were begun for balancer {index}; expected {expected:?}"
        );
    }
}

/// Runs the schedules of the seeds from `from` to `to`, without `to`, and returns the sum of their coverage.
fn run_schedules(from: u64, to: u64) -> Coverage {
    let mut total = Coverage::default();
    for seed in from..to {
        let result = catch_unwind(AssertUnwindSafe(|| run_schedule(seed)));
        let Ok(coverage) = result else {
            panic!("the schedule of seed {seed} failed; SEED={seed} runs it alone");
        };
        add_publisher_counters(&mut total.publisher, coverage.publisher);
        add_subscriber_counters(&mut total.subscriber, coverage.subscriber);
        for (reason, count) in coverage.occurrences {
            *total.occurrences.entry(reason).or_default() += count;
        }
        total.events += coverage.events;
    }
    total
}

/// Returns the number in an environment variable, or `None` if the variable is not set or not a number.
fn env_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn random_schedules_converge_and_exercise_every_recovery() {
    if let Some(seed) = env_number("SEED") {
        println!("{:?}", run_schedule(seed));
        return;
    }
    let schedules = env_number("SCHEDULES").unwrap_or(SCHEDULES);
    let per_thread = schedules.div_ceil(THREADS);
    let mut total = Coverage::default();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                scope.spawn(move || run_schedules(thread * per_thread, (thread + 1) * per_thread))
            })
            .collect();
        for thread in threads {
            let coverage = thread.join().expect("every schedule passes");
            add_publisher_counters(&mut total.publisher, coverage.publisher);
            add_subscriber_counters(&mut total.subscriber, coverage.subscriber);
            for (reason, count) in coverage.occurrences {
                *total.occurrences.entry(reason).or_default() += count;
            }
            total.events += coverage.events;
        }
    });
    println!("{total:#?}");
    // Any other reason means that one side has violated the protocol.
    let unexpected: Vec<_> =
        total.occurrences.keys().filter(|reason| !OCCURRENCES.contains(&reason.as_str())).collect();
    assert!(unexpected.is_empty(), "unexpected reasons or events: {unexpected:?}");
    if schedules >= SCHEDULES {
        check_coverage(&total);
    }
}

/// Checks that the schedules have exercised each mechanism: one that never comes into effect would not be tested.
fn check_coverage(total: &Coverage) {
    let exercised = [
        ("transactions", total.publisher.transactions),
        ("snapshots", total.publisher.snapshots),
        ("deltas", total.publisher.transactions - total.publisher.snapshots),
        ("groups split by size", total.publisher.split_groups),
        ("changes merged into an open transaction", total.publisher.merged_changes),
        ("transactions rejected for their content", total.subscriber.rejected),
        ("transactions with a wrong base or digest", total.subscriber.mismatches),
        ("drift", total.subscriber.drifts),
    ];
    for (name, count) in exercised {
        assert!(count >= 100, "{name}: {count} in all schedules, expected at least 100");
    }
    for reason in OCCURRENCES {
        let count = total.occurrences.get(*reason).copied().unwrap_or(0);
        assert!(count >= 1, "{reason}: did not occur in any schedule");
    }
}
