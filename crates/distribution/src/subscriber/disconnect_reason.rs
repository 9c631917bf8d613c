//! Why a subscriber's connection has ended.

use crate::message::Refusal;
use crate::position::Position;
use crate::violation::PublisherViolation;

/// Why a connection has ended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DisconnectReason {
    /// The connection could not be made.
    #[error("cannot connect: {0}")]
    ConnectFailed(Box<str>),
    /// The connection has ended or failed.
    #[error("connection lost: {0}")]
    Lost(Box<str>),
    /// No message came for [`crate::SubscriberTiming::silence_timeout`].
    #[error("silent")]
    Silent,
    /// The control machine has refused the session.
    #[error("refused: {0:?}")]
    Refused(Refusal),
    /// The control machine is behind the furthest position that was seen.
    #[error("behind, at {0}")]
    Behind(Position),
    /// The control machine has read other changes under the same numbers.
    #[error("diverged, at {0}")]
    Diverged(Position),
    /// A message came that the protocol does not allow at that point, or a malformed frame.
    #[error("protocol violation: {0}")]
    Violation(#[from] PublisherViolation),
    /// A transaction exceeds [`crate::SubscriberOptions::max_transaction_bytes`].
    #[error("a transaction is too large")]
    TransactionTooLarge,
}
