//! What a member sends and receives in its worst second, with the headers of UDP and IP, whatever happens in a
//! fleet that is too long for all to call all.

mod sim;

use sim::{S, Sim};

/// Longer than the lists whose members all call one another.
const MEMBERS: usize = 600;
/// Far past the longest doubt and the first calls of a process that has started.
const SETTLED: i64 = 25 * S;

/// One of the list is missing: all together call it about once a period, and not each of them.
#[test]
fn one_that_is_missing_is_called_seldom() {
    let mut sim = Sim::new(MEMBERS, 3, 0.01);
    (1..MEMBERS).for_each(|i| sim.start(i, MEMBERS));
    sim.run(SETTLED);
    let from = sim.places[0].traffic;
    sim.run(SETTLED + 5 * S);
    let a_second = (sim.places[0].traffic - from) / 5;
    // Five calls of some 70 bytes with their headers.
    assert!(a_second < 1000, "{a_second} bytes a second come to it");
}
