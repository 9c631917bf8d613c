//! The status of a subscriber.

use sableloom_types::{Span, Time};

use crate::name::ServiceName;
use crate::position::Position;

/// The state of a subscriber's connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionState {
    /// Not started.
    #[default]
    Idle,
    /// Waiting before the next connection.
    Waiting {
        /// When it connects.
        until: Time,
    },
    /// The caller is connecting.
    Connecting {
        /// The control machine.
        control_machine: usize,
    },
    /// Connected, and the control machine has not welcomed the subscriber yet.
    Greeting {
        /// The control machine.
        control_machine: usize,
    },
    /// In a session without a bookmark that matches the applied state.
    Syncing {
        /// The control machine.
        control_machine: usize,
    },
    /// In a session, and a bookmark has matched the applied state.
    Current {
        /// The control machine.
        control_machine: usize,
    },
}

/// The status of a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// The connection.
    pub connection: ConnectionState,
    /// The furthest position that any control machine has shown.
    pub position: Position,
    /// The position of the last bookmark that matched: every change of the scope up to it has been applied or rejected.
    pub bookmark: Position,
    /// The time since the last message of a control machine; none if there was none.
    pub last_contact_age: Option<Span>,
    /// Services in the scope.
    pub services: usize,
    /// Services of the scope of which a version has been applied.
    pub services_applied: usize,
    /// Resources that have been applied.
    pub resources: usize,
    /// Of these, limits of tenants.
    pub tenants: usize,
    /// An upper estimate of the bytes of all resources.
    pub bytes: usize,
    /// The services of which the latest version was rejected.
    pub rejected: Vec<ServiceName>,
    /// The counters.
    pub counters: SubscriberCounters,
}

/// The counters of a subscriber since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounters {
    /// Connections that were started.
    pub connects: u64,
    /// Sessions that were welcomed.
    pub sessions: u64,
    /// Transactions that were applied.
    pub applied: u64,
    /// Services that were applied as a snapshot.
    pub snapshots: u64,
    /// Transactions that were rejected for their content.
    pub rejected: u64,
    /// Transactions whose base or digest did not match the applied state.
    pub mismatches: u64,
    /// Services whose resources did not match their digest.
    pub drifts: u64,
    /// Connections to a control machine that had diverged.
    pub diverged: u64,
    /// Connections to a control machine that was behind.
    pub behind: u64,
    /// Connections closed for a message that the protocol does not allow at that point, or for a malformed frame.
    pub violations: u64,
}
