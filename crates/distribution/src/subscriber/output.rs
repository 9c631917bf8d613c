//! What a subscriber tells its caller to do.

use super::disconnect_reason::DisconnectReason;
use super::event::SubscriberEvent;
use crate::message::SubscriberMessage;
use crate::name::ServiceName;
use crate::position::Position;
use crate::resource::Change;

/// Changes that are to be applied all or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// The id, for [`crate::Subscriber::apply_finished`].
    pub id: u64,
    /// The position of the control machine.
    pub position: Position,
    /// The changes by service.
    pub services: Vec<ServiceUpdate>,
}

/// The changes of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceUpdate {
    /// The service.
    pub service: ServiceName,
    /// Its version afterwards.
    pub version: u64,
    /// Its digest afterwards.
    pub digest: u64,
    /// Whether the changes are complete: a `Set` for each resource that the service has afterwards, and a `Remove` for
    /// each resource that it had before and has no more. To replace the service and to apply the changes is the same.
    pub snapshot: bool,
    /// The changes: only `Set` and `Remove`, each resource once.
    pub changes: Vec<Change>,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberOutput {
    /// Connect to a control machine, and call [`crate::Subscriber::connected`] or
    /// [`crate::Subscriber::disconnected`].
    Connect {
        /// The number of the control machine.
        control_machine: usize,
    },
    /// Send a message on the connection.
    Send(SubscriberMessage),
    /// Close the connection, or stop connecting. The subscriber expects no report of it.
    Close {
        /// Why the connection is closed.
        reason: DisconnectReason,
    },
    /// Validate and apply a transaction, and call [`crate::Subscriber::apply_finished`].
    Apply(Transaction),
    /// Log an event.
    Event(SubscriberEvent),
    /// The result of [`crate::Subscriber::saved_state`] has changed. The caller decides when to save it.
    Save,
}
