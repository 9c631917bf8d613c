//! What a control machine reports of itself: versions, who has which, who lags, who refused and why.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::{ServiceName, SubscriberName};
use crate::resource::{Position, Rejection, ServiceVersion};

/// The most sessions in one page of the status.
pub const MAX_SESSIONS_PER_PAGE: usize = 16;
/// The most lagging and the most refused services listed of one session.
pub const MAX_LISTED_PER_SESSION: usize = 4;

/// One page of the status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusPage {
    /// What holds for all.
    pub status: PublisherStatus,
    /// The rows of this page.
    pub rows: StatusRows,
}

/// The rows of a page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusRows {
    /// Sessions in the order of their ids.
    Sessions {
        /// At most [`MAX_SESSIONS_PER_PAGE`].
        sessions: Vec<SessionStatus>,
        /// From where the next page starts, if there is more.
        next: Option<u64>,
    },
    /// Services in the order of their names.
    Services {
        /// At most [`crate::MAX_SERVICES_PER_MESSAGE`].
        services: Vec<ServiceVersion>,
        /// The last of this page, if there is more.
        next: Option<ServiceName>,
    },
    /// The control machine itself.
    Machine(MachineStatus),
}

/// How a control machine gets on with its log, and why it has closed connections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// Its log.
    pub log: LogStatus,
    /// Hellos refused.
    pub refused: u64,
    /// Sessions closed for not reading.
    pub stalled: u64,
    /// Sessions closed for not acknowledging.
    pub unacknowledged: u64,
    /// Sessions closed for silence.
    pub silent: u64,
    /// Sessions closed for messages that may not be said, or for bytes that are no message.
    pub violations: u64,
}

/// How reading the log goes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// The number of the change that is to be read next.
    pub next: u64,
    /// The largest number of a change that is there.
    pub latest: u64,
    /// Why the next change can't be taken; empty if there is none or nothing is wrong. At most
    /// [`crate::MAX_TEXT_BYTES`].
    #[serde(with = "crate::resource::shared_text")]
    pub blocked_reason: Arc<str>,
}

/// What a control machine has and does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublisherStatus {
    /// How far it has read the log.
    pub position: Position,
    /// Services that it knows, emptied ones included.
    pub services: u64,
    /// Resources that it has.
    pub resources: u64,
    /// Of these, limits of tenants.
    pub tenants: u64,
    /// Changes that its log holds.
    pub log_entries: u64,
    /// Bytes that its log takes, about.
    pub log_bytes: u64,
    /// Sessions after a hello.
    pub sessions: u64,
    /// Sessions that have something pending, on the way or refused.
    pub lagging: u64,
    /// Sessions that have refused something.
    pub rejecting: u64,
    /// Sessions that are being sent a snapshot.
    pub snapshots: u64,
    /// Sessions that wait for their turn at that.
    pub waiting_for_snapshot: u64,
    /// Sessions that wait because the bytes of this second are spent.
    pub waiting_for_bandwidth: u64,
    /// Transactions sent whole.
    pub transactions: u64,
    /// Bytes of frames handed out for sending.
    pub bytes: u64,
    /// Transactions in force.
    pub acks: u64,
    /// Transactions refused for their content.
    pub rejections: u64,
    /// Transactions that did not fit or had a wrong digest.
    pub mismatches: u64,
    /// Sessions ended by the control machine.
    pub closed: u64,
}

/// What a control machine knows of a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionStatus {
    /// The session's id.
    pub session: u64,
    /// Who.
    pub subscriber: SubscriberName,
    /// Services in its scope.
    pub services: u32,
    /// The position of the last bookmark: all of the scope is in force up to there, but for what was refused.
    pub current: Position,
    /// Bytes handed out and not yet written.
    pub queued_bytes: u64,
    /// Milliseconds since its last message.
    pub silent_ms: u64,
    /// How many services it lags in.
    pub lagging: u32,
    /// The first of them, at most [`MAX_LISTED_PER_SESSION`].
    pub lags: Vec<LagStatus>,
    /// How many services it has refused.
    pub rejecting: u32,
    /// The first of them, at most [`MAX_LISTED_PER_SESSION`].
    pub rejections: Vec<RejectionStatus>,
}

/// A service in which a subscriber lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LagStatus {
    /// Which.
    pub service: ServiceName,
    /// The version in force at the subscriber.
    pub applied_version: u64,
    /// The version of the control machine.
    pub latest_version: u64,
    /// Milliseconds since the control machine has had more, or since the session began.
    pub behind_ms: u64,
}

/// A service that a subscriber has refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionStatus {
    /// Which.
    pub service: ServiceName,
    /// The version that stays in force at the subscriber.
    pub applied_version: u64,
    /// The version that it refused.
    pub rejected_version: u64,
    /// Milliseconds since the control machine has had more, or since the session began.
    pub behind_ms: u64,
    /// The first problem, if it has told one on this connection.
    pub problem: Option<Rejection>,
}
