use std::fs::{File, FileTimes};

use sableloom_types::Span;

use super::*;

fn spec() -> ListSpec {
    ListSpec {
        pool: "points".into(),
        files: vec!["a.toml".into()],
        zones: vec!["".into()],
        max_removed_share: 0.5,
        drain_time: Span(0),
    }
}

fn text(port: u16) -> String {
    format!("[[server]]\nid = \"a\"\naddress = \"127.0.0.1:{port}\"\n[end]\nservers = 1\n")
}

/// Makes a file as old as if it had been observed so long ago that any later change shows.
fn make_old(file: &mut CachedFile) {
    let observed = file.observed.as_mut().expect("a file that is there has a stamp");
    observed.since = observed
        .since
        .checked_sub(2 * SETTLE_TIME)
        .expect("a machine that has run for some seconds");
}

#[test]
fn a_change_of_the_same_length_and_modification_time_is_read() {
    let path = std::env::temp_dir().join(format!("sableloom-reading-{}.toml", std::process::id()));
    std::fs::write(&path, text(9001)).expect("a file");
    let modified = std::fs::metadata(&path).expect("a file").modified().expect("its time");
    let mut first = read_changed("a.toml", &path, None, &spec());
    assert!(!first.observed.expect("a stamp").settled, "it may change again in the same moment");
    make_old(&mut first);
    let mut second = read_changed("a.toml", &path, Some(&first), &spec());
    assert!(second.observed.expect("a stamp").settled);
    assert_eq!(second.digest, first.digest);
    make_old(&mut second);
    std::fs::write(&path, text(9002)).expect("a file");
    let file = File::options().write(true).open(&path).expect("a file");
    file.set_times(FileTimes::new().set_modified(modified)).expect("its time put back");
    let third = read_changed("a.toml", &path, Some(&second), &spec());
    assert_ne!(third.digest, second.digest);
    assert!(!third.observed.expect("a stamp").settled);
    std::fs::remove_file(&path).expect("removed");
    let gone = read_changed("a.toml", &path, Some(&third), &spec());
    assert!(gone.reading.is_err() && gone.observed.is_none());
}

#[test]
fn only_a_file_that_was_read_after_it_settled_is_not_read_again() {
    let stamp = Stamp { device: 1, inode: 2, bytes: 3, modified: (4, 0), changed: (5, 0) };
    let fresh = ObservedStamp::now(stamp, None);
    assert!(!fresh.is_current(stamp));
    assert!(
        !ObservedStamp::now(stamp, Some(fresh)).is_current(stamp),
        "read twice within a moment"
    );
    let since =
        fresh.since.checked_sub(2 * SETTLE_TIME).expect("a machine that has run for some seconds");
    let settled = ObservedStamp::now(stamp, Some(ObservedStamp { since, ..fresh }));
    assert!(settled.is_current(stamp));
    for other in [Stamp { bytes: 4, ..stamp }, Stamp { changed: (5, 1), ..stamp }] {
        assert!(!settled.is_current(other));
        assert!(!ObservedStamp::now(other, Some(settled)).settled);
    }
}
