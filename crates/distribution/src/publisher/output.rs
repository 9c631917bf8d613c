//! What a publisher tells its caller to do.

use crate::codec::CodecError;
use crate::violation::SubscriberViolation;

/// The caller's id of a connection; never reused while the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherOutput {
    /// Write a frame to a connection, after all frames before it.
    Send {
        /// The connection.
        session: SessionId,
        /// The encoded message ([`crate::PublisherMessage`]).
        frame: Vec<u8>,
    },
    /// Write the queued frames as far as that is possible without blocking, and close the connection. The publisher has
    /// removed the session.
    Close {
        /// The connection.
        session: SessionId,
        /// Why the session has ended.
        reason: CloseReason,
    },
}

/// Why a publisher ends a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// The hello or the scope was refused; the refusal has been queued.
    #[error("refused")]
    Refused,
    /// The subscriber does not read: no queued byte was written for [`crate::PublisherOptions::stall_timeout`].
    #[error("does not read what is sent")]
    Stalled,
    /// The subscriber does not answer transactions.
    #[error("does not acknowledge")]
    Unacknowledged,
    /// No message came from the subscriber.
    #[error("silent")]
    Silent,
    /// Consecutive transactions did not match the subscriber's state.
    #[error("what it has does not fit what is sent, again and again")]
    Mismatch,
    /// A message came that the protocol does not allow at that point.
    #[error("protocol violation: {0}")]
    Violation(#[from] SubscriberViolation),
    /// A malformed frame came.
    #[error("{0}")]
    Malformed(CodecError),
    /// The store was replaced: a log of another epoch has been read.
    #[error("another history has been read")]
    StoreReplaced,
}
