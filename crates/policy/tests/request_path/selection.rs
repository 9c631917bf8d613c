//! The server that a request is forwarded to, by latency, failures, keys, machine types and zones.

use sableloom_types::{Endpoint, ListKind, Outcome, PolicySettings, ServerId, Span};

use crate::common::{MS, World, endpoint, settings};
use crate::serve;

#[test]
fn a_server_that_fails_quickly_is_not_preferred() {
    // Guards against a server that fails quickly, looks fast for that reason and gets most requests.
    let mut w = World::with_servers(settings(), 4);
    for id in 0..400 {
        w.request(id, 0);
        let Some(server) = w.in_flight_server(id) else { continue };
        let ms = if server.0 == 0 { 1 } else { 20 };
        w.advance(Span(ms * MS));
        w.end_attempt(id, 0, if server.0 == 0 { Outcome::Error } else { Outcome::Ok });
        if w.in_flight_server(id).is_some() {
            w.advance(Span(20 * MS));
            w.end_attempt(id, 1, Outcome::Ok);
        }
    }
    assert!(
        w.forwards_to(0) * 8 < w.forwards_to(1),
        "{} attempts at the failing server, {} at another",
        w.forwards_to(0),
        w.forwards_to(1)
    );
}

#[test]
fn requests_with_one_key_are_forwarded_to_one_server_while_it_has_a_free_slot() {
    let mut w = World::with_servers(PolicySettings { key_affinity: true, ..settings() }, 8);
    // The key of a request is its id modulo five, so these requests have the same key.
    for i in 0..10 {
        w.request(i * 5, 0);
        serve(&mut w, i * 5, 20);
    }
    let first = w.requests[&0].attempts[0].server;
    assert!((0..10).all(|i| w.requests[&(i * 5)].attempts[0].server == first));
}

#[test]
fn an_unreachable_server_is_tried_with_growing_pauses() {
    // Guards against frequent attempts at the servers of an unreachable zone, which stay on the list: they got a third
    // of all attempts.
    let mut w = World::with_servers(settings(), 2);
    let mut forwards_by_half = [0; 2];
    for id in 0..400 {
        let before = w.forwards_to(0);
        w.request(id, 0);
        for attempt in 0..3 {
            match w.in_flight_server(id) {
                Some(ServerId(0)) => w.end_attempt(id, attempt, Outcome::ConnectFailed),
                Some(_) => {
                    w.advance(Span(10 * MS));
                    w.end_attempt(id, attempt, Outcome::Ok);
                }
                None => {}
            }
        }
        forwards_by_half[usize::from(id >= 200)] += w.forwards_to(0) - before;
    }
    assert!(forwards_by_half[0] > 1, "the server is tried more than once");
    assert!(
        forwards_by_half[1] < forwards_by_half[0] && forwards_by_half[1] <= 12,
        "{forwards_by_half:?}"
    );
}

#[test]
fn an_overloaded_zone_spills_into_an_idle_one() {
    // Guards against a strict preference for local servers: a zone with more clients than servers was overloaded while
    // others were idle.
    let forwards_with_local_latency = |local_ms: i64| {
        let mut w = World::with_servers(PolicySettings { cross_zone_price: 0.1, ..settings() }, 4);
        for id in 0..600 {
            w.request(id, 0);
            let Some(ServerId(server)) = w.in_flight_server(id) else { continue };
            serve(&mut w, id, if server % 2 == 0 { local_ms } else { 5 });
        }
        (w.forwards_to(0) + w.forwards_to(2), w.forwards_to(1) + w.forwards_to(3))
    };
    let (local, remote) = forwards_with_local_latency(5);
    assert!(
        remote * 20 < local,
        "crossing zones has a price: {remote} remote attempts, {local} local ones"
    );
    let (slow_local, spilled) = forwards_with_local_latency(60);
    assert!(
        spilled > 5 * remote,
        "a slow zone spills over: {spilled} remote attempts, {slow_local} local, {remote} remote before"
    );
}

#[test]
fn a_class_is_forwarded_to_the_machine_type_that_serves_it_quickly() {
    // Guards against one slowness for all classes: two machine types that are each quick at one class and slow at the
    // other looked alike.
    let mut w = World::new(settings());
    let list: Vec<_> = (0..4).map(|i| Endpoint { machine_type: i % 2, ..endpoint(i, 0) }).collect();
    w.update_list(ListKind::Restored, &list);
    let is_quick_at = |class: usize, server: ServerId| class as u32 == server.0 % 2;
    let mut forwards_to_quick = [0; 2];
    for id in 0..800 {
        let class = (id / 2 % 2) as usize;
        w.request(id, class);
        let server = w.requests[&id].attempts[0].server;
        if id >= 400 {
            forwards_to_quick[class] += i32::from(is_quick_at(class, server));
        }
        serve(&mut w, id, if is_quick_at(class, server) { 10 } else { 40 });
    }
    assert!(
        forwards_to_quick.iter().all(|&n| n > 140),
        "forwarded to the quick type, of 200 for each class: {forwards_to_quick:?}"
    );
}

#[test]
fn a_server_that_fails_one_class_is_ejected_for_that_class_alone() {
    for outcome in [Outcome::Rejected, Outcome::Error, Outcome::Reset] {
        let mut w = World::with_servers(settings(), 1);
        let (mut failed, mut served) = (0, 0);
        for id in 0..400 {
            let class = (id % 2) as usize;
            w.request(id, class);
            w.advance(Span(5 * MS));
            if w.in_flight_server(id).is_some() {
                if class == 0 {
                    w.end_attempt(id, 0, outcome);
                    failed += 1;
                } else {
                    w.end_attempt(id, 0, Outcome::Ok);
                    served += 1;
                }
            }
        }
        assert!(served > 190, "{outcome:?}: {served} of the other class were served");
        assert!(failed < 60, "{outcome:?}: {failed} of 200 attempts failed there");
    }
}

/// The number of forwards to each server among the last `counted` of `requests` requests, where each server takes `ms`.
fn forwards_by_server(
    list: &[Endpoint],
    requests: u64,
    counted: u64,
    ms: impl Fn(u32) -> i64,
) -> Vec<u64> {
    let mut w = World::new(settings());
    w.update_list(ListKind::Restored, list);
    let mut forwards = vec![0; list.len()];
    for id in 0..requests {
        w.request(id, 0);
        let server = w.requests[&id].attempts[0].server.0;
        forwards[server as usize] += u64::from(id + counted >= requests);
        serve(&mut w, id, ms(server));
    }
    forwards
}

#[test]
fn servers_with_few_answers_use_the_estimate_of_their_machine_type() {
    // Guards against estimates by server alone: each of 300 balancers had one or two answers of a server in a whole
    // day, so that all servers seemed equal. 75 small ones got 38% of all attempts, and a quarter of these failed.
    let list: Vec<_> =
        (0..200).map(|i| Endpoint { machine_type: i % 2, ..endpoint(i, 0) }).collect();
    let forwards =
        forwards_by_server(&list, 200, 120, |server| if server % 2 == 0 { 20 } else { 60 });
    let quick: u64 = forwards.iter().step_by(2).sum();
    assert!(
        quick > 90,
        "{quick} of the last 120 at the quick type, after 80 answers from 200 servers"
    );
}

/// The number of attempts at the twenty servers of an unreachable zone, for forty requests, while the twenty servers of
/// another zone answer.
fn attempts_in_an_unreachable_zone() -> usize {
    let mut w = World::with_servers(settings(), 40);
    let mut attempts = 0;
    for id in 0..40 {
        w.request(id, 0);
        for attempt in 0..3 {
            match w.requests[&id].attempts.get(attempt).map(|t| t.server.0 % 2) {
                Some(1) => w.end_attempt(id, attempt, Outcome::ConnectFailed),
                Some(_) => {
                    w.advance(Span(10 * MS));
                    w.end_attempt(id, attempt, Outcome::Ok);
                }
                None => {}
            }
        }
        attempts += w.requests[&id].attempts.iter().filter(|t| t.server.0 % 2 == 1).count();
    }
    attempts
}

#[test]
fn an_unreachable_zone_is_selected_last() {
    // Guards against ejection by server alone: each balancer had to detect every server of the zone separately, and a
    // fifth of the attempts of the fleet waited for connections that were never established.
    let attempts = attempts_in_an_unreachable_zone();
    assert!((1..10).contains(&attempts), "{attempts} attempts at twenty unreachable servers");
}

#[test]
fn a_zone_that_answers_again_is_selected_again() {
    // Guards against an ejection that outlasts its cause: the zone would get one request at a time forever.
    let mut w = World::with_servers(settings(), 4);
    let in_unreachable_zone =
        |w: &World, id| w.in_flight_server(id).is_some_and(|server: ServerId| server.0 % 2 == 1);
    for id in 0..8 {
        w.request(id, 0);
        for attempt in 0..3 {
            let outcome =
                if in_unreachable_zone(&w, id) { Outcome::ConnectFailed } else { Outcome::Ok };
            w.end_attempt(id, attempt, outcome);
        }
    }
    let mut forwards_to_zone = 0;
    for round in 0..50 {
        let ids = 100 + round * 8..108 + round * 8;
        ids.clone().for_each(|id| w.request(id, 0));
        forwards_to_zone +=
            ids.clone().filter(|&id| round >= 25 && in_unreachable_zone(&w, id)).count();
        w.advance(Span(20 * MS));
        ids.for_each(|id| w.end_attempt(id, 0, Outcome::Ok));
    }
    assert!(
        forwards_to_zone > 60,
        "{forwards_to_zone} of 200 forwarded to the zone after it recovered"
    );
}
