//! The four rules, over the table of effects and over random orders of events.

mod common;

use common::{MS, World, endpoint, settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sableloom_types::{Endpoint, EndpointStatus, ListKind, Outcome, Span, TenantQuota};

const SAFE: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;

/// What becomes of a request whose first attempt ended this way: sent again, rejected or failed.
fn after(class: usize, outcome: Outcome) -> &'static str {
    let mut w = World::with_servers(settings(), 4);
    w.request(1, class);
    w.pass(Span(5 * MS));
    w.outcome(1, 0, outcome);
    match (w.server_in_flight(1).is_some(), w.rejected(1), w.failed(1)) {
        (true, false, false) => "again",
        (false, true, false) => "rejected",
        (false, false, true) => "failed",
        other => panic!("{other:?}"),
    }
}

#[test]
fn what_follows_an_outcome_depends_on_idempotency_and_outcome() {
    let may_run = [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled];
    let not_executed = [Outcome::Rejected, Outcome::ConnectFailed, Outcome::Superseded];
    for o in not_executed.into_iter().chain(may_run) {
        assert_eq!(after(SAFE, o), "again", "{o:?}");
        assert_eq!(after(KEYED, o), "again", "{o:?}");
    }
    not_executed.iter().for_each(|o| assert_eq!(after(UNSAFE, *o), "again", "{o:?}"));
    may_run.iter().for_each(|o| assert_eq!(after(UNSAFE, *o), "failed", "{o:?}"));
}

#[test]
fn a_keyed_retry_outside_its_dedup_scope_fails_and_is_not_rejected() {
    let mut w = World::new(settings());
    w.update_list(ListKind::Full, &[endpoint(0, 0), endpoint(1, 1)]);
    w.request(1, KEYED);
    let first = w.server_in_flight(1).unwrap();
    let other = endpoint(1 - first.0, 1 - first.0);
    w.update_list(ListKind::Full, &[other]);
    w.outcome(1, 0, Outcome::Error);
    assert!(w.failed(1), "no live server would drop the repeat");
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut w = World::with_servers(settings(), 2);
    w.request(1, UNSAFE);
    w.request(2, SAFE);
    w.pass(Span(601 * MS));
    assert!(w.failed(1) && w.requests[&2].over);
}

#[test]
fn queued_requests_are_not_forwarded_to_a_draining_server() {
    let mut w = World::with_servers(settings(), 2);
    for id in 0..30 {
        w.request(id, SAFE);
    }
    let draining = Endpoint { status: EndpointStatus::Draining, ..endpoint(0, 0) };
    w.update_list(ListKind::Update, &[draining]);
    let before = w.forwards_to(0);
    for id in 0..30 {
        w.pass(Span(MS));
        w.outcome(id, 0, Outcome::Ok);
    }
    assert_eq!(w.forwards_to(0), before);
    assert!(w.forwards_to(1) > 0);
}

#[derive(Clone, Debug)]
enum Event {
    Request { class: usize, wait_ms: i64 },
    Outcome { id: u64, attempt: usize, outcome: Outcome },
    Pass { ms: i64 },
    Gone { id: u64 },
    List { id: u32, status: EndpointStatus, cold: bool },
    FullList { count: u32 },
    Unavailable,
    StrayTimer { token: u64 },
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => Just(Outcome::Ok),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::Cancelled),
        1 => Just(Outcome::Superseded),
    ]
}

fn events() -> impl Strategy<Value = Event> {
    let status = prop_oneof![
        Just(EndpointStatus::Live),
        Just(EndpointStatus::Draining),
        Just(EndpointStatus::Gone)
    ];
    prop_oneof![
        8 => (0..3usize, 0..700i64).prop_map(|(class, wait_ms)| Event::Request { class, wait_ms }),
        8 => (0..60u64, 0..3usize, outcomes())
            .prop_map(|(id, attempt, outcome)| Event::Outcome { id, attempt, outcome }),
        6 => (0..80i64).prop_map(|ms| Event::Pass { ms }),
        1 => (0..60u64).prop_map(|id| Event::Gone { id }),
        2 => (0..8u32, status, any::<bool>())
            .prop_map(|(id, status, cold)| Event::List { id, status, cold }),
        1 => (0..8u32).prop_map(|count| Event::FullList { count }),
        1 => Just(Event::Unavailable),
        1 => (0..9u64).prop_map(|token| Event::StrayTimer { token }),
    ]
}

fn play(w: &mut World, events: Vec<Event>) {
    let mut next = 0;
    for event in events {
        match event {
            Event::Request { class, wait_ms } => {
                w.request_until(next, class, w.now.plus(Span(wait_ms * MS)));
                next += 1;
            }
            Event::Outcome { id, attempt, outcome } => w.outcome(id, attempt, outcome),
            Event::Pass { ms } => w.pass(Span(ms * MS)),
            Event::Gone { id } => w.client_gone(id),
            Event::List { id, status, cold } => {
                let started = cold.then_some(w.now);
                w.update_list(
                    ListKind::Update,
                    &[Endpoint { status, started, ..endpoint(id, id % 2) }],
                );
            }
            Event::FullList { count } => {
                let list: Vec<_> = (0..count).map(|i| endpoint(i, i % 2)).collect();
                w.update_list(ListKind::Full, &list);
            }
            Event::Unavailable => w.update_list(ListKind::Unavailable, &[]),
            Event::StrayTimer { token } => {
                let mut server_in_flight = vec![];
                w.balancer.timer_fired(w.now, token + 1000, &mut server_in_flight);
                assert!(server_in_flight.is_empty());
            }
        }
    }
}

#[test]
fn the_safety_rules_hold_over_any_order_of_events() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (any::<[bool; 3]>(), prop::collection::vec(events(), 1..250));
    let result = runner.run(&input, |([copies, polls, keys], events)| {
        let mut s = settings();
        (s.limits.hedging, s.polls_endpoint_list, s.key_affinity) = (copies, polls, keys);
        if copies {
            s.tenants = vec![TenantQuota { quota_rps: 5.0 }];
        }
        let mut w = World::with_servers(s, 4);
        play(&mut w, events);
        // Whatever happened, every client has one answer once its time is up.
        w.pass(Span(2000 * MS));
        let owed: Vec<_> = w.requests.iter().filter(|(_, a)| !a.over).map(|(id, _)| id).collect();
        prop_assert!(owed.is_empty(), "no final answer for {:?}", owed);
        Ok(())
    });
    result.unwrap();
}
