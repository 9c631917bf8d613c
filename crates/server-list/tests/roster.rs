//! Servers that change one by one.

use sableloom_server_list::{Roster, RosterChange, RosterServer};
use sableloom_types::{EndpointStatus, ListedEndpoint, Span, Time};

const DRAIN: Span = Span(2_000_000);

fn server(id: &str, port: u16) -> RosterServer {
    RosterServer {
        id: id.into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "".into(),
        weight: 1.0,
        draining: false,
        started_ms: None,
    }
}

fn set(id: &str, port: u16) -> RosterChange {
    RosterChange::Set(server(id, port))
}

fn remove(id: &str) -> RosterChange {
    RosterChange::Remove(id.into())
}

fn seconds(seconds: i64) -> Time {
    Time(seconds * 1_000_000)
}

/// Name, port and state of each entry, in order.
fn told(mut entries: Vec<ListedEndpoint>) -> Vec<(String, u16, EndpointStatus)> {
    entries.sort_by(|a, b| a.id.cmp(&b.id));
    entries.iter().map(|e| (e.id.to_string(), e.address.port(), e.status)).collect()
}

fn row(id: &str, port: u16, status: EndpointStatus) -> (String, u16, EndpointStatus) {
    (id.to_string(), port, status)
}

fn filled() -> Roster {
    let mut roster = Roster::new(DRAIN);
    roster.apply(seconds(1), vec![set("a", 1), set("b", 2), set("c", 3)]);
    roster
}

#[test]
fn a_change_gives_only_what_it_touched() {
    let mut roster = filled();
    let entries = roster.apply(seconds(2), vec![set("d", 4), remove("a")]);
    assert_eq!(
        told(entries),
        [row("a", 1, EndpointStatus::Draining), row("d", 4, EndpointStatus::Live)]
    );
    assert_eq!(told(roster.tick(seconds(3))), []);
    assert_eq!(roster.next(), Some(seconds(4)));
    assert_eq!(told(roster.tick(seconds(4))), [row("a", 1, EndpointStatus::Gone)]);
    assert_eq!((roster.len(), roster.next()), (3, None));
}

#[test]
fn servers_at_first_have_long_been_up_and_later_ones_start_cold() {
    let mut roster = filled();
    assert!(roster.entries().iter().all(|entry| entry.up_since_ms == 0.0));
    let entries = roster.apply(seconds(9), vec![set("d", 4)]);
    assert_eq!(entries[0].up_since_ms, 9000.0);
    let stated = RosterServer { started_ms: Some(5000.0), ..server("d", 4) };
    let entries = roster.apply(seconds(10), vec![RosterChange::Set(stated)]);
    assert_eq!(entries[0].up_since_ms, 5000.0);
    // The same id at another address is another machine.
    let entries = roster.apply(seconds(11), vec![set("b", 20)]);
    assert_eq!(
        (told(entries.clone()), entries[0].up_since_ms),
        (vec![row("b", 20, EndpointStatus::Live)], 11000.0)
    );
}

#[test]
fn a_server_that_returns_while_it_drains_is_not_forgotten() {
    let mut roster = filled();
    roster.apply(seconds(2), vec![remove("a")]);
    let entries = roster.apply(seconds(3), vec![set("a", 1)]);
    assert_eq!(
        (told(entries.clone()), entries[0].up_since_ms),
        (vec![row("a", 1, EndpointStatus::Live)], 0.0)
    );
    assert_eq!((roster.next(), roster.tick(seconds(9))), (None, Vec::new()));
}

#[test]
fn an_address_has_one_entry_whatever_it_is_called() {
    let mut roster = filled();
    // Renamed: the decision module knows it by its first id.
    let entries = roster.apply(seconds(2), vec![remove("a"), set("x", 1)]);
    assert_eq!(told(entries), [row("a", 1, EndpointStatus::Live)]);
    assert_eq!(roster.id_at(([127, 0, 0, 1], 1).into()), Some("x"));
    // Its first id is another machine's name now, and is not given twice.
    let entries = roster.apply(seconds(3), vec![set("a", 5)]);
    assert_eq!(told(entries), [row("a 2", 5, EndpointStatus::Live)]);
    // Two change places.
    roster.apply(seconds(4), vec![set("b", 3), set("c", 2)]);
    let mut ids: Vec<&str> = roster.ids().collect();
    ids.sort();
    assert_eq!((ids, roster.next()), (vec!["a", "b", "c", "x"], None));
    // One takes the place of another that is removed; where it was, nothing is any more.
    let entries = roster.apply(seconds(5), vec![remove("c"), set("b", 2)]);
    assert_eq!(
        told(entries),
        [row("b", 2, EndpointStatus::Live), row("c", 3, EndpointStatus::Draining)]
    );
}

#[test]
fn a_draining_server_and_one_without_weight_get_nothing() {
    let mut roster = filled();
    let draining = RosterServer { draining: true, ..server("a", 1) };
    let weightless = RosterServer { weight: 0.0, ..server("b", 2) };
    let changes = vec![RosterChange::Set(draining), RosterChange::Set(weightless)];
    let entries = roster.apply(seconds(2), changes);
    assert_eq!(
        told(entries),
        [row("a", 1, EndpointStatus::Draining), row("b", 2, EndpointStatus::Draining)]
    );
}
