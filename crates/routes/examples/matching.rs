//! Measures the time to compile a route table and to look up a route, and the resident memory of the table, with 10,
//! 1,000 and 100,000 routes:
//! `cargo run --release -p sableloom-routes --example matching`

use std::hint::black_box;
use std::time::Instant;

use oorandom::Rand64;
use sableloom_routes::{HostPattern, PathPattern, RequestHead, RouteTable, Rule};

/// Number of lookups in each time measurement.
const LOOKUPS: usize = 1_000_000;

fn main() {
    println!(
        "{:>8}  {:>11}  {:>9}  {:>9}  {:>10}",
        "routes", "compile ms", "ns/match", "ns/none", "resident kB"
    );
    for count in [10, 1_000, 100_000] {
        let kb_before = resident_kb();
        let rules: Vec<Rule> = (0..count).map(shop_rule).collect();
        let start = Instant::now();
        let table = RouteTable::compile(rules).expect("the rules compile");
        let compile_ms = start.elapsed().as_secs_f64() * 1e3;
        let table_kb = resident_kb().saturating_sub(kb_before);
        let mut rng = Rand64::new(1);
        let matching: Vec<(String, String)> = (0..1024)
            .map(|_| {
                let n = rng.rand_range(0..count as u64);
                (shop_host(n as usize), format!("/v1/shop-{n}/card/4711/balance"))
            })
            .collect();
        let match_ns = lookup_ns(&table, &matching, Some(()));
        let unmatched: Vec<_> = matching
            .iter()
            .map(|(host, path)| (host.clone(), path.replace("/card", "-")))
            .collect();
        let miss_ns = lookup_ns(&table, &unmatched, None);
        println!("{count:>8}  {compile_ms:>11.1}  {match_ns:>9.0}  {miss_ns:>9.0}  {table_kb:>10}");
    }
}

fn shop_host(n: usize) -> String {
    format!("till-{}.shop.example", n % 97)
}

fn shop_rule(n: usize) -> Rule {
    Rule {
        hosts: vec![HostPattern::Exact(shop_host(n))],
        paths: vec![PathPattern::Prefix(format!("/v1/shop-{n}/"))],
        ..Rule::default()
    }
}

/// Mean time of a lookup in nanoseconds. Panics if a request matches although `expected` is `None`, or does not match
/// although `expected` is `Some`.
fn lookup_ns(table: &RouteTable, requests: &[(String, String)], expected: Option<()>) -> f64 {
    let start = Instant::now();
    for i in 0..LOOKUPS {
        let (host, path) = &requests[i % requests.len()];
        let head = RequestHead {
            host: host.as_bytes(),
            path: path.as_bytes(),
            method: b"GET",
            class: 0,
            has_header: &|_, _| false,
        };
        assert_eq!(black_box(table.find(&head)).is_some(), expected.is_some());
    }
    start.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64
}

/// Resident memory of this process in kB, or 0 if the kernel does not report it.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
}
