//! What happens to a subscriber.

use super::disconnect_reason::DisconnectReason;
use crate::name::ServiceName;
use crate::position::Position;
use crate::rejection::Rejection;

/// An event that is worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberEvent {
    /// A session has begun.
    Connected {
        /// The control machine.
        control_machine: usize,
        /// Its position.
        position: Position,
    },
    /// A connection has ended.
    Disconnected {
        /// The control machine.
        control_machine: usize,
        /// Why it has ended.
        reason: DisconnectReason,
    },
    /// No control machine can be reached: reported once, after three consecutive failures (fewer if there are fewer
    /// machines), and again only after a bookmark has come.
    Unreachable,
    /// Every change of the scope up to a position has been applied or rejected: reported once per session.
    Current {
        /// The position.
        position: Position,
    },
    /// Two control machines have read different changes under one number.
    Diverged {
        /// The control machine that is not followed.
        control_machine: usize,
        /// The furthest position that was seen.
        seen: Position,
        /// The position of the control machine.
        other: Position,
    },
    /// A transaction was rejected for its content.
    Rejected {
        /// The services that the transaction touches.
        services: Vec<ServiceName>,
        /// The problems.
        rejections: Vec<Rejection>,
    },
    /// A transaction whose base or digest does not match the applied state.
    Mismatch {
        /// The services that do not match.
        services: Vec<ServiceName>,
    },
    /// The resources of a service in memory do not match its digest; the service is requested again.
    Drift {
        /// The service.
        service: ServiceName,
    },
    /// The resources of a service in the saved state do not match its digest; they are not used.
    SavedStateDamaged {
        /// The service.
        service: ServiceName,
    },
}
