//! What a match costs at 10, 1,000 and 100,000 routes, in one run:
//! `cargo run --release -p sableloom-routes --example matching`

use std::hint::black_box;
use std::time::Instant;

use oorandom::Rand64;
use sableloom_routes::{HostPattern, PathPattern, RequestHead, RouteTable, Rule};

const MATCHES: usize = 1_000_000;

fn main() {
    println!(
        "{:>8}  {:>11}  {:>9}  {:>9}  {:>10}",
        "routes", "compile ms", "ns/match", "ns/none", "resident kB"
    );
    for count in [10, 1_000, 100_000] {
        let before = resident_kb();
        let rules: Vec<Rule> = (0..count).map(rule).collect();
        let start = Instant::now();
        let table = RouteTable::compile(rules).expect("rules");
        let compiled = start.elapsed().as_secs_f64() * 1e3;
        let held = resident_kb().saturating_sub(before);
        let mut rng = Rand64::new(1);
        let heads: Vec<(String, String)> = (0..1024)
            .map(|_| {
                let n = rng.rand_range(0..count as u64);
                (host(n as usize), format!("/v1/shop-{n}/card/4711/balance"))
            })
            .collect();
        let met = time(&table, &heads, Some(()));
        let none: Vec<_> =
            heads.iter().map(|(h, p)| (h.clone(), p.replace("/card", "-"))).collect();
        let none = time(&table, &none, None);
        println!("{count:>8}  {compiled:>11.1}  {met:>9.0}  {none:>9.0}  {held:>10}");
    }
}

fn host(n: usize) -> String {
    format!("till-{}.shop.example", n % 97)
}

fn rule(n: usize) -> Rule {
    Rule {
        hosts: vec![HostPattern::Exact(host(n))],
        paths: vec![PathPattern::Prefix(format!("/v1/shop-{n}/"))],
        ..Rule::default()
    }
}

fn time(table: &RouteTable, heads: &[(String, String)], found: Option<()>) -> f64 {
    let start = Instant::now();
    for i in 0..MATCHES {
        let (host, path) = &heads[i % heads.len()];
        let head = RequestHead {
            host: host.as_bytes(),
            path: path.as_bytes(),
            method: b"GET",
            class: 0,
            has_header: &|_, _| false,
        };
        assert_eq!(black_box(table.find(&head)).is_some(), found.is_some());
    }
    start.elapsed().as_secs_f64() * 1e9 / MATCHES as f64
}

fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
}
