//! The reasons for which a connection of a subscriber ends.

use crate::message::Refusal;
use crate::position::Position;
use crate::violation::PublisherViolation;

/// The reason for which a connection of a subscriber has ended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DisconnectReason {
    /// The connection could not be established; the text is the caller's reason.
    #[error("cannot connect: {0}")]
    ConnectFailed(Box<str>),
    /// The connection has ended or failed; the text is the caller's reason.
    #[error("connection lost: {0}")]
    Lost(Box<str>),
    /// No message was received for [`crate::SubscriberTiming::silence_timeout`].
    #[error("silent: no message was received within the timeout")]
    Silent,
    /// The control machine has refused the session.
    #[error("refused: {0:?}")]
    Refused(Refusal),
    /// The control machine, at this position, is behind the latest position that any control machine has reported.
    #[error("the control machine is behind, at {0}")]
    Behind(Position),
    /// The control machine, at this position, has read other changes under the same numbers.
    #[error("the control machine has diverged, at {0}")]
    Diverged(Position),
    /// A message that the protocol does not allow at that point, or a malformed frame, was received.
    #[error("protocol violation: {0}")]
    Violation(#[from] PublisherViolation),
    /// A transaction exceeds [`crate::SubscriberOptions::max_transaction_bytes`], or all buffered transactions
    /// together exceed twice that limit.
    #[error("transactions exceed the limit of buffered bytes")]
    TransactionTooLarge,
}
