//! The other ends of a balancer's sockets, scripted: servers, clients and discovery; and the
//! program itself as a process between them. Loopback only. It shares no code with the program.

#![allow(
    clippy::missing_panics_doc,
    reason = "a test library: each helper panics when what it waits for fails, which is how a test fails"
)]

mod address;
mod balancer;
mod connection;
pub mod control;
mod discovery;
mod files;
mod peer;
mod probe;
mod process;

use std::thread;
use std::time::{Duration, Instant};

pub use address::ReservedAddress;
pub use balancer::{Balancer, program, spawn};
pub use connection::{Conn, Message, answer, ok, post, read};
pub use discovery::{Discovery, Told, entry, list};
pub use files::{ConfigFile, READ_CLASS, Site, config, only_own_times, servers};
pub use peer::{HeldBack, Peer, named};
pub use probe::ForwardingProbe;
pub use process::{PROCESS_TIMEOUT, Process};

/// What a test waits for at most before it fails: far past anything that is expected.
pub const LONG: Duration = Duration::from_secs(30);

/// Waits until a condition holds that no event tells of.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}
