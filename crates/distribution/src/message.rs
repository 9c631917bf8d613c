//! What a subscriber and a control machine say to each other.

use serde::{Deserialize, Serialize};

use crate::name::{ServiceName, SubscriberName};
use crate::resource::{Change, Position, Rejection, ServiceVersion};
use crate::status::StatusPage;

/// The most services named in one message; with the longest names they fit into a frame.
pub const MAX_SERVICES_PER_MESSAGE: usize = 1_024;
/// The most changes in one message.
pub const MAX_CHANGES_PER_MESSAGE: usize = 4_096;
/// The most problems told in one refusal of a transaction.
pub const MAX_REJECTIONS: usize = 16;

/// From a subscriber, or from a tool that asks for the status, to a control machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscriberMessage {
    /// First of a subscriber's messages on a connection.
    Hello {
        /// Who.
        subscriber: SubscriberName,
        /// The furthest position that it has seen at any control machine.
        position: Position,
    },
    /// Services that are subscribed to from now on, or no longer; also names a service again to have it mended.
    /// A long scope comes in several messages; nothing is sent before the last.
    Scope {
        /// Counts the scope messages of a connection, from 1.
        generation: u32,
        /// Subscribed, with what the subscriber has of them.
        add: Vec<ServiceVersion>,
        /// No longer subscribed.
        remove: Vec<ServiceName>,
        /// What the subscriber has refused of them: not to be sent again.
        rejected: Vec<ServiceVersion>,
        /// No further message of this scope follows.
        last: bool,
    },
    /// The transaction is in force.
    Ack {
        /// Which.
        transfer: u64,
    },
    /// Nothing of the transaction is in force.
    Nack {
        /// Which.
        transfer: u64,
        /// Why.
        reason: NackReason,
    },
    /// Answer me.
    Ping {
        /// To be returned.
        sequence: u32,
    },
    /// A page of the status, please. Needs no hello.
    StatusRequest(StatusQuery),
}

/// Why a transaction was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NackReason {
    /// Its content is wrong: at most [`MAX_REJECTIONS`] problems.
    Rejected(Vec<Rejection>),
    /// It did not fit what the subscriber has, or its digest was wrong: what the subscriber has instead.
    Mismatch(Vec<ServiceVersion>),
}

/// Which part of the status is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusQuery {
    /// Sessions from this id on.
    Sessions {
        /// The first id.
        from: u64,
    },
    /// Services after this one.
    Services {
        /// The last that is known; none for the first page.
        after: Option<ServiceName>,
    },
    /// How the control machine gets on with its log, and why it has closed connections.
    Machine,
}

/// From a control machine to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublisherMessage {
    /// The answer to a hello.
    Welcome {
        /// How far the control machine is.
        position: Position,
    },
    /// The answer to a hello that cannot be served; the connection ends.
    Refused(Refusal),
    /// A transaction starts, or takes in further services.
    Begin {
        /// Which.
        transfer: u64,
        /// The last scope message that was taken in.
        generation: u32,
        /// What each service's changes are based on.
        services: Vec<ServiceBase>,
    },
    /// Changes of the transaction, in order.
    Changes {
        /// Which.
        transfer: u64,
        /// At most [`MAX_CHANGES_PER_MESSAGE`].
        changes: Vec<Change>,
    },
    /// The transaction is whole.
    Commit {
        /// Which.
        transfer: u64,
        /// How far the control machine was.
        position: Position,
        /// What the subscriber has of each service of the transaction, once it is applied.
        services: Vec<ServiceVersion>,
    },
    /// A bookmark: all of the scope has been sent and acknowledged (or refused) up to this position.
    Current {
        /// How far.
        position: Position,
        /// The last scope message that was taken in.
        generation: u32,
        /// The sum of [`crate::scope_digest_term`] over the scope, as the control machine knows it.
        digest: u64,
    },
    /// The answer to a ping.
    Pong {
        /// As it came.
        sequence: u32,
    },
    /// The answer to a status request.
    Status(StatusPage),
}

/// Why a subscriber is not served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The control machine has not got as far as the subscriber has seen.
    Behind {
        /// How far it is.
        position: Position,
    },
    /// The control machine has read another change under that number.
    Diverged {
        /// What it has read there.
        position: Position,
    },
    /// It has as many sessions as it may.
    Full,
    /// The scope has more services than it may.
    ScopeTooLarge {
        /// How many it may have.
        max: u32,
    },
    /// It speaks another version of the protocol. Its answer is a frame of its own version, by which the other side,
    /// which can't read on, names both versions.
    Version {
        /// The version that it speaks.
        expected: u8,
    },
}

/// What the changes of a service are based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBase {
    /// Which service.
    pub service: ServiceName,
    /// On what.
    pub base: Base,
}

/// The ground for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Base {
    /// What the subscriber has at this version.
    Delta {
        /// The version.
        from: u64,
    },
    /// Nothing: the changes are all that the service has.
    Snapshot,
}
