//! How changes of watched files are seen: files replaced, written in pieces, linked, deleted, and without a watch.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::symlink;

use sableloom_testkit::{Balancer, Site, eventually, named};

use super::{list, one_pool, serves, start};

#[test]
fn a_file_replaced_twice_at_once_holds_as_it_was_written_last() {
    let (a, b, c) = (named("a"), named("b"), named("c"));
    let (site, balancer) = start(&[("a", &a)]);
    assert_eq!(serves(&balancer, "1"), "a");
    for round in 0..5 {
        site.replace("points.toml", &list(&[("b", &b)]));
        site.replace("points.toml", &list(&[("c", &c)]));
        balancer.says(&["in force", "ed c"]);
        eventually("what was written last holds", || {
            serves(&balancer, &format!("c{round}")) == "c"
        });
        // Back again, and nothing else was left half done.
        site.replace("points.toml", &list(&[("a", &a)]));
        balancer.says(&["in force", "removed c"]);
        assert_eq!(serves(&balancer, &format!("a{round}")), "a");
        site.replace("points.toml", &list(&[("a", &a), ("x", &b)]));
        balancer.says(&["in force", "x"]);
        site.replace("points.toml", &list(&[("a", &a)]));
        balancer.says(&["in force", "removed x"]);
    }
}

#[test]
fn a_file_written_in_pieces_holds_once_it_is_whole() {
    let (a, b) = (named("a"), named("b"));
    let (site, balancer) = start(&[("a", &a)]);
    let text = list(&[("b", &b)]);
    // Each piece is refused before the next is written; what was in force goes on.
    fs::write(site.path("points.toml"), "").expect("emptied");
    balancer.says(&["points.toml:1:1", "empty"]);
    let mut file = OpenOptions::new().append(true).open(site.path("points.toml")).expect("a file");
    // Up to the end that is missing it reads like a list.
    let end = text.find("[end]").expect("an end");
    let cuts = [0, 10, 30, end, end + 7, text.len()];
    for (i, part) in cuts.windows(2).enumerate() {
        file.write_all(&text.as_bytes()[part[0]..part[1]]).expect("a piece");
        if part[1] < text.len() {
            balancer.says(&["not changed", "points.toml"]);
            assert_eq!(serves(&balancer, &format!("piece {i}")), "a");
        }
    }
    balancer.says(&["in force", "added b"]);
    assert_eq!(serves(&balancer, "whole"), "b");
}

#[test]
fn links_are_swapped_as_config_maps_swap_them() {
    let (a, b, c) = (named("a"), named("b"), named("c"));
    let site = Site::new(&one_pool("out_at_most = 1.0").replace("points.toml", "map/points.toml"));
    let version = |name: &str, text: &str| {
        fs::create_dir_all(site.path(&format!("map/{name}"))).expect("a folder");
        site.write(&format!("map/{name}/points.toml"), text);
    };
    version("..1", &list(&[("a", &a)]));
    symlink("..1", site.path("map/..data")).expect("a link");
    symlink("..data/points.toml", site.path("map/points.toml")).expect("a link");
    let balancer = Balancer::serving(&site);
    assert_eq!(serves(&balancer, "1"), "a");
    for (name, id, peer) in [("..2", "b", &b), ("..3", "c", &c), ("..4", "a", &a)] {
        version(name, &list(&[(id, peer)]));
        symlink(name, site.path("map/..new")).expect("a link");
        fs::rename(site.path("map/..new"), site.path("map/..data")).expect("a swap");
        balancer.says(&["in force", id]);
        assert_eq!(serves(&balancer, name), id);
    }
    // In place, behind the links: the folder that they lead to now is watched as well.
    // More than once, as the news of the swap may still be about.
    for round in 0..3 {
        for (id, peer) in [("b", &b), ("a", &a)] {
            version("..4", &list(&[(id, peer)]));
            balancer.says(&["in force", &format!("ed {id},")]);
            assert_eq!(serves(&balancer, &format!("{id}-{round}")), id);
        }
    }
}

#[test]
fn a_file_may_be_deleted_and_made_again_and_its_folder_too() {
    let (a, b, c) = (named("a"), named("b"), named("c"));
    let site = Site::new(&one_pool("out_at_most = 1.0").replace("points.toml", "sub/points.toml"));
    fs::create_dir(site.path("sub")).expect("a folder");
    site.write("sub/points.toml", &list(&[("a", &a)]));
    let balancer = Balancer::serving(&site);
    fs::remove_file(site.path("sub/points.toml")).expect("deleted");
    balancer.says(&["not changed", "can't be read"]);
    assert_eq!(serves(&balancer, "1"), "a");
    site.write("sub/points.toml", &list(&[("b", &b)]));
    balancer.says(&["in force", "added b"]);
    assert_eq!(serves(&balancer, "2"), "b");
    // A pipe in its place would hold up whoever opens it.
    fs::remove_file(site.path("sub/points.toml")).expect("deleted");
    balancer.says(&["not changed", "can't be read"]);
    let made = std::process::Command::new("mkfifo").arg(site.path("sub/points.toml")).status();
    assert!(made.expect("mkfifo").success());
    balancer.says(&["not changed", "no regular file"]);
    assert_eq!(serves(&balancer, "3"), "b");
    fs::remove_dir_all(site.path("sub")).expect("deleted");
    fs::create_dir(site.path("sub")).expect("a folder");
    site.write("sub/points.toml", &list(&[("c", &c)]));
    // Its watch went with the folder; SIGHUP reads it whatever is watched.
    balancer.hang_up();
    balancer.says(&["in force", "added c"]);
    assert_eq!(serves(&balancer, "4"), "c");
}

#[test]
fn what_no_watch_tells_is_read_after_a_while() {
    let (a, b) = (named("a"), named("b"));
    let text = one_pool("out_at_most = 1.0").replace("600000", "50");
    let site = Site::new(&text.replace("points.toml", "top/sub/points.toml"));
    fs::create_dir_all(site.path("top/sub")).expect("folders");
    site.write("top/sub/points.toml", &list(&[("a", &a)]));
    let balancer = Balancer::serving(&site);
    // A folder further up is another one, as after a mount: the watch is on what was below the old
    // one, where nothing happens.
    for round in 0..3 {
        for (id, peer) in [("b", &b), ("a", &a)] {
            // By then all earlier news is read.
            (0..100).for_each(|n| drop(serves(&balancer, &format!("{id}-{round}-{n}"))));
            fs::create_dir_all(site.path("new/sub")).expect("folders");
            site.write("new/sub/points.toml", &list(&[(id, peer)]));
            fs::rename(site.path("top"), site.path(&format!("old-{id}-{round}")))
                .expect("a rename");
            fs::rename(site.path("new"), site.path("top")).expect("a rename");
            balancer.says(&["in force", &format!("ed {id},")]);
            assert_eq!(serves(&balancer, &format!("{id}-{round}")), id);
        }
    }
    // And the new one is watched, or read.
    site.write("top/sub/points.toml", &list(&[("b", &b)]));
    balancer.says(&["in force", "ed b"]);
    assert_eq!(serves(&balancer, "2"), "b");
}
