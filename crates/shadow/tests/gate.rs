//! What is copied and when, by case and over seeded histories against a naive model.

use std::collections::VecDeque;
use std::sync::atomic::Ordering;

use oorandom::Rand64;
use sableloom_shadow::{Changes, CopyEnd, CopyInFlight, CopyLimits, Gate, SampleBy, SkipReason};
use sableloom_types::{Idempotency, Span, Time};

fn ms(ms: i64) -> Span {
    Span(ms * 1000)
}

fn at(t: i64) -> Time {
    Time(0).plus(ms(t))
}

fn limits() -> CopyLimits {
    CopyLimits {
        classes: vec![true, false, true],
        sample_share: 1.0,
        sample_by: SampleBy::Key,
        max_per_second: 1_000_000.0,
        max_in_flight: 4,
        max_held_bytes: 1000,
        max_pair_bytes: 400,
        quiet_time: ms(100),
        max_live_open: 0,
        breaker_threshold: 3,
        breaker_open_time: ms(1000),
        max_breaker_open_time: ms(4000),
        sample_seed: 1,
        jitter_seed: 2,
    }
}

fn admit(gate: &mut Gate, t: i64, bytes: usize) -> Result<CopyInFlight, SkipReason> {
    gate.admit(at(t), bytes, || 0)
}

#[test]
fn only_idempotent_requests_of_the_listed_classes_are_sampled() {
    let gate = Gate::new(limits(), at(0));
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
fn the_sample_has_its_share_and_is_chosen_by_the_key() {
    for share in [0.0, 0.01, 0.3, 1.0] {
        let gate = Gate::new(CopyLimits { sample_share: share, ..limits() }, at(0));
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
    let other = CopyLimits { sample_share: 0.3, jitter_seed: 77, ..limits() };
    let (one, two) = (CopyLimits { sample_share: 0.3, ..limits() }, other);
    let (one, two) = (Gate::new(one, at(0)), Gate::new(two, at(0)));
    let same = |key| {
        one.samples(0, Idempotency::Idempotent, Some(key), 0)
            == two.samples(0, Idempotency::Idempotent, Some(key), 1)
    };
    assert!((0..1000).all(same), "two balancers sample the same keys");
    let gate = Gate::new(
        CopyLimits { sample_share: 0.5, sample_by: SampleBy::Request, ..limits() },
        at(0),
    );
    let hits =
        (0..1000).filter(|id| gate.samples(0, Idempotency::Idempotent, Some(5), *id)).count();
    assert!((400..600).contains(&hits), "{hits}");
}

#[test]
fn each_limit_skips_copies_for_its_own_reason() {
    let mut gate = Gate::new(CopyLimits { max_live_open: 10, ..limits() }, at(0));
    assert_eq!(admit(&mut gate, 0, 401), Err(SkipReason::TooLarge));
    assert_eq!(gate.admit(at(0), 1, || 11), Err(SkipReason::LiveOpen));
    gate.note_live_pressure(at(0));
    assert_eq!(admit(&mut gate, 99, 1), Err(SkipReason::LivePressure));
    let mut out: Vec<_> =
        (0..2).map(|_| admit(&mut gate, 100, 400).expect("within the limits")).collect();
    assert_eq!(admit(&mut gate, 100, 201), Err(SkipReason::HeldBytes));
    out.extend((0..2).map(|_| admit(&mut gate, 100, 100).expect("within the limits")));
    assert_eq!(admit(&mut gate, 100, 1), Err(SkipReason::InFlight));
    let counts = gate.counts();
    for why in SkipReason::ALL {
        let once = [
            SkipReason::TooLarge,
            SkipReason::LiveOpen,
            SkipReason::LivePressure,
            SkipReason::HeldBytes,
            SkipReason::InFlight,
        ];
        assert_eq!(counts.skipped(why), u64::from(once.contains(&why)), "{why:?}");
    }
    assert_eq!(
        (counts.sampled.load(Ordering::Relaxed), counts.copied.load(Ordering::Relaxed)),
        (9, 4)
    );
    // A copy that has ended frees its capacity.
    for copied in out {
        gate.copy_ended(at(100), copied, CopyEnd::Served);
    }
    let all = (0..4).map(|_| admit(&mut gate, 100, 250).expect("within the limits"));
    assert_eq!(all.count(), 4);
    let mut gate = Gate::new(limits(), at(0));
    let copied = admit(&mut gate, 0, 1).expect("within the limits");
    gate.worker_ended(copied);
    assert_eq!((admit(&mut gate, 1, 1), gate.in_flight()), (Err(SkipReason::WorkerEnded), 0));
}

#[test]
fn the_circuit_breaker_stays_open_longer_after_each_failed_probe_and_probes_once() {
    let mut gate = Gate::new(limits(), at(0));
    let old = admit(&mut gate, 0, 1).expect("open");
    for _ in 0..3 {
        let copied = admit(&mut gate, 0, 1).expect("open");
        gate.copy_ended(at(0), copied, CopyEnd::Failed);
    }
    let mut t = 0;
    for (i, rest) in [1000, 2000, 4000, 4000].into_iter().enumerate() {
        assert_eq!(admit(&mut gate, t + rest * 3 / 4 - 1, 1), Err(SkipReason::BreakerOpen), "{i}");
        t += rest * 5 / 4;
        let probe = admit(&mut gate, t, 1).expect("one copy is the probe");
        assert_eq!(admit(&mut gate, t, 1), Err(SkipReason::BreakerOpen), "one copy only");
        gate.copy_ended(at(t), probe, CopyEnd::Failed);
    }
    t += 5000;
    // A probe that was not sent shows nothing: the next copy is the probe at once.
    let probe = admit(&mut gate, t, 1).expect("one copy is the probe");
    gate.copy_ended(at(t), probe, CopyEnd::NotSent);
    let probe = admit(&mut gate, t, 1).expect("one copy is the probe");
    // A copy from before the breaker opened shows nothing about the present.
    gate.copy_ended(at(t), old, CopyEnd::Served);
    assert_eq!(admit(&mut gate, t, 1), Err(SkipReason::BreakerOpen));
    gate.copy_ended(at(t), probe, CopyEnd::Served);
    let copied = admit(&mut gate, t, 1).expect("closed again");
    gate.copy_ended(at(t), copied, CopyEnd::Served);
    assert_eq!(gate.counts().breaker_openings.load(Ordering::Relaxed), 5);
    // Only consecutive failures are counted.
    for _ in 0..10 {
        for end in [CopyEnd::Failed, CopyEnd::Failed, CopyEnd::Served] {
            let copied = admit(&mut gate, t, 1).expect("open");
            gate.copy_ended(at(t), copied, end);
        }
    }
}

#[test]
fn a_clock_that_steps_back_adds_no_tokens() {
    let mut gate = Gate::new(CopyLimits { max_per_second: 10.0, ..limits() }, at(10_000));
    let one = admit(&mut gate, 10_000, 1).expect("the first");
    gate.copy_ended(at(10_000), one, CopyEnd::Served);
    for t in [0, 10_000, 5000, 10_000] {
        assert_eq!(admit(&mut gate, t, 1), Err(SkipReason::Rate), "{t}");
    }
    assert!(admit(&mut gate, 10_100, 1).is_ok());
}

/// A copy in flight, and what the model knows of it.
struct ModelCopy {
    bytes: usize,
    /// How often the breaker had opened when it was sent.
    openings: u64,
    probe: bool,
    copy: CopyInFlight,
}

/// A gate and a naive model of it, which is driven by the same events.
struct Model {
    limits: CopyLimits,
    gate: Gate,
    t: i64,
    quiet_until: i64,
    in_flight: VecDeque<ModelCopy>,
    /// When each copy was sent.
    copies: Vec<i64>,
    consecutive_failures: u32,
    openings: u64,
    /// When the breaker opened, while the next copy is a probe.
    opened_at: Option<i64>,
    probing: bool,
}

impl Model {
    fn new(limits: CopyLimits) -> Self {
        Self {
            gate: Gate::new(limits.clone(), at(0)),
            limits,
            t: 0,
            quiet_until: 0,
            in_flight: VecDeque::new(),
            copies: Vec::new(),
            consecutive_failures: 0,
            openings: 0,
            opened_at: None,
            probing: false,
        }
    }

    fn live_pressure(&mut self) {
        self.gate.note_live_pressure(at(self.t));
        self.quiet_until = self.t + self.limits.quiet_time.0 / 1000;
    }

    fn end(&mut self, index: usize, end: CopyEnd, step: &str) {
        let ended = self.in_flight.remove(index).expect("a copy in flight");
        self.gate.copy_ended(at(self.t), ended.copy, end);
        if ended.openings == self.openings {
            self.probing &= !ended.probe;
            self.consecutive_failures = match end {
                CopyEnd::Served => 0,
                CopyEnd::Failed => self.consecutive_failures + 1,
                CopyEnd::NotSent => self.consecutive_failures,
            };
            let too_many = self.consecutive_failures >= self.limits.breaker_threshold;
            if end == CopyEnd::Failed && (ended.probe || too_many) {
                self.openings += 1;
                self.consecutive_failures = 0;
                self.opened_at = Some(self.t);
            } else if end == CopyEnd::NotSent && ended.probe {
                self.opened_at = Some(i64::MIN / 2);
            }
        }
        let openings = self.gate.counts().breaker_openings.load(Ordering::Relaxed);
        assert_eq!(openings, self.openings, "{step}");
    }

    fn admit(&mut self, bytes: usize, step: &str) {
        let Ok(copy) = admit(&mut self.gate, self.t, bytes) else { return };
        assert!(self.t >= self.quiet_until, "{step}: copied in the quiet time");
        assert!(bytes <= self.limits.max_pair_bytes, "{step}: too large");
        assert!(!self.probing, "{step}: another probe is in flight");
        let opened_at = self.opened_at.take();
        let min = self.limits.breaker_open_time.0 * 3 / 4000;
        assert!(opened_at.is_none_or(|from| self.t - from >= min), "{step}: the breaker is open");
        self.probing = opened_at.is_some();
        self.copies.push(self.t);
        let (openings, probe) = (self.openings, self.probing);
        self.in_flight.push_back(ModelCopy { bytes, openings, probe, copy });
    }

    fn check_in_flight(&self, step: &str) {
        let held: usize = self.in_flight.iter().map(|copy| copy.bytes).sum();
        assert!(self.in_flight.len() <= self.limits.max_in_flight, "{step}");
        assert!(held <= self.limits.max_held_bytes, "{step}");
        assert_eq!(self.gate.in_flight(), self.in_flight.len(), "{step}");
    }

    /// The rate holds in any window of time.
    fn check_rate(&self, seed: u64) {
        let copied = self.gate.counts().copied.load(Ordering::Relaxed);
        assert_eq!(copied, self.copies.len() as u64, "seed {seed}");
        let rate = self.limits.max_per_second;
        let burst = (rate / 10.0).max(1.0);
        for (i, from) in self.copies.iter().enumerate() {
            for (n, to) in self.copies[i..].iter().enumerate() {
                let max = burst + rate * (to - from) as f64 / 1e3;
                let window = to - from;
                assert!(n as f64 + 1.0 <= max + 1e-6, "seed {seed}: {n} copies in {window} ms");
            }
        }
    }
}

/// Thousands of histories of requests, ends and faults. What must hold in each is checked from outside: the number and
/// bytes in flight, copies in any window of time, the quiet time, and that only one probe is in flight.
#[test]
fn limits_hold_over_seeded_histories() {
    for seed in 0..3000u64 {
        let mut rng = Rand64::new(u128::from(seed));
        let mut upto = |most: u64| rng.rand_range(0..most) as i64;
        let mut model = Model::new(CopyLimits {
            max_per_second: [1.0, 20.0, 300.0][upto(3) as usize],
            max_in_flight: 1 + upto(6) as usize,
            max_held_bytes: 200 + upto(2000) as usize,
            max_pair_bytes: 50 + upto(500) as usize,
            quiet_time: ms(upto(50)),
            breaker_threshold: 1 + upto(4) as u32,
            breaker_open_time: ms(1 + upto(200)),
            max_breaker_open_time: ms(200 + upto(2000)),
            jitter_seed: seed,
            ..limits()
        });
        for step in 0..300 {
            let step = format!("seed {seed}, step {step}");
            model.t += upto(30);
            match upto(8) {
                0 => model.live_pressure(),
                1..4 if !model.in_flight.is_empty() => {
                    let index = upto(model.in_flight.len() as u64) as usize;
                    let ends =
                        [CopyEnd::Served, CopyEnd::Failed, CopyEnd::Failed, CopyEnd::NotSent];
                    model.end(index, ends[upto(4) as usize], &step);
                }
                _ => model.admit(upto(600) as usize, &step),
            }
            model.check_in_flight(&step);
        }
        model.check_rate(seed);
    }
}

#[test]
fn a_read_is_touched_by_overlapping_changes_of_its_key() {
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
