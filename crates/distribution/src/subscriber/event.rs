//! The events of a subscriber that its caller logs.

use super::disconnect_reason::DisconnectReason;
use crate::name::ServiceName;
use crate::position::Position;
use crate::rejection::Rejection;

/// An event that the caller should log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberEvent {
    /// A control machine has accepted the subscriber's hello.
    Connected {
        /// The number of the control machine, counted from 0.
        control_machine: usize,
        /// The position up to which the control machine has read its log.
        position: Position,
    },
    /// A connection has ended or could not be established.
    Disconnected {
        /// The number of the control machine, counted from 0.
        control_machine: usize,
        /// Why the connection has ended or could not be established.
        reason: DisconnectReason,
    },
    /// No control machine can be reached. The event is reported once after three consecutive failures (fewer if there
    /// are fewer control machines), and again only after a bookmark has matched the applied state.
    Unreachable,
    /// Every change of the scope up to a position has been applied or rejected. The event is reported once per session.
    Current {
        /// The position of the bookmark that matched.
        position: Position,
    },
    /// Two control machines have read different changes under one number. The connection to the one that reported its
    /// position last is closed.
    Diverged {
        /// The number of the control machine whose connection is closed, counted from 0.
        control_machine: usize,
        /// The latest position that any control machine has reported, which the subscriber keeps.
        latest_position: Position,
        /// The position of the control machine whose connection is closed.
        machine_position: Position,
    },
    /// The caller has rejected a transaction for its content.
    Rejected {
        /// The services that the transaction touches.
        services: Vec<ServiceName>,
        /// The problems, at most [`crate::MAX_REJECTIONS`].
        rejections: Vec<Rejection>,
    },
    /// The base or the digest of a transaction does not match the applied state, and the transaction was not applied.
    Mismatch {
        /// The services that do not match.
        services: Vec<ServiceName>,
    },
    /// The resources of a service in memory do not match its digest; the service is requested again.
    Drift {
        /// The name of the service.
        service: ServiceName,
    },
    /// The resources of a service in the saved state do not match its digest, and were not restored.
    SavedStateDamaged {
        /// The name of the service.
        service: ServiceName,
    },
}
