//! The messages between a subscriber and a control machine. They are encoded by position: the order of fields and
//! variants is the wire format.

use serde::{Deserialize, Serialize};

use crate::name::{ServiceName, SubscriberName};
use crate::position::{Position, ServiceVersion};
use crate::rejection::Rejection;
use crate::resource::Change;
use crate::status::StatusPage;

/// The most services named in one message. Even with the longest names they fit into a frame.
pub const MAX_SERVICES_PER_MESSAGE: usize = 1_024;
/// The most changes in one message.
pub const MAX_CHANGES_PER_MESSAGE: usize = 4_096;
/// The most problems in one rejection of a transaction.
pub const MAX_REJECTIONS: usize = 16;

/// A message to a control machine, from a subscriber or from a tool that requests the status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberMessage {
    /// The first of a subscriber's messages on a connection.
    Hello {
        /// The subscriber's name.
        subscriber: SubscriberName,
        /// The furthest position that the subscriber has seen at any control machine.
        position: Position,
    },
    /// A change of the scope, the services that are subscribed to; a service may be added again to have it repaired.
    /// A long scope comes in several messages, and nothing is sent before the last.
    Scope {
        /// The number of the scope message on this connection, from 1.
        generation: u32,
        /// Services subscribed to, with the version that the subscriber has applied.
        add: Vec<ServiceVersion>,
        /// Services no longer subscribed to.
        remove: Vec<ServiceName>,
        /// Versions of them that the subscriber has rejected: they are not to be sent again.
        rejected: Vec<ServiceVersion>,
        /// Whether this is the last message of the scope.
        last: bool,
    },
    /// The transaction has been applied.
    Ack {
        /// The transaction.
        transaction: u64,
    },
    /// Nothing of the transaction has been applied.
    Nack {
        /// The transaction.
        transaction: u64,
        /// Why not.
        reason: NackReason,
    },
    /// A request for a [`PublisherMessage::Pong`]; it shows that the subscriber is alive.
    Ping {
        /// Returned in the answer.
        sequence: u32,
    },
    /// A request for a page of the status. It needs no hello.
    StatusRequest(StatusQuery),
}

/// Why a transaction was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NackReason {
    /// The subscriber rejects the content: at most [`MAX_REJECTIONS`] problems.
    Rejected(Vec<Rejection>),
    /// The base or the digest does not match the state of the subscriber: the versions that it has applied.
    Mismatch(Vec<ServiceVersion>),
}

/// The part of the status that is requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusQuery {
    /// Sessions from this id on.
    Sessions {
        /// The first id.
        from: u64,
    },
    /// Services after this one.
    Services {
        /// The last service of the page before; none for the first page.
        after: Option<ServiceName>,
    },
    /// The control machine's progress in its log, and why it has closed connections.
    Machine,
}

/// A message from a control machine to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublisherMessage {
    /// The answer to a hello.
    Welcome {
        /// The position of the control machine.
        position: Position,
    },
    /// The answer to a hello or a scope that cannot be served; the connection ends.
    Refused(Refusal),
    /// The start of a transaction, or further services of it.
    Begin {
        /// The transaction.
        transaction: u64,
        /// The last scope message that the control machine had processed.
        generation: u32,
        /// What each service's changes are based on.
        services: Vec<ServiceBase>,
    },
    /// Changes of the transaction, in order.
    Changes {
        /// The transaction.
        transaction: u64,
        /// At most [`MAX_CHANGES_PER_MESSAGE`].
        changes: Vec<Change>,
    },
    /// The transaction is complete.
    Commit {
        /// The transaction.
        transaction: u64,
        /// The position of the control machine.
        position: Position,
        /// The version of each service of the transaction once it is applied.
        services: Vec<ServiceVersion>,
    },
    /// A bookmark: every change of the scope up to this position has been acknowledged or rejected.
    Current {
        /// The position.
        position: Position,
        /// The last scope message that the control machine had processed.
        generation: u32,
        /// The sum of [`crate::scope_digest_term`] over the scope, by the versions that the control machine believes to
        /// be applied.
        digest: u64,
    },
    /// The answer to a ping.
    Pong {
        /// As in the ping.
        sequence: u32,
    },
    /// The answer to a status request.
    Status(StatusPage),
}

/// Why a control machine does not serve a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The control machine is behind the position that the subscriber has seen.
    Behind {
        /// The position of the control machine.
        position: Position,
    },
    /// The control machine has read another change under the same number.
    Diverged {
        /// Its position at that number.
        position: Position,
    },
    /// The control machine has as many sessions as it may.
    Full,
    /// The scope has too many services.
    ScopeTooLarge {
        /// The most that it may have.
        max: u32,
    },
    /// The control machine speaks another version of the protocol. The frame of this answer has that version, so that
    /// a subscriber that can't decode the message can still log both versions.
    Version {
        /// The version that the control machine speaks.
        expected: u8,
    },
}

/// A service of a transaction, with the state that its changes apply to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBase {
    /// The service.
    pub service: ServiceName,
    /// The state that the changes apply to.
    pub base: Base,
}

/// The state that the changes of a service apply to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Base {
    /// The state that the subscriber has applied.
    Delta {
        /// The version of that state.
        from: u64,
    },
    /// An empty service: the changes are all of its resources.
    Snapshot,
}
