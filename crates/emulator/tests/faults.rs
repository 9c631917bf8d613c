//! What goes wrong at a node, and that nothing is counted twice or forgotten whatever is done to it.

use std::collections::BTreeMap;

use proptest::prelude::*;
use sableloom_emulator::{
    AttemptOutcome, Completion, Fault, Node, NodeCapacity, NodeProfile, NodeRequest, Phase,
};
use sableloom_types::{Span, Time};

const CAPACITY: NodeCapacity = NodeCapacity { cores: 1.0, speed: 1.0, slots: 2, queue_limit: 2 };
const MS: i64 = 1000;

fn profile() -> NodeProfile {
    NodeProfile { handshake: 0.0, ..NodeProfile::of(CAPACITY) }
}

fn request(attempt: u64, draw: f64) -> NodeRequest<u64> {
    let wait = Span(5 * MS);
    NodeRequest {
        id: attempt,
        attempt,
        class: 0,
        work: 10_000.0,
        wait,
        key: None,
        effect: true,
        draw,
    }
}

/// Runs until nothing is to happen; endings by attempt, with their times in ms.
fn settle(
    node: &mut Node<u64>,
    mut out: Vec<Completion>,
    from: Time,
) -> BTreeMap<u64, (i64, AttemptOutcome)> {
    let mut ends = BTreeMap::new();
    let mut now = from;
    loop {
        for done in out.drain(..) {
            assert!(ends.insert(done.attempt, (now.0 / MS, done.outcome)).is_none(), "twice");
        }
        let Some(next) = node.next() else { return ends };
        now = next;
        node.advance(now, &mut out);
    }
}

/// A hard case: it pauses for two seconds with work in its slots, in its queue and before its door.
#[test]
fn a_pause_with_work_queued_delays_all_of_it_and_loses_none() {
    let (mut node, mut out) = (Node::new(profile(), 1, Time(0)), Vec::new());
    (0..3).for_each(|a| node.arrive(Time(0), request(a, 0.9), &mut out));
    node.pause(Time(4 * MS), Time(2004 * MS), &mut out);
    (3..6).for_each(|a| node.arrive(Time(1000 * MS), request(a, 0.9), &mut out));
    assert!(out.is_empty(), "nothing ends while it is paused: {out:?}");
    assert_eq!(node.executions().len(), 2, "what waits has not run");
    let ends = settle(&mut node, out, Time(1000 * MS));
    // Two share the core: 20 ms of it, 4 before the pause; then each waits 5 ms with its slot.
    assert_eq!(ends[&0], (2025, AttemptOutcome::Served));
    assert_eq!(ends[&1], (2025, AttemptOutcome::Served));
    // One waited held_attempts, one finds the other place in the queue_limit, and of those at the door two are
    // turned away as it wakes.
    assert_eq!(ends.values().filter(|e| e.1 == AttemptOutcome::Rejected).count(), 2);
    assert_eq!(ends.len(), 6);
    assert_eq!(node.executions().values().sum::<u32>(), 4);
}

#[test]
fn a_crash_resets_what_it_held_and_its_executions_stay_counted() {
    let (mut node, mut out) = (Node::new(profile(), 1, Time(0)), Vec::new());
    (0..4).for_each(|a| node.arrive(Time(0), request(a, 0.9), &mut out));
    node.stop(Time(MS), &mut out);
    assert_eq!(out.len(), 4);
    assert!(out.iter().all(|d| d.outcome == AttemptOutcome::Reset));
    assert_eq!(node.executions().len(), 2, "two had begun");
    out.clear();
    node.arrive(Time(2 * MS), request(9, 0.9), &mut out);
    assert_eq!(out, [Completion { attempt: 9, outcome: AttemptOutcome::Reset }]);
    assert!(!node.connect(Time(2 * MS), &mut out));
    out.clear();
    node.start(Time(3 * MS), &mut out);
    // The same id once more, as a balancer must not send it: the count tells.
    node.arrive(Time(3 * MS), NodeRequest { id: 0, ..request(10, 0.9) }, &mut out);
    assert_eq!(node.executions()[&0], 2);
    // Cold: a hundredth and a bit of a second's work takes 1 / 0.13 times as long.
    let ends = settle(&mut node, out, Time(3 * MS));
    assert!((79..=85).contains(&ends[&10].0), "{ends:?}");
}

#[test]
fn faults_meet_the_share_and_the_class_that_they_are_set_for() {
    let fault = Fault { slower: 3.0, failing: 0.1, spoilt: 0.2, cut: 0.3 };
    for (class, draw, outcome) in [
        (0, 0.05, AttemptOutcome::Served),
        (1, 0.05, AttemptOutcome::Error),
        (1, 0.25, AttemptOutcome::Invalid),
        (1, 0.55, AttemptOutcome::Truncated),
        (1, 0.65, AttemptOutcome::Served),
    ] {
        let mut out = Vec::new();
        let at = Time(0);
        let mut node: Node<u64> = Node::new(profile(), 2, at);
        node.set_fault(1, fault);
        node.arrive(at, NodeRequest { class, ..request(1, draw) }, &mut out);
        let ends = settle(&mut node, out, at);
        assert_eq!(ends[&1].1, outcome, "class {class}, draw {draw}");
        let takes = if outcome == AttemptOutcome::Error { 0 } else { [15, 35][class] };
        assert_eq!(ends[&1].0 - at.0 / MS, takes, "class {class}, draw {draw}");
    }
    // Neighbours on its machine leave it a quarter of the core.
    let mut node: Node<u64> = Node::new(profile(), 1, Time(0));
    node.set_core_share(Time(0), 0.25, &mut Vec::new());
    let mut out = Vec::new();
    node.arrive(Time(1_000 * MS), request(2, 0.9), &mut out);
    assert_eq!(settle(&mut node, out, Time(1_000 * MS))[&2].0, 1045);
}

#[test]
fn what_waits_is_dropped_with_its_client_only_where_that_is_so() {
    for drops_abandoned in [true, false] {
        let mut node: Node<u64> =
            Node::new(NodeProfile { drops_abandoned, ..profile() }, 1, Time(0));
        let mut out = Vec::new();
        (0..3).for_each(|a| node.arrive(Time(0), request(a, 0.9), &mut out));
        // One that runs and the one that waits lose their clients.
        node.client_left(Time(MS), 0, &mut out);
        node.client_left(Time(MS), 2, &mut out);
        let ends = settle(&mut node, out, Time(MS));
        assert_eq!(ends.keys().copied().collect::<Vec<_>>(), [1], "only one is still waited for");
        assert_eq!(node.executions().len(), if drops_abandoned { 2 } else { 3 });
        assert_eq!(node.occupancy(), 0);
    }
}

#[derive(Clone, Debug)]
enum Move {
    Arrive(f64, usize),
    Leave(u64),
    Pause(i64),
    Stop,
    Start,
    Share(f64),
    Connect,
}

fn a_move() -> impl Strategy<Value = Move> {
    prop_oneof![
        8 => (0.0..1.0, 0usize..2).prop_map(|(draw, class)| Move::Arrive(draw, class)),
        2 => (0u64..60).prop_map(Move::Leave),
        1 => (0i64..300).prop_map(Move::Pause),
        1 => Just(Move::Stop),
        2 => Just(Move::Start),
        1 => (0.05..1.0).prop_map(Move::Share),
        1 => Just(Move::Connect),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Default::default() })]

    /// Whatever is done to it: each attempt ends once, or its client had left; nothing runs twice;
    /// time passes in any steps with the same result; and it comes to rest.
    #[test]
    fn each_attempt_ends_exactly_once(
        moves in prop::collection::vec((a_move(), 0i64..40), 1..120),
        chunk in 1i64..50,
    ) {
        let play = |chunk: i64| {
            let mut node: Node<u64> = Node::new(profile(), 2, Time(0));
            node.set_fault(1, Fault { slower: 2.0, failing: 0.2, spoilt: 0.2, cut: 0.2 });
            let (mut now, mut out, mut sent, mut abandoned) = (0, Vec::new(), 0, Vec::new());
            for (step, gap) in &moves {
                let end = now + gap * MS;
                while now < end {
                    now = (now + chunk * MS).min(end);
                    node.advance(Time(now), &mut out);
                }
                let at = Time(now);
                match step {
                    Move::Arrive(draw, class) => {
                        node.arrive(at, NodeRequest { class: *class, ..request(sent, *draw) }, &mut out);
                        sent += 1;
                    }
                    Move::Leave(attempt) if *attempt < sent => {
                        abandoned.push(*attempt);
                        node.client_left(at, *attempt, &mut out);
                    }
                    Move::Leave(_) => {}
                    Move::Pause(ms) => node.pause(at, Time(now + ms * MS), &mut out),
                    Move::Stop => node.stop(at, &mut out),
                    Move::Start => node.start(at, &mut out),
                    Move::Share(share) => node.set_core_share(at, *share, &mut out),
                    Move::Connect => drop(node.connect(at, &mut out)),
                }
            }
            let mut events = 0;
            while let Some(next) = node.next() {
                node.advance(next, &mut out);
                events += 1;
                assert!(events < 10_000, "it comes to rest");
            }
            assert_eq!(node.occupancy(), 0);
            assert!(node.executions().values().all(|n| *n == 1), "{:?}", node.executions());
            let mut ended: Vec<_> = out.iter().map(|d| (d.attempt, d.outcome)).collect();
            ended.sort_by_key(|d| d.0);
            let once = ended.windows(2).all(|w| w[0].0 < w[1].0);
            assert!(once, "an attempt ended twice: {ended:?}");
            for attempt in 0..sent {
                let over = ended.iter().any(|d| d.0 == attempt);
                assert!(over || abandoned.contains(&attempt), "attempt {attempt} never ended");
            }
            (ended, node.phase() == Phase::Crashed)
        };
        prop_assert_eq!(play(chunk), play(1000), "steps of {} ms and of a second", chunk);
    }
}
