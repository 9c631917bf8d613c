//! A model of a points node: slots and a bounded queue in front of shared cores, a limit of connections that each
//! cost work, a warm-up ramp with a crash when a cold node is overloaded, pauses, faults by class, a cache
//! of keys, and a count of executions that survives its crashes. No I/O, no clock, no random draws of its
//! own: the caller passes the time and the draws.
//!
//! It is driven in two ways: in simulated time by `sableloom-fleet-sim`, and behind sockets by `sableloom-stand-ins`.

mod attempt;
mod cached_keys;
mod cold_load;
mod cores;
mod draw;
mod node;
mod profile;

pub use attempt::{AttemptOutcome, Completion, NodeRequest};
pub use cores::{Admission, Cores, Job, NodeCapacity};
pub use draw::{KINDS, Kind, kind, noise};
pub use node::{Node, Phase};
pub use profile::{Fault, NodeProfile};
