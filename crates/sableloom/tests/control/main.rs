//! Control machines and subscribers as processes: what happens when either is killed, frozen, disconnected, flooded or
//! contradicted.

mod changes;
mod check;
mod failures;
mod machine;
mod misbehaving_peers;
mod subscriber;

use std::net::SocketAddr;

use sableloom_testkit::Process;

use machine::{Machine, pool, route, server};
use subscriber::Options;

/// Not a test: what a subscriber's process runs.
#[test]
fn subscriber_process() {
    subscriber::run();
}

fn follow(machines: &[SocketAddr], services: &[&str]) -> Process {
    subscriber::start(&Options { machines, services, rejects: false })
}

/// The line of a subscriber that has a service as the control machine has it.
fn applied(machine: &Machine, how: &str, service: &str, resources: usize) -> String {
    let (version, digest) = machine.held(service);
    format!("applied {how} {service} {version} {digest} {resources}")
}

fn points(servers: std::ops::Range<u16>) -> Vec<String> {
    let servers = servers.map(|i| server("points", &format!("points-{i}"), 9000 + i));
    std::iter::once(pool("points")).chain(servers).collect()
}

/// Routes of a service that take so many KiB together.
fn heavy(service: &str, kib: usize) -> Vec<String> {
    (0..kib).map(|i| route(service, &format!("r{i}"), 1024)).collect()
}
