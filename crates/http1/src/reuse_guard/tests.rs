//! How often requests are held back, and when all are.

use super::*;

const SHORT_IDLE: Duration = Duration::from_millis(1);

fn held_back(guard: &ReuseGuard, now: Instant, requests: usize) -> usize {
    (0..requests)
        .filter(|_| guard.last_byte_hold(now, SHORT_IDLE, Idempotency::Idempotent).is_some())
        .count()
}

#[test]
fn one_idempotent_request_in_two_hundred_is_held_back_without_duplicate_answers() {
    let (guard, now) = (ReuseGuard::new(), Instant::now());
    assert_eq!(held_back(&guard, now, MAX_HOLD_BURST as usize), MAX_HOLD_BURST as usize);
    let held = held_back(&guard, now, 10_000);
    assert!((49..=51).contains(&held), "{held}");
}

#[test]
fn each_idempotent_request_is_held_back_for_a_while_after_a_duplicate_answer() {
    let (guard, now) = (ReuseGuard::new(), Instant::now());
    held_back(&guard, now, 1000);
    guard.unsolicited_bytes(now, SHORT_IDLE);
    assert_eq!(held_back(&guard, now + ALERT_TIME - SHORT_IDLE, 1000), 1000);
    assert!(held_back(&guard, now + ALERT_TIME, 1000) < 20);
    guard.unsolicited_bytes(now + ALERT_TIME, DUPLICATE_ANSWER_WINDOW);
    assert!(held_back(&guard, now + ALERT_TIME, 1000) < 20, "a server that says why it closes");
}

#[test]
fn no_last_byte_is_sent_before_duplicates_and_closes_are_detected() {
    let (guard, now) = (ReuseGuard::new(), Instant::now());
    for idempotency in [Idempotency::Keyed, Idempotency::NonIdempotent] {
        assert_eq!(
            guard.last_byte_hold(now, SHORT_IDLE, idempotency),
            Some(DUPLICATE_ANSWER_WAIT - SHORT_IDLE)
        );
        assert_eq!(
            guard.last_byte_hold(now, DUPLICATE_ANSWER_WAIT, idempotency),
            Some(CLOSE_DETECTION_HOLD)
        );
    }
    assert_eq!(
        guard.last_byte_hold(now, SHORT_IDLE, Idempotency::Idempotent),
        Some(DUPLICATE_ANSWER_WAIT - SHORT_IDLE)
    );
    assert_eq!(guard.last_byte_hold(now, DUPLICATE_ANSWER_WAIT, Idempotency::Idempotent), None);
}
