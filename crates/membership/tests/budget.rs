//! Bytes that a member sends and receives in a second, with the headers of UDP and IP, in a fleet with a long list.

mod sim;

use sim::{SECOND, Sim};

/// The length of the list. It exceeds that of a short list, whose members all ping one another.
const MEMBERS: usize = 600;
/// The time, in microseconds, by which the longest suspicion and the initial pings of all processes are long over.
const SETTLED_AT: i64 = 25 * SECOND;

/// A missing member receives about one ping in a probe interval from all members together, and not one from each.
#[test]
fn a_missing_member_receives_about_one_ping_per_probe_interval_in_total() {
    let mut sim = Sim::new(MEMBERS, 3, 0.01);
    (1..MEMBERS).for_each(|i| sim.start(i, MEMBERS));
    sim.run(SETTLED_AT);
    let from = sim.hosts[0].traffic;
    sim.run(SETTLED_AT + 5 * SECOND);
    let bytes_per_second = (sim.hosts[0].traffic - from) / 5;
    // Five pings a second of about 70 bytes, headers included, are expected.
    assert!(bytes_per_second < 1000, "{bytes_per_second} bytes a second reach the missing member");
}
