//! Changes of a list under load: many versions one after another, and a list of thousands.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread;

use oorandom::Rand64;
use sableloom_testkit::{Balancer, LONG, Peer, Site, named, read, servers};

use super::{one_pool, serves};

/// One that asks all the time until told to stop, and keeps what came: for each request which list
/// was last known to be in force when it was asked and when it was answered.
fn asking(
    balancer: Arc<Balancer>,
    worker: usize,
    known: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<(usize, usize, String)>> {
    thread::spawn(move || {
        let mut seen = Vec::new();
        for i in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let before = known.load(Ordering::SeqCst);
            let server = serves(&balancer, &format!("load-{worker}-{i}"));
            seen.push((before, known.load(Ordering::SeqCst), server));
        }
        seen
    })
}

/// A list that is cut or makes no sense, or none. Each broken text is another, so that each refusal is told.
fn broken(text: &str, version: u32, rng: &mut Rand64) -> Option<String> {
    match rng.rand_range(0..5) {
        0 => {
            let end = rng.rand_range(1..text.len() as u64 - 14) as usize;
            Some(format!("{}# {version}", &text[..end]))
        }
        1 => Some(format!("# {version}\n{}", text.replace("id = ", "name = "))),
        2 => Some(format!("# {version}\n{}", text.replace("servers = ", "servers = 1"))),
        3 => Some(format!("{version} is no list")),
        _ => None,
    }
}

#[test]
fn fifty_versions_broken_cut_and_good_lose_nothing_under_load() {
    const SEED: u128 = 7;
    let names = ["a", "b", "c", "d", "e", "f"];
    let peers: Vec<Peer> = names.iter().map(|name| named(name)).collect();
    let all =
        |set: &BTreeSet<usize>| servers("", set.iter().map(|i| (names[*i], peers[*i].address, "")));
    let mut rng = Rand64::new(SEED);
    let mut lists: Vec<BTreeSet<usize>> = vec![(0..6).collect()];
    let site = Site::new(&one_pool("out_at_most = 1.0"));
    site.write("points.toml", &all(&lists[0]));
    let balancer = Arc::new(Balancer::serving(&site));
    let (known, stop) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let load: Vec<_> =
        (0..4).map(|w| asking(balancer.clone(), w, known.clone(), stop.clone())).collect();
    let mut refused = 0;
    for version in 0..50 {
        let old = lists.last().expect("one").clone();
        let new = loop {
            let set: BTreeSet<usize> = (0..6).filter(|_| rng.rand_range(0..2) == 0).collect();
            if !set.is_empty() && set != old {
                break set;
            }
        };
        let text = all(&new);
        let broken = broken(&text, version, &mut rng);
        if let Some(broken) = broken {
            site.replace("points.toml", &broken);
            balancer.says(&["not changed", "points.toml"]);
            refused += 1;
            // A problem may be told in several lines; the last list is still in force.
            site.replace("points.toml", &all(&old));
        } else {
            site.replace("points.toml", &text);
            balancer.says(&["in force"]);
            lists.push(new.clone());
            known.store(lists.len() - 1, Ordering::SeqCst);
        }
        let now = lists.last().expect("one");
        let server = serves(&balancer, &format!("now-{version}"));
        let at = names.iter().position(|name| *name == server).expect("a server");
        assert!(now.contains(&at), "SEED={SEED} version {version}: {server} is not in {now:?}");
    }
    stop.store(true, Ordering::SeqCst);
    let seen: Vec<_> = load.into_iter().flat_map(|l| l.join().expect("nothing is lost")).collect();
    assert!(
        lists.len() > 5 && refused > 20 && seen.len() > 100,
        "{} lists, {refused}",
        lists.len()
    );
    for (before, after, server) in seen {
        let at = names.iter().position(|name| *name == server).expect("a server");
        // The next list may be in force before this test knows.
        let last = (after + 1).min(lists.len() - 1);
        let listed = lists[before..=last].iter().any(|list| list.contains(&at));
        assert!(listed, "SEED={SEED}: {server} in none of the lists {before} to {last}");
    }
}

#[test]
fn five_thousand_servers_come_into_force_and_all_are_sent_to() {
    const COUNT: u32 = 5000;
    let (everywhere, came) = Peer::everywhere();
    let address = |n: u32| -> SocketAddr {
        (std::net::Ipv4Addr::from(0x7f01_0000 + n), everywhere.address.port()).into()
    };
    let ids: Vec<String> = (0..COUNT).map(|n| format!("s{n}")).collect();
    let list = |n: u32| {
        servers("", ids[..n as usize].iter().zip(0..).map(|(id, n)| (id.as_str(), address(n), "")))
    };
    let site = Site::new(&one_pool("out_at_most = 1.0"));
    site.write("points.toml", &list(1));
    let balancer = Arc::new(Balancer::serving(&site));
    assert_eq!(balancer.ask(read("first", "")).status(), 200);
    site.replace("points.toml", &list(COUNT));
    balancer.says(&["in force", "and 4987 more"]);
    let (done, ends) = channel();
    for worker in 0..8 {
        let (balancer, done) = (balancer.clone(), done.clone());
        thread::spawn(move || {
            let mut client = balancer.client();
            for i in 0..250 {
                client.write(read(&format!("{worker}-{i}"), ""));
                let answer = client.message().expect("an answer");
                assert_eq!(answer.status(), 200);
                if answer.header("connection").is_some() {
                    client = balancer.client();
                }
            }
            let _ = done.send(());
        });
    }
    (0..8).for_each(|_| ends.recv_timeout(LONG).expect("a worker ends"));
    let met: BTreeSet<SocketAddr> = came.try_iter().collect();
    assert!(met.len() > 500, "2,000 requests met only {} servers", met.len());
    site.replace("points.toml", &list(1));
    balancer.says(&["in force", "removed", "and 4987 more"]);
    came.try_iter().for_each(drop);
    for i in 0..20 {
        assert_eq!(balancer.ask(read(&format!("last-{i}"), "")).status(), 200);
    }
    let met: BTreeSet<SocketAddr> = came.try_iter().collect();
    assert_eq!(met, [address(0)].into_iter().collect());
}
