//! What is passed on to other members, how often, and in which order.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::wire::{Key, MemberState, Update};

/// How often an update was passed on, and a number that grows with each time that it was put back: what was
/// passed on least comes first, of equals what waits longest.
type Turn = (u32, u64);

/// Updates that are kept to be passed on at most: what some six thousand datagrams carry in all. Where more happens
/// at once, what was passed on most often is let go of first; others have it to pass on.
const MAX_UPDATES: usize = 1024;

/// The updates that are passed on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Dissemination {
    queue: BTreeMap<Turn, Update>,
    by_member: FxHashMap<Key, Vec<Turn>>,
    next: u64,
}

impl Dissemination {
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// News replaces what was to be passed on of the same member, but for words of other accusers.
    pub(crate) fn add(&mut self, news: Update) {
        let queue = &mut self.queue;
        let turns = self.by_member.entry(news.of).or_default();
        turns.retain(|turn| {
            let stale = queue.get(turn).is_none_or(|old| {
                old.state != MemberState::Suspect
                    || news.state != MemberState::Suspect
                    || old.by == news.by
            });
            if stale {
                queue.remove(turn);
            }
            !stale
        });
        self.insert(0, news);
        if self.queue.len() > MAX_UPDATES
            && let Some((turn, old)) = self.queue.last_key_value().map(|(t, n)| (*t, *n))
        {
            self.remove(turn, old.of);
        }
    }

    /// The first so many, after what was passed on as often as it may be is let go of.
    pub(crate) fn first(&mut self, count: usize, most_times: u32) -> Vec<Update> {
        while let Some((turn, news)) = self.queue.last_key_value().map(|(t, n)| (*t, *n))
            && turn.0 >= most_times
        {
            self.remove(turn, news.of);
        }
        self.queue.values().take(count).copied().collect()
    }

    /// The first so many were passed on.
    pub(crate) fn passed_on(&mut self, count: usize) {
        let first: Vec<(Turn, Update)> =
            self.queue.iter().take(count).map(|(turn, news)| (*turn, *news)).collect();
        for (turn, news) in first {
            self.remove(turn, news.of);
            self.insert(turn.0 + 1, news);
        }
    }

    /// Keeps what is of these members.
    pub(crate) fn retain(&mut self, of: impl Fn(Key) -> bool) {
        self.queue.retain(|_, news| of(news.of));
        self.by_member.retain(|key, _| of(*key));
    }

    fn insert(&mut self, times: u32, news: Update) {
        let turn = (times, self.next);
        self.next += 1;
        self.queue.insert(turn, news);
        self.by_member.entry(news.of).or_default().push(turn);
    }

    fn remove(&mut self, turn: Turn, of: Key) {
        self.queue.remove(&turn);
        if let Some(turns) = self.by_member.get_mut(&of) {
            turns.retain(|other| *other != turn);
            if turns.is_empty() {
                self.by_member.remove(&of);
            }
        }
    }
}

#[cfg(test)]
mod tests;
