//! Cold servers under the sum of what all processes send: beyond their budget of N requests no more than
//! 2 x root of N + 2 is put down to chance, however many processes there are and however the traffic is
//! spread over them. All are notified of a start at once: what is sent by balancers that cannot know yet is not the
//! ramp's. A failure names the play.

use std::sync::atomic::{AtomicUsize, Ordering};

use sableloom_fleet_sim::{Case, Change, Chooser, World, cases};

fn plays(balancers: usize) -> Vec<Case> {
    // As many servers as such a fleet needs at its least: then each balancer's part of one is largest.
    let servers = (balancers * 2 / 3).clamp(6, 60);
    let plain = cases(balancers, servers).swap_remove(0);
    let six_in_ten = Change::Replace { from: 0, to: servers * 6 / 10, ms: 500 };
    let mut plays = Vec::new();
    // At the lower end of the operators' figures, where the budget of a small server is 17 requests.
    let slow_start_initial_share = 0.1;
    for hot in [(0, 1.0), (balancers.div_ceil(20), 5.0)] {
        for load in [0.3, 0.85] {
            let base = Case {
                hot,
                load,
                seconds: 7,
                late_ms: 0,
                slow_start_initial_share,
                ..plain.clone()
            };
            let case = |name, script| Case { name, script, ..base.clone() };
            plays.push(case("list", vec![(2000, six_in_ten.clone())]));
            plays.push(case(
                "list-and-restart",
                vec![(2000, six_in_ten.clone()), (2500, Change::Kill { share: 0.9 })],
            ));
            plays.push(case("zone", vec![(2000, Change::ZoneGone { zone: 2, ms: 2000 })]));
            // What was saved up at ease is spent at once, in the middle of the ramp.
            plays.push(case(
                "at-ease-then-burst",
                vec![(2000, six_in_ten.clone()), (5000, Change::Load(1.5))],
            ));
            plays.push(case(
                "at-ease-then-the-others-go",
                vec![(2000, six_in_ten.clone()), (5000, Change::ZoneGone { zone: 2, ms: 3000 })],
            ));
        }
    }
    plays
}

#[test]
fn a_cold_server_bears_what_all_processes_send_together() {
    let mut jobs: Vec<(Case, u64)> = Vec::new();
    for balancers in [2, 6, 20, 30, 300] {
        let plays = plays(balancers).into_iter().enumerate();
        // Half of them where they take long.
        let plays = plays.filter(|(i, _)| balancers < 300 || i % 2 == 0);
        jobs.extend(plays.map(|(i, case)| (case, i as u64 + 1)));
    }
    // The longest first, and each thread takes the next.
    jobs.reverse();
    let next = AtomicUsize::new(0);
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((case, seed)) = jobs.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let tally = World::play(case, Chooser::Sableloom, *seed);
                    let what = (case.balancers, case.name, case.load, case.hot, seed);
                    assert!(tally.attempts > 500, "{what:?}: {} attempts", tally.attempts);
                    assert!(
                        tally.excess <= 1.0,
                        "{what:?}: {:.2} of what is put down to chance, {} falls",
                        tally.excess,
                        tally.falls
                    );
                }
            });
        }
    });
}
