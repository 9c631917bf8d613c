//! Size, memory and speed of balancer programs, in one run, for comparison by ratio:
//!
//!     cargo run --release -p sableloom-testkit --example footprint -- PROGRAM...
//!
//! For each: bytes of the program as built and stripped, resident memory with 200 idle clients, and
//! the median time from a client's write to the request at the server, over 4,000 requests one at a
//! time in 4 rounds that take turns.

use std::path::Path;
use std::process::Command;
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

use sableloom_testkit::*;

const IDLE: usize = 200;
const ROUNDS: usize = 4;
const REQUESTS: usize = 1000;

struct Subject {
    name: String,
    came: Receiver<Instant>,
    balancer: Balancer,
    took: Vec<f64>,
}

fn subject(name: String) -> Subject {
    let (told, came) = channel();
    let told = std::sync::Mutex::new(told);
    let (upstream, _messages) = Peer::upstream(move |_, _, conn| {
        let _ = told.lock().expect("unpoisoned").send(Instant::now());
        conn.write(ok("x"));
        true
    });
    let balancer = Balancer::of(Path::new(&name), config(&[upstream.address]));
    Subject { name, came, balancer, took: Vec::new() }
}

fn round(subject: &mut Subject, round: usize) {
    let mut client = subject.balancer.client();
    for i in 0..REQUESTS {
        let text = read(&format!("{round}-{i}"), "");
        let start = Instant::now();
        client.write(text);
        let came = subject.came.recv_timeout(LONG).expect("a request");
        subject.took.push(came.duration_since(start).as_secs_f64() * 1e6);
        assert_eq!(client.message().expect("an answer").status(), 200);
    }
}

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
    let mut subjects: Vec<_> = programs.into_iter().map(subject).collect();
    for n in 0..ROUNDS {
        subjects.iter_mut().for_each(|subject| round(subject, n));
    }
    println!("{:>12} {:>12} {:>12} {:>12}  program", "built", "stripped", "idle kB", "first us");
    for mut subject in subjects {
        let mut idle: Vec<_> = (0..IDLE).map(|_| subject.balancer.client()).collect();
        for (i, client) in idle.iter_mut().enumerate() {
            client.write(read(&format!("idle-{i}"), ""));
            assert_eq!(client.message().expect("an answer").status(), 200);
        }
        let resident = subject.balancer.resident_kb();
        subject.took.sort_by(f64::total_cmp);
        let median = subject.took[subject.took.len() / 2];
        let built = std::fs::metadata(&subject.name).map_or(0, |file| file.len());
        let stripped = stripped(&subject.name);
        println!("{built:>12} {stripped:>12} {resident:>12} {median:>12.1}  {}", subject.name);
    }
}
