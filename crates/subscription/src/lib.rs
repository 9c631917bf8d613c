//! A balancer's subscription to configuration: connections to control machines, timers, and the last good state in a
//! file.
//!
//! A balancer must serve whatever happens to its control machines: it may start while none can be reached, lose one in
//! the middle of a snapshot, or find two that disagree. [`sableloom_distribution::Subscriber`] decides what to do and
//! an [`Applier`] decides what configuration means; this crate owns the sockets, the timers and the file in between.
//!
//! It never applies part of a transaction, never blocks the serving thread on the disk, and never removes anything from
//! force by itself: without a control machine the last good state stays.
//!
//! Invariants:
//!
//! - one connection at a time, and one state on its way to the disk at a time;
//! - the state file is complete or not used, and a service of it that the applier rejects is requested again;
//! - every queue is bounded: a peer that sends without reading loses its connection.
//!
//! A state file written by one process is read by the next:
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
