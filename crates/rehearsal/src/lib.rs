//! The pure part of a fleet rehearsal: reading and checking the operator's script, drawing the timeline and the
//! arrivals from a seed (deterministic to the byte), the model of a faulty link, the account of what happened
//! rule by rule, and the verdict.
//!
//! No I/O, no clock: `sableloom-harness` starts the processes and carries out the timeline.

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
pub use link::{Deliveries, LinkDirection, LinkQuality, LinkState};
pub use read::read;
pub use script::{
    Class, Clients, Condition, Event, EventAction, Expect, Fleet, Group, Idempotency, Lists, Load,
    MAX_PROCESSES, MAX_REQUESTS, MS, MachineLimits, Nodes, Phase, Pick, Process, RetainedState,
    Role, S, Script,
};
pub use timeline::{Step, StepAction, Timeline, timeline};
