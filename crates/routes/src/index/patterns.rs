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
const MAX_LISTED_PATTERNS: usize = 8;

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
    pub(super) fn insert(&mut self, text: &[u8], slot: Slot, compare: impl Fn(&Slot) -> Ordering) {
        if let PatternMap::Listed(listed) = self {
            if let Some((_, postings)) = listed.iter_mut().find(|(other, _)| **other == *text) {
                return postings.insert(slot, compare);
            }
            if listed.len() < MAX_LISTED_PATTERNS {
                listed.reserve_exact(1);
                return listed.push((text.into(), Postings::One(slot)));
            }
            *self =
                PatternMap::Hashed(Box::new(HashedPatterns::from_listed(std::mem::take(listed))));
        }
        if let PatternMap::Hashed(hashed) = self {
            hashed.postings(text).insert(slot, compare);
        }
    }

    /// Removes a route from a pattern, and the pattern once it has no route.
    pub(super) fn remove(&mut self, text: &[u8], compare: impl Fn(&Slot) -> Ordering) {
        match self {
            PatternMap::Listed(listed) => {
                let Some(position) = listed.iter().position(|(other, _)| **other == *text) else {
                    return;
                };
                listed[position].1.remove(compare);
                if listed[position].1.is_empty() {
                    listed.swap_remove(position);
                }
            }
            PatternMap::Hashed(hashed) => {
                hashed.remove(text, compare);
                if hashed.by_text.is_empty() {
                    *self = PatternMap::default();
                }
            }
        }
    }

    /// Visits the postings of the pattern that equals a text.
    pub(super) fn visit_exact(&self, text: &[u8], mut visit: impl FnMut(&Postings)) {
        match self {
            PatternMap::Listed(listed) => {
                let matching = listed.iter().filter(|(pattern, _)| **pattern == *text);
                matching.for_each(|(_, postings)| visit(postings));
            }
            PatternMap::Hashed(hashed) => hashed.by_text.get(text).into_iter().for_each(visit),
        }
    }

    /// Visits the postings of each pattern that a text begins with.
    pub(super) fn visit_prefixes_of(&self, text: &[u8], mut visit: impl FnMut(&Postings)) {
        match self {
            PatternMap::Listed(listed) => {
                let matching = listed.iter().filter(|(pattern, _)| text.starts_with(pattern));
                matching.for_each(|(_, postings)| visit(postings));
            }
            PatternMap::Hashed(hashed) => {
                let prefixes =
                    hashed.lengths.range(..=text.len()).map(|(length, _)| &text[..*length]);
                prefixes.filter_map(|prefix| hashed.by_text.get(prefix)).for_each(visit);
            }
        }
    }

    /// Visits the postings of each pattern that a text ends with.
    pub(super) fn visit_suffixes_of(&self, text: &[u8], mut visit: impl FnMut(&Postings)) {
        match self {
            PatternMap::Listed(listed) => {
                let matching = listed.iter().filter(|(pattern, _)| text.ends_with(pattern));
                matching.for_each(|(_, postings)| visit(postings));
            }
            PatternMap::Hashed(hashed) => {
                let lengths = hashed.lengths.range(..=text.len());
                let suffixes = lengths.map(|(length, _)| &text[text.len() - length..]);
                suffixes.filter_map(|suffix| hashed.by_text.get(suffix)).for_each(visit);
            }
        }
    }
}

impl HashedPatterns {
    fn from_listed(listed: Vec<(Box<[u8]>, Postings)>) -> Self {
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

    fn remove(&mut self, text: &[u8], compare: impl Fn(&Slot) -> Ordering) {
        let Some(postings) = self.by_text.get_mut(text) else { return };
        postings.remove(compare);
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
