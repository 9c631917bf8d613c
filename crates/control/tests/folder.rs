//! The folder of change files: which change is read, which one waits, and that each notice is reported once.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use sableloom_control::{
    ChangeFileId, ChangeFolder, FileNameKind, NextChange, Notice, change_file_name,
    classify_file_name,
};
use sableloom_distribution::{Store, StoreLimits};

/// A folder of its own, removed when it is dropped, and the store that its changes are read into.
struct Log {
    path: PathBuf,
    folder: ChangeFolder,
    store: Store,
}

impl Log {
    fn beginning_with(first: u64) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("sableloom-changes-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        let folder = ChangeFolder::new(path.clone(), first);
        Self { path, folder, store: Store::new(StoreLimits::default()) }
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.path.join(name), text).expect("a file");
    }

    fn change(&self, number: u64) {
        self.write(&change_file_name(number), &text(number));
    }

    /// Reads as many changes as it can, and gives the notice after the last one.
    fn read_all(&mut self) -> Option<Notice> {
        loop {
            match self.folder.read_next(&self.store) {
                NextChange::NotReady(notice) => return notice,
                NextChange::Ready(entry) => {
                    let read = ChangeFileId::of_entry(&entry);
                    self.store.append(entry).expect("it follows");
                    self.folder.record_appended(read);
                }
            }
        }
    }

    fn position(&self) -> u64 {
        self.store.position().number
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

fn text(number: u64) -> String {
    format!("number = {number}\nepoch = 1\n[[pool]]\nservice = \"s{number}\"\n[end]\nchanges = 1\n")
}

#[test]
fn a_gap_is_reported_once_and_later_files_wait_for_it() {
    let mut log = Log::beginning_with(1);
    for number in [1, 2, 4, 5] {
        log.change(number);
    }
    assert_eq!(log.folder.list(), []);
    let gap = Notice::Gap { missing: change_file_name(3), latest: change_file_name(5) };
    assert_eq!(log.read_all(), Some(gap));
    assert_eq!((log.read_all(), log.position()), (None, 2));
    log.change(3);
    assert_eq!((log.read_all(), log.position()), (None, 5));
}

#[test]
fn a_file_cut_at_any_byte_waits_and_no_part_of_it_is_applied() {
    let mut log = Log::beginning_with(1);
    let complete = text(1);
    for cut in 0..complete.len() {
        log.write(&change_file_name(1), &complete[..cut]);
        let notice = log.read_all();
        let unfinished = Notice::Unfinished { file: change_file_name(1) };
        assert_eq!(notice, (cut == 0).then_some(unfinished), "cut at {cut}");
        assert_eq!(log.position(), 0);
    }
    log.write(&change_file_name(1), &complete);
    assert_eq!((log.read_all(), log.position()), (None, 1));
}

#[test]
fn a_wrong_file_is_reported_once_and_later_files_wait_until_it_is_corrected() {
    let mut log = Log::beginning_with(1);
    log.write(&change_file_name(1), &text(1).replace("epoch = 1", "epoch = \"one\""));
    log.change(2);
    let Some(Notice::Invalid(problems)) = log.read_all() else { panic!("it is named") };
    assert_eq!((problems[0].line, problems[0].field.as_str()), (2, "epoch"));
    assert_eq!(log.read_all(), None);
    // Another mistake in its place is reported again.
    log.write(&change_file_name(1), &text(7));
    let Some(Notice::Invalid(problems)) = log.read_all() else { panic!("it is named") };
    assert_eq!(problems[0].field, "number");
    assert_eq!(log.position(), 0);
    log.change(1);
    assert_eq!((log.read_all(), log.position()), (None, 2));
}

#[test]
fn a_file_altered_or_removed_after_it_was_applied_is_reported_and_has_no_effect() {
    let mut log = Log::beginning_with(5);
    for number in 5..=7 {
        log.change(number);
    }
    assert_eq!((log.read_all(), log.position()), (None, 7));
    log.change(6);
    assert_eq!(log.folder.handle_file_event(&change_file_name(6)), None, "the same contents");
    log.write(&change_file_name(6), &(text(6) + "# altered\n"));
    let altered = Notice::Modified { file: change_file_name(6) };
    assert_eq!(log.folder.handle_file_event(&change_file_name(6)), Some(altered));
    // Renumbered: removed under its old number, and the number inside is not that of its name.
    std::fs::rename(log.path.join(change_file_name(6)), log.path.join(change_file_name(8)))
        .expect("a rename");
    let removed = Notice::Removed { file: change_file_name(6) };
    assert_eq!(log.folder.handle_file_event(&change_file_name(6)), Some(removed));
    assert_eq!(log.folder.handle_file_event(&change_file_name(8)), None);
    let Some(Notice::Invalid(problems)) = log.read_all() else { panic!("it is named") };
    assert!(problems[0].message.contains("6 is not the number of its name, 8"), "{problems:?}");
    log.change(4);
    let early = Notice::BeforeFirst { file: change_file_name(4), first: change_file_name(5) };
    assert_eq!(log.folder.handle_file_event(&change_file_name(4)), Some(early));
    assert_eq!(log.position(), 7);
}

#[test]
fn only_files_named_by_their_number_are_changes() {
    assert_eq!(classify_file_name("00000124.toml"), FileNameKind::Change(124));
    assert_eq!(classify_file_name("123456789.toml"), FileNameKind::Change(123_456_789));
    for name in ["124.toml", "00000000.toml", "new.toml", "+0000124.toml"] {
        assert_eq!(classify_file_name(name), FileNameKind::NotNumbered, "{name}");
    }
    for name in [".00000124.toml", "00000124.toml~", "00000124", "README"] {
        assert_eq!(classify_file_name(name), FileNameKind::Other, "{name}");
    }
}
