//! A balancer's subscription to configuration: connections to control machines, timers, and the last good state in a
//! file.
//!
//! A balancer must serve whatever happens to its control machines: the balancer may start while no control machine can
//! be reached, lose its connection in the middle of a snapshot, or connect to two control machines whose changes
//! differ. [`sableloom_distribution::Subscriber`] implements the protocol as a state machine, and an [`Applier`]
//! validates and applies the configuration. This crate provides the connection, the timers and the state file.
//!
//! A subscription never applies part of a transaction, never blocks the serving thread on the writing of the state
//! file, and never removes configuration from force by itself: without a control machine the last good state stays in
//! force.
//!
//! Invariants:
//!
//! - There is at most one connection and at most one running write of the state file.
//! - A state file is used only if it is complete, and a saved service that the applier rejects is requested again.
//! - The queues of received and of outgoing bytes are bounded: the connection to a control machine that sends messages
//!   but reads none is closed.
//!
//! A process decodes the state file that an earlier process encoded:
//!
//! ```
//! use sableloom_distribution::{SavedState, SubscriberName};
//! use sableloom_subscription::{decode_state, encode_state};
//!
//! let subscriber = SubscriberName::try_from("balancer-17").expect("a valid name");
//! let state = SavedState::default();
//! let bytes = encode_state(&subscriber, &state);
//! assert_eq!(decode_state(&subscriber, &bytes).expect("a complete file"), state);
//! ```

mod applier;
mod event_lines;
mod link;
mod options;
mod restore;
mod shared;
mod state_file;
mod state_writer;
mod status;
mod subscription;
mod task;

pub use applier::Applier;
pub use link::Traffic;
pub use options::SubscriptionOptions;
pub use state_file::{
    MAX_STATE_FILE_BYTES, StateFileError, decode_state, encode_state, read_state, write_state,
};
pub use state_writer::MIN_SAVE_INTERVAL;
pub use status::{StateOrigin, SubscriptionStatus};
pub use subscription::Subscription;
