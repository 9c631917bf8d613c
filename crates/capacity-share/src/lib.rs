//! The share of the servers' capacity that one balancer may use, as the number of balancers by which its policy divides
//! the capacity.
//!
//! Balancers that divide the servers' capacity among themselves must not use more than all of it together, even while
//! their views of each other differ. The capacity that a terminated balancer no longer uses should go to the others. If
//! the operators' list has N members, and a balancer holds a *proof of absence* against each member of a set F, its
//! share is 1 / (N - |F|). A member is *acting* while it uses capacity. No acting member is in any F, so that N - |F|
//! is at least the number A of acting members at each of them, and A shares of at most 1/A add up to at most one.
//!
//! Two rules ensure that no acting member is in any F.
//! - Silence proves nothing. A proof of absence is the answer of a member's own operating system that no process holds
//!   its address. It is as old as the query that it answers, and is valid for one lease from then on.
//! - A process holds its address from before it acts until it terminates. It acts only once each other member has
//!   acknowledged *this* process (and so accepts no older proof against it) or is proved absent itself, or once the
//!   start wait is over, so that every proof against this process has expired.
//!
//! # States of a share
//!
//! ```text
//! Waiting --all others acknowledged or absent, or the start wait is over--> Sharing (1/N ... 1/(N-|F|))
//!    ^ the list grew within that time
//! Sharing --the process was suspended--> Resumed (1/N) --messages from enough others--> Sharing
//! any --another process runs under its name--> DuplicateIdentity (half)
//! ```
//!
//! The crate does no I/O, reads no clock and never counts a silent member as absent. [docs/design/members.md] has the
//! premises, and the consequences if one of them does not hold.
//!
//! ```
//! use sableloom_capacity_share::{CapacityShare, ShareReason, Timing};
//! use sableloom_types::Time;
//!
//! // A process has just started, with members 1 and 2 beside itself on the list.
//! let mut share = CapacityShare::new(Time(0), [1, 2], Timing::default());
//! assert_eq!(share.share(Time(0)).reason, ShareReason::Waiting(2));
//!
//! share.acknowledged(Time(1000), 1, 3);
//! share.acknowledged(Time(1000), 2, 3);
//! assert_eq!(share.share(Time(1000)).fraction(Time(1000)), 1.0 / 3.0);
//!
//! // The operating system of member 2 answers the query that was sent at time 2000: no process holds its address.
//! share.proved_absent(2, Time(2000));
//! assert_eq!(share.share(Time(3000)).fraction(Time(3000)), 1.0 / 2.0);
//! ```

mod absence_queries;
mod capacity_share;
mod member;
mod member_table;
mod probes;
mod share;
mod timing;

pub use absence_queries::AbsenceQueries;
pub use capacity_share::CapacityShare;
pub use member::{BYTES_PER_MEMBER, Key};
pub use share::{Share, ShareReason};
pub use timing::Timing;
