//! Stand-ins for the systems around a balancer: points nodes and a discovery agent, on loopback.
//!
//! A node is a model: `sableloom-emulator` behind HTTP/1.1, its work drawn from a seeded distribution,
//! and no measurement of a real machine. [`Node`] has a thread and a port; a [`Shell`] lives on its
//! caller's `LocalSet` and is handed its connections.

mod agent;
mod faulty_stream;
mod node;
mod serve;
mod shell;

pub use agent::{Agent, FaultMode, Member, agent};
pub use node::Node;
pub use shell::{Arrival, Class, Lateness, Options, Shell};
