//! The actions that a publisher requests from its caller.

use crate::codec::CodecError;
use crate::violation::SubscriberViolation;

/// The id that the caller assigns to a connection; it is never reused while the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherOutput {
    /// Write a frame to a connection, after all earlier frames of that connection.
    Send {
        /// The connection.
        session: SessionId,
        /// The encoded message ([`crate::PublisherMessage`]).
        frame: Vec<u8>,
    },
    /// Write the queued frames as far as that is possible without blocking, and close the connection. The publisher has
    /// already removed the session.
    Close {
        /// The connection.
        session: SessionId,
        /// The reason for which the session has ended.
        reason: CloseReason,
    },
}

/// The reason for which a publisher closes a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// The hello or the scope was refused; the refusal has been queued.
    #[error("refused")]
    Refused,
    /// The subscriber does not read: no queued byte was written for [`crate::PublisherOptions::stall_timeout`].
    #[error("does not read what is sent")]
    Stalled,
    /// The subscriber did not answer a transaction within [`crate::PublisherOptions::acknowledge_timeout`].
    #[error("does not acknowledge")]
    Unacknowledged,
    /// No message was received from the subscriber for [`crate::PublisherOptions::silence_timeout`].
    #[error("silent")]
    Silent,
    /// [`crate::PublisherOptions::max_mismatches`] consecutive transactions did not match the subscriber's state.
    #[error("consecutive transactions did not match the state of the subscriber")]
    Mismatch,
    /// A message was received that the protocol does not allow at that point.
    #[error("protocol violation: {0}")]
    Violation(#[from] SubscriberViolation),
    /// A malformed frame was received.
    #[error("{0}")]
    Malformed(CodecError),
    /// The store was replaced by [`crate::Publisher::replace_store`], after another log was read.
    #[error("the store was replaced, as another log has been read")]
    StoreReplaced,
}
