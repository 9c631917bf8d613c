//! The slots for sending snapshots, which bound the number of sessions that send snapshots at one time. Without them,
//! so many subscribers could request snapshots after a restart that no snapshot would ever be complete.

use std::collections::VecDeque;

use super::output::SessionId;

/// Whether a session waits for a snapshot slot or holds one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SnapshotSlot {
    /// The session neither waits for a slot nor holds one.
    None,
    /// The session waits for a slot.
    Waiting,
    /// The session holds a slot.
    Held,
}

/// The number of slots in use, and the sessions that wait for a slot.
#[derive(Debug)]
pub(super) struct SnapshotSlots {
    /// The number of slots.
    max: usize,
    in_use: usize,
    /// The waiting sessions in order of arrival. The caller skips those that have ended or no longer need a slot when
    /// they are removed from the queue.
    waiting: VecDeque<SessionId>,
}

impl SnapshotSlots {
    /// Creates this number of slots, none of them in use.
    pub(super) fn new(max: usize) -> Self {
        SnapshotSlots { max, in_use: 0, waiting: VecDeque::new() }
    }

    /// Returns the number of slots in use.
    pub(super) fn in_use(&self) -> usize {
        self.in_use
    }

    /// Grants a slot if one is free; otherwise adds the session to the queue.
    pub(super) fn request(&mut self, session: SessionId) -> SnapshotSlot {
        if self.in_use < self.max {
            self.grant()
        } else {
            self.waiting.push_back(session);
            SnapshotSlot::Waiting
        }
    }

    /// Grants a slot without checking the limit. The caller must have freed one before.
    pub(super) fn grant(&mut self) -> SnapshotSlot {
        self.in_use += 1;
        SnapshotSlot::Held
    }

    /// Frees a slot.
    pub(super) fn release(&mut self) {
        self.in_use -= 1;
    }

    /// Removes the session that has waited longest from the queue and returns it.
    pub(super) fn next_waiting(&mut self) -> Option<SessionId> {
        self.waiting.pop_front()
    }
}
