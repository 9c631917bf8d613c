//! Patterns of paths under one host, with the routes that have them.
//!
//! Most hosts have a few patterns, which lie in a small list. A host with many has them in a hash map, in which the
//! path's prefixes and suffixes of the lengths that occur are looked up. A lookup allocates nothing.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use super::postings::{Postings, Slot};

/// Maximum number of patterns that are compared one by one: that takes less time than hashing, and a fifth of the
/// memory.
const MAX_LISTED: usize = 8;

/// Patterns of one kind by their text: a list if they are few, a hash map if they are many.
pub(super) enum PatternMap {
    Listed(Vec<(Box<[u8]>, Postings)>),
    Hashed(Box<HashedPatterns>),
}

#[derive(Default)]
pub(super) struct HashedPatterns {
    by_text: FxHashMap<Box<[u8]>, Postings>,
    /// Number of patterns of each length.
    lengths: BTreeMap<usize, u32>,
}

impl Default for PatternMap {
    fn default() -> Self {
        PatternMap::Listed(Vec::new())
    }
}

impl PatternMap {
    /// Number of patterns.
    pub(super) fn len(&self) -> usize {
        match self {
            PatternMap::Listed(listed) => listed.len(),
            PatternMap::Hashed(hashed) => hashed.by_text.len(),
        }
    }

    /// Adds a route to a pattern.
    pub(super) fn insert(&mut self, text: &[u8], slot: Slot, order: impl Fn(&Slot) -> Ordering) {
        if let PatternMap::Listed(listed) = self {
            if let Some((_, postings)) = listed.iter_mut().find(|(other, _)| **other == *text) {
                return postings.insert(slot, order);
            }
            if listed.len() < MAX_LISTED {
                listed.reserve_exact(1);
                return listed.push((text.into(), Postings::One(slot)));
            }
            *self = PatternMap::Hashed(Box::new(HashedPatterns::of(std::mem::take(listed))));
        }
        if let PatternMap::Hashed(hashed) = self {
            hashed.postings(text).insert(slot, order);
        }
    }

    /// Removes a route from a pattern, and the pattern once it has no route.
    pub(super) fn remove(&mut self, text: &[u8], order: impl Fn(&Slot) -> Ordering) {
        match self {
            PatternMap::Listed(listed) => {
                let Some(at) = listed.iter().position(|(other, _)| **other == *text) else {
                    return;
                };
                listed[at].1.remove(order);
                if listed[at].1.is_empty() {
                    listed.swap_remove(at);
                }
            }
            PatternMap::Hashed(hashed) => {
                hashed.remove(text, order);
                if hashed.by_text.is_empty() {
                    *self = PatternMap::default();
                }
            }
        }
    }

    /// Visits the postings of the pattern that equals a text.
    pub(super) fn for_exact(&self, text: &[u8], mut visit: impl FnMut(&Postings)) {
        match self {
            PatternMap::Listed(listed) => {
                let found = listed.iter().filter(|(pattern, _)| **pattern == *text);
                found.for_each(|(_, postings)| visit(postings));
            }
            PatternMap::Hashed(hashed) => hashed.by_text.get(text).into_iter().for_each(visit),
        }
    }

    /// Visits the postings of each pattern that a text begins with.
    pub(super) fn for_prefixes_of(&self, text: &[u8], mut visit: impl FnMut(&Postings)) {
        match self {
            PatternMap::Listed(listed) => {
                let found = listed.iter().filter(|(pattern, _)| text.starts_with(pattern));
                found.for_each(|(_, postings)| visit(postings));
            }
            PatternMap::Hashed(hashed) => {
                let parts = hashed.lengths.range(..=text.len()).map(|(length, _)| &text[..*length]);
                parts.filter_map(|part| hashed.by_text.get(part)).for_each(visit);
            }
        }
    }

    /// Visits the postings of each pattern that a text ends with.
    pub(super) fn for_suffixes_of(&self, text: &[u8], mut visit: impl FnMut(&Postings)) {
        match self {
            PatternMap::Listed(listed) => {
                let found = listed.iter().filter(|(pattern, _)| text.ends_with(pattern));
                found.for_each(|(_, postings)| visit(postings));
            }
            PatternMap::Hashed(hashed) => {
                let lengths = hashed.lengths.range(..=text.len());
                let parts = lengths.map(|(length, _)| &text[text.len() - length..]);
                parts.filter_map(|part| hashed.by_text.get(part)).for_each(visit);
            }
        }
    }
}

impl HashedPatterns {
    fn of(listed: Vec<(Box<[u8]>, Postings)>) -> Self {
        let mut hashed = Self::default();
        for (text, postings) in listed {
            *hashed.postings(&text) = postings;
        }
        hashed
    }

    fn postings(&mut self, text: &[u8]) -> &mut Postings {
        let lengths = &mut self.lengths;
        self.by_text.entry(text.into()).or_insert_with(|| {
            *lengths.entry(text.len()).or_default() += 1;
            Postings::None
        })
    }

    fn remove(&mut self, text: &[u8], order: impl Fn(&Slot) -> Ordering) {
        let Some(postings) = self.by_text.get_mut(text) else { return };
        postings.remove(order);
        if !postings.is_empty() {
            return;
        }
        self.by_text.remove(text);
        if let Some(count) = self.lengths.get_mut(&text.len()) {
            *count -= 1;
            if *count == 0 {
                self.lengths.remove(&text.len());
            }
        }
    }
}
