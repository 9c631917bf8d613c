//! Stand-ins for the systems around a balancer: points nodes and a discovery agent, on loopback.
//!
//! Each runs on a thread of its own until the program ends. A node is a model: its work is a wait,
//! drawn from a seeded distribution, and no measurement of a real machine.

mod agent;
mod node;
mod serve;

pub use agent::agent;
pub use node::{Node, Options};
