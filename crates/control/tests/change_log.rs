//! Checks that a recorded change log stays readable: the same files must give the same positions, versions and digests
//! as when the log was recorded.

use std::path::{Path, PathBuf};

use sableloom_control::{ChangeFileId, ChangeFolder, NextChange, check_folder};
use sableloom_distribution::{Store, StoreLimits};

/// The path of a log of six files with every kind of resource, every field, and every kind of removal.
fn recorded_log() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/change-log")
}

/// The name, the version and the digest of each service in the store.
fn service_states(store: &Store) -> Vec<String> {
    let services = store.services_after(None);
    services.map(|s| format!("{} {} {:016x}", s.service, s.version, s.digest)).collect()
}

#[test]
fn a_recorded_change_log_gives_the_recorded_positions_versions_and_digests() {
    let mut store = Store::new(StoreLimits::default());
    let mut folder = ChangeFolder::new(recorded_log(), 1);
    assert_eq!(folder.list(), []);
    let mut after_each = Vec::new();
    while let NextChange::Ready(entry) = folder.read_next(&store) {
        let file_id = ChangeFileId::of_entry(&entry);
        store.append(entry).expect("the change follows the one before it");
        folder.record_appended(file_id);
        after_each.push((store.position().to_string(), service_states(&store)));
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
fn check_folder_accepts_a_recorded_change_log_and_counts_its_contents() {
    let summary = check_folder(&recorded_log(), 1).expect("the recorded log has no problem");
    assert_eq!(summary.position.to_string(), "2/6 (ecb90e006fa6c2ec)");
    assert_eq!((summary.files, summary.services), (6, 3));
    assert_eq!((summary.resources, summary.tenants), (7, 1));
}
