//! The status that a control machine reports: the versions of its services, and which subscribers lag or have rejected
//! a version and why. The encoding holds no names: the order of fields and variants is the wire format.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::{ServiceName, SubscriberName};
use crate::position::{Position, ServiceVersion};
use crate::rejection::Rejection;

/// The maximum number of sessions in one page of the status.
pub const MAX_SESSIONS_PER_PAGE: usize = 16;
/// The maximum number of lagging services, and of services with a rejection, that are listed of one session.
pub const MAX_LISTED_PER_SESSION: usize = 4;

/// One page of the status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusPage {
    /// The totals, the same on every page.
    pub status: PublisherStatus,
    /// The rows of this page.
    pub rows: StatusRows,
}

/// The rows of a page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusRows {
    /// The answer to [`crate::StatusQuery::Sessions`], in the order of session ids.
    Sessions {
        /// The sessions, at most [`MAX_SESSIONS_PER_PAGE`].
        sessions: Vec<SessionStatus>,
        /// The session id from which the next page starts; none on the last page.
        next: Option<u64>,
    },
    /// The answer to [`crate::StatusQuery::Services`], in the order of names.
    Services {
        /// The services, at most [`crate::MAX_SERVICES_PER_MESSAGE`].
        services: Vec<ServiceVersion>,
        /// The last service of this page, from which the next page continues; none on the last page.
        next: Option<ServiceName>,
    },
    /// The answer to [`crate::StatusQuery::Machine`].
    Machine(MachineStatus),
}

/// The progress of a control machine in its log, and why it has closed connections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// The progress of reading the log.
    pub log: LogStatus,
    /// The number of sessions that were refused.
    pub refused: u64,
    /// The number of sessions closed because the subscriber did not read what was sent.
    pub stalled: u64,
    /// The number of sessions closed because the subscriber did not answer a transaction.
    pub unacknowledged: u64,
    /// The number of sessions closed because no message was received in time.
    pub silent: u64,
    /// The number of sessions closed for a message that the protocol does not allow at that point, or for a malformed
    /// frame.
    pub violations: u64,
}

/// The progress of reading the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// The number of the change that is read next.
    pub next: u64,
    /// The largest number of the change files that exist.
    pub latest: u64,
    /// The reason why the next change cannot be read; empty if there is no next change or nothing is wrong. It has at
    /// most [`crate::MAX_TEXT_BYTES`] bytes.
    #[serde(with = "crate::bounded_text")]
    pub blocked_reason: Arc<str>,
}

/// The totals of a control machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublisherStatus {
    /// The position up to which the control machine has read the log.
    pub position: Position,
    /// The number of services, including empty ones.
    pub services: u64,
    /// The number of resources.
    pub resources: u64,
    /// The number of resources that are limits of tenants.
    pub tenants: u64,
    /// The number of changes that the log in memory holds.
    pub log_entries: u64,
    /// An estimate of the bytes that the log in memory takes.
    pub log_bytes: u64,
    /// The number of sessions whose hello was accepted.
    pub sessions: u64,
    /// The number of sessions with a change that is pending, in flight or rejected.
    pub lagging: u64,
    /// The number of sessions with a rejected change.
    pub rejecting: u64,
    /// The number of sessions that hold a snapshot slot, of which there are
    /// [`crate::PublisherOptions::max_concurrent_snapshots`].
    pub snapshots: u64,
    /// The number of sessions that wait for a snapshot slot.
    pub waiting_for_snapshot: u64,
    /// The number of sessions that wait for tokens of the bandwidth limit.
    pub waiting_for_bandwidth: u64,
    /// The number of transactions that were sent completely.
    pub transactions: u64,
    /// The number of bytes of the frames that were queued for sending.
    pub bytes: u64,
    /// The number of transactions that were acknowledged.
    pub acks: u64,
    /// The number of transactions that were rejected for their content.
    pub rejections: u64,
    /// The number of transactions whose base or digest did not match the subscriber's state.
    pub mismatches: u64,
    /// The number of sessions that the control machine has closed.
    pub closed: u64,
}

/// The state of a subscriber's session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionStatus {
    /// The id of the session.
    pub session: u64,
    /// The name of the subscriber, from its hello.
    pub subscriber: SubscriberName,
    /// The number of services in the subscriber's scope.
    pub services: u32,
    /// The position of the last bookmark: every change of the scope up to it has been applied or rejected.
    pub current: Position,
    /// The number of bytes that are queued and not yet written to the connection.
    pub queued_bytes: u64,
    /// The time since the subscriber's last message, in milliseconds.
    pub silent_ms: u64,
    /// The number of services in which the subscriber lags.
    pub lagging: u32,
    /// The first lagging services, at most [`MAX_LISTED_PER_SESSION`].
    pub lags: Vec<LagStatus>,
    /// The number of services of which the subscriber has rejected a version.
    pub rejecting: u32,
    /// The first services with a rejected version, at most [`MAX_LISTED_PER_SESSION`].
    pub rejections: Vec<RejectionStatus>,
}

/// A service of which a subscriber has not applied the latest version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LagStatus {
    /// The name of the service.
    pub service: ServiceName,
    /// The version that the subscriber has applied.
    pub applied_version: u64,
    /// The version that the control machine has.
    pub latest_version: u64,
    /// The time since the control machine got a later version than the applied one, or since the session began, in
    /// milliseconds.
    pub behind_ms: u64,
}

/// A service of which a subscriber has rejected a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionStatus {
    /// The name of the service.
    pub service: ServiceName,
    /// The version that the subscriber has applied and keeps.
    pub applied_version: u64,
    /// The version that the subscriber has rejected.
    pub rejected_version: u64,
    /// The time since the control machine got a later version than the applied one, or since the session began, in
    /// milliseconds.
    pub behind_ms: u64,
    /// The first problem, if the subscriber has sent one on this connection.
    pub problem: Option<Rejection>,
}
