//! Shadow traffic: copies answered idempotent requests to a candidate pool, and compares the answers.
//!
//! A candidate may be slow, hang or fail, and the live traffic must not notice. So requests are only observed on the
//! thread that serves them ([`Mirror`]). Everything else, from connections to the comparison, happens on a second thread
//! of low priority, which the serving thread never waits for: it hands a copy over if the channel has space, and
//! otherwise does not copy.
//!
//! A mirror is prepared ([`PreparedMirror::new`], which opens its pools), started ([`PreparedMirror::start`]) after
//! earlier mirrors of the same servers have ended, and stopped ([`Mirror::stop`], which returns a [`MirrorEnding`]).
//!
//! Invariants:
//! - a request that is not idempotent is never copied;
//! - a copy is marked by the header field `x-shadow` and has an id of its own;
//! - each copy that the gate admitted is reported back to it once, unless its task panicked: its resources stay counted
//!   then, so that the limits can only become tighter.
//!
//! `sableloom-shadow` decides what is copied and how answers differ; this crate never does.
//!
//! ```
//! use sableloom_traffic_mirror::MirrorOptions;
//!
//! // What a mirror with 16 copies in flight, a candidate and a control group needs.
//! assert_eq!(MirrorOptions::descriptors(16, 2), 4 + 2 * (4 + 16));
//! ```

mod ending;
mod job;
mod mirror;
mod options;
mod prepared;
mod worker;

pub use ending::MirrorEnding;
pub use mirror::Mirror;
pub use options::{MirrorOptions, MirroredPool};
pub use prepared::PreparedMirror;
