//! A points node in model time: slots and a waiting room before shared cores, a limit of connections
//! each of which costs work, a ramp from cold and a fall when pushed past what a cold node bears,
//! pauses, faults by class, keys that come back cheaper, and a count of executions that outlives its
//! crash. No I/O, no clock, no lots of its own: who drives it says what time it is and draws.
//!
//! It has two shells: the bank of balancers in simulated time, and the stand-in behind sockets.

mod cores;
mod draw;
mod keys;
mod node;

pub use cores::{Cores, Job, Offer, Shape};
pub use draw::{KINDS, Kind, kind, noise};
pub use node::{Ask, Done, Ending, Fault, Nature, Node, Phase};
