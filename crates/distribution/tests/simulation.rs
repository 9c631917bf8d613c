//! Thousands of seeded schedules of control machines and balancers over links that delay, drop and cut connections.
//! `SEED=n` plays one schedule, `SCHEDULES=n` that number of them.

mod sim;

use std::panic::{AssertUnwindSafe, catch_unwind};

use sableloom_distribution::{Change, Origin, Resource, ResourceName};
use sim::coverage::{Coverage, add_publisher, add_subscriber};
use sim::history::{Contents, service};
use sim::world::World;

const SECOND: i64 = 1_000_000;
const SCHEDULES: u64 = 5_000;
const THREADS: u64 = 4;

/// All reasons for which a connection is closed in the schedules, and all events of subscribers.
const REASONS: &[&str] = &[
    "control: another history has been read",
    "control: does not acknowledge",
    "control: does not read what is sent",
    "control: garbage, no message",
    "control: garbage, too long",
    "control: refused",
    "control: silent",
    "control: what it has does not fit what is sent, again and again",
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
    "subscriber: garbage",
    "subscriber: silent",
];

fn play(seed: u64) -> Coverage {
    let mut world = World::new(seed);
    let chaos = 5 + world.below(25) as i64;
    world.run_until(chaos * SECOND);
    world.heal();
    world.run_until((chaos + 45) * SECOND);
    check_agreement(&world);
    let then = (chaos + 45) * SECOND;
    check_resume_costs_nothing(&mut world, then);
    check_change_costs_others_nothing(&mut world, then + 15 * SECOND);
    world.finish();
    world.coverage
}

/// After a time without faults each balancer has exactly what the operators' files say, but for what it rejects.
fn check_agreement(world: &World) {
    let head_log = &world.histories[world.head_log];
    for (index, balancer) in world.balancers.iter().enumerate() {
        assert!(
            world.is_current(index),
            "balancer {index} is not current: {}",
            world.describe(index)
        );
        let subscriber = balancer.subscriber.as_ref().expect("a subscriber");
        let rejected = subscriber.status(sableloom_types::Time(world.now)).rejected;
        assert!(
            balancer.applier.validates || rejected.is_empty(),
            "balancer {index} has refused something"
        );
        for service in balancer.scope.iter().filter(|service| !rejected.contains(service)) {
            let empty = (0, Contents::new());
            let (version, contents) = head_log.now.get(service).unwrap_or(&empty);
            let applied = balancer.applier.services.get(service);
            let has = applied.map_or((0, &empty.1), |applied| (applied.version, &applied.contents));
            assert_eq!(has, (*version, contents), "balancer {index}, {service}");
            assert!(
                subscriber.resources(service).eq(contents.values()),
                "balancer {index} has drifted in {service}"
            );
        }
    }
}

fn check_resume_costs_nothing(world: &mut World, from: i64) {
    let before: Vec<u64> = world.balancers.iter().map(|balancer| balancer.begun).collect();
    for index in 0..world.balancers.len() {
        world.reset_connection(index);
    }
    world.run_until(from + 15 * SECOND);
    for (index, balancer) in world.balancers.iter().enumerate() {
        assert!(world.is_current(index), "balancer {index} is not current after a reset");
        assert_eq!(balancer.begun, before[index], "balancer {index} was sent what it has");
    }
}

fn check_change_costs_others_nothing(world: &mut World, from: i64) {
    let changed = service(0);
    let head_log = &mut world.histories[world.head_log];
    let name = ResourceName::server(changed.clone(), "new");
    let origin = Origin { file: "last.toml".into(), line: 1 };
    head_log.push(vec![Change::Set(Resource {
        name,
        version: head_log.number() + 1,
        origin,
        body: vec![1].into(),
    })]);
    let before: Vec<u64> = world.balancers.iter().map(|balancer| balancer.begun).collect();
    world.run_until(from + 6 * SECOND);
    for (index, balancer) in world.balancers.iter().enumerate() {
        assert!(world.is_current(index), "balancer {index} is not current after a change");
        let begun = balancer.begun - before[index];
        // What was rejected before may be sent again with the change, in as many transactions as it has services.
        let most = if balancer.applier.validates { balancer.scope.len() as u64 } else { 1 };
        let concerned = balancer.scope.contains(&changed);
        let expected = if concerned { 1..=most } else { 0..=0 };
        assert!(expected.contains(&begun), "{begun} transactions for balancer {index}");
    }
}

fn play_range(from: u64, to: u64) -> Coverage {
    let mut total = Coverage::default();
    for seed in from..to {
        let played = catch_unwind(AssertUnwindSafe(|| play(seed)));
        let Ok(coverage) = played else {
            panic!("schedule of seed {seed} failed; SEED={seed} plays it alone");
        };
        add_publisher(&mut total.publisher, coverage.publisher);
        add_subscriber(&mut total.subscriber, coverage.subscriber);
        for (reason, count) in coverage.reasons {
            *total.reasons.entry(reason).or_default() += count;
        }
        total.events += coverage.events;
    }
    total
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn schedules() {
    if let Some(seed) = number("SEED") {
        println!("{:?}", play(seed));
        return;
    }
    let schedules = number("SCHEDULES").unwrap_or(SCHEDULES);
    let per_thread = schedules.div_ceil(THREADS);
    let mut total = Coverage::default();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                scope.spawn(move || play_range(thread * per_thread, (thread + 1) * per_thread))
            })
            .collect();
        for thread in threads {
            let coverage = thread.join().expect("all schedules");
            add_publisher(&mut total.publisher, coverage.publisher);
            add_subscriber(&mut total.subscriber, coverage.subscriber);
            for (reason, count) in coverage.reasons {
                *total.reasons.entry(reason).or_default() += count;
            }
            total.events += coverage.events;
        }
    });
    println!("{total:#?}");
    // Any other reason would mean that one side violates the protocol.
    let unknown: Vec<_> =
        total.reasons.keys().filter(|reason| !REASONS.contains(&reason.as_str())).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
    if schedules >= SCHEDULES {
        check_coverage(&total);
    }
}

/// A defence that no schedule has exercised would not have been tested.
fn check_coverage(total: &Coverage) {
    let met = [
        ("transactions", total.publisher.transactions),
        ("snapshots", total.publisher.snapshots),
        ("deltas", total.publisher.transactions - total.publisher.snapshots),
        ("groups split by size", total.publisher.split_groups),
        ("changes taken into an open transaction", total.publisher.merged_changes),
        ("refusals for content", total.subscriber.rejected),
        ("wrong digests", total.subscriber.mismatches),
        ("drift", total.subscriber.drifts),
    ];
    for (what, count) in met {
        assert!(count >= 100, "{what}: {count} in all schedules");
    }
    for reason in REASONS {
        let count = total.reasons.get(*reason).copied().unwrap_or(0);
        assert!(count >= 1, "{reason}: never in all schedules");
    }
}
