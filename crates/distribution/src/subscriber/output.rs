//! The actions that a subscriber requests from its caller.

use super::disconnect_reason::DisconnectReason;
use super::event::SubscriberEvent;
use crate::message::SubscriberMessage;
use crate::name::ServiceName;
use crate::position::Position;
use crate::resource::Change;

/// Changes that the caller must apply completely or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// The id with which the caller calls [`crate::Subscriber::apply_finished`].
    pub id: u64,
    /// The position up to which the control machine has read its log.
    pub position: Position,
    /// The changes, grouped by service.
    pub services: Vec<ServiceUpdate>,
}

/// The changes of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceUpdate {
    /// The name of the service.
    pub service: ServiceName,
    /// The version of the service once the changes are applied.
    pub version: u64,
    /// The digest of the service once the changes are applied.
    pub digest: u64,
    /// Whether the changes are complete: a `Set` for each resource that the service then has, and a `Remove` for each
    /// applied resource that it then no longer has. The caller may either replace the service or apply the changes; the
    /// result is the same.
    pub snapshot: bool,
    /// The changes, which are only `Set` and `Remove`, with at most one for each resource.
    pub changes: Vec<Change>,
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberOutput {
    /// Connect to a control machine, and report the result by [`crate::Subscriber::connected`] or
    /// [`crate::Subscriber::disconnected`].
    Connect {
        /// The number of the control machine, counted from 0.
        control_machine: usize,
    },
    /// Send a message on the connection.
    Send(SubscriberMessage),
    /// Close the connection, or stop connecting. The caller must not report this by
    /// [`crate::Subscriber::disconnected`].
    Close {
        /// The reason for which the connection is closed.
        reason: DisconnectReason,
    },
    /// Validate and apply a transaction, and report the result by [`crate::Subscriber::apply_finished`].
    Apply(Transaction),
    /// Log an event.
    Event(SubscriberEvent),
    /// The result of [`crate::Subscriber::saved_state`] has changed. The caller decides when to save it.
    Save,
}
