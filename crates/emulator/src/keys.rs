//! What a node remembers of the keys that it has seen: the last so many, each for a while.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use sableloom_types::{Span, Time};

#[derive(Debug, Default)]
pub(crate) struct Keys {
    last: FxHashMap<u64, Time>,
    /// In the order seen, each sighting once: those that are out of date are passed over.
    order: VecDeque<(Time, u64)>,
}

impl Keys {
    /// Notes a sighting; true if the key was remembered.
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

    #[cfg(test)]
    fn held(&self) -> usize {
        self.order.len().max(self.last.len())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_known_for_a_while_and_gives_way_to_newer_ones() {
        let mut keys = Keys::default();
        let mut see = |ms: i64, key| keys.see(Time(ms), key, 2, Span(100));
        assert!(!see(0, 1));
        assert!(see(100, 1), "just in time");
        assert!(!see(201, 1), "too late");
        assert!(!see(210, 2));
        assert!(see(220, 1));
        assert!(!see(230, 3), "a third");
        assert!(!see(240, 2), "2 gave way to 3: it was seen longest ago");
    }

    #[test]
    fn what_is_held_is_bounded() {
        let mut keys = Keys::default();
        for i in 0..10_000u64 {
            keys.see(Time(i as i64), i % 700, 500, Span(400));
            assert!(keys.held() <= 501, "{} at {i}", keys.held());
        }
        // One key alone, ever again, does not pile up sightings past the time that they are kept.
        for i in 10_000..20_000 {
            keys.see(Time(i), 1, 500, Span(400));
        }
        assert!(keys.held() <= 402, "{}", keys.held());
    }
}
