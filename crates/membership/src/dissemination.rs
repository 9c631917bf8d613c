//! The queue of gossip, which determines which updates are sent to other members, how often, and in which order.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::message::{Key, MemberState, Update};

/// The sort key of a queued update: how often it was sent, and a number that grows with each insertion. The update that
/// was sent least often comes first; of equals, the one that has waited longest.
type Priority = (u32, u64);

/// The maximum number of queued updates. It takes about six thousand datagrams to send each of them as often as it has
/// to be sent. If there are more, the update that was sent most often is discarded first, since other members go on
/// sending it.
const MAX_UPDATES: usize = 1024;

/// The queue of updates to send.
#[derive(Clone, Debug, Default)]
pub(crate) struct Dissemination {
    queue: BTreeMap<Priority, Update>,
    priorities_by_member: FxHashMap<Key, Vec<Priority>>,
    next_insertion: u64,
}

impl Dissemination {
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Queues an update. It replaces the queued updates about the same member, except that a suspicion does not replace
    /// the suspicions that other members report.
    pub(crate) fn add(&mut self, update: Update) {
        let queue = &mut self.queue;
        let priorities = self.priorities_by_member.entry(update.member).or_default();
        priorities.retain(|priority| {
            let is_stale = queue.get(priority).is_none_or(|queued| {
                queued.state != MemberState::Suspect
                    || update.state != MemberState::Suspect
                    || queued.reported_by == update.reported_by
            });
            if is_stale {
                queue.remove(priority);
            }
            !is_stale
        });
        self.insert(0, update);
        if self.queue.len() > MAX_UPDATES {
            self.remove_most_sent();
        }
    }

    /// Discards the updates that were sent `max_transmissions` times, and returns the first `count` of the others.
    pub(crate) fn next_updates(&mut self, count: usize, max_transmissions: u32) -> Vec<Update> {
        while let Some(((transmissions, _), _)) = self.queue.last_key_value()
            && *transmissions >= max_transmissions
        {
            self.remove_most_sent();
        }
        self.queue.values().take(count).copied().collect()
    }

    /// Records that the first `count` updates were sent once more.
    pub(crate) fn record_sent(&mut self, count: usize) {
        let first: Vec<(Priority, Update)> =
            self.queue.iter().take(count).map(|(priority, update)| (*priority, *update)).collect();
        for (priority, update) in first {
            self.remove(priority, update.member);
            self.insert(priority.0 + 1, update);
        }
    }

    /// Removes the updates about members for which `is_listed` returns false.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(Key) -> bool) {
        self.queue.retain(|_, update| is_listed(update.member));
        self.priorities_by_member.retain(|key, _| is_listed(*key));
    }

    fn insert(&mut self, transmissions: u32, update: Update) {
        let priority = (transmissions, self.next_insertion);
        self.next_insertion += 1;
        self.queue.insert(priority, update);
        self.priorities_by_member.entry(update.member).or_default().push(priority);
    }

    fn remove_most_sent(&mut self) {
        let last = self.queue.last_key_value().map(|(priority, update)| (*priority, update.member));
        if let Some((priority, member)) = last {
            self.remove(priority, member);
        }
    }

    fn remove(&mut self, priority: Priority, member: Key) {
        self.queue.remove(&priority);
        if let Some(priorities) = self.priorities_by_member.get_mut(&member) {
            priorities.retain(|other| *other != priority);
            if priorities.is_empty() {
                self.priorities_by_member.remove(&member);
            }
        }
    }
}

#[cfg(test)]
mod tests;
