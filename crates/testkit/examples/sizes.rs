//! Memory and speed of balancer programs by the length of their lists, in one run, for comparison by ratio:
//!
//!     cargo run --release -p sableloom-testkit --example sizes -- PROGRAM...
//!
//! For each program and each number of servers, once with as many balancers in the settings and once with
//! 1,024: resident memory at rest, and the median and 99th percentile of the time from a client's write to
//! the request at a server, over 2,000 requests one at a time in 4 rounds that take turns.

use std::path::Path;

use serde_json::json;

use sableloom_testkit::ForwardingProbe;

const SERVERS: [usize; 4] = [10, 100, 350, 1024];
const ROUNDS: usize = 4;
const REQUESTS: usize = 500;

fn main() {
    let programs: Vec<String> = std::env::args().skip(1).collect();
    if programs.is_empty() {
        eprintln!("usage: sizes PROGRAM...");
        std::process::exit(2);
    }
    println!(
        "{:>8} {:>9} {:>9} {:>9} {:>9}  program",
        "servers", "balancers", "kB", "p50 us", "p99 us"
    );
    for servers in SERVERS {
        for balancers in [servers, 1024] {
            let start = |program: &String| {
                ForwardingProbe::start(Path::new(program), servers, |config| {
                    config["settings"]["Balancers"] = json!(balancers);
                })
            };
            let mut probes: Vec<_> = programs.iter().map(start).collect();
            for n in 0..ROUNDS {
                probes.iter_mut().for_each(|probe| probe.measure(n, REQUESTS));
            }
            for (program, mut probe) in programs.iter().zip(probes) {
                let (p50, p99) = (probe.quantile_us(0.5), probe.quantile_us(0.99));
                let kb = probe.balancer.resident_kb();
                println!("{servers:>8} {balancers:>9} {kb:>9} {p50:>9.1} {p99:>9.1}  {program}");
            }
        }
    }
}
