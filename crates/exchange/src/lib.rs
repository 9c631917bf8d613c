//! Runs a complete request through its attempts to exactly one final answer, independent of the protocol.
//!
//! Every protocol needs the same rules: a request gets one final answer, a request that is not idempotent is forwarded
//! again only with proof that it was not executed, and no byte of a request is sent after its answer. This crate
//! implements them once for all protocols. An [`Exchange`] owns the policy of one pool of servers: it reports events to
//! the policy and carries out the actions that the policy returns. A front end, which is the part of a protocol that
//! serves clients, passes complete requests to it through [`Service`]; a [`Transport`] runs single attempts, and an
//! [`EndpointSource`] provides the endpoint list.
//!
//! The exchange makes no decisions of its own, parses no protocol and opens no socket.
//!
//! A request is open until it is finished, which means that it was answered or that its client has disconnected. A
//! finished request is removed when its last attempt has ended. Three invariants are enforced in one place each:
//!
//! - the final answer is sent by `Exchange::send_final_answer`, which takes the only sender;
//! - whether an attempt may have been executed is decided by [`outcome::classify`], from facts that transports report;
//! - the first byte of an attempt is permitted by [`AttemptContext::may_send_first_byte`].
//!
//! | module | concern |
//! | --- | --- |
//! | `exchange` | the facade, which owns the policy |
//! | `open_requests`, `reply_future` | the open requests and their ids; the future of a final answer |
//! | `attempt`, `attempt_run` | an attempt and its run to one outcome |
//! | `attempt_context` | what a transport receives for an attempt, and the checks that permit each byte |
//! | `outcome` | whether an attempt may have been executed |
//! | `address_book` | ids and addresses of the servers |
//! | `idle` | when a pool without requests is idle and its timers stop |
//! | `fields`, `message`, `traits` | requests and answers independent of protocols, and the traits between protocols and the crate |
//!
//! ```
//! use sableloom_exchange::outcome::{AttemptEnd, AttemptFacts, classify};
//!
//! let lost = AttemptFacts {
//!     ended: AttemptEnd::ConnectionLost,
//!     fully_written: false,
//!     not_executed: false,
//! };
//! assert!(classify(lost).not_executed(), "a server executes nothing before the last byte");
//! assert!(!classify(AttemptFacts { fully_written: true, ..lost }).not_executed());
//! ```

mod address_book;
mod attempt;
mod attempt_context;
mod attempt_run;
mod clock;
mod deadlines;
mod departed_ids;
mod exchange;
mod fields;
mod idle;
mod message;
mod open_requests;
pub mod outcome;
mod reply_future;
mod task;
mod traits;

pub use attempt_context::{AttemptConnection, AttemptContext, DispatchAddress};
pub use clock::{Clock, duration_of};
pub use deadlines::longest_deadline;
pub use exchange::{Exchange, ExchangeOptions, ShareExpiry};
pub use fields::Fields;
pub use message::{Answer, Client, Message, Reply, RequestContext, RequestRejection};
pub use sableloom_types::ListedEndpoint;
pub use task::Task;
pub use traits::{
    AttemptOutcome, EndpointListener, EndpointSource, LocalFuture, Service, Transport,
};
