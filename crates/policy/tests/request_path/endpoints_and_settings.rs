//! Decisions with an endpoint list that is empty or missing, and with settings that are unusable.

use sableloom_policy::Balancer;
use sableloom_types::{
    Action, ListKind, PolicySettings, PolicySettingsError, ServerId, Span, Time,
};

use crate::common::{MS, World, endpoint, settings};

#[test]
fn with_an_empty_list_requests_are_queued_until_a_server_is_listed() {
    let mut w = World::new(settings());
    w.request(1, 2);
    assert!(w.in_flight_server(1).is_none() && !w.rejected(1));
    w.update_list(ListKind::Full, &[endpoint(0, 0)]);
    assert_eq!(w.in_flight_server(1), Some(ServerId(0)));
}

#[test]
fn with_an_empty_list_a_request_is_rejected_before_its_latency_objective() {
    let mut w = World::new(settings());
    w.request(1, 2);
    w.advance(Span(200 * MS));
    assert!(w.rejected(1), "rejected before the latency objective has passed");
}

#[test]
fn the_list_is_polled_again_after_the_subscription_breaks() {
    let mut w = World::new(PolicySettings { polls_endpoint_list: true, ..settings() });
    let polls = |w: &World| w.log.iter().filter(|a| **a == Action::Subscribe).count();
    w.advance(Span(2000 * MS));
    assert_eq!(polls(&w), 1);
    w.update_list(ListKind::Full, &[endpoint(0, 0)]);
    w.advance(Span(30_000 * MS));
    assert_eq!(polls(&w), 1, "no poll while the subscription is open");
    w.update_list(ListKind::Unavailable, &[]);
    w.advance(Span(3000 * MS));
    assert_eq!(polls(&w), 2);
    w.advance(Span(10_000 * MS));
    assert!(polls(&w) > 2, "a poll without an answer is repeated within the poll interval");
}

#[test]
fn unusable_settings_are_an_error_or_replaced_by_safe_values() {
    let no_classes = PolicySettings { classes: vec![], ..settings() };
    assert_eq!(Balancer::new(no_classes, 1, Time(0)).err(), Some(PolicySettingsError::NoClasses));
    let mut zero_objective = settings();
    zero_objective.classes[1].latency_objective = Span(0);
    assert_eq!(
        Balancer::new(zero_objective, 1, Time(0)).err(),
        Some(PolicySettingsError::NonPositiveTime(1))
    );
    // With zero for these three, time would not advance, limits would be divided by zero, and servers would stay cold.
    let mut out_of_range = PolicySettings { tick: Span(0), balancers: 0, ..settings() };
    out_of_range.safety_rules.slow_start_initial_share = 0.0;
    let mut w = World::with_servers(out_of_range, 1);
    w.request(1, 0);
    assert!(w.in_flight_server(1).is_some());
}
