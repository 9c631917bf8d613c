//! The decisions of a request's path: which server, whether to retry, what to refuse.
//!
//! A balancer owns one [`decide::Balancer`] for each pool of servers, tells it what happens, and
//! carries out the [`sableloom_types::Action`]s it answers with. No I/O, no clock.

pub mod decide;
