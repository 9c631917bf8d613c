//! Limits of tenants: decisions on seeded random schedules against the definition of the algorithm, and changes of
//! limits and shares. A failure reports its seed.

use std::sync::Arc;

use oorandom::Rand64;
use sableloom_tenant_limits::{Limit, LimitDecision, LimitShare, TenantLimits};
use sableloom_types::{Span, Time};

/// Microseconds in a second.
const SECOND: i64 = 1_000_000;
/// The start of the tests in microseconds, as large as on a clock that counts from 1970.
const START: i64 = 1_800_000_000 * SECOND;

fn limit(rate: f64, burst: u32) -> Limit {
    Limit::new(rate, burst).expect("valid limit")
}

fn limits_of(rate: f64, burst: u32) -> TenantLimits {
    let mut limits = TenantLimits::default();
    limits.set(Time(START), "points", &"t".into(), limit(rate, burst));
    limits
}

fn check(limits: &mut TenantLimits, at: i64, share: LimitShare) -> LimitDecision {
    limits.check(Time(START + at), "points", "t", share)
}

/// Checks `requests` requests at one time, and returns how many are within the limit.
fn count_within(limits: &mut TenantLimits, at: i64, share: LimitShare, requests: usize) -> usize {
    (0..requests).filter(|_| check(limits, at, share) == LimitDecision::Within).count()
}

/// The earliest time at which the definition admits a request after those that `passed`: of any `n` consecutive
/// requests, the last arrives no earlier than `n - 1` intervals after the first, less the tolerance.
fn earliest_by_definition(passed: &[i64], at: i64, interval: i64, tolerance: i64) -> i64 {
    let earliest = |(index, first): (usize, &i64)| {
        first + (passed.len() - index) as i64 * interval - tolerance
    };
    passed.iter().enumerate().map(earliest).max().unwrap_or(at)
}

#[test]
fn decisions_on_random_schedules_match_the_definition() {
    let mut all = (0, 0);
    for seed in 0..300 {
        let mut random = Rand64::new(seed);
        // At these rates the interval is a whole number, so that the definition needs no rounding.
        let balancers = [1, 2, 5][random.rand_range(0..3) as usize];
        let rate = [1, 4, 20, 100, 1000][random.rand_range(0..5) as usize];
        let burst = random.rand_range(1..40) as i64;
        let interval = SECOND / rate * balancers;
        let tolerance = ((burst / balancers).max(1) - 1) * interval;
        let share = LimitShare::new(1.0 / balancers as f64);
        let mut limits = limits_of(rate as f64, burst as u32);
        let (mut at, mut passed, mut rejected) = (0, Vec::new(), 0);
        for step in 0..600 {
            // The schedule has bursts, requests at about the rate, and pauses in which the burst is replenished.
            at += match random.rand_range(0..10) {
                0..5 => 0,
                5..9 => random.rand_range(0..2 * interval as u64) as i64,
                _ => random.rand_range(0..10 * interval as u64) as i64,
            };
            let earliest = earliest_by_definition(&passed, at, interval, tolerance);
            let expected = match earliest <= at {
                true => LimitDecision::Within,
                false => LimitDecision::Over(Span(earliest - at)),
            };
            let decision = check(&mut limits, at, share);
            assert_eq!(decision, expected, "seed {seed}, step {step}");
            match decision {
                LimitDecision::Within => passed.push(at),
                _ => rejected += 1,
            }
        }
        assert_eq!(limits.rejected(), rejected, "seed {seed}");
        all = (all.0 + passed.len(), all.1 + rejected);
    }
    // Both decisions have to be frequent for the comparison to be thorough.
    assert!(all.0 > 50_000 && all.1 > 50_000, "{all:?} passed, rejected");
}

#[test]
fn shares_that_add_up_to_one_let_no_more_pass_than_the_limit() {
    for seed in 0..100 {
        let mut random = Rand64::new(seed);
        let rate = 0.5 + random.rand_float() * 3_000.0;
        let burst = random.rand_range(1..200) as u32;
        let weights: Vec<f64> =
            (0..random.rand_range(1..12)).map(|_| 0.01 + random.rand_float()).collect();
        let sum: f64 = weights.iter().sum();
        let shares: Vec<f64> = weights.iter().map(|weight| weight / sum).collect();
        let mut balancers: Vec<TenantLimits> =
            shares.iter().map(|_| limits_of(rate, burst)).collect();
        let (mut at, mut passed) = (0, 0);
        // Many more requests than the limit arrive, each at a random balancer.
        for _ in 0..20_000 {
            at += random.rand_range(0..(0.2 * SECOND as f64 / rate) as u64 + 1) as i64;
            let balancer = random.rand_range(0..shares.len() as u64) as usize;
            let decision = check(&mut balancers[balancer], at, LimitShare::new(shares[balancer]));
            passed += u64::from(decision == LimitDecision::Within);
        }
        let bursts: f64 = shares.iter().map(|share| (share * burst as f64).floor().max(1.0)).sum();
        let most = bursts + rate * at as f64 / SECOND as f64;
        assert!(passed as f64 <= most + 1.0, "seed {seed}: {passed} of at most {most}");
        assert!(passed as f64 >= 0.5 * most, "seed {seed}: {passed} of at most {most}");
    }
}

#[test]
fn the_retry_time_is_exact_and_rejected_requests_are_not_counted() {
    let mut limits = limits_of(10.0, 3);
    assert_eq!(count_within(&mut limits, 0, LimitShare::ALL, 3), 3);
    for _ in 0..1_000 {
        assert_eq!(check(&mut limits, 40_000, LimitShare::ALL), LimitDecision::Over(Span(60_000)));
    }
    assert_eq!(check(&mut limits, 99_999, LimitShare::ALL), LimitDecision::Over(Span(1)));
    assert_eq!(check(&mut limits, 100_000, LimitShare::ALL), LimitDecision::Within);
    // After a long time the whole burst is available again, and no more than that.
    assert_eq!(count_within(&mut limits, 100 * SECOND, LimitShare::ALL, 10), 3);
}

#[test]
fn a_changed_limit_keeps_the_requests_that_are_used_up_to_the_new_burst() {
    let mut limits = limits_of(10.0, 10);
    assert_eq!(count_within(&mut limits, 0, LimitShare::ALL, 20), 10);
    // Ten of a hundred are used now.
    limits.set(Time(START), "points", &"t".into(), limit(100.0, 100));
    assert_eq!(count_within(&mut limits, 0, LimitShare::ALL, 200), 90);
    // A hundred are used, which the new burst of two bounds: the tenant is rejected for the interval of one request.
    limits.set(Time(START), "points", &"t".into(), limit(1.0, 2));
    assert_eq!(check(&mut limits, 0, LimitShare::ALL), LimitDecision::Over(Span(SECOND)));
    assert_eq!(check(&mut limits, SECOND, LimitShare::ALL), LimitDecision::Within);
    // Setting the same limit again changes nothing, even if the share is less than one request.
    let small = LimitShare::new(0.01);
    let mut limits = limits_of(10.0, 10);
    assert_eq!(count_within(&mut limits, 0, small, 5), 1);
    let before = check(&mut limits, 0, small);
    limits.set(Time(START), "points", &"t".into(), limit(10.0, 10));
    assert_eq!(check(&mut limits, 0, small), before);
    assert_eq!(limits.len(), 1);
}

#[test]
fn a_changed_share_keeps_the_fraction_of_the_burst_that_is_used() {
    let mut limits = limits_of(10.0, 100);
    assert_eq!(count_within(&mut limits, 0, LimitShare::ALL, 50), 50);
    // Half of the burst is used: half of the present share of it is left.
    assert_eq!(count_within(&mut limits, 0, LimitShare::new(0.5), 100), 25);
    // A burst that is used up at half the share is used up at the full share, since the other half was that of other
    // balancers.
    assert_eq!(count_within(&mut limits, 0, LimitShare::ALL, 100), 0);
    assert_eq!(check(&mut limits, SECOND / 10, LimitShare::ALL), LimitDecision::Within);
}

#[test]
fn a_tiny_share_allows_one_request_per_interval_and_a_zero_share_none() {
    let mut limits = limits_of(1.0, 1);
    let tiny = LimitShare::new(1.0 / 7_600.0);
    assert_eq!(count_within(&mut limits, 0, tiny, 10), 1);
    assert_eq!(check(&mut limits, 7_599 * SECOND, tiny), LimitDecision::Over(Span(SECOND)));
    assert_eq!(check(&mut limits, 7_600 * SECOND, tiny), LimitDecision::Within);
    // With a share of zero no request passes, and none is counted.
    let mut limits = limits_of(1_000_000.0, 1_000_000);
    for share in [LimitShare::NONE, LimitShare::new(-1.0), LimitShare::new(f64::NAN)] {
        assert_eq!(check(&mut limits, 0, share), LimitDecision::Over(Span(SECOND)));
    }
    assert_eq!(count_within(&mut limits, 0, LimitShare::ALL, 10), 10);
    assert_eq!(LimitShare::new(2.0), LimitShare::ALL);
}

#[test]
fn a_clock_that_is_set_back_rejects_no_tenant_for_longer_than_a_used_up_burst() {
    let mut limits = limits_of(10.0, 5);
    assert_eq!(count_within(&mut limits, 3_600 * SECOND, LimitShare::ALL, 5), 5);
    assert_eq!(check(&mut limits, 0, LimitShare::ALL), LimitDecision::Over(Span(SECOND / 10)));
    assert_eq!(check(&mut limits, SECOND / 10, LimitShare::ALL), LimitDecision::Within);
    for extreme in [i64::MIN, -1, i64::MAX / 2] {
        let _ = limits.check(Time(extreme), "points", "t", LimitShare::new(f64::MIN_POSITIVE));
    }
}

#[test]
fn a_removed_limit_no_longer_applies_and_a_request_without_a_limit_allocates_nothing() {
    let mut limits = limits_of(1.0, 1);
    limits.set(Time(START), "partners", &"t".into(), limit(1.0, 1));
    assert_eq!(count_within(&mut limits, 0, LimitShare::ALL, 4), 1);
    limits.remove("points", "t");
    assert_eq!(check(&mut limits, 0, LimitShare::ALL), LimitDecision::Unlimited);
    assert_eq!((limits.len(), limits.rejected()), (1, 3));
    assert!(limits.most_rejected(10).is_empty());
    limits.set(Time(START), "points", &"t".into(), limit(1.0, 1));
    assert_eq!(check(&mut limits, 0, LimitShare::ALL), LimitDecision::Within);
    limits.remove("points", "none");
    limits.remove("none", "t");
    limits.remove_service("partners");
    limits.remove_service("partners");
    assert_eq!((limits.len(), limits.is_empty()), (1, false));
    let names: Vec<String> = (0..1_000).map(|name| format!("unlimited-{name}")).collect();
    let allocated = allocation_counter::measure(|| {
        for name in &names {
            let decision = limits.check(Time(START), "points", name, LimitShare::ALL);
            assert_eq!(decision, LimitDecision::Unlimited);
        }
    });
    assert_eq!(allocated.count_total, 0);
}

#[test]
fn the_most_rejected_tenants_are_listed_in_order_and_up_to_the_bound() {
    let mut limits = TenantLimits::default();
    for name in 0..30 {
        let tenant: Arc<str> = format!("t{name:02}").into();
        limits.set(Time(START), "points", &tenant, limit(1.0, 1));
        (0..=name).for_each(|_| _ = limits.check(Time(START), "points", &tenant, LimitShare::ALL));
    }
    let top = limits.most_rejected(10);
    let counts: Vec<u64> = top.iter().map(|rejections| rejections.count).collect();
    assert_eq!(counts, (20..30).rev().collect::<Vec<u64>>());
    assert_eq!((&*top[0].tenant, &*top[0].service), ("t29", "points"));
    assert_eq!(limits.rejected(), (0..30).sum::<u64>());
    assert_eq!(limits.limited_tenants("points").count(), 30);
}

#[test]
fn a_rate_or_burst_that_is_not_positive_and_finite_is_rejected() {
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert!(Limit::new(rate, 1).is_err(), "{rate}");
    }
    assert!(Limit::new(1.0, 0).is_err());
}
