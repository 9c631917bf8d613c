//! Time of a decision at 10, 100, 1,000 and 5,000 servers: a request that comes, is sent and served.
//! `cargo run --release -p sableloom-fleet-sim --example decision`

use std::time::Instant;

use sableloom_fleet_sim::cases;
use sableloom_fleet_sim::settings::settings;
use sableloom_policy::Balancer;
use sableloom_types::{
    Action, AttemptResult, Endpoint, EndpointStatus, ListKind, LoadReport, Outcome, Request,
    RequestId, ServerId, Span, Time,
};

fn member(i: u32) -> Endpoint {
    Endpoint {
        id: ServerId(i),
        name_hash: u64::from(i) * 7919,
        zone: i % 3,
        machine_type: i % 3,
        cell: 0,
        status: EndpointStatus::Live,
        weight: 1.0,
        started: None,
    }
}

/// Microseconds a request, and a sweep of the timer.
fn time(servers: u32, requests: u64) -> (f64, f64) {
    let case = cases(300, servers as usize).swap_remove(0);
    let mut now = Time(1_000_000_000);
    let mut balancer = Balancer::new(settings(&case), 1, now).expect("settings are sound");
    let mut out = Vec::new();
    balancer.start(now, &mut out);
    let list: Vec<_> = (0..servers).map(member).collect();
    balancer.update_endpoints(now, ListKind::Full, &list, &mut out);
    let (mut asked, mut swept, mut sweeps) = (0.0, 0.0, 0.0);
    for id in 0..requests {
        now = now.plus(Span(1000));
        out.clear();
        let begun = Instant::now();
        let request = Request {
            id: RequestId(id),
            class: 0,
            tenant: 0,
            key: None,
            deadline: now.plus(Span(600_000)),
        };
        balancer.request_arrived(now, request, &mut out);
        let sent = out.iter().find_map(|a| match a {
            Action::Forward { server, .. } => Some(*server),
            _ => None,
        });
        if let Some(server) = sent {
            let answer = AttemptResult {
                request: RequestId(id),
                attempt: 0,
                server,
                outcome: Outcome::Ok,
                latency: Span(40_000),
                ends_request: true,
                report: LoadReport::default(),
            };
            balancer.attempt_ended(now, answer, &mut out);
        }
        asked += begun.elapsed().as_secs_f64() * 1e6;
        if id % 8 == 0 {
            let begun = Instant::now();
            balancer.timer_fired(now, 1, &mut out);
            swept += begun.elapsed().as_secs_f64() * 1e6;
            sweeps += 1.0;
        }
    }
    (asked / requests as f64, swept / sweeps)
}

fn main() {
    println!("{:>8} {:>14} {:>14}", "servers", "us a request", "us a sweep");
    for servers in [10, 100, 1_000, 5_000] {
        // The first round warms the processor's caches.
        let rounds: Vec<_> = (0..4).map(|_| time(servers, 4_000)).skip(1).collect();
        let least = |what: fn(&(f64, f64)) -> f64| rounds.iter().map(what).fold(f64::MAX, f64::min);
        println!("{servers:>8} {:>14.2} {:>14.2}", least(|r| r.0), least(|r| r.1));
    }
}
