//! Lists of 1,024 balancers and 1,024 servers.

use std::collections::HashSet;
use std::net::UdpSocket;

use serde_json::json;

use sableloom_testkit::{
    Balancer, Discovery, Peer, Site, Told, config, entry, eventually, list, named, read, servers,
};

const MANY: usize = 1024;

/// This many servers, each by its own id, behind these peers in turn.
fn entries(peers: &[Peer]) -> Vec<serde_json::Value> {
    let entry = |i: usize| entry(&format!("s-{i}"), peers[i % peers.len()].address, "SERVING");
    (0..MANY).map(entry).collect()
}

#[test]
fn one_of_1024_balancers_before_1024_servers_starts_serves_and_applies_changes() {
    let peers: Vec<_> = ["a", "b", "c", "d", "e", "f", "g", "h"].map(named).into();
    let new = named("new");
    let discovery = Discovery::start();
    let mut config = config(&[]);
    config["discovery"] = json!(discovery.address.to_string());
    config["known"] = list(1, true, &entries(&peers));
    config["settings"]["RegistryMode"] = json!("subscribe");
    config["settings"]["Balancers"] = json!(MANY);
    config["settings"]["Position"] = json!(MANY - 1);
    let balancer = Balancer::start(config);
    let mut seen = HashSet::new();
    for i in 0..64 {
        let answer = balancer.ask(read(&i.to_string(), ""));
        assert_eq!(answer.status(), 200);
        seen.insert(answer.body);
    }
    assert!(seen.len() > 1, "more than one server");
    // All leave but a new one, in one change.
    let mut changes: Vec<_> =
        (0..MANY).map(|i| entry(&format!("s-{i}"), peers[0].address, "DRAINING")).collect();
    changes.push(entry("new", new.address, "SERVING"));
    discovery.call().1.send(Told::Whole(list(2, false, &changes))).expect("a call");
    eventually("the new one serves all", || {
        (0..10).all(|i| balancer.ask(read(&format!("after-{i}"), "")).body == b"new")
    });
}

#[test]
fn a_site_with_1024_members_and_1024_servers_is_checked_and_serves() {
    let peer = named("only");
    let ip = |i: usize| format!("127.31.{}.{}", i / 200, i % 200 + 1);
    let free = UdpSocket::bind((ip(MANY - 1), 0)).and_then(|s| s.local_addr());
    let port = free.expect("a free port").port();
    let members: String = (0..MANY)
        .map(|i| format!("[[member]]\nname = \"m{i}\"\naddress = \"{}:{port}\"\n", ip(i)))
        .collect();
    // One that listens; the others get no requests.
    let listed: Vec<_> = (0..MANY)
        .map(|i| {
            let at = if i == 0 { Ok(peer.address) } else { format!("{}:9", ip(i)).parse() };
            (format!("s{i}"), at.expect("an address"), if i == 0 { "" } else { "weight = 0" })
        })
        .collect();
    let listed = listed.iter().map(|(name, at, more)| (name.as_str(), *at, *more));
    let site = Site::new(
        "[fleet]\nname = \"points\"\nown = \"m1023\"\nmembers_file = \"members.toml\"\n\
         [[listener]]\naddress = \"127.0.0.1:0\"\n[[class]]\nname = \"read\"\naim_ms = 2000\n\
         deadline_ms = 5000\neffect = \"safe\"\nmethods = [\"GET\"]\n[[pool]]\nname = \"points\"\n\
         files = [\"points.toml\"]\n[pool.cold]\ntime_ms = 0\n[otherwise]\npool = \"points\"\n",
    );
    site.write("members.toml", &members);
    site.write("points.toml", &servers("", listed));
    let balancer = Balancer::serving(&site);
    eventually("it serves", || balancer.ask(read("1", "")).body == b"only");
}
