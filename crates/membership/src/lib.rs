//! Who of a fleet is there, as one balancer knows it: SWIM's probes and suspicion (Das, Gupta, Motivala
//! 2002), with Lifeguard's doubt of oneself (Dadgar, Phillips, Currey 2018), over datagrams of at most
//! 256 bytes between the members of a list that operators keep; tables are pulled by pages of at most 1,200.
//!
//! No I/O, no clock: datagrams and a monotonic time in; datagrams, a time to be called again, and
//! changes of the view out. [docs/design/members.md] says why it is as it is.

mod book;
mod dissemination;
mod fleet;
mod list;
mod meter;
mod page;
mod table;
mod wire;

pub use book::{ACCUSERS, Health, Peer, Standing, Suspicion, View};
pub use fleet::{Change, Fleet, Out, Times};
pub use list::{Listed, MemberList};
pub use meter::{HEADER_BYTES, MAX_BYTES_A_SECOND, QUESTION_BYTES};
pub use wire::{
    Body, KNOCK, Key, MAX_PAGE, MOST, MemberState, Message, Page, Pull, Refused, Update, decode,
    encode, key_of,
};
