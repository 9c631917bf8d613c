use std::fs::FileTimes;

use sableloom_types::Span;

use super::*;

fn spec() -> Spec {
    Spec {
        pool: "points".into(),
        files: vec!["a.toml".into()],
        zones: vec!["".into()],
        out_at_most: 0.5,
        drain: Span(0),
    }
}

fn text(port: u16) -> String {
    format!("[[server]]\nid = \"a\"\naddress = \"127.0.0.1:{port}\"\n[end]\nservers = 1\n")
}

/// As if it had been seen so long ago that any change since would show.
fn long_ago(kept: &mut Kept) {
    let seen = kept.seen.as_mut().expect("a file that is there has a stamp");
    seen.first =
        seen.first.checked_sub(2 * SETTLED).expect("a machine that has run for some seconds");
}

#[test]
fn a_change_of_the_same_length_under_the_same_time_is_seen() {
    let path = std::env::temp_dir().join(format!("sableloom-reading-{}.toml", std::process::id()));
    std::fs::write(&path, text(9001)).expect("a file");
    let modified = std::fs::metadata(&path).expect("a file").modified().expect("its time");
    let mut first = read_one("a.toml", &path, None, &spec());
    assert!(!first.seen.expect("a stamp").settled, "it may change again in the same moment");
    long_ago(&mut first);
    let mut second = read_one("a.toml", &path, Some(&first), &spec());
    assert!(second.seen.expect("a stamp").settled);
    assert_eq!(second.digest, first.digest);
    long_ago(&mut second);
    std::fs::write(&path, text(9002)).expect("a file");
    let file = File::options().write(true).open(&path).expect("a file");
    file.set_times(FileTimes::new().set_modified(modified)).expect("its time put back");
    let third = read_one("a.toml", &path, Some(&second), &spec());
    assert_ne!(third.digest, second.digest);
    assert!(!third.seen.expect("a stamp").settled);
    std::fs::remove_file(&path).expect("removed");
    let gone = read_one("a.toml", &path, Some(&third), &spec());
    assert!(gone.reading.is_err() && gone.seen.is_none());
}

#[test]
fn only_a_file_that_was_read_after_it_had_settled_is_not_read_again() {
    let stamp = Stamp { device: 1, inode: 2, bytes: 3, modified: (4, 0), changed: (5, 0) };
    let fresh = Seen::now(stamp, None);
    assert!(!fresh.unchanged(stamp));
    assert!(!Seen::now(stamp, Some(fresh)).unchanged(stamp), "read twice within a moment");
    let first =
        fresh.first.checked_sub(2 * SETTLED).expect("a machine that has run for some seconds");
    let settled = Seen::now(stamp, Some(Seen { first, ..fresh }));
    assert!(settled.unchanged(stamp));
    for other in [Stamp { bytes: 4, ..stamp }, Stamp { changed: (5, 1), ..stamp }] {
        assert!(!settled.unchanged(other));
        assert!(!Seen::now(other, Some(settled)).settled);
    }
}
