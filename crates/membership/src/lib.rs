//! Which balancers of a fleet are reachable, as one of them knows it.
//!
//! A balancer needs to know the others within seconds, at a cost that does not grow with the fleet, and without
//! declaring healthy members dead when the network loses datagrams or the balancer itself is slow. The protocol is SWIM
//! with suspicion (Das, Gupta, Motivala 2002) and Lifeguard's local health (Dadgar, Phillips, Currey 2018), over
//! datagrams of at most 256 bytes between the members of a list that operators keep. Gossip spreads changes; member
//! tables are pulled by pages of at most 1,200 bytes where a process has started or views go on to differ.
//!
//! # States of a member
//!
//! ```text
//! unknown --heard--> alive --a probe failed, or gossip--> suspect --its deadline--> dead
//!                      ^      refutation (later incarnation) |                       |
//!                      +-------------------------------------+-- later process, or refutation
//! any --Leave--> left
//! ```
//!
//! # Invariants
//!
//! - An update replaces what is known only if it is greater by (process incarnation, incarnation, state). Only the
//!   member itself increases the first two, so that it can refute whatever others say of it.
//! - A message has no effect unless it has the nonce that this process drew at its start: what was meant for an earlier
//!   process at the same address is dropped.
//! - Nobody becomes a member by gossip: the operators' list names all members.
//! - No page and no gossip shows that a member is alive at this time; only a message from itself does.
//!
//! It never does I/O and never reads a clock: datagrams and a monotonic time go in, and [`Output`] says what to send,
//! what has changed and when to call again. [docs/design/members.md] says why it is as it is.
//!
//! ```
//! use sableloom_membership::{ListedMember, MemberList, Membership, Output, Timing};
//! use sableloom_types::Time;
//!
//! let listed = |name: &str, address: &str| ListedMember {
//!     name: name.to_string(),
//!     address: address.parse().expect("an address"),
//! };
//! let list = MemberList::new([listed("a", "127.0.0.1:7000"), listed("b", "127.0.0.2:7000")]);
//! let mut a = Membership::new("fleet", "a", 1, list.clone(), Timing::default(), 1, Time(0));
//! let mut b = Membership::new("fleet", "b", 1, list, Timing::default(), 2, Time(0));
//!
//! // The first ping tells b's process the nonce of a; the second, with b's nonce, makes a known to b.
//! let mut output = Output::default();
//! let a_address = "127.0.0.1:7000".parse()?;
//! let b_address = "127.0.0.2:7000".parse()?;
//! for now in [Time(0), Time(1000)] {
//!     a.ping_missing_members(now, &mut output);
//!     for (_, ping) in std::mem::take(&mut output.datagrams) {
//!         b.receive(now, a_address, &ping, &mut output);
//!     }
//!     for (_, ack) in std::mem::take(&mut output.datagrams) {
//!         a.receive(now, b_address, &ack, &mut output);
//!     }
//! }
//! assert_eq!(a.count_reachable(), 1);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod codec;
mod digest;
mod dissemination;
mod groups;
mod list;
mod membership;
mod message;
mod meter;
mod page;
mod peer;
mod table;
mod timing;
mod view;

pub use codec::{ABSENCE_QUERY, DropReason, MAX_DATAGRAM_BYTES, MAX_PAGE_BYTES, decode, encode};
pub use list::{ListedMember, MemberList};
pub use membership::{Change, Membership, Output};
pub use message::{Body, Key, MemberState, Message, Page, Pull, Update, key_of};
pub use meter::{ABSENCE_QUERY_BYTES, HEADER_BYTES, MAX_BYTES_PER_SECOND};
pub use peer::{Health, MAX_CONFIRMERS, Peer, Suspicion};
pub use timing::Timing;
pub use view::{Reachability, View};
