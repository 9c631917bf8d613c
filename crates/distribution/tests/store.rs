//! Tests of the store: which changes it appends, the bounds of its log, and which positions it can resume.

use sableloom_distribution::{
    AppendError, Change, LogEntry, Origin, Position, Refusal, Resource, ResourceName, ServiceName,
    ServiceVersion, Store, StoreLimits,
};

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("a valid name")
}

fn set(name: ResourceName, version: u64, body: &[u8]) -> Change {
    let origin = Origin { file: "change.toml".into(), line: 1 };
    Change::Set(Resource { name, version, origin, body: body.into() })
}

fn server(id: &str) -> ResourceName {
    ResourceName::server(service("points"), id)
}

fn entry(number: u64, changes: Vec<Change>) -> LogEntry {
    LogEntry { number, epoch: 1, changes, hash: number }
}

/// Returns a store to which this number of changes of one server has been appended.
fn store_with(changes: u64, limits: StoreLimits) -> Store {
    let mut store = Store::new(limits);
    for number in 1..=changes {
        store.append(entry(number, vec![set(server("a"), number, b"x")])).expect("a valid change");
    }
    store
}

#[test]
fn a_change_file_is_appended_completely_or_not_at_all() {
    let mut store =
        store_with(3, StoreLimits { service_bytes: 300, services: 2, ..StoreLimits::default() });
    let before =
        (store.position(), store.service_version(&service("points")), store.resource_count());
    let valid = || set(server("b"), 4, b"y");
    let remove = |name| Change::Remove { name, version: 4 };
    let invalid_entries = [
        (entry(6, vec![valid()]), AppendError::OutOfSequence { expected: 4, found: 6 }),
        (entry(3, vec![valid()]), AppendError::OutOfSequence { expected: 4, found: 3 }),
        (
            LogEntry { epoch: 0, ..entry(4, vec![valid()]) },
            AppendError::EpochRegression { current: 1, found: 0 },
        ),
        (
            entry(4, vec![valid(), set(server("c"), 5, b"")]),
            AppendError::VersionMismatch { number: 4, found: 5 },
        ),
        (entry(4, vec![valid(), valid()]), AppendError::DuplicateChange(server("b"))),
        (entry(4, vec![valid(), remove(server("z"))]), AppendError::UnknownResource(server("z"))),
        (
            entry(4, vec![valid(), Change::RemoveService { service: service("none"), version: 4 }]),
            AppendError::UnknownService(service("none")),
        ),
        (
            entry(
                4,
                vec![
                    set(server("a"), 4, b"z"),
                    Change::RemoveService { service: service("points"), version: 4 },
                ],
            ),
            AppendError::DuplicateChange(server("a")),
        ),
        // One byte more than a body may have.
        (
            entry(4, vec![valid(), set(server("c"), 4, &[0; 61_441])]),
            AppendError::ResourceTooLarge(server("c")),
        ),
        (
            entry(
                4,
                vec![
                    set(ResourceName::pool(service("x")), 4, b""),
                    set(ResourceName::pool(service("y")), 4, b""),
                ],
            ),
            AppendError::TooManyServices(2),
        ),
    ];
    for (change, error) in invalid_entries {
        assert_eq!(store.append(change), Err(error));
        assert_eq!(
            (store.position(), store.service_version(&service("points")), store.resource_count()),
            before
        );
    }
    let too_large = store.append(entry(4, vec![set(server("b"), 4, &[0; 400])]));
    assert!(matches!(too_large, Err(AppendError::ServiceTooLarge { .. })), "{too_large:?}");
    assert!(store.append(entry(4, vec![valid()])).is_ok());
}

#[test]
fn the_removal_of_a_service_leaves_only_its_version() {
    let mut store = store_with(1, StoreLimits::default());
    store
        .append(entry(
            2,
            vec![set(server("b"), 2, b"y"), set(ResourceName::pool(service("other")), 2, b"")],
        ))
        .unwrap();
    store
        .append(entry(3, vec![Change::RemoveService { service: service("points"), version: 3 }]))
        .unwrap();
    assert_eq!(
        store.service_version(&service("points")),
        ServiceVersion { service: service("points"), version: 3, digest: 0 }
    );
    assert_eq!((store.resources(&service("points")).count(), store.resource_count()), (0, 1));
    // A service that was removed can have resources again.
    store.append(entry(4, vec![set(server("a"), 4, b"x")])).unwrap();
    assert_eq!(store.resources(&service("points")).count(), 1);
}

#[test]
fn the_digest_does_not_depend_on_the_order_of_changes() {
    let mut first = Store::new(StoreLimits::default());
    first.append(entry(1, vec![set(server("a"), 1, b"1"), set(server("b"), 1, b"2")])).unwrap();
    let mut second = Store::new(StoreLimits::default());
    second.append(entry(1, vec![set(server("b"), 1, b"2"), set(server("a"), 1, b"1")])).unwrap();
    let digest = first.service_version(&service("points")).digest;
    assert_eq!(digest, second.service_version(&service("points")).digest);
    first.append(entry(2, vec![set(server("c"), 2, b"3")])).unwrap();
    first.append(entry(3, vec![Change::Remove { name: server("c"), version: 3 }])).unwrap();
    assert_eq!(
        first.service_version(&service("points")).digest,
        digest,
        "the reversal of a change restores the digest"
    );
}

#[test]
fn the_log_is_bounded_by_entries_and_by_bytes() {
    let store = store_with(100, StoreLimits { log_entries: 7, ..StoreLimits::default() });
    assert_eq!(store.log_entries(), 7);
    let store = store_with(100, StoreLimits { log_bytes: 500, ..StoreLimits::default() });
    assert!(store.log_bytes() <= 500 && store.log_entries() > 1, "{} bytes", store.log_bytes());
}

#[test]
fn a_store_that_is_behind_or_diverged_refuses_to_resume_a_subscriber() {
    let empty = Store::new(StoreLimits::default());
    assert!(
        matches!(empty.check_resume(Position::default()), Err(Refusal::Behind { .. })),
        "an empty store is behind every position"
    );
    let store =
        store_with(10, StoreLimits { log_entries: 2, chain_entries: 5, ..StoreLimits::default() });
    let current = store.position();
    let at = |number| store_with(number, StoreLimits::default()).position();
    assert_eq!(store.check_resume(Position::default()), Ok(()));
    assert_eq!(store.check_resume(at(6)), Ok(()));
    assert_eq!(
        store.check_resume(Position { chain: 1, ..at(6) }),
        Err(Refusal::Diverged { position: at(6) })
    );
    assert_eq!(
        store.check_resume(Position { chain: 1, ..at(5) }),
        Ok(()),
        "a position older than all chain hashes kept is accepted"
    );
    assert_eq!(store.check_resume(at(11)), Err(Refusal::Behind { position: current }));
    assert_eq!(
        store.check_resume(Position { epoch: 2, number: 1, chain: 0 }),
        Err(Refusal::Behind { position: current })
    );
    assert_eq!(
        store.check_resume(Position { epoch: 0, number: 99, chain: 1 }),
        Ok(()),
        "a position of a lower epoch is accepted"
    );
}

#[test]
fn tenants_are_counted_and_removed_with_their_service() {
    let tenant = |name: &str| ResourceName::tenant(service("points"), name);
    let digest = |store: &Store| store.service_version(&service("points")).digest;
    let mut store = store_with(1, StoreLimits::default());
    let digest_without_tenants = digest(&store);
    store
        .append(entry(2, vec![set(tenant("a"), 2, b"1"), set(tenant("b"), 2, b"1")]))
        .expect("a valid change");
    assert_eq!((store.resource_count(), store.tenant_count()), (3, 2));
    // A tenant that is set again is counted once.
    store.append(entry(3, vec![set(tenant("a"), 3, b"2")])).expect("a valid change");
    assert_eq!(store.tenant_count(), 2);
    let remove = |name: &str, version| Change::Remove { name: tenant(name), version };
    store.append(entry(4, vec![remove("a", 4), remove("b", 4)])).expect("a valid change");
    assert_eq!((store.resource_count(), store.tenant_count()), (1, 0));
    assert_eq!(
        digest(&store),
        digest_without_tenants,
        "removed tenants leave nothing in the digest"
    );
    // The tenant has the name of the server "a", but is another resource with another digest.
    store
        .append(entry(5, vec![set(tenant("a"), 1, b"x")]))
        .expect_err("a version other than the number of the change");
    store.append(entry(5, vec![set(tenant("a"), 5, b"x")])).expect("a valid change");
    assert_ne!(digest(&store), digest_without_tenants.wrapping_mul(2));
    let service_removal = Change::RemoveService { service: service("points"), version: 6 };
    store.append(entry(6, vec![service_removal])).expect("a valid change");
    assert_eq!((store.resource_count(), store.tenant_count()), (0, 0));
}
