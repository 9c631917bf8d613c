//! The ids of requests that may have been executed after their clients disconnected.

use std::collections::VecDeque;

use rustc_hash::FxHashSet;
use sableloom_types::settings::stable_hash_of_bytes;
use sableloom_types::{Span, Time};

/// The largest number of ids that are kept; beyond it the oldest are dropped. An id takes some 30 bytes.
const MAX_IDS: usize = 16_384;

/// The ids of requests that may have been executed after their clients disconnected. Such a request is not accepted
/// again for a while: neither client would know that it was executed twice.
pub(crate) struct DepartedIds {
    /// How long an id is kept.
    kept_for: Span,
    hashes: FxHashSet<u64>,
    /// The ids in the order in which they are dropped, and when.
    expiries: VecDeque<(Time, u64)>,
}

impl DepartedIds {
    pub(crate) fn new(kept_for: Span) -> Self {
        Self { kept_for, hashes: FxHashSet::default(), expiries: VecDeque::new() }
    }

    /// Keeps an id.
    pub(crate) fn insert(&mut self, now: Time, id: &[u8]) {
        self.expire(now);
        let hash = stable_hash_of_bytes(id);
        if !self.hashes.insert(hash) {
            return;
        }
        if self.expiries.len() >= MAX_IDS {
            self.drop_oldest();
        }
        self.expiries.push_back((now.plus(self.kept_for), hash));
    }

    /// Whether an id is kept.
    pub(crate) fn contains(&mut self, now: Time, id: &[u8]) -> bool {
        self.expire(now);
        !self.hashes.is_empty() && self.hashes.contains(&stable_hash_of_bytes(id))
    }

    fn expire(&mut self, now: Time) {
        while self.expiries.front().is_some_and(|(expiry, _)| *expiry <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, hash)) = self.expiries.pop_front() {
            self.hashes.remove(&hash);
        }
    }
}
