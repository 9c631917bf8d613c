//! Bytes that a member sends and receives in its worst second, with the headers of UDP and IP, in a fleet with a long
//! list.

mod sim;

use sim::{SECOND, Sim};

/// Longer than a short list, whose members all ping one another.
const MEMBERS: usize = 600;
/// Far past the longest suspicion and the pings of a process that has started.
const SETTLED_AT: i64 = 25 * SECOND;

/// A member is missing: all together ping it about once in a probe interval, and not each of them.
#[test]
fn a_missing_member_receives_about_one_ping_per_probe_interval_in_total() {
    let mut sim = Sim::new(MEMBERS, 3, 0.01);
    (1..MEMBERS).for_each(|i| sim.start(i, MEMBERS));
    sim.run(SETTLED_AT);
    let from = sim.hosts[0].traffic;
    sim.run(SETTLED_AT + 5 * SECOND);
    let bytes_per_second = (sim.hosts[0].traffic - from) / 5;
    // Five pings of some 70 bytes with their headers.
    assert!(bytes_per_second < 1000, "{bytes_per_second} bytes a second come to it");
}
