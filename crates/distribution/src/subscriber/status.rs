//! The status of a subscriber.

use sableloom_types::{Span, Time};

use crate::name::ServiceName;
use crate::position::Position;

/// The state of a subscriber's connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionState {
    /// The subscriber has not been started.
    #[default]
    Idle,
    /// The subscriber waits before it connects again.
    Waiting {
        /// The time at which it connects.
        until: Time,
    },
    /// The caller is establishing the connection.
    Connecting {
        /// The number of the control machine, counted from 0.
        control_machine: usize,
    },
    /// The connection is established, and no welcome has been received.
    Greeting {
        /// The number of the control machine, counted from 0.
        control_machine: usize,
    },
    /// The session is open, and no bookmark of it has matched the applied state.
    Syncing {
        /// The number of the control machine, counted from 0.
        control_machine: usize,
    },
    /// The session is open, and a bookmark of it has matched the applied state.
    Current {
        /// The number of the control machine, counted from 0.
        control_machine: usize,
    },
}

/// The status of a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// The state of the connection.
    pub connection: ConnectionState,
    /// The latest position that any control machine has reported.
    pub position: Position,
    /// The position of the last bookmark that matched the applied state. Every change of the scope up to it has been
    /// applied or rejected.
    pub bookmark: Position,
    /// The time since the last message from any control machine; none if no message has been received.
    pub last_contact_age: Option<Span>,
    /// The number of services in the scope.
    pub services: usize,
    /// The number of services of the scope of which a version has been applied.
    pub services_applied: usize,
    /// The number of applied resources.
    pub resources: usize,
    /// The number of applied resources that are limits of tenants.
    pub tenants: usize,
    /// An upper estimate of the bytes of all applied resources.
    pub bytes: usize,
    /// The services with a rejected version of which no version has been applied since.
    pub rejected: Vec<ServiceName>,
    /// The counters of the subscriber.
    pub counters: SubscriberCounters,
}

/// The counters of a subscriber since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounters {
    /// The number of attempts to connect.
    pub connects: u64,
    /// The number of sessions that a control machine welcomed.
    pub sessions: u64,
    /// The number of transactions that were applied.
    pub applied: u64,
    /// The number of snapshots of a service in applied transactions.
    pub snapshots: u64,
    /// The number of transactions that were rejected for their content.
    pub rejected: u64,
    /// The number of transactions whose base or digest did not match the applied state.
    pub mismatches: u64,
    /// The number of times that the resources of a service did not match its digest.
    pub drifts: u64,
    /// The number of connections that were closed because the control machine had diverged.
    pub diverged: u64,
    /// The number of connections that were closed because the control machine was behind.
    pub behind: u64,
    /// The number of connections that were closed for a message that the protocol does not allow at that point, or for
    /// a malformed frame.
    pub violations: u64,
}
