//! The bounded log of a store: which services the last changes touched, and the chain hashes of the last numbers.

use std::collections::VecDeque;

use super::limits::StoreLimits;
use crate::name::ServiceName;

/// A change in the log.
#[derive(Debug)]
pub(super) struct LoggedChange {
    /// The services that the change touched.
    pub(super) services: Box<[ServiceName]>,
    /// The bytes that it takes in the log, with the keys that the services' own logs hold.
    pub(super) bytes: usize,
}

/// The last changes, the newest at the back.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    changes: VecDeque<LoggedChange>,
    bytes: usize,
    /// Chain hashes of the last numbers, the newest last.
    chains: VecDeque<u64>,
}

impl ChangeLog {
    pub(super) fn len(&self) -> usize {
        self.changes.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends a change with the chain hash after it.
    pub(super) fn push(&mut self, change: LoggedChange, chain: u64, limits: &StoreLimits) {
        self.chains.push_back(chain);
        if self.chains.len() > limits.chain_entries {
            self.chains.pop_front();
        }
        self.bytes += change.bytes;
        self.changes.push_back(change);
    }

    /// Removes the oldest change if the log exceeds its bounds.
    pub(super) fn pop_excess(&mut self, limits: &StoreLimits) -> Option<LoggedChange> {
        if self.changes.len() <= limits.log_entries && self.bytes <= limits.log_bytes {
            return None;
        }
        let oldest = self.changes.pop_front()?;
        self.bytes -= oldest.bytes;
        Some(oldest)
    }

    /// The services that a change touched, by how many changes came after it; none if the log no longer holds it.
    pub(super) fn services(&self, changes_after: u64) -> &[ServiceName] {
        nth_from_back(&self.changes, changes_after).map_or(&[], |change| &change.services)
    }

    /// The chain hash of a number, by how many numbers came after it.
    pub(super) fn chain(&self, numbers_after: u64) -> Option<u64> {
        nth_from_back(&self.chains, numbers_after).copied()
    }
}

fn nth_from_back<T>(entries: &VecDeque<T>, distance: u64) -> Option<&T> {
    let distance = usize::try_from(distance).ok()?;
    let index = entries.len().checked_sub(distance.checked_add(1)?)?;
    entries.get(index)
}
