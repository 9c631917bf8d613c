//! The rehearsal of a fleet, without its processes: the script as an operator writes it, checked; the
//! timeline and the arrivals that a seed draws from it, the same to the byte each time; what a link
//! does to what passes it; the account of what happened, rule by rule; and the verdict.
//!
//! No I/O, no clock: `sableloom-rig` starts the processes and does what the timeline says.

mod account;
mod arrivals;
mod judge;
mod link;
mod read;
mod script;
mod timeline;

pub use account::{
    Account, Answer, Arrived, Breaches, Count, Drain, End, Facts, NodeRow, Outage, Row, Try,
    account,
};
pub use arrivals::{Arrival, arrivals};
pub use judge::{Machine, Verdict, judge};
pub use link::{Fate, Passage, Quality, Way};
pub use read::read;
pub use script::*;
pub use timeline::{Act, Step, Timeline, timeline};
