//! A recorded change log stays readable: the same files give the same position, versions and digests.

use std::path::{Path, PathBuf};

use sableloom_control::{ChangeFileId, ChangeFolder, NextChange, check_folder};
use sableloom_distribution::{Store, StoreLimits};

/// Six files with every kind of resource, every field, and every kind of removal.
fn log() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/change-log")
}

/// What the store has of each service: name, version and digest.
fn services(store: &Store) -> Vec<String> {
    let services = store.services_after(None);
    services.map(|s| format!("{} {} {:016x}", s.service, s.version, s.digest)).collect()
}

#[test]
fn a_recorded_change_log_gives_the_positions_versions_and_digests_that_it_gave() {
    let mut store = Store::new(StoreLimits::default());
    let mut folder = ChangeFolder::new(log(), 1);
    assert_eq!(folder.list(), []);
    let mut after_each = Vec::new();
    while let NextChange::Ready(entry) = folder.read_next(&store) {
        let read = ChangeFileId::of_entry(&entry);
        store.append(entry).expect("it follows");
        folder.record_appended(read);
        after_each.push((store.position().to_string(), services(&store)));
    }
    assert!(matches!(folder.read_next(&store), NextChange::NotReady(None)));
    let recorded: [(&str, &[&str]); 6] = [
        ("1/1 (bdb9bcf0eb03725f)", &["partners 1 15ebabd758a9ef95", "points 1 c6a76809f13ca0f0"]),
        ("1/2 (888f9878745060b0)", &["partners 1 15ebabd758a9ef95", "points 2 0ae60e043dd39770"]),
        ("1/3 (514156c40b065233)", &["partners 1 15ebabd758a9ef95", "points 3 ed50b837c90d6d89"]),
        ("1/4 (e59352e9dbdb0369)", &["partners 1 15ebabd758a9ef95", "points 4 de459469ea4bd44a"]),
        (
            "2/5 (c3f01452fff86bd5)",
            &[
                "orders 5 828b71807c183730",
                "partners 1 15ebabd758a9ef95",
                "points 4 de459469ea4bd44a",
            ],
        ),
        (
            "2/6 (ecb90e006fa6c2ec)",
            &[
                "orders 5 828b71807c183730",
                "partners 6 0000000000000000",
                "points 6 f5fcd64cf870b66f",
            ],
        ),
    ];
    assert_eq!(after_each.len(), recorded.len());
    for ((position, services), (recorded_position, recorded_services)) in
        after_each.iter().zip(recorded)
    {
        assert_eq!(position, recorded_position);
        assert_eq!(services, recorded_services, "after {position}");
    }
    assert_eq!((store.resource_count(), store.tenant_count()), (7, 1));
}

#[test]
fn a_recorded_change_log_passes_the_check_of_its_folder() {
    let checked = check_folder(&log(), 1).expect("it is good");
    assert_eq!(checked.position.to_string(), "2/6 (ecb90e006fa6c2ec)");
    assert_eq!((checked.files, checked.services), (6, 3));
    assert_eq!((checked.resources, checked.tenants), (7, 1));
}
