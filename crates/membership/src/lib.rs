//! The membership protocol, by which each balancer of a fleet determines which others are reachable.
//!
//! A balancer has to detect within seconds which others are reachable, at a cost that does not grow with the fleet, and
//! without declaring healthy members dead when the network loses datagrams or the balancer itself is slow. The protocol
//! is SWIM with suspicion (Das, Gupta, Motivala 2002) and Lifeguard's local health (Dadgar, Phillips, Currey 2018),
//! over datagrams of at most 256 bytes between the members of a list that operators keep. Gossip spreads changes.
//! Processes that have just started, and members whose views remain different, pull member tables by pages of at most
//! 1,200 bytes.
//!
//! # States of a member
//!
//! ```text
//! unknown --message, or gossip--> alive --a probe failed, or gossip--> suspect --its deadline--> dead
//!                                   ^      refutation (later incarnation) |                       |
//!                                   +-------------------------------------+-- later process, or refutation
//! any --Leave--> left
//! ```
//!
//! # Invariants
//!
//! - An update replaces the known state of a member only if its (process incarnation, incarnation, state) is greater.
//!   Only the member itself increases the first two, so that it can refute all statements of others about it.
//! - A message has no effect unless it has the nonce that the receiving process drew at its start. A message that was
//!   meant for an earlier process at the same address is dropped.
//! - Gossip adds no members. The operators' list names all members.
//! - No page and no gossip shows that a member is alive at this time; only a message from the member itself does.
//!
//! The crate does no I/O and reads no clock. The caller passes datagrams and a monotonic time; [`Output`] holds the
//! datagrams to send and the changes of the view, and [`Membership::next_wakeup`] returns when to call
//! [`Membership::tick`]. [docs/design/members.md] has the reasons for the design.
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
//! // The first ping carries the nonce of a, and its ack that of b. Member b records a as alive only after the second
//! // ping, which carries the nonce of b.
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
