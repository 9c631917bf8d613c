//! Simulates hundreds of balancers with the real policy in front of model servers.
//!
//! A policy that works well for one balancer may do harm when hundreds follow it at once. This crate plays the
//! hard cases of a large fleet from a seed: each balancer is a [`sableloom_policy::Balancer`] of its own
//! and receives only what a real one would; servers share their cores among requests, start cold, fill up and
//! fail. Two baselines play the same cases: random choice, and a policy that knows the true state of every
//! server, which no real one can. The rules are checked on every action.
//!
//! Time is simulated. The servers are the nodes of `sableloom-emulator`. Some cases have clients that retry,
//! and connections that cost work; keys are not modelled.

pub mod case;
pub mod settings;
pub mod tally;
pub mod world;

pub use case::{Case, Change, cases};
pub use tally::Tally;
pub use world::{Chooser, World};
