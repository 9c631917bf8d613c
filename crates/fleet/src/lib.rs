//! The membership and the capacity share of one balancer in its fleet.
//!
//! A balancer's capacity share depends on the messages that its membership protocol receives, and on the answers of
//! other members' operating systems to absence queries. [`FleetMember`] combines the two state machines
//! (`sableloom-membership`, `sableloom-capacity-share`). It does no I/O and reads no clock: the caller passes
//! datagrams, answers to absence queries and the time, and [`Output`] lists what the caller has to send.
//! [`RunningMember`] does the I/O: its socket is bound to the member's address from before the process acts until the
//! process terminates. It also answers operators' queries ([`query_status`]) with a [`Status`].
//!
//! Invariants:
//!
//! - The process holds its address as long as it acts. A member is proved absent by the fact that no process holds the
//!   member's address.
//! - A share is passed to the [`FleetObserver`] before any datagram that results from the same event is sent, because a
//!   member that receives an acknowledgement may act on it at once.
//! - The crate makes no decision about requests. The balancing policy receives the share as a number of balancers.
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
//! // The member probes b and queries b's operating system. It has no share until one of the two has answered.
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
