//! Messages that the protocol does not allow at the point at which they come; the connection is closed.

use crate::codec::CodecError;

/// What a subscriber did, as the control machine detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubscriberViolation {
    /// A message of a connection that is not known.
    #[error("no session")]
    NoSession,
    /// A scope or an answer before the hello.
    #[error("no hello")]
    NoHello,
    /// A second hello on one connection.
    #[error("a second hello")]
    SecondHello,
    /// A scope message whose generation is not the next one.
    #[error("scope messages out of order")]
    ScopeOutOfOrder,
    /// A scope message with more than [`crate::MAX_SERVICES_PER_MESSAGE`] services.
    #[error("a scope message with too many services")]
    ScopeMessageTooLarge,
    /// An ACK or NACK of a transaction that is not unacknowledged.
    #[error("an answer to no transaction")]
    UnknownTransaction,
}

/// What a control machine did, as the subscriber detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublisherViolation {
    /// A frame that can't be decoded.
    #[error("{0}")]
    Malformed(CodecError),
    /// A welcome before the hello, or a second one.
    #[error("a welcome without a hello")]
    UnexpectedWelcome,
    /// A transaction begins before the one before is complete.
    #[error("a transaction begins within another")]
    NestedTransaction,
    /// Changes of a transaction that has not begun.
    #[error("changes of no transaction")]
    ChangesWithoutBegin,
    /// A change of a service that the transaction does not name.
    #[error("a change of a service that is not in the transaction")]
    ServiceNotInTransaction,
    /// A change that only an operator's change file may hold.
    #[error("the removal of a service")]
    ServiceRemoval,
    /// A commit of a transaction that has not begun.
    #[error("the end of no transaction")]
    CommitWithoutBegin,
    /// A commit names a service that the transaction does not have.
    #[error("a transaction without one of its services")]
    MissingService,
    /// A commit does not name each service of its transaction.
    #[error("a transaction that does not end all of its services")]
    UncommittedService,
    /// Consecutive bookmarks did not match the applied state.
    #[error("bookmarks do not fit what is held")]
    BookmarkMismatch,
    /// A status, which a subscriber does not request.
    #[error("a status that was not asked for")]
    UnexpectedStatus,
}
