//! A node's cache of recently seen keys, bounded in number and age.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use sableloom_types::{Span, Time};

#[derive(Debug, Default)]
pub(crate) struct CachedKeys {
    last: FxHashMap<u64, Time>,
    /// Every sighting in order; outdated ones are skipped.
    order: VecDeque<(Time, u64)>,
}

impl CachedKeys {
    /// Records a key; true if it was in the cache.
    pub(crate) fn see(&mut self, now: Time, key: u64, most: usize, keep: Span) -> bool {
        let known = self.last.insert(key, now).is_some_and(|at| now.since(at) <= keep);
        self.order.push_back((now, key));
        while let Some(&(at, oldest)) = self.order.front() {
            let stale = self.last.get(&oldest) != Some(&at);
            if !stale && self.last.len() <= most && now.since(at) <= keep {
                break;
            }
            if !stale {
                self.last.remove(&oldest);
            }
            self.order.pop_front();
        }
        known
    }
}

#[cfg(test)]
mod tests;
