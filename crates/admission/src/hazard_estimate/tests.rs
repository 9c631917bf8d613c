use super::*;

const MS: i64 = 1000;

/// Returns an estimate from waits, each given by its milliseconds, its outcome and how often it was observed.
fn estimate_of(waits: &[(i64, WaitOutcome, usize)]) -> HazardEstimate {
    let mut estimate = HazardEstimate::default();
    for (ms, outcome, times) in waits {
        (0..*times).for_each(|_| estimate.observe(Span(ms * MS), *outcome));
    }
    estimate.update_values(std::iter::empty());
    estimate
}

#[test]
fn each_age_has_its_bucket() {
    assert_eq!(age_bucket(Span(-5)), 0);
    assert_eq!(age_bucket(Span(1999)), 0);
    assert_eq!(age_bucket(Span(2000)), 1);
    assert_eq!(age_bucket(Span(i64::MAX)), AGE_BUCKETS - 1);
    for bucket in 0..AGE_BUCKETS {
        assert_eq!(age_bucket(bucket_start(bucket)), bucket);
    }
}

#[test]
fn exposure_of_all_buckets_sums_up_to_the_age() {
    for ms in [0, 1, 7, 60, 450, 2000, 9000] {
        let mut exposure = [0.0; AGE_BUCKETS];
        add_exposure(&mut exposure, Span(ms * MS));
        let sum: f64 = exposure.iter().sum();
        assert!((sum - ms as f64 / 1e3).abs() < 1e-9, "{ms}: {sum}");
    }
}

#[test]
fn a_kind_that_is_reused_soon_has_more_value_than_one_that_never_is() {
    let reused = estimate_of(&[(40, WaitOutcome::Completed, 200)]);
    let never = estimate_of(&[(2400, WaitOutcome::Censored, 200)]);
    assert!(reused.value(0) > 10.0 * never.value(0));
    // One event per 40 ms is 25 events per second.
    assert!(reused.value(0) > 15.0, "{}", reused.value(0));
    // Without observations, the prior gives a new connection a value of 100 events per second.
    assert!(never.value(0) < 3.0, "{}", never.value(0));
}

#[test]
fn a_wait_that_completes_late_has_its_value_from_the_start() {
    let late = estimate_of(&[(300, WaitOutcome::Completed, 500)]);
    // There is one event per 0.3 s, though none ever happens in the first 200 ms.
    assert!((2.5..4.5).contains(&late.value(0)), "{}", late.value(0));
    assert!(late.value(age_bucket(Span(250 * MS))) > late.value(0));
}

#[test]
fn clients_that_disconnect_lower_the_value() {
    let leaving =
        estimate_of(&[(40, WaitOutcome::Abandoned, 200), (40, WaitOutcome::Completed, 10)]);
    let staying = estimate_of(&[(40, WaitOutcome::Completed, 200)]);
    assert!(leaving.value(0) * 5.0 < staying.value(0));
}

#[test]
fn connections_that_still_wait_lower_the_value_at_their_age() {
    let mut estimate = estimate_of(&[(1, WaitOutcome::Completed, 50)]);
    let silent = age_bucket(Span(1500 * MS));
    let before = estimate.value(silent);
    estimate.update_values((0..100).map(|_| Span(2300 * MS)));
    assert!(estimate.value(silent) < before / 3.0);
    assert!(estimate.value(0) > 100.0, "new connections that send at once keep their value");
}

#[test]
fn observations_decay_to_the_prior() {
    let mut estimate = estimate_of(&[(2400, WaitOutcome::Censored, 200)]);
    let learnt = estimate.value(0);
    (0..400).for_each(|_| estimate.decay(0.9));
    estimate.update_values(std::iter::empty());
    assert!(learnt < estimate.value(0));
    assert!((estimate.value(0) * bucket_length(0) - PRIOR_COMPLETED_FRACTION).abs() < 1e-6);
}
