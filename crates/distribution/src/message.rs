//! The messages between a subscriber and a control machine. The encoding holds no names: the order of fields and
//! variants is the wire format.

use serde::{Deserialize, Serialize};

use crate::name::{ServiceName, SubscriberName};
use crate::position::{Position, ServiceVersion};
use crate::rejection::Rejection;
use crate::resource::Change;
use crate::status::StatusPage;

/// The maximum number of services named in one message. Even with the longest names they fit into a frame.
pub const MAX_SERVICES_PER_MESSAGE: usize = 1_024;
/// The maximum number of changes in one message.
pub const MAX_CHANGES_PER_MESSAGE: usize = 4_096;
/// The maximum number of problems in one rejection of a transaction.
pub const MAX_REJECTIONS: usize = 16;

/// A message to a control machine, from a subscriber or from a tool that requests the status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberMessage {
    /// The first message of a subscriber on a connection.
    Hello {
        /// The name by which the control machine lists the subscriber in its status.
        subscriber: SubscriberName,
        /// The latest position that the subscriber has received from any control machine.
        position: Position,
    },
    /// A change of the scope, which is the set of services that the subscriber subscribes to. A service that is in
    /// scope may be added again, so that a faulty copy is replaced. A long change takes several messages, and the
    /// control machine sends no transaction before it has received the last of them.
    Scope {
        /// The number of this scope message on the connection; the first is 1.
        generation: u32,
        /// The services to subscribe to, with the version that the subscriber has applied of each.
        add: Vec<ServiceVersion>,
        /// The services to unsubscribe from.
        remove: Vec<ServiceName>,
        /// The versions of added services that the subscriber has rejected; the control machine must not send them
        /// again.
        rejected: Vec<ServiceVersion>,
        /// Whether this is the last message of the change.
        last: bool,
    },
    /// The subscriber has applied a transaction.
    Ack {
        /// The id of the transaction, from its [`PublisherMessage::Begin`].
        transaction: u64,
    },
    /// The subscriber has applied nothing of a transaction.
    Nack {
        /// The id of the transaction, from its [`PublisherMessage::Begin`].
        transaction: u64,
        /// Why it was not applied.
        reason: NackReason,
    },
    /// A request for a [`PublisherMessage::Pong`]; it shows that the subscriber is alive.
    Ping {
        /// A number that the pong repeats.
        sequence: u32,
    },
    /// A request for a page of the status. It may be sent without a hello.
    StatusRequest(StatusQuery),
}

/// Why a transaction was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NackReason {
    /// The subscriber has rejected the content for at most [`MAX_REJECTIONS`] problems.
    Rejected(Vec<Rejection>),
    /// The base or the digest of some services does not match the state of the subscriber, which reports the versions
    /// that it has applied of them.
    Mismatch(Vec<ServiceVersion>),
}

/// The page of the status that is requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusQuery {
    /// The status of sessions, in the order of their ids.
    Sessions {
        /// The lowest session id of the page; 0 for the first page.
        from: u64,
    },
    /// The versions of services, in the order of their names.
    Services {
        /// The last service of the previous page; none for the first page.
        after: Option<ServiceName>,
    },
    /// The progress of the control machine in its log, and why it has closed connections.
    Machine,
}

/// A message from a control machine to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublisherMessage {
    /// The answer to a hello that the control machine accepts.
    Welcome {
        /// The position up to which the control machine has read its log.
        position: Position,
    },
    /// The answer to a hello or a scope that the control machine does not serve; it then closes the connection.
    Refused(Refusal),
    /// The start of a transaction, or further services of the transaction that has begun.
    Begin {
        /// The id of the transaction, unique while the publisher runs.
        transaction: u64,
        /// The number of the last scope message that the control machine had processed.
        generation: u32,
        /// The services of the transaction, with the state that the changes of each apply to.
        services: Vec<ServiceBase>,
    },
    /// Changes of the transaction, in the order in which they apply.
    Changes {
        /// The id of the transaction.
        transaction: u64,
        /// The changes, at most [`MAX_CHANGES_PER_MESSAGE`].
        changes: Vec<Change>,
    },
    /// The end of a transaction: all of its changes have been sent.
    Commit {
        /// The id of the transaction.
        transaction: u64,
        /// The position up to which the control machine has read its log.
        position: Position,
        /// The version of each service of the transaction once it is applied.
        services: Vec<ServiceVersion>,
    },
    /// A bookmark: the subscriber has acknowledged or rejected every change of its scope up to a position.
    Current {
        /// The position of the bookmark.
        position: Position,
        /// The number of the last scope message that the control machine had processed.
        generation: u32,
        /// The wrapping sum of [`crate::scope_digest_term`] over the scope, computed from the versions that the
        /// subscriber has applied according to the messages that the control machine has received from it.
        digest: u64,
    },
    /// The answer to a ping.
    Pong {
        /// The number of the ping.
        sequence: u32,
    },
    /// The answer to a status request.
    Status(StatusPage),
}

/// Why a control machine does not serve a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The control machine is behind the position of the subscriber's hello.
    Behind {
        /// The position up to which the control machine has read its log.
        position: Position,
    },
    /// The control machine has read other changes up to the number of the subscriber's position.
    Diverged {
        /// The position of the control machine at that number.
        position: Position,
    },
    /// The control machine has its maximum number of sessions.
    Full,
    /// The scope has too many services.
    ScopeTooLarge {
        /// The maximum number of services in a scope.
        max: u32,
    },
    /// The control machine uses another version of the protocol. The frame of this answer has that version in its
    /// header, so that a subscriber that cannot decode the message can still log both versions.
    Version {
        /// The version that the control machine uses.
        expected: u8,
    },
}

/// A service of a transaction, with the state that its changes apply to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBase {
    /// The name of the service.
    pub service: ServiceName,
    /// The state that the changes apply to.
    pub base: Base,
}

/// The state that the changes of a service apply to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Base {
    /// The state that the subscriber has applied.
    Delta {
        /// The version of the service in that state.
        from: u64,
    },
    /// An empty service: the changes set all of its resources.
    Snapshot,
}
