//! A deterministic simulation of control machines, subscribers and the links between them in virtual time. Each
//! schedule is derived from one seed.

pub(crate) mod applier;
mod balancers;
mod connection;
mod controls;
pub(crate) mod coverage;
mod faults;
pub(crate) mod history;
mod network;
pub(crate) mod world;
