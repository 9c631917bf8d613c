//! Shadows that come, go and change by SIGHUP.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

use sableloom_testkit::{Balancer, LONG, Peer, Site, eventually, read};

use super::{answering, ended, json, record, site};
use crate::server_files::list;

#[test]
fn a_shadow_comes_goes_and_changes_by_sighup() {
    let (live, _came) = answering("{}");
    let (one, first) = answering("{}");
    let (two, second) = answering("{}");
    let start = Site::new(&site("", &["points"]));
    start.write("points.toml", &list(&[("live", &live)]));
    let balancer = Balancer::serving(&start);
    let mut client = balancer.client();
    let mut ask = |id: &str| {
        client.write(read(id, ""));
        assert_eq!(client.message().expect("an answer").status(), 200);
    };
    ask("before");
    let bare = balancer.descriptors();
    let with = |more: &str| site(more, &["points", "candidate"]);
    // Its file of servers is not there: nothing is changed.
    start.write("site.toml", &with(" "));
    balancer.hang_up();
    balancer.says(&["nothing is changed", "candidate.toml"]);
    ask("refused");
    start.write("candidate.toml", &list(&[("one", &one)]));
    balancer.hang_up();
    balancer.says(&["configuration 2", "shadows next"]);
    ask("on");
    assert_eq!(first.recv_timeout(LONG).expect("a copy").id(), "on-shadow");
    // Its servers change as those of any pool.
    start.replace("candidate.toml", &list(&[("two", &two)]));
    balancer.says(&["pool candidate", "in force", "added two"]);
    ask("moved");
    assert_eq!(second.recv_timeout(LONG).expect("a copy").id(), "moved-shadow");
    // Read again unchanged it goes on; changed it begins anew, after the old one has ended.
    ended(&start, 2);
    balancer.hang_up();
    balancer.says(&["configuration 3", "shadows next"]);
    ask("kept");
    ended(&start, 3);
    start.write("site.toml", &with("share = 0.0\n"));
    balancer.hang_up();
    balancer.says(&["configuration 4", "shadows next"]);
    ask("none");
    eventually("a new record", || {
        let record = record(&start);
        record["seen"] == 1 && record["copied"] == 0
    });
    start.write("site.toml", &site("", &["points"]));
    balancer.hang_up();
    balancer.says(&["configuration 5"]);
    ask("off");
    eventually("its descriptors are given back", || balancer.descriptors() <= bare);
    let ids: Vec<_> =
        first.try_iter().chain(second.try_iter()).map(|m| m.id().to_string()).collect();
    assert_eq!(ids, ["kept-shadow"]);
}

/// A shadow that moves to another live pool sends to the same candidate: not before what the old one
/// has out there is over, or its servers would be taken for free by both.
#[test]
fn a_shadow_begins_once_the_one_before_it_is_over() {
    let (live, _came) = answering("{}");
    let (lets, let_go) = channel::<()>();
    let let_go = Mutex::new(let_go);
    let (open, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let seen = most.clone();
    let (candidate, copies) = Peer::upstream(move |number, _, conn| {
        seen.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
        if number == 0 {
            let _ = let_go.lock().expect("unpoisoned").recv_timeout(LONG);
        }
        open.fetch_sub(1, Ordering::SeqCst);
        conn.write(json("{}"));
        true
    });
    let text = site("in_flight = 1\n", &["points", "other", "candidate"])
        .replace("aim_ms = 5000", "aim_ms = 600000")
        .replace("deadline_ms = 20000", "deadline_ms = 600000");
    let site = Site::new(&text);
    for (file, peer) in [("points", &live), ("other", &live), ("candidate", &candidate)] {
        site.write(&format!("{file}.toml"), &list(&[("one", peer)]));
    }
    let balancer = Balancer::serving(&site);
    let mut client = balancer.client();
    let mut ask = |id: &str| {
        client.write(read(id, "").replace("2500", "600000"));
        assert_eq!(client.message().expect("an answer").status(), 200);
    };
    ask("old");
    assert_eq!(copies.recv_timeout(LONG).expect("a copy").id(), "old-shadow");
    let moved = text
        .replace("path.prefix = \"/\"\npool = \"points\"", "path.prefix = \"/\"\npool = \"other\"")
        .replace("of = \"points\"", "of = \"other\"");
    assert!(moved.contains("pool = \"other\"\n"));
    site.write("site.toml", &moved);
    balancer.hang_up();
    balancer.says(&["configuration 2", "shadows next"]);
    (0..200).for_each(|n| ask(&format!("new-{n}")));
    lets.send(()).expect("a candidate");
    let next = copies.recv_timeout(LONG).expect("a copy");
    assert!(next.id().starts_with("new-"), "{}", next.id());
    assert_eq!(most.load(Ordering::SeqCst), 1, "copies of both were out at once");
}
