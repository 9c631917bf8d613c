//! Tests that a state file in the recorded format stays readable, and is still written with the same bytes.
//!
//! `data/balancer-17.state` is the state file of a balancer that had subscribed to the services of the first five
//! changes of the change log in `crates/control/tests/data/change-log`.

use std::path::{Path, PathBuf};

use sableloom_distribution::{SavedState, ServiceName, SubscriberName, resource_digest};
use sableloom_resources::{Body, Edit, read_change};
use sableloom_subscription::{encode_state, read_state};

fn crate_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(file)
}

fn state_file() -> PathBuf {
    crate_path("tests/data/balancer-17.state")
}

fn subscriber() -> SubscriberName {
    SubscriberName::try_from("balancer-17").expect("a name")
}

fn recorded_state() -> SavedState {
    read_state(&state_file(), &subscriber())
        .expect("the state file is valid")
        .expect("the state file exists")
}

#[test]
fn the_recorded_state_file_decodes_to_the_services_and_resources_that_were_in_force() {
    let state = recorded_state();
    assert_eq!(state.position.to_string(), "2/5 (c3f01452fff86bd5)");
    let services: Vec<String> = state
        .services
        .iter()
        .map(|s| format!("{} {}/{} {:016x}", s.service, s.epoch, s.version, s.digest))
        .collect();
    assert_eq!(
        services,
        [
            "orders 2/5 828b71807c183730",
            "partners 2/1 15ebabd758a9ef95",
            "points 2/4 de459469ea4bd44a",
        ]
    );
    let resources: Vec<String> = state
        .services
        .iter()
        .flat_map(|service| &service.resources)
        .map(|r| format!("{}: {} of {}:{}", r.name, r.version, r.origin.file, r.origin.line))
        .collect();
    assert_eq!(
        resources,
        [
            "pool orders: 5 of 00000005.toml:5",
            "server orders-1 of orders: 5 of 00000005.toml:26",
            "route orders of orders: 5 of 00000005.toml:35",
            "pool partners: 1 of 00000001.toml:33",
            "server partners-1 of partners: 1 of 00000001.toml:36",
            "route partners of partners: 1 of 00000001.toml:41",
            "pool points: 1 of 00000001.toml:5",
            "server points-2 of points: 1 of 00000001.toml:20",
            "server points-3 of points: 2 of 00000002.toml:12",
            "route points of points: 1 of 00000001.toml:26",
            "route retired of points: 3 of 00000003.toml:9",
            "tenant customer-17 of points: 4 of 00000004.toml:5",
            "tenant customer-18 of points: 4 of 00000004.toml:11",
        ]
    );
}

#[test]
fn the_recorded_resources_match_the_service_digests_and_the_bodies_of_the_change_file() {
    let state = recorded_state();
    for service in &state.services {
        let digest = service.resources.iter().map(resource_digest).fold(0, u64::wrapping_add);
        assert_eq!(digest, service.digest, "{}", service.service);
    }
    let file = "00000005.toml";
    let text =
        std::fs::read(crate_path("../control/tests/data/change-log").join(file)).expect("a file");
    let change = read_change(file, &text).expect("the change file is valid");
    let orders = ServiceName::try_from("orders").expect("a name");
    let service = state.services.iter().find(|saved| saved.service == orders).expect("saved");
    assert_eq!(service.resources.len(), change.entries.len());
    for (entry, resource) in change.entries.iter().zip(&service.resources) {
        let Edit::Set { name, body } = &entry.edit else {
            panic!("every entry of the change file sets a resource")
        };
        let decoded = Body::decode(resource.name.kind, resource.body.as_slice());
        assert_eq!((name, Ok(&**body)), (&resource.name, decoded.as_ref()));
    }
}

#[test]
fn encoding_the_recorded_state_yields_the_bytes_of_the_recorded_file() {
    let bytes = std::fs::read(state_file()).expect("a file");
    assert_eq!(encode_state(&subscriber(), &recorded_state()), bytes);
}
