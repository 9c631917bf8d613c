//! What shadow traffic costs live requests, whatever the candidate does: the same load at a fixed
//! rate, in turns, with no shadow and with a candidate that is well, hangs, is not there, or sends
//! large answers that all differ. The balancer and its side thread are bound to one core.
//! `cargo run --release -p sableloom-testkit --example shadow`, with the program built beside it.

use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use sableloom_testkit::{Balancer, Peer, Site, answer, read, servers};
use serde_json::Value;

const CLIENTS: u32 = 4;
/// Requests of all clients a second.
const RATE: u32 = 1200;
const ROUNDS: usize = 4;
/// Of each round, with each candidate.
const REQUESTS: u32 = 3000;
const MEMBERS: usize = 400;

const SITE: &str = r#"
[[listener]]
address = "127.0.0.1:0"
[[class]]
name = "read"
aim_ms = 150
deadline_ms = 600
effect = "safe"
methods = "GET"
[[pool]]
name = "points"
files = "points.toml"
cold.time_ms = 0
[otherwise]
pool = "points"
"#;

const SHADOW: &str = r#"
[[pool]]
name = "candidate"
files = "candidate.toml"
cold.time_ms = 0
[[shadow]]
name = "next"
of = "points"
to = "candidate"
share = 1.0
per_second = 200
record_ms = 1000
"#;

fn body(n: usize, points: usize) -> String {
    let members: Vec<String> =
        (0..n).map(|i| format!(r#""member-{i}":{{"points":{points},"tier":"gold"}}"#)).collect();
    format!("{{{}}}", members.join(","))
}

fn answering(body: String) -> Peer {
    let answer = answer("200 OK", "Content-Type: application/json\r\n", &body);
    Peer::upstream(move |_, _, conn| {
        conn.write(&answer);
        true
    })
    .0
}

struct Case {
    name: &'static str,
    balancer: Arc<Balancer>,
    site: Option<Site>,
    took: Vec<Duration>,
    busy: Duration,
}

impl Case {
    fn new(name: &'static str, live: &Peer, candidate: Option<std::net::SocketAddr>) -> Self {
        let text = format!("{SITE}{}", if candidate.is_some() { SHADOW } else { "" });
        let site = Site::new(&text);
        site.write("points.toml", &servers("", [("live", live.address, "")]));
        if let Some(candidate) = candidate {
            site.write("candidate.toml", &servers("", [("next", candidate, "")]));
        }
        let balancer = Balancer::serving(&site);
        let pid = balancer.pid().to_string();
        let bound = Command::new("taskset").args(["-a", "-c", "-p", "0", &pid]).output();
        assert!(bound.is_ok_and(|o| o.status.success()), "taskset binds it to a core");
        let balancer = Arc::new(balancer);
        Self { name, balancer, site: Some(site), took: Vec::new(), busy: Duration::ZERO }
    }

    fn round(&mut self, round: usize) {
        let before = self.balancer.processor_time();
        let start = Instant::now() + Duration::from_millis(5);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|c| {
                let balancer = self.balancer.clone();
                thread::spawn(move || client(&balancer, start, c, round))
            })
            .collect();
        for client in clients {
            self.took.extend(client.join().expect("a client"));
        }
        self.busy += self.balancer.processor_time() - before;
    }
}

/// Times from when a request was due, so that one that is held up holds up none unseen.
fn client(balancer: &Balancer, start: Instant, number: u32, round: usize) -> Vec<Duration> {
    let mut conn = balancer.client();
    let mut took = Vec::new();
    for i in 0..REQUESTS / CLIENTS {
        let due = start + Duration::from_secs(1) * (i * CLIENTS + number) / RATE;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let key = format!("X-Object: {:x}\r\n", i % 997);
        conn.write(read(&format!("{round}-{number}-{i}"), &key));
        let answer = conn.message().expect("an answer");
        assert_eq!(answer.status(), 200);
        took.push(due.elapsed());
        if answer.header("connection").is_some() {
            conn = balancer.client();
        }
    }
    took
}

/// Keeps the load off the balancer's core.
fn leave_first_core() {
    let own = std::process::id().to_string();
    let rest = thread::available_parallelism().map_or(1, |n| n.get() - 1);
    let bound =
        Command::new("taskset").args(["-a", "-c", "-p", &format!("1-{rest}"), &own]).output();
    assert!(
        rest > 0 && bound.is_ok_and(|o| o.status.success()),
        "taskset and two cores are needed"
    );
}

/// Runs the cases of a group in turn.
fn run_rounds(group: &mut [Case]) {
    for round in 0..ROUNDS {
        // Each is the first as often as any other.
        let first = round % group.len();
        let (before, after) = group.split_at_mut(first);
        after.iter_mut().chain(before).for_each(|case| case.round(round));
    }
}

/// Prints a line for each case, with its times as multiples of the first one's.
fn print_group(group: &mut [Case]) {
    let mut first: Option<(f64, f64)> = None;
    for case in group {
        case.took.sort();
        let n = case.took.len();
        let ms = |t: Duration| t.as_secs_f64() * 1e3;
        let at = |share: f64| ms(case.took[((n - 1) as f64 * share) as usize]);
        let (p50, p99) = (at(0.5), at(0.99));
        let base = *first.get_or_insert((p50, p99));
        let text = case.site.as_ref().map(|site| site.path("shadow-next.json"));
        let text = text.and_then(|path| std::fs::read(path).ok()).unwrap_or_default();
        let record: Value = serde_json::from_slice(&text).unwrap_or_default();
        println!(
            "{:<28}{p50:>9.3}{p99:>9.3}{:>9.2}{:>8.2}{:>8.2}{:>12.1}{:>9}{:>9}",
            case.name,
            at(1.0),
            p50 / base.0,
            p99 / base.1,
            case.busy.as_secs_f64() * 1e6 / n as f64,
            record["copied"].as_u64().unwrap_or(0),
            case.balancer.resident_kb()
        );
    }
}

fn main() {
    leave_first_core();
    let small = r#"{"points":7,"tier":"gold"}"#.to_string();
    let (live, large) = (answering(small.clone()), answering(body(MEMBERS, 7)));
    let (well, differs) = (answering(small), answering(body(MEMBERS, 8)));
    let hangs = Peer::start(|_, mut conn| while conn.message().is_some() {});
    let gone = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    let gone = gone.expect("a port that is free again");
    let mut groups = [
        vec![
            Case::new("no shadow", &live, None),
            Case::new("no shadow, once more", &live, None),
            Case::new("candidate is well", &live, Some(well.address)),
            Case::new("candidate hangs", &live, Some(hangs.address)),
            Case::new("candidate is not there", &live, Some(gone)),
        ],
        vec![
            Case::new("18 kB answers, no shadow", &large, None),
            Case::new("18 kB answers, once more", &large, None),
            Case::new("18 kB answers, all differ", &large, Some(differs.address)),
            Case::new("18 kB answers, hangs", &large, Some(hangs.address)),
        ],
    ];
    println!(
        "{RATE} requests a second, {CLIENTS} clients, {ROUNDS} rounds of {REQUESTS} each, one core \
         for the balancer; up to 200 copies a second"
    );
    println!(
        "{:<28}{:>9}{:>9}{:>9}{:>8}{:>8}{:>12}{:>9}{:>9}",
        "", "p50 ms", "p99 ms", "most", "p50 x", "p99 x", "cpu us/req", "copies", "RSS kB"
    );
    for group in &mut groups {
        run_rounds(group);
        print_group(group);
    }
}
