//! Prints the memory of the limits at a balancer and the time of a check, as lines of JSON. The bytes are those
//! requested from the allocator and are exact; the times depend on the machine.
//!
//! `cargo run --release -p sableloom-tenant-limits --example costs`

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use sableloom_tenant_limits::{Limit, LimitShare, TenantLimits};
use sableloom_types::Time;

/// The number of tenants with a limit, for each service.
const TENANTS: usize = 324;
/// The number of checks that are timed.
const REQUESTS: usize = 2_000_000;

fn main() {
    let names: Vec<Arc<str>> =
        (0..TENANTS).map(|index| format!("customer-{index:06}").into()).collect();
    let limit = Limit::new(20.0, 20).expect("valid limit");
    for services in [5, 25] {
        let services: Vec<String> =
            (0..services).map(|index| format!("service-{index:04}")).collect();
        let mut limits = TenantLimits::default();
        let measured = allocation_counter::measure(|| {
            for service in &services {
                for name in &names {
                    limits.set(Time(0), service, name, limit);
                }
            }
        });
        let start = Instant::now();
        for request in 0..REQUESTS {
            let service = &services[request % services.len()];
            let name = &names[request * 7 % names.len()];
            black_box(limits.check(Time(request as i64), service, name, LimitShare::new(0.01)));
        }
        let nanoseconds = start.elapsed().as_nanos() / REQUESTS as u128;
        println!(
            "{{\"services\": {}, \"limits\": {}, \"bytes\": {}, \"ns_a_request\": {nanoseconds}}}",
            services.len(),
            limits.len(),
            measured.bytes_current
        );
    }
}
