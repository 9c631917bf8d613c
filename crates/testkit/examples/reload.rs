//! What a new list of servers costs: the time from a rename to the first request under the new
//! list, 5,000 servers at once, the longest request meanwhile, and memory.
//! `cargo run --release -p sableloom-testkit --example reload`, with the program built beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use sableloom_testkit::{Balancer, Peer, Site, named, read, servers};

const ROUNDS: usize = 100;
const COUNT: usize = 5000;

const SITE: &str = r#"
[[listener]]
address = "127.0.0.1:0"
[[class]]
name = "read"
aim_ms = 1000
deadline_ms = 5000
effect = "safe"
methods = "GET"
[[pool]]
name = "points"
files = "points.toml"
out_at_most = 1
reread_ms = 600000
cold.time_ms = 0
[otherwise]
pool = "points"
"#;

fn main() {
    let site = Site::new(SITE);
    let peers = [named("a"), named("b")];
    let list = |n: usize| servers("", [(["a", "b"][n], peers[n].address, "")]);
    site.write("points.toml", &list(0));
    let balancer = Arc::new(Balancer::serving(&site));
    measure_renames(&site, &balancer, list);
    measure_large_lists(&site, &balancer);
}

/// How long it takes from a rename of a list to the first request under it.
fn measure_renames(site: &Site, balancer: &Balancer, list: impl Fn(usize) -> String) {
    let mut client = balancer.client();
    let mut ask = |id: String| {
        client.write(read(&id, ""));
        client.message().expect("an answer").body
    };
    let mut times: Vec<Duration> = Vec::new();
    for round in 1..=ROUNDS {
        let name = ["a", "b"][round % 2].as_bytes();
        site.replace("points.toml", &list(round % 2));
        let start = Instant::now();
        for n in 0.. {
            if ask(format!("{round}-{n}")) == name {
                break;
            }
        }
        times.push(start.elapsed());
    }
    times.sort();
    let (median, most) = (times[ROUNDS / 2], times[ROUNDS - 1]);
    println!(
        "from a rename to the first request under the new list, {ROUNDS} times: median {median:.1?}, most {most:.1?}"
    );
}

/// How long large lists take to come into force, and what requests notice of it.
fn measure_large_lists(site: &Site, balancer: &Arc<Balancer>) {
    let (everywhere, _came) = Peer::everywhere();
    let address = |n: usize| -> SocketAddr {
        (std::net::Ipv4Addr::from(0x7f01_0000 + n as u32), everywhere.address.port()).into()
    };
    let ids: Vec<String> = (0..2 * COUNT).map(|n| format!("s{n}")).collect();
    let many = |from: usize| {
        servers("", (from..from + COUNT).map(|n| (ids[n].as_str(), address(n), "zone = \"\"")))
    };
    let idle = balancer.resident_kb();
    site.replace("points.toml", &many(0));
    balancer.says(&["in force", "more"]);
    println!("resident: {idle} kB with 1 server, {} kB with {COUNT}", balancer.resident_kb());
    let stop = Arc::new(AtomicBool::new(false));
    let load = start_load(balancer.clone(), stop.clone());
    let mut times = Vec::new();
    for round in 0..20 {
        // A weight in one place, or all of them others.
        let text = match round % 2 {
            0 => many(COUNT),
            _ => many(0).replacen("zone", "weight = 2\nzone", 1),
        };
        site.replace("points.toml", &text);
        let start = Instant::now();
        balancer.says(&["in force"]);
        times.push(start.elapsed());
    }
    stop.store(true, Ordering::SeqCst);
    let took = load.join().expect("the load ends");
    times.sort();
    println!(
        "{COUNT} servers replaced by {COUNT} others, 20 times: median {:.1?}, most {:.1?}",
        times[10], times[19]
    );
    let (median, most) = (took[took.len() / 2], took[took.len() - 1]);
    println!("requests meanwhile: {}, median {median:.1?}, longest {most:.1?}", took.len());
    println!(
        "resident after it: {} kB, most {} MB",
        balancer.resident_kb(),
        balancer.peak_memory_mb()
    );
}

/// Sends one request after the other until it is stopped; returns the sorted times.
fn start_load(balancer: Arc<Balancer>, stop: Arc<AtomicBool>) -> JoinHandle<Vec<Duration>> {
    thread::spawn(move || {
        let (mut client, mut took) = (balancer.client(), Vec::new());
        for n in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let start = Instant::now();
            client.write(read(&format!("load-{n}"), ""));
            let answer = client.message().expect("an answer");
            assert_eq!(answer.status(), 200);
            if answer.header("connection").is_some() {
                client = balancer.client();
            }
            took.push(start.elapsed());
        }
        took.sort();
        took
    })
}
