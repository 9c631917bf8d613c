//! From a whole request over its attempts to exactly one final answer.
//!
//! [`Exchange`] owns the decision module of one pool of servers. It tells it what happens, carries
//! out what it answers with, and is the one place that gives a request its final answer. It knows no
//! protocol: a front hands it whole requests through [`Service`], a [`Transport`] carries single
//! attempts, and a [`EndpointSource`] names the servers. Whether an attempt may have run is decided in
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
pub use message::{Answer, Client, Fields, Message, Reply, RequestContext, RequestRejection};
pub use ports::{
    AttemptConnection, AttemptContext, AttemptOutcome, DispatchAddress, EndpointListener,
    EndpointSource, Service, Transport, Work,
};
pub use sableloom_types::ListedEndpoint;
pub use task::Task;
