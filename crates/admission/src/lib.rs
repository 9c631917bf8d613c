//! Decides which client connections hold a slot, and which are closed to free slots for others.
//!
//! A balancer has a bounded number of slots for client connections, because each connection takes a descriptor and
//! memory. Many clients that send one request each and keep their connections open can hold all slots, and the balancer
//! can't detect the clients that find no slot. This crate estimates the value of a slot: the number of requests per
//! second that can be expected on it, by earlier connections of the same kind and age. During a shortage of slots, the
//! connections of least value are closed first; otherwise no connection is closed before its timeout.
//!
//! The caller reports what happens on its connections and carries out the decisions. The crate does no I/O and reads no
//! clock. It never evicts a connection with a complete request, with an answer that is being written, or with unread
//! bytes. Its state is bounded by the number of slots.
//!
//! ```text
//! arrive -> New -> Reading -> Busy -> (before_answer) -> Idle -> Reading ...
//!                                          |               |
//!                                          +--> Closing <--+  -> closed
//! ```
//!
//! | module | concern |
//! | --- | --- |
//! | `admission` | the facade, which takes events and returns decisions |
//! | `connection`, `connection_table` | the state of one connection; all of them, by stage and by source |
//! | `evictable` | the connections that may be evicted, and the least valuable of them |
//! | `hazard_estimate` | the value of a slot by kind and age |
//! | `memory` | which connections are shed to free memory |
//! | `headroom` | the number of slots that are kept free for new clients |

mod admission;
mod bounds;
mod connection;
mod connection_table;
mod decisions;
mod evictable;
mod hazard_estimate;
mod headroom;
mod memory;

pub use admission::{Admission, TICK_INTERVAL};
pub use bounds::Bounds;
pub use connection::{ConnectionId, Phase};
pub use decisions::{Arrival, KeepAlive, Release, ReleaseReason};
pub use memory::{MemoryDecision, MemoryDemand, MemoryRequester};
