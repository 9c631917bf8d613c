//! A network of processes in simulated time.
//!
//! Protocols between processes go wrong in schedules that a real network shows once a year. This one plays thousands a
//! second: delay, loss, partitions one way or both, duplicates, suspensions, crashes and clocks that drift. One seed makes
//! all of it, so that a failure that names its seed can be replayed.
//!
//! It never reads a clock, opens no socket and starts no thread for a process: a [`Process`] is a state machine that
//! takes events and its own clock, and returns what it sends. Suspended processes hold their addresses, and their
//! datagrams wait in a bounded buffer; killed ones do not, which an absence query finds out.
//!
//! ```
//! use std::net::SocketAddr;
//!
//! use sableloom_simulated_network::{Network, Output, Process, SECOND, address_of};
//! use sableloom_types::{Span, Time};
//!
//! /// Sends a datagram to host 1 once a second, and counts what comes.
//! struct Sender {
//!     next: Time,
//!     received: usize,
//! }
//!
//! impl Process for Sender {
//!     type Change = ();
//!
//!     fn receive(&mut self, _: Time, _: SocketAddr, _: &[u8], _: &mut Output<()>) {
//!         self.received += 1;
//!     }
//!
//!     fn tick(&mut self, now: Time, output: &mut Output<()>) {
//!         self.next = now.plus(Span(SECOND));
//!         output.datagrams.push((address_of(1), vec![7]));
//!     }
//!
//!     fn next_wakeup(&self) -> Time {
//!         self.next
//!     }
//! }
//!
//! let mut network = Network::new(2, 1, 0.0);
//! for host in 0..2 {
//!     network.start(host, |_, _, now| Sender { next: now, received: 0 });
//! }
//! network.run(10 * SECOND);
//! let received = network.hosts[1].process.as_ref().map(|process| process.received);
//! assert!(received > Some(15));
//! ```

mod address;
mod event;
mod host;
mod network;
mod process;
mod seeds;

pub use address::{address_of, host_at};
pub use host::Host;
pub use network::Network;
pub use process::{Output, Process};
pub use seeds::for_each_seed;

/// A millisecond, in microseconds.
pub const MILLISECOND: i64 = 1000;
/// A second, in microseconds.
pub const SECOND: i64 = 1000 * MILLISECOND;
/// Bytes that UDP and IPv4 add to a datagram.
pub const HEADER_BYTES: usize = 28;
