//! What the decisions start from: lists of servers that are empty or missing, and settings that make no sense.

use sableloom_policy::decide::Balancer;
use sableloom_types::*;

use crate::common::{MS, World, member, settings};

#[test]
fn an_empty_list_holds_until_an_upstream_appears() {
    let mut w = World::new(settings());
    w.request(1, 2);
    assert!(w.out(1).is_none() && !w.refused(1));
    w.list(ListKind::Full, &[member(0, 0)]);
    assert_eq!(w.out(1), Some(ServerId(0)));
}

#[test]
fn an_empty_list_refuses_while_it_is_harmless() {
    let mut w = World::new(settings());
    w.request(1, 2);
    w.pass(Span(200 * MS));
    assert!(w.refused(1), "refused before the aim is lost");
}

#[test]
fn asks_for_the_list_again_after_a_break() {
    let mut w = World::new(PolicySettings { polls: true, ..settings() });
    let asked = |w: &World| w.log.iter().filter(|a| **a == Action::Subscribe).count();
    w.pass(Span(2000 * MS));
    assert_eq!(asked(&w), 1);
    w.list(ListKind::Full, &[member(0, 0)]);
    w.pass(Span(30_000 * MS));
    assert_eq!(asked(&w), 1, "a subscription stands");
    w.list(ListKind::Unavailable, &[]);
    w.pass(Span(3000 * MS));
    assert_eq!(asked(&w), 2);
    w.pass(Span(10_000 * MS));
    assert!(asked(&w) > 2, "silence is asked again within AskEvery");
}

#[test]
fn nonsense_settings_are_refused_or_made_safe() {
    let none = PolicySettings { classes: vec![], ..settings() };
    assert_eq!(Balancer::new(none, 1, Time(0)).err(), Some(PolicySettingsError::NoClasses));
    let mut bad = settings();
    bad.classes[1].latency_objective = Span(0);
    assert_eq!(
        Balancer::new(bad, 1, Time(0)).err(),
        Some(PolicySettingsError::BadLatencyObjective(1))
    );
    let mut odd = PolicySettings { tick: Span(0), balancers: 0, ..settings() };
    odd.rules.slow_start_initial_share = 0.0;
    let mut w = World::with_servers(odd, 1);
    w.request(1, 0);
    assert!(w.out(1).is_some());
}
