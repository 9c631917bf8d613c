//! The rate at which servers that have just started get requests.

use sableloom_types::{Endpoint, ListKind, Outcome, Span};

use crate::common::{MS, World, endpoint, settings};
use crate::{serve, serve_together};

#[test]
fn a_server_that_warms_up_gets_few_requests() {
    let mut w = World::with_servers(settings(), 3);
    for id in 0..200 {
        w.request(id, 0);
        serve(&mut w, id, 5);
    }
    let cold = Endpoint { started: Some(w.now), ..endpoint(9, 0) };
    w.update_list(ListKind::Update, &[cold]);
    for id in 200..400 {
        w.request(id, 0);
        serve(&mut w, id, 5);
    }
    // `warm` is the mean of the three warm servers, halved: the cold server was listed for 200 of the 400 requests.
    let (cold, warm) =
        (w.forwards_to(9), (w.forwards_to(0) + w.forwards_to(1) + w.forwards_to(2)) / 6);
    assert!(cold > 0, "the cold server must get requests");
    assert!(cold * 2 < warm, "{cold} forwards to the cold server, {warm} to a warm one");
}

#[test]
fn a_pool_in_which_every_server_warms_up_gets_requests() {
    // Guards against a rate that comes from warm servers alone: in a pool that had none, no server got a request.
    let mut w = World::new(settings());
    let cold = |i| Endpoint { started: Some(w.now), ..endpoint(i, 0) };
    let list: Vec<_> = (0..4).map(cold).collect();
    w.update_list(ListKind::Full, &list);
    let mut served = 0;
    for id in 0..400 {
        w.request(id, 0);
        served += usize::from(w.in_flight_server(id).is_some());
        serve(&mut w, id, 10);
    }
    assert!(served > 20, "only {served} of 400 were forwarded");
    assert!(served < 300, "{served} forwards in 4 s would overload a cold pool");
}

#[test]
fn servers_that_warm_up_are_not_held_back_when_the_warm_ones_slow_down() {
    // Guards against cold servers being limited to the current rate of the warm ones: after servers were added, the old
    // ones slowed down, and the rate of the new ones fell as well.
    let mut w = World::with_servers(settings(), 2);
    let mut id = 0;
    // Each round sends four requests, and then ends the attempts of the last forty: those at the cold server always,
    // those at the warm ones only in every `warm_answer_rounds`-th round.
    let mut forwards_to_cold = |w: &mut World, rounds: i64, warm_answer_rounds: i64| {
        let before = w.forwards_to(2);
        for round in 0..rounds {
            for _ in 0..4 {
                w.request(id, 0);
                id += 1;
            }
            w.advance(Span(20 * MS));
            for earlier in id.saturating_sub(40)..id {
                let warm = w.in_flight_server(earlier).is_some_and(|s| s.0 < 2);
                if !warm || round % warm_answer_rounds == 0 {
                    w.end_attempt(earlier, 0, Outcome::Ok);
                }
            }
        }
        w.forwards_to(2) - before
    };
    forwards_to_cold(&mut w, 100, 1);
    w.update_list(ListKind::Update, &[Endpoint { started: Some(w.now), ..endpoint(2, 0) }]);
    let before_slowdown = forwards_to_cold(&mut w, 100, 1);
    forwards_to_cold(&mut w, 100, 25);
    let after_slowdown = forwards_to_cold(&mut w, 100, 25);
    assert!(
        before_slowdown > 5 && after_slowdown >= before_slowdown,
        "{after_slowdown} forwards, {before_slowdown} before the warm servers slowed down"
    );
}

/// The number of forwards to the server `cold`, which restarts in a pool of `n`, in the two seconds after a list of all
/// `n` reports the restart. The list before contains only the first `listed_before` servers.
fn forwards_after_restart(cold: u32, listed_before: u32, n: u32) -> usize {
    let mut w = World::with_servers(settings(), listed_before);
    let mut id = 0;
    let mut run = |w: &mut World| {
        for _ in 0..100 {
            serve_together(w, id..id + 20, 20);
            id += 20;
        }
    };
    run(&mut w);
    let started = |i| (i == cold).then_some(w.now);
    let list: Vec<_> =
        (0..n).map(|i| Endpoint { started: started(i), ..endpoint(i, i % 2) }).collect();
    let before = w.forwards_to(cold);
    w.update_list(ListKind::Full, &list);
    run(&mut w);
    w.forwards_to(cold) - before
}

#[test]
fn the_first_cold_server_of_a_list_gets_no_more_than_the_last() {
    // Guards against tokens that are refilled while the sums over the servers are incomplete: the first server of the
    // list got the rate of the whole pool and was overloaded.
    let (first, last) = (forwards_after_restart(0, 20, 20), forwards_after_restart(19, 20, 20));
    assert!(
        last > 0 && first > 0 && first <= 2 * last,
        "{first} forwards to the first server, {last} to the last"
    );
}

#[test]
fn an_update_of_a_stale_list_does_not_overload_cold_servers() {
    // Guards against the rate of a few servers, from a stale list, being applied to each cold server of the whole pool.
    let (stale, current) = (forwards_after_restart(39, 2, 40), forwards_after_restart(39, 40, 40));
    assert!(
        current > 0 && stale > 0 && stale <= 2 * current,
        "{stale} forwards after a stale list, {current} after a current one"
    );
}

#[test]
fn a_pool_that_restarts_except_for_one_server_is_not_overloaded() {
    // Guards against counting the rate that many warm servers had together as that of the one that is still warm.
    let mut w = World::with_servers(settings(), 40);
    let mut id = 0;
    let mut run = |w: &mut World, rounds: u32| {
        let cold = |w: &World| (1..40).map(|i| w.forwards_to(i)).sum::<usize>();
        let before = cold(w);
        for _ in 0..rounds {
            serve_together(w, id..id + 8, 20);
            id += 8;
        }
        cold(w) - before
    };
    // The mean number of forwards to servers 1 to 39 in five of the 100 rounds, while they are warm.
    let warm = run(&mut w, 100) / 20;
    let cold = |i| Endpoint { started: (i > 0).then_some(w.now), ..endpoint(i, i % 2) };
    let list: Vec<_> = (0..40).map(cold).collect();
    w.update_list(ListKind::Full, &list);
    // The cold servers have a fifth of their capacity; twice that allows for chance. Five rounds are too short for the
    // balancer to measure the higher rate of the one warm server. Once it has, the cold ones get more requests as well.
    let cold = run(&mut w, 5);
    assert!(cold > 0 && cold <= 2 * warm / 5, "{cold} forwards in 0.1 s, {warm} when warm");
}
