//! The node against queueing theory. Sources: A. K. Erlang's C formula for M/M/c and the
//! Pollaczek-Khinchine formula for M/D/1, as in L. Kleinrock, Queueing Systems I (1975), 3.5 and 5.6.

use oorandom::Rand64;
use sableloom_emulator::{AttemptOutcome, Node, NodeCapacity, NodeProfile, NodeRequest};
use sableloom_types::{Span, Time};

/// Mean work of a request, in microseconds.
const WORK: f64 = 10_000.0;

fn exponential(rng: &mut Rand64) -> f64 {
    -(1.0 - rng.rand_float()).ln()
}

/// The mean time that requests wait for a slot, in mean works.
fn mean_wait(slots: usize, load: f64, work: impl Fn(&mut Rand64) -> f64, seed: u64) -> f64 {
    let capacity = NodeCapacity { cores: slots as f64, speed: 1.0, slots, queue_limit: usize::MAX };
    let mut node: Node<u64> =
        Node::new(NodeProfile { cached_keys: 0, ..NodeProfile::of(capacity) }, 1, Time(0));
    let mut rng = Rand64::new(u128::from(seed));
    let (mut at, mut out) = (0.0, Vec::new());
    let (mut arrived, mut spent, mut worked, mut ended) = (Vec::new(), 0.0, 0.0, 0u32);
    const N: u64 = 1_500_000;
    for attempt in 0..N {
        at += exponential(&mut rng) * WORK / (load * slots as f64);
        let now = Time(at as i64);
        // One event after the other, so that each outcome has its time.
        while let Some(next) = node.next().filter(|next| *next <= now) {
            node.advance(next, &mut out);
            for done in out.drain(..) {
                assert_eq!(done.outcome, AttemptOutcome::Served);
                spent += next.since(arrived[done.attempt as usize]).as_micros_f64();
                ended += 1;
            }
        }
        let work = work(&mut rng) * WORK;
        worked += work;
        arrived.push(now);
        let wait = Span(0);
        node.arrive(
            now,
            NodeRequest {
                id: attempt,
                attempt,
                class: 0,
                work,
                wait,
                key: None,
                effect: false,
                draw: 0.9,
            },
            &mut out,
        );
    }
    assert!(u64::from(ended) > N - 1000, "{ended}");
    (spent / f64::from(ended) - worked / N as f64) / WORK
}

/// Several runs side by side: at a high load waits hang together for long, and one run's mean is off by
/// one to two hundredths.
fn near(measured: impl Fn(u64) -> f64 + Sync, theory: f64, what: &str) {
    const RUNS: u64 = 8;
    let measured = &measured;
    let runs: Vec<f64> = std::thread::scope(|scope| {
        let running: Vec<_> = (1..=RUNS).map(|seed| scope.spawn(move || measured(seed))).collect();
        running.into_iter().map(|run| run.join().expect("a run")).collect()
    });
    let measured = runs.iter().sum::<f64>() / RUNS as f64;
    let off = measured / theory - 1.0;
    assert!(
        off.abs() < 0.02,
        "{what}: {measured:.4} mean works, theory {theory:.4}, off by {off:.4}: {runs:.4?}"
    );
}

/// The chance that all of c servers are busy, by Erlang's C.
fn erlang_c(c: usize, load: f64) -> f64 {
    let a = load * c as f64;
    let (mut term, mut sum) = (1.0, 0.0);
    for k in 0..c {
        sum += term;
        term *= a / (k + 1) as f64;
    }
    let last = term / (1.0 - load);
    last / (sum + last)
}

#[test]
fn waits_before_several_slots_are_those_of_m_m_c() {
    for (slots, load) in [(1, 0.6), (3, 0.7), (8, 0.8)] {
        let theory = erlang_c(slots, load) / (slots as f64 * (1.0 - load));
        near(
            |seed| mean_wait(slots, load, exponential, seed),
            theory,
            &format!("M/M/{slots} at {load}"),
        );
    }
}

#[test]
fn waits_before_even_work_are_those_of_m_d_1() {
    for load in [0.5, 0.75] {
        let theory = load / (2.0 * (1.0 - load));
        near(|seed| mean_wait(1, load, |_| 1.0, seed), theory, &format!("M/D/1 at {load}"));
    }
}
