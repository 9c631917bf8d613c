//! The requests that may be in flight at a server: `K_i`, the concurrency limit, and this balancer's share of it.

use sableloom_types::{Endpoint, ListKind, Outcome, PolicySettings, ServerId, Span};

use crate::common::{MS, World, endpoint, settings};
use crate::{serve, serve_together};

#[test]
fn n_is_within_the_bounds_that_k_sets() {
    let mut w = World::with_servers(settings(), 1);
    for id in 0..200 {
        w.request(id, 0);
        if w.in_flight_server(id).is_none() {
            continue;
        }
        serve(&mut w, id, 50);
    }
    // The round trip is near zero and T_QoS is ten service times here, so that N_i is ten times the server's share of
    // the limit, which K_i rounds up.
    let gauge = w.balancer.server_gauge(ServerId(0), Span(500 * MS)).unwrap();
    let (k, n) = (gauge.max_in_flight, gauge.admission_limit);
    assert!(n >= 9.0 && n <= 10.5 * f64::from(k), "N {n} with K {k}");
}

#[test]
fn a_server_without_answers_has_one_slot_at_least() {
    let s = PolicySettings { balancers: 50, ..settings() };
    let w = World::with_servers(s, 4);
    for i in 0..4 {
        assert_eq!(w.balancer.server_gauge(ServerId(i), Span(MS)).unwrap().max_in_flight, 1);
    }
}

#[test]
fn the_slots_of_timed_out_attempts_stay_in_use_for_a_while() {
    // Guards against slots that are freed at the timeout: the server still executes the attempts and gets more on top.
    let mut w = World::with_servers(settings(), 1);
    let k = u64::from(w.balancer.server_gauge(ServerId(0), Span(MS)).unwrap().max_in_flight);
    for id in 0..k {
        w.request(id, 0);
    }
    for id in 0..k {
        w.advance(Span(10 * MS));
        w.end_attempt(id, 0, Outcome::Timeout);
    }
    let in_flight = w.balancer.server_gauge(ServerId(0), Span(MS)).unwrap().in_flight;
    assert!(in_flight > 0, "a timed-out attempt may still be executing");
    w.advance(Span(2000 * MS));
    assert_eq!(w.balancer.server_gauge(ServerId(0), Span(MS)).unwrap().in_flight, 0);
}

#[test]
fn the_limit_grows_with_the_number_of_servers() {
    // Guards against a limit that stays the same when the number of servers doubles: requests are rejected while
    // servers are idle.
    let mut w = World::with_servers(settings(), 2);
    (0..100).for_each(|id| w.request(id, 0));
    let count_in_flight =
        |w: &World| w.requests.keys().filter(|&&id| w.in_flight_server(id).is_some()).count();
    let before = count_in_flight(&w);
    w.update_list(ListKind::Update, &[endpoint(2, 0), endpoint(3, 1)]);
    (100..200).for_each(|id| w.request(id, 0));
    assert!(
        before < 100 && count_in_flight(&w) >= 2 * before,
        "{} in flight, {before} before",
        count_in_flight(&w)
    );
}

#[test]
fn a_high_limit_grows_more_slowly_than_a_low_one() {
    // Guards against limits that grow in proportion to their size and so stay unequal: of three balancers, one rejected
    // requests at its minimum, while another left half of its limit unused.
    let mut w = World::with_servers(settings(), 1);
    let mut id = 0;
    let mut k_after = |w: &mut World, answers: usize| {
        let target = w.forwards_to(0) + answers;
        while w.forwards_to(0) < target {
            (0..20).for_each(|i| w.request(id + i, 0));
            w.advance(Span(2 * MS));
            (id.saturating_sub(200)..id + 20).for_each(|i| w.end_attempt(i, 0, Outcome::Ok));
            id += 20;
        }
        f64::from(w.balancer.server_gauge(ServerId(0), Span(MS)).unwrap().max_in_flight)
    };
    let few = k_after(&mut w, 1);
    let more = k_after(&mut w, 400);
    let most = k_after(&mut w, 400);
    assert!(more > few, "the limit rises while latency is low: {few}, then {more}");
    assert!(most - more < 0.8 * (more - few), "the rise slows down: {few}, {more}, {most}");
}

#[test]
fn a_class_that_is_slow_without_load_does_not_lower_the_limit() {
    // Guards against a class that takes over half its latency objective even without load and so keeps the limit at its
    // minimum: half of its requests were rejected while cores were idle.
    let in_flight_after = |latencies: &[i64]| {
        let mut w = World::with_servers(settings(), 2);
        let mut id = 0;
        for &ms in latencies.iter().flat_map(|ms| std::iter::repeat_n(ms, 60)) {
            serve_together(&mut w, id..id + 20, ms);
            id += 20;
        }
        (id..id + 100).for_each(|i| w.request(i, 0));
        (id..id + 100).filter(|&i| w.in_flight_server(i).is_some()).count()
    };
    let (uncontended, contended) = (in_flight_after(&[120]), in_flight_after(&[20, 120]));
    assert_eq!(
        contended, 12,
        "the minimum of six for each server, once latency rises above the unloaded one"
    );
    assert!(
        uncontended > contended,
        "{uncontended} in flight at the unloaded latency, {contended} above it"
    );
}

#[test]
fn a_slow_rejection_does_not_raise_k() {
    let mut w = World::with_servers(settings(), 1);
    for id in 0..200 {
        w.request(id, 0);
        serve(&mut w, id, 10);
    }
    let k = |w: &World| w.balancer.server_gauge(ServerId(0), Span(MS)).unwrap().max_in_flight;
    let before = k(&w);
    w.request(300, 0);
    w.advance(Span(95 * MS));
    w.end_attempt(300, 0, Outcome::Rejected);
    w.advance(Span(400 * MS));
    assert!(k(&w) <= before + 1, "K is {}, {before} before", k(&w));
}

#[test]
fn the_limit_follows_the_usable_capacity() {
    // Guards against a pool of mostly cold servers in which the warm ones get the limit that is meant for all: they
    // answered hardly any request in time.
    let in_flight_with = |cold: u32| {
        let mut w = World::with_servers(PolicySettings { balancers: 40, ..settings() }, 100);
        let new = |i| Endpoint { started: Some(w.now), ..endpoint(i, i % 2) };
        let list: Vec<_> = (0..cold).map(new).collect();
        w.update_list(ListKind::Update, &list);
        (0..200).for_each(|id| w.request(id, 0));
        (0..200).filter(|&id| w.in_flight_server(id).is_some_and(|server| server.0 >= cold)).count()
    };
    let (all, with_most_cold) = (in_flight_with(0), in_flight_with(80));
    // A fifth of the servers is warm, and the others have a fifth of their capacity.
    assert!(
        with_most_cold * 100 <= all * 40,
        "{with_most_cold} at the warm servers, {all} when all are warm"
    );
    assert!(
        with_most_cold * 100 >= all * 15,
        "{with_most_cold} at the warm servers, {all} when all are warm"
    );
}

/// Sends all these requests at once, and returns how many are forwarded.
fn in_flight_of_flood(w: &mut World, ids: std::ops::Range<u64>) -> usize {
    ids.clone().for_each(|id| w.request(id, 0));
    let in_flight = ids.clone().filter(|id| w.in_flight_server(*id).is_some()).count();
    w.advance(Span(50 * MS));
    ids.for_each(|id| w.end_attempt(id, 0, Outcome::Ok));
    in_flight
}

#[test]
fn more_balancers_lower_the_limit_at_once_and_fewer_raise_it_to_the_initial_one() {
    let mut w = World::with_servers(PolicySettings { balancers: 4, ..settings() }, 16);
    let quarter = in_flight_of_flood(&mut w, 0..400);
    w.balancer.set_balancers(16);
    let sixteenth = in_flight_of_flood(&mut w, 400..800);
    assert!(sixteenth > 0 && sixteenth * 2 < quarter, "{sixteenth} of {quarter}");
    w.balancer.set_balancers(4);
    let again = in_flight_of_flood(&mut w, 800..1200);
    assert!(again > sixteenth && again <= quarter + 16, "{sixteenth}, then {again} of {quarter}");
    // A number of balancers that was set before the first list has no effect once it is corrected.
    let mut w = World::new(PolicySettings { balancers: 4, ..settings() });
    w.balancer.set_balancers(10_000);
    let list: Vec<_> = (0..16).map(|i| endpoint(i, i % 2)).collect();
    w.update_list(ListKind::Restored, &list);
    w.balancer.set_balancers(4);
    // N is computed again at the next housekeeping.
    w.advance(Span(20 * MS));
    let in_flight = in_flight_of_flood(&mut w, 0..400);
    assert!(in_flight <= quarter + 16 && in_flight * 2 > quarter, "{in_flight} of {quarter}");
    // Zero balancers count as one.
    w.balancer.set_balancers(0);
    assert!(in_flight_of_flood(&mut w, 400..800) >= in_flight);
}
