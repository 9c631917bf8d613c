//! Violations of the protocol: messages that are not allowed at the point at which they are received. Both sides close
//! the connection on one.

use crate::codec::CodecError;
use crate::message::MAX_SERVICES_PER_MESSAGE;

/// A violation by a subscriber or a status tool, detected by the control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubscriberViolation {
    /// A message on a connection for which the publisher has no session.
    #[error("a message on an unknown connection")]
    NoSession,
    /// A scope message or an answer to a transaction before the hello.
    #[error("a message that requires a hello before it")]
    NoHello,
    /// A second hello on one connection.
    #[error("a second hello on one connection")]
    SecondHello,
    /// A scope message whose generation is not the next one.
    #[error("a scope message whose generation is not the next one")]
    ScopeOutOfOrder,
    /// A scope message with more than [`crate::MAX_SERVICES_PER_MESSAGE`] services.
    #[error("a scope message with over {MAX_SERVICES_PER_MESSAGE} services")]
    ScopeMessageTooLarge,
    /// An ACK or NACK of a transaction that does not wait for one.
    #[error("an answer to a transaction that does not wait for one")]
    UnknownTransaction,
}

/// A violation by a control machine, detected by the subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublisherViolation {
    /// A frame that cannot be decoded.
    #[error("{0}")]
    Malformed(CodecError),
    /// A welcome before the hello, or a second one.
    #[error("a welcome without a hello, or a second one")]
    UnexpectedWelcome,
    /// A transaction begins before the previous one is complete.
    #[error("a transaction begins before the previous one is complete")]
    NestedTransaction,
    /// Changes of a transaction that has not begun.
    #[error("changes of a transaction that has not begun")]
    ChangesWithoutBegin,
    /// A change of a service that the transaction does not name.
    #[error("a change of a service that is not in the transaction")]
    ServiceNotInTransaction,
    /// A change that only an operator's change file may hold: the removal of a service.
    #[error("the removal of a service")]
    ServiceRemoval,
    /// A commit of a transaction that has not begun.
    #[error("a commit of a transaction that has not begun")]
    CommitWithoutBegin,
    /// A commit names a service that the transaction does not have.
    #[error("a commit of a service that is not in the transaction")]
    CommittedServiceNotInTransaction,
    /// A commit does not name each service of its transaction.
    #[error("a commit that does not name all services of the transaction")]
    UncommittedService,
    /// Consecutive bookmarks did not match the applied state.
    #[error("consecutive bookmarks do not match the applied state")]
    BookmarkMismatch,
    /// A page of the status, which a subscriber never requests.
    #[error("a status that was not requested")]
    UnexpectedStatus,
}
