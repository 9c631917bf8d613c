//! Measures the memory of tenants' limits at a control machine and at subscribers, and prints lines of JSON. The bytes
//! are those requested from the allocator, which are the same on every machine.
//!
//! `cargo run --release -p sableloom-distribution --example tenants`

use std::sync::Arc;

use sableloom_distribution::{
    Change, LogEntry, Origin, Position, Resource, ResourceName, SavedService, SavedState,
    ServiceName, Store, StoreLimits, Subscriber, SubscriberName, SubscriberOptions, hash_bytes,
    resource_digest,
};
use serde_json::json;

/// The number of services of the fleet.
const SERVICES: usize = 2_500;
/// The number of tenants of each service.
const TENANTS_PER_SERVICE: usize = 324;
/// The numbers of services in the scope of a balancer.
const SCOPE_SIZES: [usize; 2] = [5, 25];
/// The length of the body of a limit: one byte for the version, 8 for a float and two for the burst.
const BODY_BYTES: usize = 11;

fn service(index: usize) -> ServiceName {
    ServiceName::try_from(format!("service-{index:04}").as_str()).expect("a valid name")
}

/// Returns the tenants of a service as a change file sets them. They share the name of the file.
fn tenants(service_name: &ServiceName, version: u64, file: &Arc<str>) -> Vec<Resource> {
    let tenant = |index: usize| Resource {
        name: ResourceName::tenant(service_name.clone(), &format!("customer-{index:06}")),
        version,
        origin: Origin { file: file.clone(), line: 5 * index as u32 },
        body: vec![1; BODY_BYTES].into(),
    };
    (0..TENANTS_PER_SERVICE).map(tenant).collect()
}

fn store(services: usize) -> Store {
    let mut store = Store::new(StoreLimits::default());
    let file: Arc<str> = "00000001.toml".into();
    for index in 0..services {
        let number = index as u64 + 1;
        let resources = tenants(&service(index), number, &file);
        let changes = resources.into_iter().map(Change::Set).collect();
        let hash = hash_bytes(&number.to_le_bytes());
        store
            .append(LogEntry { number, epoch: 1, changes, hash })
            .expect("the store accepts the change");
    }
    store
}

/// Returns a subscriber that is restored from a saved state. Each resource has its own copy of the file's name, like a
/// resource that is decoded from a frame.
fn subscriber(scope: usize) -> Subscriber {
    let saved = |index| {
        let name = service(index);
        let file: Arc<str> = "00000001.toml".into();
        let mut resources = tenants(&name, 1, &file);
        for resource in &mut resources {
            resource.origin.file = (*file).into();
        }
        let digest = resources.iter().map(resource_digest).fold(0, u64::wrapping_add);
        SavedService { service: name, epoch: 1, version: 1, digest, resources }
    };
    let position = Position { epoch: 1, number: 1, chain: 1 };
    let state = SavedState { position, services: (0..scope).map(saved).collect() };
    let name = SubscriberName::try_from("balancer").expect("a valid name");
    let services = (0..scope).map(service).collect();
    let options = SubscriberOptions::new(name, 1, services, 1);
    Subscriber::new(SubscriberOptions { saved_state: Some(state), ..options })
}

fn main() {
    let mut created = None;
    let measured = allocation_counter::measure(|| created = Some(store(SERVICES)));
    let tenants = created.as_ref().map_or(0, Store::tenant_count);
    println!(
        "{}",
        json!({"what": "store", "tenants": tenants, "bytes": measured.bytes_current,
               "each": measured.bytes_current / tenants as i64})
    );
    for scope in SCOPE_SIZES {
        let mut restored = None;
        let measured = allocation_counter::measure(|| restored = Some(subscriber(scope)));
        let applied = restored
            .as_ref()
            .map_or(0, |restored| restored.status(sableloom_types::Time(0)).tenants);
        println!(
            "{}",
            json!({"what": "subscriber", "services": scope, "tenants": applied,
                   "bytes": measured.bytes_current, "each": measured.bytes_current / applied as i64})
        );
    }
}
