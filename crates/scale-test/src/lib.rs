//! The scale run: many hollow balancers in a few processes, real balancers beside them, and what each costs by
//! the size of the fleet.
//!
//! A hollow balancer runs the state machines and sockets that a real one runs for control (membership,
//! subscription to configuration) and has no data path. Nothing is modelled: what is counted here was sent
//! through the loopback device by the code that `serve` runs.

pub mod child;
pub mod client;
pub mod control;
pub mod data_path;
pub mod distribution;
pub mod fit;
pub mod latency;
pub mod lateness;
pub mod members;
pub mod membership;
pub mod orders;
pub mod play;
pub mod processes;
pub mod real;
pub mod report;
pub mod requests;
pub mod site_cost;
pub mod source;
pub mod subscribers;
pub mod traffic;
pub mod usage;
pub mod worker;
pub mod worst_second;
