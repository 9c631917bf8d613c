//! The status that a control machine reports: the versions of its services, and which subscribers lag or have rejected
//! a version and why. It is encoded by position: the order of fields and variants is the wire format.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::{ServiceName, SubscriberName};
use crate::position::{Position, ServiceVersion};
use crate::rejection::Rejection;

/// The most sessions in one page of the status.
pub const MAX_SESSIONS_PER_PAGE: usize = 16;
/// The most lagging and the most rejected services listed of one session.
pub const MAX_LISTED_PER_SESSION: usize = 4;

/// One page of the status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusPage {
    /// The totals.
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
        /// The id from which the next page starts, if there is one.
        next: Option<u64>,
    },
    /// Services in the order of their names.
    Services {
        /// At most [`crate::MAX_SERVICES_PER_MESSAGE`].
        services: Vec<ServiceVersion>,
        /// The last service of this page, if there is another page.
        next: Option<ServiceName>,
    },
    /// The control machine itself.
    Machine(MachineStatus),
}

/// The progress of a control machine in its log, and why it has closed connections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// The progress in the log.
    pub log: LogStatus,
    /// Sessions that were refused.
    pub refused: u64,
    /// Sessions closed because the subscriber did not read.
    pub stalled: u64,
    /// Sessions closed because the subscriber did not answer a transaction.
    pub unacknowledged: u64,
    /// Sessions closed because no message came.
    pub silent: u64,
    /// Sessions closed for a message that the protocol does not allow at that point, or for a malformed frame.
    pub violations: u64,
}

/// The progress of reading the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// The number of the change that is read next.
    pub next: u64,
    /// The largest number of the change files that exist.
    pub latest: u64,
    /// Why the next change can't be read; empty if there is no next change or nothing is wrong. At most
    /// [`crate::MAX_TEXT_BYTES`].
    #[serde(with = "crate::bounded_text")]
    pub blocked_reason: Arc<str>,
}

/// The totals of a control machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublisherStatus {
    /// The position up to which it has read the log.
    pub position: Position,
    /// Services, empty ones included.
    pub services: u64,
    /// Resources.
    pub resources: u64,
    /// Of these, limits of tenants.
    pub tenants: u64,
    /// Changes in its log.
    pub log_entries: u64,
    /// An estimate of the bytes of its log.
    pub log_bytes: u64,
    /// Sessions after a hello.
    pub sessions: u64,
    /// Sessions with a change that is pending, in flight or rejected.
    pub lagging: u64,
    /// Sessions with a rejected change.
    pub rejecting: u64,
    /// Sessions that hold a snapshot slot.
    pub snapshots: u64,
    /// Sessions that wait for a snapshot slot.
    pub waiting_for_snapshot: u64,
    /// Sessions that wait for tokens of the bandwidth limit.
    pub waiting_for_bandwidth: u64,
    /// Transactions sent completely.
    pub transactions: u64,
    /// Bytes of the frames that were queued for sending.
    pub bytes: u64,
    /// Transactions that were acknowledged.
    pub acks: u64,
    /// Transactions that were rejected for their content.
    pub rejections: u64,
    /// Transactions whose base or digest did not match the subscriber's state.
    pub mismatches: u64,
    /// Sessions ended by the control machine.
    pub closed: u64,
}

/// The state of a subscriber's session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionStatus {
    /// The session's id.
    pub session: u64,
    /// The name of the subscriber.
    pub subscriber: SubscriberName,
    /// Services in its scope.
    pub services: u32,
    /// The position of the last bookmark: every change of the scope up to it has been applied or rejected.
    pub current: Position,
    /// Bytes queued and not yet written to the connection.
    pub queued_bytes: u64,
    /// Milliseconds since the subscriber's last message.
    pub silent_ms: u64,
    /// The number of services in which it lags.
    pub lagging: u32,
    /// The first of them, at most [`MAX_LISTED_PER_SESSION`].
    pub lags: Vec<LagStatus>,
    /// The number of services of which it has rejected a version.
    pub rejecting: u32,
    /// The first of them, at most [`MAX_LISTED_PER_SESSION`].
    pub rejections: Vec<RejectionStatus>,
}

/// A service of which a subscriber has not applied the latest version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LagStatus {
    /// The service.
    pub service: ServiceName,
    /// The version that the subscriber has applied.
    pub applied_version: u64,
    /// The version that the control machine has.
    pub latest_version: u64,
    /// Milliseconds since the control machine has had a later version, or since the session began.
    pub behind_ms: u64,
}

/// A service of which a subscriber has rejected a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionStatus {
    /// The service.
    pub service: ServiceName,
    /// The version that the subscriber has applied and keeps.
    pub applied_version: u64,
    /// The version that it has rejected.
    pub rejected_version: u64,
    /// Milliseconds since the control machine has had a later version, or since the session began.
    pub behind_ms: u64,
    /// The first problem, if the subscriber has sent one on this connection.
    pub problem: Option<Rejection>,
}
