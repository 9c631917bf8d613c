//! Tests which change file of a folder is applied, which one is not applied yet, and that each notice is reported once.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use sableloom_control::{
    ChangeFileId, ChangeFolder, FileNameKind, NextChange, Notice, change_file_name,
    classify_file_name,
};
use sableloom_distribution::{Store, StoreLimits};

/// A temporary folder of change files, which is removed on drop, and the store that the changes are appended to.
struct TestLog {
    path: PathBuf,
    folder: ChangeFolder,
    store: Store,
}

impl TestLog {
    /// Creates an empty folder. The log begins with the file of number `first`.
    fn with_first_number(first: u64) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("sableloom-changes-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the folder can be created");
        let folder = ChangeFolder::new(path.clone(), first);
        Self { path, folder, store: Store::new(StoreLimits::default()) }
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.path.join(name), text).expect("the file can be written");
    }

    /// Writes a valid change file.
    fn write_change(&self, number: u64) {
        self.write(&change_file_name(number), &change_text(number));
    }

    /// Applies the change files up to the first one that can't be applied. Returns the notice about that file.
    fn read_all(&mut self) -> Option<Notice> {
        loop {
            match self.folder.read_next(&self.store) {
                NextChange::NotReady(notice) => return notice,
                NextChange::Ready(entry) => {
                    let file_id = ChangeFileId::of_entry(&entry);
                    self.store.append(entry).expect("the change follows the one before it");
                    self.folder.record_appended(file_id);
                }
            }
        }
    }

    /// The number of the last change in the store; 0 if there is none.
    fn position(&self) -> u64 {
        self.store.position().number
    }
}

impl Drop for TestLog {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// The text of a valid change file that adds one pool.
fn change_text(number: u64) -> String {
    format!("number = {number}\nepoch = 1\n[[pool]]\nservice = \"s{number}\"\n[end]\nchanges = 1\n")
}

#[test]
fn a_gap_is_reported_once_and_later_files_are_applied_only_after_it_is_filled() {
    let mut log = TestLog::with_first_number(1);
    for number in [1, 2, 4, 5] {
        log.write_change(number);
    }
    assert_eq!(log.folder.list(), []);
    let gap = Notice::Gap { missing: change_file_name(3), later: change_file_name(5) };
    assert_eq!(log.read_all(), Some(gap));
    assert_eq!((log.read_all(), log.position()), (None, 2));
    log.write_change(3);
    assert_eq!((log.read_all(), log.position()), (None, 5));
}

#[test]
fn a_file_truncated_at_any_byte_is_not_applied_until_it_is_complete() {
    let mut log = TestLog::with_first_number(1);
    let complete = change_text(1);
    for length in 0..complete.len() {
        log.write(&change_file_name(1), &complete[..length]);
        let notice = log.read_all();
        let unfinished = Notice::Unfinished { file: change_file_name(1) };
        assert_eq!(notice, (length == 0).then_some(unfinished), "truncated to {length} bytes");
        assert_eq!(log.position(), 0);
    }
    log.write(&change_file_name(1), &complete);
    assert_eq!((log.read_all(), log.position()), (None, 1));
}

#[test]
fn an_invalid_file_is_reported_once_and_blocks_later_files_until_it_is_corrected() {
    let mut log = TestLog::with_first_number(1);
    log.write(&change_file_name(1), &change_text(1).replace("epoch = 1", "epoch = \"one\""));
    log.write_change(2);
    let Some(Notice::Invalid(problems)) = log.read_all() else {
        panic!("expected Notice::Invalid")
    };
    assert_eq!((problems[0].line, problems[0].field.as_str()), (2, "epoch"));
    assert_eq!(log.read_all(), None);
    // The file has another problem now, which is reported although the file was reported before.
    log.write(&change_file_name(1), &change_text(7));
    let Some(Notice::Invalid(problems)) = log.read_all() else {
        panic!("expected Notice::Invalid")
    };
    assert_eq!(problems[0].field, "number");
    assert_eq!(log.position(), 0);
    log.write_change(1);
    assert_eq!((log.read_all(), log.position()), (None, 2));
}

#[test]
fn a_file_modified_or_removed_after_it_was_applied_is_reported_and_has_no_effect() {
    let mut log = TestLog::with_first_number(5);
    for number in 5..=7 {
        log.write_change(number);
    }
    assert_eq!((log.read_all(), log.position()), (None, 7));
    log.write_change(6);
    assert_eq!(
        log.folder.handle_file_event(&change_file_name(6)),
        None,
        "the same contents were written"
    );
    log.write(&change_file_name(6), &(change_text(6) + "# altered\n"));
    let modified = Notice::Modified { file: change_file_name(6) };
    assert_eq!(log.folder.handle_file_event(&change_file_name(6)), Some(modified));
    // Renaming a file to another number is reported twice: the file is missing under the old name, and the number in
    // the file differs from the new name.
    std::fs::rename(log.path.join(change_file_name(6)), log.path.join(change_file_name(8)))
        .expect("the file can be renamed");
    let removed = Notice::Removed { file: change_file_name(6) };
    assert_eq!(log.folder.handle_file_event(&change_file_name(6)), Some(removed));
    assert_eq!(log.folder.handle_file_event(&change_file_name(8)), None);
    let Some(Notice::Invalid(problems)) = log.read_all() else {
        panic!("expected Notice::Invalid")
    };
    assert!(problems[0].message.contains("6 is not the number of its name, 8"), "{problems:?}");
    log.write_change(4);
    let before_first =
        Notice::BeforeFirst { file: change_file_name(4), first: change_file_name(5) };
    assert_eq!(log.folder.handle_file_event(&change_file_name(4)), Some(before_first));
    assert_eq!(log.position(), 7);
}

#[test]
fn only_names_that_change_file_name_produces_are_classified_as_change_files() {
    assert_eq!(classify_file_name("00000124.toml"), FileNameKind::Change(124));
    assert_eq!(classify_file_name("123456789.toml"), FileNameKind::Change(123_456_789));
    for name in ["124.toml", "00000000.toml", "new.toml", "+0000124.toml"] {
        assert_eq!(classify_file_name(name), FileNameKind::NotNumbered, "{name}");
    }
    for name in [".00000124.toml", "00000124.toml~", "00000124", "README"] {
        assert_eq!(classify_file_name(name), FileNameKind::Other, "{name}");
    }
}
