//! What waiting may cost, and when it is not spared.

use super::*;

const FRESH: Duration = Duration::from_millis(1);

fn waits(guard: &ReuseGuard, now: Instant, requests: usize) -> usize {
    (0..requests).filter(|_| guard.hold(now, FRESH, Idempotency::Idempotent).is_some()).count()
}

#[test]
fn one_safe_request_in_two_hundred_waits_where_no_second_answer_came() {
    let (guard, now) = (ReuseGuard::new(), Instant::now());
    assert_eq!(waits(&guard, now, WAITS_AHEAD as usize), WAITS_AHEAD as usize);
    let waited = waits(&guard, now, 10_000);
    assert!((49..=51).contains(&waited), "{waited}");
}

#[test]
fn each_safe_request_waits_for_a_while_after_a_second_answer() {
    let (guard, now) = (ReuseGuard::new(), Instant::now());
    waits(&guard, now, 1000);
    guard.unasked(now, FRESH);
    assert_eq!(waits(&guard, now + WARY_FOR - FRESH, 1000), 1000);
    assert!(waits(&guard, now + WARY_FOR, 1000) < 20);
    guard.unasked(now + WARY_FOR, SECOND_WITHIN);
    assert!(waits(&guard, now + WARY_FOR, 1000) < 20, "a server that says why it closes");
}

#[test]
fn no_request_leaves_whole_before_its_connection_has_rested_or_is_proven_open() {
    let (guard, now) = (ReuseGuard::new(), Instant::now());
    for idempotency in [Idempotency::Keyed, Idempotency::NonIdempotent] {
        assert_eq!(guard.hold(now, FRESH, idempotency), Some(RESTED - FRESH));
        assert_eq!(guard.hold(now, RESTED, idempotency), Some(PROOF));
    }
    assert_eq!(guard.hold(now, FRESH, Idempotency::Idempotent), Some(RESTED - FRESH));
    assert_eq!(guard.hold(now, RESTED, Idempotency::Idempotent), None);
}
