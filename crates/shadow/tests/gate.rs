//! What is copied and when, by case and over seeded histories against a naive model.

use std::collections::VecDeque;
use std::sync::atomic::Ordering;

use oorandom::Rand64;
use sableloom_shadow::{Bounds, By, Changes, Copied, End, Gate, SkipReason};
use sableloom_types::{Idempotency, Span, Time};

fn ms(ms: i64) -> Span {
    Span(ms * 1000)
}

fn at(t: i64) -> Time {
    Time(0).plus(ms(t))
}

fn bounds() -> Bounds {
    Bounds {
        classes: vec![true, false, true],
        share: 1.0,
        by: By::Key,
        per_second: 1_000_000.0,
        in_flight: 4,
        held: 1000,
        each: 400,
        calm: ms(100),
        live_open: 0,
        trip: 3,
        rest: ms(1000),
        rest_most: ms(4000),
        seed: 1,
        own: 2,
    }
}

fn served(gate: &mut Gate, t: i64, bytes: usize) -> Result<Copied, SkipReason> {
    gate.served(at(t), bytes, || 0)
}

#[test]
fn only_safe_requests_of_the_named_classes_are_of_the_sample() {
    let gate = Gate::new(bounds(), at(0));
    for class in 0..4 {
        for idempotency in [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent]
        {
            let wanted = idempotency == Idempotency::Idempotent && [0, 2].contains(&class);
            assert_eq!(
                gate.samples(class, idempotency, Some(7), 9),
                wanted,
                "{class} {idempotency:?}"
            );
        }
    }
}

#[test]
fn the_sample_has_its_share_and_goes_by_the_key() {
    for share in [0.0, 0.01, 0.3, 1.0] {
        let gate = Gate::new(Bounds { share, ..bounds() }, at(0));
        // Short numbers in a row, as cards have them.
        let hits = (0..100_000)
            .filter(|key| gate.samples(0, Idempotency::Idempotent, Some(*key), 0))
            .count();
        let found = hits as f64 / 1e5;
        assert!((found - share).abs() < 0.01, "{found} of {share}");
        // The same key is in or out, whatever the request; one without a key goes by its id.
        let by_key = |id| gate.samples(0, Idempotency::Idempotent, Some(5), id);
        assert!((0..100).all(|id| by_key(id) == by_key(0)));
        let ids =
            (0..100_000).filter(|id| gate.samples(0, Idempotency::Idempotent, None, *id)).count();
        assert!((ids as f64 / 1e5 - share).abs() < 0.01);
    }
    let other = Bounds { share: 0.3, own: 77, ..bounds() };
    let (one, two) = (Bounds { share: 0.3, ..bounds() }, other);
    let (one, two) = (Gate::new(one, at(0)), Gate::new(two, at(0)));
    let same = |key| {
        one.samples(0, Idempotency::Idempotent, Some(key), 0)
            == two.samples(0, Idempotency::Idempotent, Some(key), 1)
    };
    assert!((0..1000).all(same), "two balancers sample the same keys");
    let gate = Gate::new(Bounds { share: 0.5, by: By::Request, ..bounds() }, at(0));
    let hits =
        (0..1000).filter(|id| gate.samples(0, Idempotency::Idempotent, Some(5), *id)).count();
    assert!((400..600).contains(&hits), "{hits}");
}

#[test]
fn each_bound_skips_for_its_own_reason() {
    let mut gate = Gate::new(Bounds { live_open: 10, ..bounds() }, at(0));
    assert_eq!(served(&mut gate, 0, 401), Err(SkipReason::Large));
    assert_eq!(gate.served(at(0), 1, || 11), Err(SkipReason::LiveOpen));
    gate.pressed(at(0));
    assert_eq!(served(&mut gate, 99, 1), Err(SkipReason::Pressed));
    let mut out: Vec<_> =
        (0..2).map(|_| served(&mut gate, 100, 400).expect("there is room")).collect();
    assert_eq!(served(&mut gate, 100, 201), Err(SkipReason::Held));
    out.extend((0..2).map(|_| served(&mut gate, 100, 100).expect("there is room")));
    assert_eq!(served(&mut gate, 100, 1), Err(SkipReason::InFlight));
    let counts = gate.counts();
    for why in SkipReason::ALL {
        let once = [
            SkipReason::Large,
            SkipReason::LiveOpen,
            SkipReason::Pressed,
            SkipReason::Held,
            SkipReason::InFlight,
        ];
        assert_eq!(counts.skipped(why), u64::from(once.contains(&why)), "{why:?}");
    }
    assert_eq!(
        (counts.sampled.load(Ordering::Relaxed), counts.copied.load(Ordering::Relaxed)),
        (9, 4)
    );
    // What has ended makes room.
    for copied in out {
        gate.ended(at(100), copied, End::Served);
    }
    let all = (0..4).map(|_| served(&mut gate, 100, 250).expect("there is room"));
    assert_eq!(all.count(), 4);
    let mut gate = Gate::new(bounds(), at(0));
    let copied = served(&mut gate, 0, 1).expect("there is room");
    gate.lost(copied);
    assert_eq!((served(&mut gate, 1, 1), gate.out()), (Err(SkipReason::Gone), 0));
}

#[test]
fn a_candidate_that_does_not_answer_rests_longer_each_time_and_is_tried_once() {
    let mut gate = Gate::new(bounds(), at(0));
    let old = served(&mut gate, 0, 1).expect("open");
    for _ in 0..3 {
        let copied = served(&mut gate, 0, 1).expect("open");
        gate.ended(at(0), copied, End::Failed);
    }
    let mut t = 0;
    for (i, rest) in [1000, 2000, 4000, 4000].into_iter().enumerate() {
        assert_eq!(served(&mut gate, t + rest * 3 / 4 - 1, 1), Err(SkipReason::Resting), "{i}");
        t += rest * 5 / 4;
        let trial = served(&mut gate, t, 1).expect("one copy tries");
        assert_eq!(served(&mut gate, t, 1), Err(SkipReason::Resting), "one copy only");
        gate.ended(at(t), trial, End::Failed);
    }
    t += 5000;
    // Not sent is not known: the next tries at once.
    let trial = served(&mut gate, t, 1).expect("one copy tries");
    gate.ended(at(t), trial, End::Refused);
    let trial = served(&mut gate, t, 1).expect("one copy tries");
    // What was sent before the rests says nothing of now.
    gate.ended(at(t), old, End::Served);
    assert_eq!(served(&mut gate, t, 1), Err(SkipReason::Resting));
    gate.ended(at(t), trial, End::Served);
    let copied = served(&mut gate, t, 1).expect("open again");
    gate.ended(at(t), copied, End::Served);
    assert_eq!(gate.counts().rests.load(Ordering::Relaxed), 5);
    // Failures in a row are counted, not those among others.
    for _ in 0..10 {
        for end in [End::Failed, End::Failed, End::Served] {
            let copied = served(&mut gate, t, 1).expect("open");
            gate.ended(at(t), copied, end);
        }
    }
}

#[test]
fn a_clock_that_steps_back_gives_nothing_away() {
    let mut gate = Gate::new(Bounds { per_second: 10.0, ..bounds() }, at(10_000));
    let one = served(&mut gate, 10_000, 1).expect("the first");
    gate.ended(at(10_000), one, End::Served);
    for t in [0, 10_000, 5000, 10_000] {
        assert_eq!(served(&mut gate, t, 1), Err(SkipReason::Rate), "{t}");
    }
    assert!(served(&mut gate, 10_100, 1).is_ok());
}

/// Thousands of histories of requests, ends and trouble. What must hold in each is looked at from
/// outside: the number and bytes that are out, copies in any window of time, calm, and that a resting
/// candidate gets one copy at a time.
#[test]
fn bounds_hold_over_seeded_histories() {
    for seed in 0..3000u64 {
        let mut rng = Rand64::new(u128::from(seed));
        let mut upto = |most: u64| rng.rand_range(0..most) as i64;
        let bounds = Bounds {
            per_second: [1.0, 20.0, 300.0][upto(3) as usize],
            in_flight: 1 + upto(6) as usize,
            held: 200 + upto(2000) as usize,
            each: 50 + upto(500) as usize,
            calm: ms(upto(50)),
            trip: 1 + upto(4) as u32,
            rest: ms(1 + upto(200)),
            rest_most: ms(200 + upto(2000)),
            own: seed,
            ..bounds()
        };
        let mut gate = Gate::new(bounds.clone(), at(0));
        let (mut t, mut calm_from) = (0, 0);
        // A copy, and what the model knows of it: its bytes, how often the candidate had rested
        // when it was sent, whether it was one that tries.
        let mut out: VecDeque<(usize, u64, bool, Copied)> = VecDeque::new();
        let mut copies: Vec<i64> = Vec::new();
        let (mut failed, mut rested) = (0, 0);
        let (mut rests_from, mut trying): (Option<i64>, bool) = (None, false);
        let counts = gate.counts();
        for step in 0..300 {
            let place = format!("seed {seed}, step {step}");
            t += upto(30);
            match upto(8) {
                0 => {
                    gate.pressed(at(t));
                    calm_from = t + bounds.calm.0 / 1000;
                }
                1..4 if !out.is_empty() => {
                    let n = upto(out.len() as u64) as usize;
                    let (_, era, trial, copied) = out.remove(n).expect("one");
                    let ends = [End::Served, End::Failed, End::Failed, End::Refused];
                    let end = ends[upto(4) as usize];
                    gate.ended(at(t), copied, end);
                    if era == rested {
                        trying &= !trial;
                        failed = match end {
                            End::Served => 0,
                            End::Failed => failed + 1,
                            End::Refused => failed,
                        };
                        if end == End::Failed && (trial || failed >= bounds.trip) {
                            (rested, failed, rests_from) = (rested + 1, 0, Some(t));
                        } else if end == End::Refused && trial {
                            rests_from = Some(i64::MIN / 2);
                        }
                    }
                    assert_eq!(counts.rests.load(Ordering::Relaxed), rested, "{place}");
                }
                _ => {
                    let bytes = upto(600) as usize;
                    if let Ok(copied) = served(&mut gate, t, bytes) {
                        assert!(t >= calm_from, "{place}: copied while pressed");
                        assert!(bytes <= bounds.each, "{place}: too large");
                        assert!(!trying, "{place}: another one tries");
                        let trial = rests_from.take();
                        let least = bounds.rest.0 * 3 / 4000;
                        assert!(trial.is_none_or(|from| t - from >= least), "{place}: it rests");
                        trying = trial.is_some();
                        copies.push(t);
                        out.push_back((bytes, rested, trying, copied));
                    }
                }
            }
            let held: usize = out.iter().map(|(bytes, ..)| bytes).sum();
            assert!(out.len() <= bounds.in_flight && held <= bounds.held, "{place}");
            assert_eq!(gate.out(), out.len(), "{place}");
        }
        assert_eq!(counts.copied.load(Ordering::Relaxed), copies.len() as u64, "seed {seed}");
        let burst = (bounds.per_second / 10.0).max(1.0);
        for (i, from) in copies.iter().enumerate() {
            for (n, to) in copies[i..].iter().enumerate() {
                let most = burst + bounds.per_second * (to - from) as f64 / 1e3;
                assert!(
                    n as f64 + 1.0 <= most + 1e-6,
                    "seed {seed}: {n} copies in {} ms",
                    to - from
                );
            }
        }
    }
}

#[test]
fn a_read_is_touched_by_changes_of_its_key_around_it() {
    let changes = Changes::new(ms(50));
    let touched = |key, since| changes.touched(key, at(since));
    assert!(!touched(Some(1), 0) && !touched(None, 0));
    changes.begin(Some(1));
    assert!(touched(Some(1), 1000), "it is open");
    assert!(!touched(Some(2), 0), "another key");
    assert!(touched(None, 1000), "a read without a key may see any");
    changes.begin(Some(1));
    changes.end(Some(1), at(100));
    assert!(touched(Some(1), 1000), "another is open");
    changes.end(Some(1), at(90));
    // Seen by all from 150 on.
    assert!(touched(Some(1), 150) && !touched(Some(1), 151));
    assert!(touched(None, 150) && !touched(None, 151));
    changes.begin(None);
    assert!(touched(Some(3), 1000) && touched(None, 1000), "one without a key may change any");
    changes.end(None, at(300));
    assert!(touched(Some(3), 350) && !touched(Some(3), 351));
}

/// A change at any time that may meet a pair is seen, over seeded overlaps of many keys; and pairs
/// that none meets are left out seldom.
#[test]
fn no_overlapping_change_is_missed() {
    let mut mistaken = 0;
    for seed in 0..2000u64 {
        let mut rng = Rand64::new(u128::from(seed));
        let mut upto = |most: u64| rng.rand_range(0..most) as i64;
        let settle = upto(20);
        let changes = Changes::new(ms(settle));
        // Each change: key, from, until. Told in the order of time.
        let mut spans: Vec<(u64, i64, i64)> = Vec::new();
        for _ in 0..40 {
            let from = upto(1000);
            spans.push((upto(30) as u64, from, from + upto(60)));
        }
        let (key, from) = (upto(30) as u64, upto(900));
        let until = from + upto(100);
        let mut events: Vec<(i64, bool, u64)> = Vec::new();
        for (key, from, until) in &spans {
            events.extend([(*from, true, *key), (*until, false, *key)]);
        }
        events.sort_by_key(|(t, begins, _)| (*t, !begins));
        for (t, begins, key) in events.into_iter().take_while(|(t, ..)| *t <= until) {
            match begins {
                true => changes.begin(Some(key)),
                false => changes.end(Some(key), at(t)),
            }
        }
        let meets = |k: u64, a: i64, b: i64| k == key && a <= until && b + settle >= from;
        let expected = spans.iter().any(|(k, a, b)| meets(*k, *a, *b));
        let found = changes.touched(Some(key), at(from));
        assert!(found || !expected, "seed {seed}: a change was missed");
        mistaken += i32::from(found && !expected);
    }
    assert!(mistaken < 40, "{mistaken} of 2000 were left out for nothing");
}
