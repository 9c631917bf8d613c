//! The slots for sending snapshots: a bound on the sessions that send snapshots at one time. Guards against a storm of
//! snapshots after a restart, in which no subscriber's snapshot would ever be complete.

use std::collections::VecDeque;

use super::output::SessionId;

/// A session's claim to a snapshot slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SnapshotSlot {
    /// The session needs no slot.
    None,
    /// The session waits for a slot.
    Waiting,
    /// The session holds a slot.
    Held,
}

/// The slots in use and the sessions that wait for one.
#[derive(Debug)]
pub(super) struct SnapshotSlots {
    max: usize,
    in_use: usize,
    /// In order of arrival. Sessions that have ended or need no slot any more are skipped when their turn comes.
    waiting: VecDeque<SessionId>,
}

impl SnapshotSlots {
    pub(super) fn new(max: usize) -> Self {
        SnapshotSlots { max, in_use: 0, waiting: VecDeque::new() }
    }

    pub(super) fn in_use(&self) -> usize {
        self.in_use
    }

    /// Grants a slot if there is one, and queues the session otherwise.
    pub(super) fn request(&mut self, session: SessionId) -> SnapshotSlot {
        if self.in_use < self.max {
            self.grant()
        } else {
            self.waiting.push_back(session);
            SnapshotSlot::Waiting
        }
    }

    /// Grants a slot.
    pub(super) fn grant(&mut self) -> SnapshotSlot {
        self.in_use += 1;
        SnapshotSlot::Held
    }

    /// A session has given its slot back.
    pub(super) fn release(&mut self) {
        self.in_use -= 1;
    }

    /// Removes the session that has waited longest from the queue.
    pub(super) fn next_waiting(&mut self) -> Option<SessionId> {
        self.waiting.pop_front()
    }
}
