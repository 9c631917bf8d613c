//! Size, memory and speed of balancer programs, in one run, for comparison by ratio:
//!
//!     cargo run --release -p sableloom-testkit --example footprint -- PROGRAM...
//!
//! For each: bytes of the program as built and stripped, resident memory with 200 idle clients, and
//! the median time from a client's write to the request at the server, over 4,000 requests one at a
//! time in 4 rounds that take turns.

use std::path::Path;
use std::process::Command;

use sableloom_testkit::{ForwardingProbe, read};

const IDLE: usize = 200;
const ROUNDS: usize = 4;
const REQUESTS: usize = 1000;

fn stripped(program: &str) -> u64 {
    let to = std::env::temp_dir().join(format!("stripped-{}", std::process::id()));
    let done = Command::new("strip").arg("-o").arg(&to).arg(program).status();
    assert!(done.is_ok_and(|status| status.success()), "strip (of binutils) is needed");
    let size = std::fs::metadata(&to).map_or(0, |file| file.len());
    let _ = std::fs::remove_file(to);
    size
}

fn main() {
    let programs: Vec<String> = std::env::args().skip(1).collect();
    if programs.is_empty() {
        eprintln!("usage: footprint PROGRAM...");
        std::process::exit(2);
    }
    let start = |name: &String| ForwardingProbe::start(Path::new(name), 1, |_| {});
    let mut probes: Vec<_> = programs.iter().map(start).collect();
    for n in 0..ROUNDS {
        probes.iter_mut().for_each(|probe| probe.measure(n, REQUESTS));
    }
    println!("{:>12} {:>12} {:>12} {:>12}  program", "built", "stripped", "idle kB", "first us");
    for (name, mut probe) in programs.iter().zip(probes) {
        let mut idle: Vec<_> = (0..IDLE).map(|_| probe.balancer.client()).collect();
        for (i, client) in idle.iter_mut().enumerate() {
            client.write(read(&format!("idle-{i}"), ""));
            assert_eq!(client.message().expect("an answer").status(), 200);
        }
        let resident = probe.balancer.resident_kb();
        let median = probe.quantile_us(0.5);
        let built = std::fs::metadata(name).map_or(0, |file| file.len());
        let stripped = stripped(name);
        println!("{built:>12} {stripped:>12} {resident:>12} {median:>12.1}  {name}");
    }
}
