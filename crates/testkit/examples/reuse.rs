//! What it costs that connections to servers rest before they are used again, in one run, for comparison by ratio:
//!
//!     cargo run --release -p sableloom-testkit --example reuse -- PROGRAM...
//!
//! For each program and each case: answers a second, the median and the 99th percentile of the time that a safe
//! request takes, and the connections that servers were opened. Programs take turns in each case.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use sableloom_testkit::{Balancer, Peer, config, ok, read};

/// How long each program plays each case.
const PLAY: Duration = Duration::from_secs(8);

/// Clients and servers.
struct Case {
    name: &'static str,
    servers: usize,
    /// What a server works on a request.
    work: Duration,
    clients: usize,
    /// The mean time between an answer and a client's next request.
    pause: Duration,
    /// Servers answer each request twice, this much later.
    second_answer: Option<Duration>,
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const CASES: [Case; 5] = [
    Case {
        name: "one at a time, one server",
        servers: 1,
        work: ms(0),
        clients: 1,
        pause: ms(0),
        second_answer: None,
    },
    Case {
        name: "one at a time, 4 ms of work",
        servers: 1,
        work: ms(4),
        clients: 1,
        pause: ms(0),
        second_answer: None,
    },
    Case {
        name: "370 a second, 48 servers",
        servers: 48,
        work: ms(5),
        clients: 74,
        pause: ms(194),
        second_answer: None,
    },
    Case {
        name: "queues, 2 servers",
        servers: 2,
        work: ms(10),
        clients: 40,
        pause: ms(0),
        second_answer: None,
    },
    Case {
        name: "370 a second, second answers",
        servers: 48,
        work: ms(5),
        clients: 74,
        pause: ms(194),
        second_answer: Some(ms(3)),
    },
];

#[derive(Default)]
struct Count {
    opened: AtomicUsize,
    took_us: Mutex<Vec<u64>>,
    refused: AtomicUsize,
    wrong: AtomicUsize,
}

fn server(case: &Case, count: &Arc<Count>) -> Peer {
    let (work, second, count) = (case.work, case.second_answer, count.clone());
    Peer::start(move |_, mut conn| {
        count.opened.fetch_add(1, Ordering::Relaxed);
        while let Some(message) = conn.message() {
            if !work.is_zero() {
                thread::sleep(work);
            }
            conn.write(ok(message.id()));
            if let Some(late) = second {
                thread::sleep(late);
                conn.write(ok("second"));
            }
        }
    })
}

fn client(balancer: &Balancer, number: usize, case: &Case, end: Instant, count: &Count) {
    let mut conn = balancer.client();
    let mut seed = number as u64 + 1;
    for i in 0.. {
        if !case.pause.is_zero() {
            // Evenly between nothing and twice the mean.
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            thread::sleep(case.pause.mul_f64((seed >> 40) as f64 / (1u64 << 23) as f64));
        }
        if Instant::now() > end {
            return;
        }
        let id = format!("{number}-{i}");
        let start = Instant::now();
        conn.write(read(&id, ""));
        let answer = conn.message().expect("an answer");
        match answer.status() {
            200 if answer.body == id.as_bytes() => {
                count.took_us.lock().expect("unpoisoned").push(start.elapsed().as_micros() as u64)
            }
            200 => _ = count.wrong.fetch_add(1, Ordering::Relaxed),
            _ => _ = count.refused.fetch_add(1, Ordering::Relaxed),
        }
        if answer.header("connection") == Some("close") {
            conn = balancer.client();
        }
    }
}

fn play(program: &str, case: &Case) {
    let count = Arc::new(Count::default());
    let servers: Vec<_> = (0..case.servers).map(|_| server(case, &count)).collect();
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let balancer = Balancer::of(Path::new(program), config(&addresses));
    let end = Instant::now() + PLAY;
    thread::scope(|scope| {
        for number in 0..case.clients {
            let (balancer, count) = (&balancer, &count);
            scope.spawn(move || client(balancer, number, case, end, count));
        }
    });
    let mut took = std::mem::take(&mut *count.took_us.lock().expect("unpoisoned"));
    took.sort_unstable();
    let at = |part: f64| {
        took.get((took.len() as f64 * part) as usize).map_or(0.0, |us| *us as f64 / 1e3)
    };
    let rate = took.len() as f64 / PLAY.as_secs_f64();
    let opened = count.opened.load(Ordering::Relaxed);
    let (refused, wrong) =
        (count.refused.load(Ordering::Relaxed), count.wrong.load(Ordering::Relaxed));
    println!(
        "{rate:>9.0} {:>9.2} {:>9.2} {opened:>8} {refused:>8} {wrong:>6}  {program}",
        at(0.5),
        at(0.99)
    );
}

fn main() {
    let programs: Vec<String> = std::env::args().skip(1).collect();
    if programs.is_empty() {
        eprintln!("usage: reuse PROGRAM...");
        std::process::exit(2);
    }
    for case in &CASES {
        println!(
            "{}\n{:>9} {:>9} {:>9} {:>8} {:>8} {:>6}  program",
            case.name, "per s", "p50 ms", "p99 ms", "opened", "refused", "wrong"
        );
        programs.iter().for_each(|program| play(program, case));
    }
}
