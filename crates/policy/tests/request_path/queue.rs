//! Which requests are queued, in which order, and which are rejected immediately.

use sableloom_types::{Action, Idempotency, Outcome, PolicySettings, ServerId, Span, TenantQuota};

use crate::common::{self, MS, World, settings};
use crate::{admitted_of_flood, serve};

#[test]
fn requests_are_queued_when_every_slot_is_taken_and_leave_in_order_of_arrival() {
    let mut w = World::with_servers(settings(), 1);
    let k = w.balancer.server_gauge(ServerId(0), Span(MS)).unwrap().max_in_flight;
    let k = u64::from(k);
    for id in 0..k + 2 {
        w.request(id, 0);
    }
    assert!((0..k).all(|id| w.in_flight_server(id).is_some()), "K_i requests are in flight");
    assert_eq!(
        (w.in_flight_server(k), w.in_flight_server(k + 1)),
        (None, None),
        "the others are queued"
    );
    w.advance(Span(10 * MS));
    w.end_attempt(0, 0, Outcome::Ok);
    assert!(w.in_flight_server(k).is_some(), "the head of the queue is forwarded first");
    let forwarded_id = |a: &Action| match a {
        Action::Forward { request, .. } => Some(request.0),
        _ => None,
    };
    let order: Vec<u64> = w.log.iter().filter_map(forwarded_id).collect();
    assert!(order.is_sorted(), "forwarded in order of arrival: {order:?}");
}

#[test]
fn rejects_at_once_when_queued_and_in_flight_reach_the_sum_of_n() {
    let mut w = World::with_servers(settings(), 2);
    for id in 0..500 {
        w.request(id, 0);
    }
    let rejected = (0..500).filter(|&id| w.rejected(id)).count();
    assert!(rejected > 300, "only {rejected} of 500 rejected");
    assert!(!w.rejected(0) && w.rejected(499));
}

#[test]
fn a_class_with_a_long_latency_objective_does_not_starve_a_short_one() {
    // Guards against a queue that fills with requests of long latency objectives, so that those with a short one are
    // rejected.
    let mut s = settings();
    s.classes[0].latency_objective = Span(2000 * MS);
    s.classes[0].deadline = Span(4000 * MS);
    let mut w = World::with_servers(s, 2);
    for id in 0..300 {
        w.request(id, 0);
    }
    w.advance(Span(20 * MS));
    for id in 0..4 {
        w.end_attempt(id, 0, Outcome::Ok);
    }
    w.request(1000, 2);
    assert!(!w.rejected(1000));
}

#[test]
fn a_request_with_too_little_time_left_is_rejected() {
    // Guards against retries that have only the time that their first try left, are queued, and are forwarded too late
    // to be answered: a sixth of all attempts timed out, evenly over the servers.
    let mut w = World::with_servers(settings(), 1);
    for id in 0..40 {
        w.request(id, 0);
        serve(&mut w, id, 60);
    }
    // Earlier answers took 60 ms: one of the two requests has less time left, the other more.
    w.request_until(100, 0, w.now.plus(Span(45 * MS)));
    assert_eq!(
        (w.requests[&100].attempts.len(), w.requests[&100].finished),
        (0, true),
        "rejected immediately"
    );
    w.request_until(101, 0, w.now.plus(Span(90 * MS)));
    assert_eq!(w.requests[&101].attempts.len(), 1, "forwarded, since there is time for an answer");
}

#[test]
fn a_tenant_beyond_its_quota_leaves_capacity_for_the_others() {
    // Guards against a tenant over its quota that takes the slots of the others in overload, although its requests over
    // the quota have little weight.
    let quota = |quota_rps| TenantQuota { quota_rps };
    let tenants = vec![quota(5.0), quota(1000.0)];
    let classes = vec![common::class(Idempotency::Idempotent)];
    let mut w = World::with_servers(PolicySettings { tenants, classes, ..settings() }, 2);
    w.advance(Span(500 * MS));
    let unanswered =
        |w: &World, ids: std::ops::Range<u64>| ids.filter(|id| !w.requests[id].finished).count();
    (0..100).for_each(|id| w.request(id, 0));
    let over_quota = unanswered(&w, 0..100);
    w.tenant = 1;
    (100..200).for_each(|id| w.request(id, 0));
    let within_quota = unanswered(&w, 100..200);
    assert!(
        over_quota > 0 && within_quota >= over_quota,
        "{within_quota} open within the quota, {over_quota} over it"
    );
    (w.tenant, w.now) = (0, w.now.plus(Span(20 * MS)));
    for _ in 0..20 {
        (0..200).for_each(|id| w.end_attempt(id, 0, Outcome::Ok));
    }
    w.advance(Span(1000 * MS));
    (200..300).for_each(|id| w.request(id, 0));
    assert!(unanswered(&w, 200..300) > 0, "the quota is refilled with time");
}

#[test]
fn retries_past_the_objective_of_their_first_try_get_the_smallest_share() {
    // Guards against retries past their latency objective that take the slots in overload: most answers came late.
    let admitted = |left_ms: i64| {
        let mut w = World::with_servers(settings(), 4);
        for id in 0..200 {
            w.request(id, 0);
            serve(&mut w, id, 10);
        }
        admitted_of_flood(&mut w, left_ms)
    };
    // A first try has 600 ms left. With 570 ms left, a request still counts as a first try; with 300 ms left, the
    // latency objective of 200 ms has passed.
    let (first_tries, slightly_delayed, late) = (admitted(600), admitted(570), admitted(300));
    assert!(first_tries < 200, "the flood must exceed the limit");
    assert_eq!(
        slightly_delayed, first_tries,
        "time spent on the way to the balancer does not make a request a retry"
    );
    assert!(
        late > 0 && late * 2 < first_tries,
        "{late} retries admitted, {first_tries} first tries"
    );
}

#[test]
fn retries_with_a_long_timeout_do_not_make_first_tries_look_late() {
    // Guards against a comparison with the longest timeout, by which all other requests look like late retries.
    let admitted = |longer_every: u64| {
        let mut w = World::with_servers(settings(), 4);
        for id in 0..200 {
            let wait = if id % longer_every == longer_every - 1 { 600 } else { 400 };
            w.request_until(id, 0, w.now.plus(Span(wait * MS)));
            serve(&mut w, id, 10);
        }
        admitted_of_flood(&mut w, 400)
    };
    let (some_longer, none_longer) = (admitted(5), admitted(1000));
    assert!(none_longer < 200, "the flood must exceed the limit");
    assert_eq!(some_longer, none_longer);
}

#[test]
fn excess_requests_are_rejected_where_no_server_can_be_reached() {
    // Guards against a sum of `N_i` that is zero because no server counts as usable: all requests were queued.
    let mut w = World::with_servers(settings(), 4);
    for id in 0..40 {
        w.request(id, 0);
        (0..3).for_each(|i| w.end_attempt(id, i, Outcome::ConnectFailed));
        w.advance(Span(10 * MS));
    }
    (1000..1500).for_each(|id| w.request(id, 0));
    let rejected = (1000..1500).filter(|&id| w.rejected(id)).count();
    assert!(rejected > 300, "{rejected} of 500 rejected immediately");
}
