//! Requests after a time in which answers were slower than the latency objective. Guards against a balancer that
//! rejects all of them: it gets no quicker answer, and so rejects them forever.

mod common;

use common::{MS, World, settings};
use sableloom_types::{Outcome, Span};

/// Sends these requests 100 ms apart, answers each forwarded one after 1 ms, and returns how many are rejected.
fn count_rejected(w: &mut World, ids: std::ops::Range<u64>) -> usize {
    let mut rejected = 0;
    for id in ids {
        w.advance(Span(100 * MS));
        w.request(id, 0);
        if w.rejected(id) {
            rejected += 1;
        } else {
            answer_after(w, id, 1);
        }
    }
    rejected
}

/// Lets the first attempt of a request succeed after `ms` milliseconds.
fn answer_after(w: &mut World, id: u64, ms: i64) {
    w.advance(Span(ms * MS));
    w.end_attempt(id, 0, Outcome::Ok);
}

#[test]
fn a_slow_first_answer_does_not_reject_all_later_requests() {
    let mut w = World::with_servers(settings(), 4);
    w.request(0, 0);
    // The latency objective is 200 ms.
    answer_after(&mut w, 0, 300);
    assert_eq!(count_rejected(&mut w, 1..1000), 0, "of 999, while servers answer within 1 ms");
}

#[test]
fn slow_answers_for_a_while_do_not_reject_all_later_requests() {
    let mut w = World::with_servers(settings(), 4);
    assert_eq!(count_rejected(&mut w, 0..200), 0);
    for id in 2000..2100 {
        w.advance(Span(10 * MS));
        w.request(id, 0);
        if !w.rejected(id) {
            answer_after(&mut w, id, 300);
        }
    }
    // The first of these requests may be rejected, since no answer has shown yet that the servers are quick again.
    count_rejected(&mut w, 3000..3100);
    assert_eq!(count_rejected(&mut w, 4000..4600), 0, "of 600 over 60 s of quick servers");
}

#[test]
fn a_slow_answer_does_not_permanently_reject_requests_with_less_time_than_the_objective() {
    let mut w = World::with_servers(settings(), 4);
    w.request(0, 0);
    // The answer meets the latency objective, but takes longer than the later clients wait.
    answer_after(&mut w, 0, 100);
    let mut rejected = Vec::new();
    for id in 1..2000 {
        w.advance(Span(100 * MS));
        w.request_until(id, 0, w.now.plus(Span(90 * MS)));
        if w.rejected(id) {
            rejected.push(id);
        } else {
            answer_after(&mut w, id, 1);
        }
    }
    // The estimate of the median timeout takes some requests to reach the new timeout.
    assert!(rejected.iter().all(|id| *id < 1000), "{:?} of 2,000", rejected.last());
}
