//! The next step of a session, and the effect of a change on it.

use super::pending::GroupId;
use crate::publisher::bandwidth::Priority;

/// The next step of a session.
pub(in crate::publisher) enum NextStep {
    /// Send the next frame of the open transaction.
    SendFrame(Priority),
    /// Open a transaction for a group.
    Open(GroupId, Priority),
    /// Request a snapshot slot.
    RequestSnapshotSlot,
    /// Do nothing: nothing is to be sent, or the session waits for a snapshot slot or for answers.
    Nothing,
}

/// The effect of a change on a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::publisher) enum ChangeEffect {
    /// No effect yet: the changed services belong to a scope that is not complete, and are compared later.
    None,
    /// The change was added to the open transaction.
    Merged,
    /// The changed services have become pending.
    Pending,
}
