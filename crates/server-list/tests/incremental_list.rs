//! A list of servers that are changed one by one.

use sableloom_server_list::{IncrementalList, ServerChange, ServerDescription};
use sableloom_types::{EndpointStatus, ListedEndpoint, Span, Time};

const DRAIN_TIME: Span = Span(2_000_000);

fn server(id: &str, port: u16) -> ServerDescription {
    ServerDescription {
        id: id.into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "".into(),
        weight: 1.0,
        draining: false,
        started_ms: None,
    }
}

fn set(id: &str, port: u16) -> ServerChange {
    ServerChange::Set(server(id, port))
}

fn remove(id: &str) -> ServerChange {
    ServerChange::Remove(id.into())
}

fn seconds(seconds: i64) -> Time {
    Time(seconds * 1_000_000)
}

/// Name, port and status of each endpoint, sorted by name.
fn summary(mut endpoints: Vec<ListedEndpoint>) -> Vec<(String, u16, EndpointStatus)> {
    endpoints.sort_by(|a, b| a.id.cmp(&b.id));
    endpoints.iter().map(|e| (e.id.to_string(), e.address.port(), e.status)).collect()
}

fn row(id: &str, port: u16, status: EndpointStatus) -> (String, u16, EndpointStatus) {
    (id.to_string(), port, status)
}

fn list_of_three() -> IncrementalList {
    let mut list = IncrementalList::new(DRAIN_TIME);
    list.apply(seconds(1), vec![set("a", 1), set("b", 2), set("c", 3)]);
    list
}

#[test]
fn apply_returns_only_the_endpoints_that_changed() {
    let mut list = list_of_three();
    let changed = list.apply(seconds(2), vec![set("d", 4), remove("a")]);
    assert_eq!(
        summary(changed),
        [row("a", 1, EndpointStatus::Draining), row("d", 4, EndpointStatus::Live)]
    );
    assert_eq!(summary(list.remove_drained(seconds(3))), []);
    assert_eq!(list.next_drain_end(), Some(seconds(4)));
    assert_eq!(summary(list.remove_drained(seconds(4))), [row("a", 1, EndpointStatus::Gone)]);
    assert_eq!((list.len(), list.next_drain_end()), (3, None));
}

#[test]
fn servers_of_the_first_change_are_warm_and_later_ones_start_cold() {
    let mut list = list_of_three();
    assert!(list.endpoints().iter().all(|endpoint| endpoint.up_since_ms == 0.0));
    let changed = list.apply(seconds(9), vec![set("d", 4)]);
    assert_eq!(changed[0].up_since_ms, 9000.0);
    let stated = ServerDescription { started_ms: Some(5000.0), ..server("d", 4) };
    let changed = list.apply(seconds(10), vec![ServerChange::Set(stated)]);
    assert_eq!(changed[0].up_since_ms, 5000.0);
    // A server with the same id at another address counts as another machine.
    let changed = list.apply(seconds(11), vec![set("b", 20)]);
    assert_eq!(
        (summary(changed.clone()), changed[0].up_since_ms),
        (vec![row("b", 20, EndpointStatus::Live)], 11000.0)
    );
}

#[test]
fn a_server_that_returns_during_its_drain_is_live_again_and_not_removed() {
    let mut list = list_of_three();
    list.apply(seconds(2), vec![remove("a")]);
    let changed = list.apply(seconds(3), vec![set("a", 1)]);
    assert_eq!(
        (summary(changed.clone()), changed[0].up_since_ms),
        (vec![row("a", 1, EndpointStatus::Live)], 0.0)
    );
    assert_eq!((list.next_drain_end(), list.remove_drained(seconds(9))), (None, Vec::new()));
}

#[test]
fn an_address_keeps_its_endpoint_when_its_server_id_changes() {
    let mut list = list_of_three();
    // The endpoint of a renamed server keeps the first id of the server as its name.
    let changed = list.apply(seconds(2), vec![remove("a"), set("x", 1)]);
    assert_eq!(summary(changed), [row("a", 1, EndpointStatus::Live)]);
    assert_eq!(list.id_at(([127, 0, 0, 1], 1).into()), Some("x"));
    // Another server takes the id `a`. The name `a` is in use, so that the new endpoint gets another name.
    let changed = list.apply(seconds(3), vec![set("a", 5)]);
    assert_eq!(summary(changed), [row("a 2", 5, EndpointStatus::Live)]);
    // Two servers swap their addresses.
    list.apply(seconds(4), vec![set("b", 3), set("c", 2)]);
    let mut ids: Vec<&str> = list.ids().collect();
    ids.sort();
    assert_eq!((ids, list.next_drain_end()), (vec!["a", "b", "c", "x"], None));
    // A server moves to the address of a removed server, and the endpoint at its former address drains.
    let changed = list.apply(seconds(5), vec![remove("c"), set("b", 2)]);
    assert_eq!(
        summary(changed),
        [row("b", 2, EndpointStatus::Live), row("c", 3, EndpointStatus::Draining)]
    );
}

#[test]
fn draining_servers_and_servers_of_weight_0_are_listed_as_draining() {
    let mut list = list_of_three();
    let draining = ServerDescription { draining: true, ..server("a", 1) };
    let weightless = ServerDescription { weight: 0.0, ..server("b", 2) };
    let changes = vec![ServerChange::Set(draining), ServerChange::Set(weightless)];
    let changed = list.apply(seconds(2), changes);
    assert_eq!(
        summary(changed),
        [row("a", 1, EndpointStatus::Draining), row("b", 2, EndpointStatus::Draining)]
    );
}
