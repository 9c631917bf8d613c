//! Plays a rehearsal: processes of the program before emulated nodes, clients in an open loop, a net of
//! faults between them, one account and one verdict. Loopback only, no privileges.
//!
//! The script, the timeline, the account and the verdict are `sableloom-rehearsal`'s; this starts the
//! processes, does what the timeline says, and tells what was seen.

mod child;
mod clients;
mod datagrams;
mod doors;
mod gate;
mod html;
mod net;
mod play;
mod site;
mod table;
mod under;

pub use datagrams::{Datagrams, Pair};
pub use html::{beside, page};
pub use net::Link;
pub use play::{FleetRow, Options, Report, play};
pub use table::{compared, table};
pub use under::{Under, under};
