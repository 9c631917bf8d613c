//! From a whole request over its attempts to exactly one final answer.
//!
//! [`Exchange`] owns the decision module of one pool of servers. It tells it what happens, carries
//! out what it answers with, and is the one place that gives a request its final answer. It knows no
//! protocol: a front hands it whole requests through [`Service`], a [`Transport`] carries single
//! attempts, and a [`Source`] names the servers. Whether an attempt may have run is decided in
//! [`fate`], from facts that transports report, and nowhere else.

mod clock;
mod exchange;
pub mod fate;
mod idle;
mod message;
mod ports;
mod task;

pub use clock::{Clock, micros};
pub use exchange::{Exchange, Options, longest_deadline};
pub use message::{Answer, Asked, Client, Fields, Message, Reply, Turned};
pub use ports::{AttemptOutcome, Call, Line, Place, Service, Sink, Source, Transport, Work};
pub use sableloom_types::ListedEndpoint;
pub use task::Task;
