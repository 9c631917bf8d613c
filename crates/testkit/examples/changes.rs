//! What one change of configuration costs a balancer that subscribes, by the number of services that it serves:
//!
//!     cargo run --release -p sableloom-testkit --example changes -- PROGRAM [SERVICES...]
//!
//! For each number of services, each with 48 servers and 84 routes as in a fleet of 2,500: resident memory,
//! processor time of the serving thread at rest, and the time of one server's and of one route's change, over
//! 100 changes of each, one after the other. `apply` is the time for which requests wait while a change is
//! checked and put in force; `thread` all processor time of the serving thread beyond that at rest.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::Value;

use sableloom_testkit::control::{Control, route, server_at, service, site};
use sableloom_testkit::{Process, Site};

const SERVERS: usize = 48;
const ROUTES: usize = 84;
const CHANGES: usize = 100;
/// Services set by one change file.
const SERVICES_PER_CHANGE: usize = 50;
const REST: Duration = Duration::from_secs(4);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let Some(program) = arguments.next() else {
        eprintln!("usage: changes PROGRAM [SERVICES...]");
        std::process::exit(2);
    };
    let mut sizes: Vec<usize> = arguments.map(|size| size.parse().expect("a number")).collect();
    if sizes.is_empty() {
        sizes = vec![25, 250, 2500];
    }
    println!("                                  server's change, us  route's change, us");
    println!("services  resident MB  at rest %     apply    thread      apply    thread");
    for size in sizes {
        measure(Path::new(&program), size);
    }
}

fn name_of(number: usize) -> String {
    format!("service-{number}")
}

fn address_of(number: usize) -> SocketAddr {
    let [_, a, b, c] = (number as u32 + 1).to_be_bytes();
    ([127, a, b, c], 9).into()
}

/// Change files with all services.
fn base(services: usize) -> Vec<String> {
    let numbers: Vec<usize> = (0..services).collect();
    let change = |numbers: &[usize]| {
        let mut text = String::new();
        for number in numbers {
            let name = name_of(*number);
            text += &service(&name, &format!("{name}.example"));
            for n in 0..SERVERS {
                let address = address_of(number * SERVERS + n);
                text += &server_at(&name, &format!("{name}-{n}"), address, "");
            }
            for n in 1..ROUTES {
                text += &route(&name, &format!("route-{n}"), &format!("h{n}.{name}.example"), "");
            }
        }
        text
    };
    numbers.chunks(SERVICES_PER_CHANGE).map(change).collect()
}

fn measure(program: &Path, services: usize) {
    let base = base(services);
    let control = Control::start(&base);
    let names: Vec<String> = (0..services).map(name_of).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let text = site(control.address, "one", &names, "[limits]\nsockets = 20000\n");
    let folder = Site::new(&text.replace("state =", "# state ="));
    let path = folder.path("site.toml");
    let serve = ["serve", "--config", path.to_str().expect("a path")];
    let balancer = Process::of(program, &serve);
    balancer.says(&["listening on"]);
    std::thread::sleep(Duration::from_secs(1));
    let (start, before) = (Instant::now(), thread_time(balancer.pid()));
    std::thread::sleep(REST);
    let rest = (thread_time(balancer.pid()) - before).as_secs_f64() / start.elapsed().as_secs_f64();
    let mut number = base.len();
    let mut cost = |change: &dyn Fn(usize) -> String| {
        let applied = apply_us(&balancer);
        let (start, before) = (Instant::now(), thread_time(balancer.pid()));
        for n in 0..CHANGES {
            number += 1;
            control.publish(number, &change(n));
            balancer.says(&["in force", &format!(" {number}: ")]);
        }
        let used = (thread_time(balancer.pid()) - before).as_secs_f64();
        let used = used - rest * start.elapsed().as_secs_f64();
        let applied = apply_us(&balancer) - applied;
        (applied / CHANGES as f64, used / CHANGES as f64 * 1e6)
    };
    let of = |n: usize| name_of(n * 7 % services);
    let server = cost(&|n| {
        let (name, id) = (of(n), format!("{}-0", of(n)));
        let address = address_of(n * 7 % services * SERVERS);
        server_at(&name, &id, address, &format!("weight = {}", 2 + n % 9))
    });
    let route = cost(&|n| {
        let host = format!("changed-{n}.example");
        route(&of(n), "route-1", &host, "")
    });
    let resident = resident_mb(balancer.pid());
    println!(
        "{services:8}  {resident:11.0}  {:9.2}  {:8.0}  {:8.0}   {:8.0}  {:8.0}",
        rest * 100.0,
        server.0,
        server.1,
        route.0,
        route.1
    );
}

/// Microseconds that its transactions have taken, by its own count.
fn apply_us(balancer: &Process) -> f64 {
    let pid = balancer.pid().to_string();
    assert!(Command::new("kill").args(["-USR1", &pid]).status().expect("kill").success());
    let line = balancer.says(&["sableloom: status "]);
    let json = line.split_once("status ").expect("a status").1;
    let status: Value = serde_json::from_str(json).expect("JSON");
    status["subscribed"]["apply_us"].as_f64().expect("a number")
}

/// Processor time of the thread that serves, in nanoseconds' steps.
fn thread_time(pid: u32) -> Duration {
    let path = format!("/proc/{pid}/task/{pid}/schedstat");
    let text = std::fs::read_to_string(path).expect("a process");
    let on_processor = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(on_processor.expect("a number"))
}

fn resident_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a figure");
    line.trim().trim_end_matches(" kB").parse::<f64>().expect("a number") / 1024.0
}
