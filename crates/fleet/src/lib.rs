//! One balancer as a member of its fleet.
//!
//! A balancer's capacity share follows from what its membership protocol hears and from the answers of other members'
//! operating systems. [`FleetMember`] joins the two state machines (`sableloom-membership`, `sableloom-capacity-share`)
//! with no I/O and no clock: datagrams, answers to absence queries and time go in, and [`Output`] says what to send.
//! [`RunningMember`] owns the socket at the member's address, from before the process acts until it ends, sends and
//! receives for the state machine, and answers operators' queries ([`query_status`]) with a [`Status`].
//!
//! Invariants:
//!
//! - The process holds its address for as long as it acts: that no process holds it is what proves a member absent.
//! - A share is passed to the [`FleetObserver`] before any datagram that follows from the same event is sent: a member
//!   that is acknowledged may act on that at once.
//! - It never decides anything about a request. The policy takes the share as a number of balancers.
//!
//! ```
//! use sableloom_fleet::{FleetMember, MemberSettings, Output};
//! use sableloom_membership::{ListedMember, MemberList};
//! use sableloom_types::Time;
//!
//! let settings = MemberSettings {
//!     fleet_name: "points".to_string(),
//!     own_name: "a".to_string(),
//!     membership_timing: Default::default(),
//!     share_timing: Default::default(),
//! };
//! let b = ListedMember { name: "b".to_string(), address: "127.0.0.2:7000".parse()? };
//! let mut member = FleetMember::new(&settings, 1, MemberList::new([b]), 7, Time(0));
//! let mut output = Output::default();
//! member.start(Time(0), &mut output);
//! // It probes b, has b's system queried, and has no share before one of the two has answered.
//! assert_eq!((output.datagrams.len(), output.absence_queries.len()), (1, 1));
//! assert_eq!(member.share().balancers, 0);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod absence_query;
mod log_line;
mod member;
mod operator_query;
mod query_pacing;
mod running_member;
mod status;
mod traffic;

pub use crate::absence_query::MAX_CONCURRENT_ABSENCE_QUERIES;
pub use crate::member::{FleetMember, MemberSettings, Output};
pub use crate::operator_query::{QueryError, query_status};
pub use crate::running_member::{FleetObserver, RunOptions, RunningMember};
pub use crate::status::{DropCounts, MemberStatus, ShareStatus, Status};
pub use crate::traffic::Traffic;
