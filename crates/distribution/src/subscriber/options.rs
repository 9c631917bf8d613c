//! What a subscriber is given, and what it orders its shell to do.

use sableloom_types::{Span, Time};
use serde::{Deserialize, Serialize};

use crate::message::{Refusal, SubscriberMessage};
use crate::name::{ServiceName, SubscriberName};
use crate::resource::{Change, Position, Rejection, Resource};

/// What a subscriber is made of.
#[derive(Clone, Debug)]
pub struct SubscriberOptions {
    /// Who it is.
    pub name: SubscriberName,
    /// How many control machines there are; they are numbered from 0.
    pub control_machines: usize,
    /// The services that it wants.
    pub scope: Vec<ServiceName>,
    /// Of its random numbers: choice of control machine and times of reconnecting. Different at every balancer.
    pub seed: u64,
    /// What was saved before, if anything. A service whose digest does not fit or that is out of scope is dropped.
    pub restored: Option<SavedState>,
    /// Times.
    pub timing: SubscriberTiming,
    /// Bytes of one transaction that are buffered at most, about. Default 5 MiB, above the publisher's 4 MiB.
    pub max_transaction_bytes: usize,
}

impl SubscriberOptions {
    /// The default for a name, a number of control machines, a scope and a seed.
    pub fn new(
        name: SubscriberName,
        control_machines: usize,
        scope: Vec<ServiceName>,
        seed: u64,
    ) -> Self {
        SubscriberOptions {
            name,
            control_machines,
            scope,
            seed,
            restored: None,
            timing: SubscriberTiming::default(),
            max_transaction_bytes: 5 << 20,
        }
    }
}

/// The times of a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriberTiming {
    /// The first connection comes at a random time within this. Default 0.2 s.
    pub first_delay: Span,
    /// After a first failure it reconnects at a random time within this. Default 1 s.
    pub backoff_base: Span,
    /// The limit doubles with each failure in a row up to this. Default 4 s: with a resume it stays below the 6 s
    /// in which a change is to be in force once control can be reached again.
    pub backoff_max: Span,
    /// A ping is sent so often. Default 1 s.
    pub ping_interval: Span,
    /// Without a message for so long the connection is given up. Default 4 s.
    pub silence_timeout: Span,
    /// One service's digest is counted anew so often, one service after the other. Default 1 s.
    pub scrub_interval: Span,
}

impl Default for SubscriberTiming {
    fn default() -> Self {
        SubscriberTiming {
            first_delay: Span(200_000),
            backoff_base: Span(1_000_000),
            backoff_max: Span(4_000_000),
            ping_interval: Span(1_000_000),
            silence_timeout: Span(4_000_000),
            scrub_interval: Span(1_000_000),
        }
    }
}

/// What is kept for the next start: the last good state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedState {
    /// The furthest position seen.
    pub position: Position,
    /// The services in force.
    pub services: Vec<SavedService>,
}

/// One service of a [`SavedState`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedService {
    /// Which.
    pub service: ServiceName,
    /// The epoch in which its version was given.
    pub epoch: u32,
    /// Its version.
    pub version: u64,
    /// Its digest.
    pub digest: u64,
    /// Its resources.
    pub resources: Vec<Resource>,
}

/// What is to be applied whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// To be given to [`crate::Subscriber::applied`].
    pub transfer: u64,
    /// How far the control machine was.
    pub position: Position,
    /// By service.
    pub services: Vec<ServiceUpdate>,
}

/// The changes of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceUpdate {
    /// Which.
    pub service: ServiceName,
    /// Its version afterwards.
    pub version: u64,
    /// Its digest afterwards.
    pub digest: u64,
    /// The changes hold a `Set` for all that it has afterwards, and a `Remove` for each that was held and is no more:
    /// whoever replaces all and whoever goes through the changes come to the same.
    pub snapshot: bool,
    /// Only `Set` and `Remove`, each resource once.
    pub changes: Vec<Change>,
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberOutput {
    /// Connect to this control machine and answer with `connected` or `disconnected`.
    Connect {
        /// Its number.
        control: usize,
    },
    /// Send a message on the connection.
    Send(SubscriberMessage),
    /// Close the connection, or give up making it. The subscriber has forgotten it.
    Close {
        /// Why.
        reason: DisconnectReason,
    },
    /// Check and apply a transaction and answer with `applied`.
    Apply(Transaction),
    /// Something to log.
    Event(SubscriberEvent),
    /// What [`crate::Subscriber::saved_state`] gives has changed. The shell saves as often as it likes.
    Save,
}

/// Why a connection is over.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DisconnectReason {
    /// It could not be made.
    #[error("cannot connect: {0}")]
    ConnectFailed(Box<str>),
    /// It has ended or failed.
    #[error("connection lost: {0}")]
    Lost(Box<str>),
    /// Nothing came for too long.
    #[error("silent")]
    Silent,
    /// The control machine refused.
    #[error("refused: {0:?}")]
    Refused(Refusal),
    /// The control machine is not as far as what has been seen.
    #[error("behind, at {0}")]
    Behind(Position),
    /// The control machine has read other changes.
    #[error("diverged, at {0}")]
    Diverged(Position),
    /// What came may not be said at that point.
    #[error("protocol violation: {0}")]
    Violation(Box<str>),
    /// A transaction is larger than the buffer for it.
    #[error("a transaction is too large")]
    TooLarge,
}

/// Something that is worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberEvent {
    /// A session has begun.
    Connected {
        /// With which control machine.
        control: usize,
        /// How far that is.
        position: Position,
    },
    /// A connection is over.
    Disconnected {
        /// With which control machine.
        control: usize,
        /// Why.
        reason: DisconnectReason,
    },
    /// No control machine could be reached since the last contact. Said once, after three failures in a row (fewer if
    /// there are fewer machines), and again only after a session.
    Unreachable,
    /// All of the scope is in force up to the control machine's position, but for what was refused. Said once a
    /// session.
    Current {
        /// Which.
        position: Position,
    },
    /// Two control machines have read different changes under one number.
    Diverged {
        /// The one that is not followed.
        control: usize,
        /// What has been seen.
        seen: Position,
        /// What it says.
        other: Position,
    },
    /// A transaction was refused for its content.
    Rejected {
        /// The services that it touched.
        services: Vec<ServiceName>,
        /// What is wrong.
        rejections: Vec<Rejection>,
    },
    /// A transaction did not fit or had a wrong digest.
    Mismatch {
        /// The services that did not fit.
        services: Vec<ServiceName>,
    },
    /// What is held of a service is not what its digest says; it is asked for anew.
    Drift {
        /// Which.
        service: ServiceName,
    },
    /// A service of the saved state was not as its digest says and is not used.
    SavedStateDamaged {
        /// Which.
        service: ServiceName,
    },
}

/// What a subscriber's connection is at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionState {
    /// Not started.
    #[default]
    Idle,
    /// Waits before it connects.
    Waiting {
        /// Until when.
        until: Time,
    },
    /// A connection has been ordered.
    Connecting {
        /// To which control machine.
        control: usize,
    },
    /// Has said hello and waits for the answer.
    Greeting {
        /// To which control machine.
        control: usize,
    },
    /// In a session, not all in force.
    Syncing {
        /// With which control machine.
        control: usize,
    },
    /// In a session, all in force at the last bookmark.
    Current {
        /// With which control machine.
        control: usize,
    },
}

/// How a subscriber is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// Its connection.
    pub connection: ConnectionState,
    /// The furthest position that it has seen.
    pub position: Position,
    /// The position up to which all of its scope was in force, by the last bookmark.
    pub current: Position,
    /// Time since the last message of a control machine; none if there has been none.
    pub last_contact_age: Option<Span>,
    /// Services in its scope.
    pub services: usize,
    /// Services of its scope of which it has something.
    pub services_applied: usize,
    /// Resources in force.
    pub resources: usize,
    /// Of these, limits of tenants.
    pub tenants: usize,
    /// Bytes of all resources, about.
    pub bytes: usize,
    /// The services whose newest version was refused.
    pub rejected: Vec<ServiceName>,
    /// What was counted.
    pub counters: SubscriberCounters,
}

/// What a subscriber has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounters {
    /// Connections ordered.
    pub connects: u64,
    /// Sessions begun.
    pub sessions: u64,
    /// Transactions in force.
    pub applied: u64,
    /// Of these, services as a snapshot.
    pub snapshots: u64,
    /// Transactions refused for their content.
    pub rejected: u64,
    /// Transactions that did not fit or had a wrong digest.
    pub mismatches: u64,
    /// Services found to have drifted.
    pub drifts: u64,
    /// Control machines found to have diverged.
    pub diverged: u64,
    /// Control machines found to be behind.
    pub behind: u64,
    /// Connections closed for what may not be said, or for bytes that are no message.
    pub violations: u64,
}
