//! The hard cases in CI: small fleets by the hundred, and one of the true size. What is asserted has
//! wide bounds; a failure names the case and the seed, and
//! `cargo run --release -p sableloom-fleet-sim --example cases -- --case NAME --seed N --seeds 1` replays
//! it at any size.

use sableloom_fleet_sim::{Case, Chooser, Tally, World, cases};

const SEEDS: u64 = 204;

/// Plays each case with its part of the seeds on all cores.
fn play_all(balancers: usize, servers: usize, chooser: Chooser) -> Vec<(Case, u64, Tally)> {
    let cases = cases(balancers, servers);
    let plays: Vec<(Case, u64)> =
        (0..SEEDS).map(|seed| (cases[seed as usize % cases.len()].clone(), seed)).collect();
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    let part = plays.len().div_ceil(threads);
    std::thread::scope(|scope| {
        let running: Vec<_> = plays
            .chunks(part)
            .map(|plays| {
                scope.spawn(move || {
                    let play = |(case, seed): &(Case, u64)| {
                        (case.clone(), *seed, World::play(case, chooser, *seed))
                    };
                    plays.iter().map(play).collect::<Vec<_>>()
                })
            })
            .collect();
        running.into_iter().flat_map(|r| r.join().expect("a play ends")).collect()
    })
}

fn mean(plays: &[(Case, u64, Tally)], name: &str) -> f64 {
    let of: Vec<_> = plays.iter().filter(|p| p.0.name == name).collect();
    assert!(!of.is_empty(), "no play of {name}");
    of.iter().map(|p| p.2.served()).sum::<f64>() / of.len() as f64
}

#[test]
fn the_rules_hold_and_a_fleet_serves_what_it_can_in_every_hard_case() {
    let ours = play_all(12, 9, Chooser::Sableloom);
    let random = play_all(12, 9, Chooser::Random);
    let omniscient = play_all(12, 9, Chooser::Omniscient);
    for (case, seed, tally) in &ours {
        let what = format!("case {}, seed {seed}", case.name);
        assert!(tally.broken.is_empty(), "{what}: {:?}", tally.broken);
        assert!(tally.requests > 500, "{what}: {} requests", tally.requests);
        // Whoever has not heard that a server is new can't spare it.
        if case.late_ms <= 1000 {
            assert!(tally.pushed < 1.0, "{what}: {:.2} of what a cold server bears", tally.pushed);
        }
    }
    for case in cases(12, 9) {
        let (ours, random, omniscient) =
            (mean(&ours, case.name), mean(&random, case.name), mean(&omniscient, case.name));
        let what =
            format!("{}: {ours:.3}, random {random:.3}, omniscient {omniscient:.3}", case.name);
        assert!(ours > random, "{what}");
        assert!(ours > 0.7 * omniscient, "{what}");
    }
}

#[test]
fn a_seed_replays_to_the_same_count() {
    let case = &cases(12, 9)[10];
    let play = |seed| {
        let tally = World::play(case, Chooser::Sableloom, seed);
        (tally.requests, tally.rejected, tally.failed, tally.attempts, tally.served().to_bits())
    };
    assert_eq!(play(5), play(5));
    assert_ne!(play(5), play(6));
}

/// The true ratio of balancers to servers, and about one answer of a server for each balancer.
#[test]
fn a_fleet_of_hundreds_that_hardly_meet_a_server_serves_by_kind() {
    let mut case = cases(150, 85).swap_remove(0);
    case.seconds = 4;
    let ours = World::play(&case, Chooser::Sableloom, 1);
    let omniscient = World::play(&case, Chooser::Omniscient, 1);
    assert!(ours.broken.is_empty(), "{:?}", ours.broken);
    // 0.56 of it while each balancer took every server for equal.
    let (ours, omniscient) = (ours.served(), omniscient.served());
    assert!(ours > 0.75 * omniscient, "served {ours:.3}, of one that omniscient {omniscient:.3}");
}
