//! What a session does next, and what a change does to it.

use super::pending::GroupId;
use crate::publisher::bandwidth::Priority;

/// What a session does next.
pub(in crate::publisher) enum NextStep {
    /// Sends a frame of the open transaction.
    SendFrame(Priority),
    /// Opens a transaction for a group.
    Open(GroupId, Priority),
    /// Requests a snapshot slot.
    RequestSnapshotSlot,
    /// Nothing can be sent now.
    Nothing,
}

/// What a change does to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::publisher) enum ChangeEffect {
    /// Nothing yet: the scope is not complete.
    None,
    /// The change was added to the transaction that is being sent.
    Merged,
    /// The services are pending.
    Pending,
}
