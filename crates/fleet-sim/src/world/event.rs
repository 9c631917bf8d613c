//! The events of the simulation, ordered by time.

use std::rc::Rc;

use sableloom_types::{Endpoint, Outcome, Time};

#[derive(Debug)]
pub(super) enum Event {
    Arrive,
    Timer { balancer: usize, generation: u32, token: u64 },
    AttemptArrives(usize),
    AdvanceNode { server: usize, version: u64 },
    AttemptEnds { attempt: usize, outcome: Outcome },
    AttemptTimeout(usize),
    Retry(usize),
    ListArrives { balancer: usize, list: Rc<Vec<Endpoint>> },
    Change(usize),
    ReplaceServer(usize),
    ZoneRestored { zone: u32, partition: bool },
}

/// An event with its time and sequence number; of events at the same time the one scheduled first comes first.
pub(super) struct Item(pub(super) Time, pub(super) u64, pub(super) Event);

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Item {}
impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
