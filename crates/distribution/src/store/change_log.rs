//! The bounded log of a store: the services that each recent change touched, and the chain hashes of recent numbers.

use std::collections::VecDeque;

use super::limits::StoreLimits;
use crate::name::ServiceName;

/// The record of one change in the log.
#[derive(Debug)]
pub(super) struct LoggedChange {
    /// The services that the change touched.
    pub(super) services: Box<[ServiceName]>,
    /// The estimated bytes that the change takes in memory, including its keys in the logs of the services.
    pub(super) bytes: usize,
}

/// The most recent changes and chain hashes, the newest at the back.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    changes: VecDeque<LoggedChange>,
    bytes: usize,
    /// The chain hash after each recent change number; it reaches further back than `changes`.
    chains: VecDeque<u64>,
}

impl ChangeLog {
    /// Returns the number of changes in the log.
    pub(super) fn len(&self) -> usize {
        self.changes.len()
    }

    /// Returns the estimated bytes of the changes in the log, without the chain hashes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends a change with the chain hash after it, and drops the oldest chain hash beyond the limit. The caller
    /// drops excess changes by [`Self::pop_excess`].
    pub(super) fn push(&mut self, change: LoggedChange, chain: u64, limits: &StoreLimits) {
        self.chains.push_back(chain);
        if self.chains.len() > limits.chain_entries {
            self.chains.pop_front();
        }
        self.bytes += change.bytes;
        self.changes.push_back(change);
    }

    /// Removes and returns the oldest change if the log exceeds its bounds.
    pub(super) fn pop_excess(&mut self, limits: &StoreLimits) -> Option<LoggedChange> {
        if self.changes.len() <= limits.log_entries && self.bytes <= limits.log_bytes {
            return None;
        }
        let oldest = self.changes.pop_front()?;
        self.bytes -= oldest.bytes;
        Some(oldest)
    }

    /// Returns the services that a change touched, where `changes_after` is the number of changes appended after it.
    /// Returns an empty slice if the log no longer holds the change.
    pub(super) fn services(&self, changes_after: u64) -> &[ServiceName] {
        nth_from_back(&self.changes, changes_after).map_or(&[], |change| &change.services)
    }

    /// Returns the chain hash after a change, where `numbers_after` is the number of changes appended after it. Returns
    /// `None` if that hash is no longer kept.
    pub(super) fn chain(&self, numbers_after: u64) -> Option<u64> {
        nth_from_back(&self.chains, numbers_after).copied()
    }
}

/// Returns the entry that has `distance` entries after it.
fn nth_from_back<T>(entries: &VecDeque<T>, distance: u64) -> Option<&T> {
    let distance = usize::try_from(distance).ok()?;
    let index = entries.len().checked_sub(distance.checked_add(1)?)?;
    entries.get(index)
}
