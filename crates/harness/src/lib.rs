//! The test harness that plays a rehearsal: processes of the program in front of emulated nodes, an open-loop
//! load generator, and links with injected faults between them. Ends with one account and one verdict.
//! Loopback only, no privileges.
//!
//! The script, the timeline, the account and the verdict belong to `sableloom-rehearsal`; this crate starts
//! the processes, carries out the timeline, and records what happened.

mod clients;
mod datagrams;
mod endpoints;
mod error;
mod html;
mod launcher;
mod listener_gate;
mod net;
mod play;
mod process;
mod site;
mod table;

pub use datagrams::{DatagramNetwork, Pair};
pub use error::PlayError;
pub use html::{beside, page};
pub use launcher::{LaunchError, LaunchOptions, launch};
pub use net::Link;
pub use play::{FleetRow, Options, Report, play};
pub use table::{compared, table};
