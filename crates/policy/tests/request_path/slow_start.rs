//! Servers that have just started: how fast they get work.

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
    let (cold, warm) =
        (w.forwards_to(9), (w.forwards_to(0) + w.forwards_to(1) + w.forwards_to(2)) / 6);
    assert!(cold > 0, "it must get some work");
    assert!(cold * 2 < warm, "{cold} sends while a warm one had {warm}");
}

#[test]
fn a_fleet_in_which_every_server_warms_up_gets_requests() {
    // Failure: the pace came from warm servers alone, and there was none.
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
    assert!(served > 20, "only {served} of 400 were sent");
    assert!(served < 300, "{served} sends in 4 s would push a cold fleet over");
}

#[test]
fn servers_that_warm_up_are_not_held_back_when_the_warm_ones_slow_down() {
    // Failure: after growth the old servers slowed, and the pace of the new ones fell with them.
    let mut w = World::with_servers(settings(), 2);
    let mut id = 0;
    let mut forwards_to_cold = |w: &mut World, rounds: i64, warm_every: i64| {
        let before = w.forwards_to(2);
        for round in 0..rounds {
            for _ in 0..4 {
                w.request(id, 0);
                id += 1;
            }
            w.advance(Span(20 * MS));
            for earlier in id.saturating_sub(40)..id {
                let warm = w.in_flight_server(earlier).is_some_and(|s| s.0 < 2);
                if !warm || round % warm_every == 0 {
                    w.end_attempt(earlier, 0, Outcome::Ok);
                }
            }
        }
        w.forwards_to(2) - before
    };
    forwards_to_cold(&mut w, 100, 1);
    w.update_list(ListKind::Update, &[Endpoint { started: Some(w.now), ..endpoint(2, 0) }]);
    let quick = forwards_to_cold(&mut w, 100, 1);
    forwards_to_cold(&mut w, 100, 25);
    let slow = forwards_to_cold(&mut w, 100, 25);
    assert!(quick > 5 && slow >= quick, "{slow} sends after {quick}");
}

/// Sends to server `cold`, which restarts in a fleet of `n`, in the two seconds after a list
/// of all `n` tells of it; until then the balancer knew the first `known` alone.
fn forwards_after_restart(cold: u32, known: u32, n: u32) -> usize {
    let mut w = World::with_servers(settings(), known);
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
    // Failure: it earned its sends by sums still half made, had the whole fleet's rate, fell over.
    let (first, last) = (forwards_after_restart(0, 20, 20), forwards_after_restart(19, 20, 20));
    assert!(last > 0 && first > 0 && first <= 2 * last, "{first} sends against {last}");
}

#[test]
fn an_update_of_a_stale_list_does_not_overload_cold_servers() {
    // Failure: the rate of the few servers on a stale list paced the cold of the whole fleet.
    let (stale, current) = (forwards_after_restart(39, 2, 40), forwards_after_restart(39, 40, 40));
    assert!(current > 0 && stale > 0 && stale <= 2 * current, "{stale} sends against {current}");
}

#[test]
fn a_fleet_that_restarts_but_for_one_server_is_not_overloaded() {
    // Failure: what many servers had served was taken for the rate of the one still warm.
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
    let warm = run(&mut w, 100) / 20;
    let cold = |i| Endpoint { started: (i > 0).then_some(w.now), ..endpoint(i, i % 2) };
    let list: Vec<_> = (0..40).map(cold).collect();
    w.update_list(ListKind::Full, &list);
    // At a fifth of the capacity, twice that for chance; before it is known what one can serve.
    let cold = run(&mut w, 5);
    assert!(cold > 0 && cold <= 2 * warm / 5, "{cold} sends in 0.1 s, {warm} when warm");
}
