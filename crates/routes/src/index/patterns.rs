//! Path patterns that are combined with one host pattern, with the routes that have them.
//!
//! Most host patterns are combined with few path patterns, which are kept in a list. Many path patterns are kept in a
//! hash map. A lookup searches the hash map for the prefixes or suffixes of the path that are as long as one of the
//! patterns. A lookup allocates no memory.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use super::postings::{Postings, Slot};

/// Maximum number of patterns in a list. Comparing so few patterns one by one takes less time than hashing, and the
/// list takes a fifth of the memory of a hash map.
const MAX_LISTED_PATTERNS: usize = 8;

/// Routes by the text of their pattern, for patterns of one kind (exact, prefix or suffix): a list of few patterns, or
/// a hash map of many.
pub(super) enum PatternMap {
    Listed(Vec<(Box<[u8]>, Postings)>),
    Hashed(Box<HashedPatterns>),
}

/// Routes by the text of their pattern, with the lengths that patterns have.
#[derive(Default)]
pub(super) struct HashedPatterns {
    by_text: FxHashMap<Box<[u8]>, Postings>,
    /// Number of patterns by length in bytes.
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

    /// Adds a route to the pattern with this text. `compare` returns the order of the route in another slot relative to
    /// the added route.
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

    /// Removes a route from the pattern with this text, and the pattern if it has no route left. `compare` returns the
    /// order of the route in another slot relative to the removed route.
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

    /// Calls `visit` with the routes of the pattern that equals a text.
    pub(super) fn visit_exact(&self, text: &[u8], mut visit: impl FnMut(&Postings)) {
        match self {
            PatternMap::Listed(listed) => {
                let matching = listed.iter().filter(|(pattern, _)| **pattern == *text);
                matching.for_each(|(_, postings)| visit(postings));
            }
            PatternMap::Hashed(hashed) => hashed.by_text.get(text).into_iter().for_each(visit),
        }
    }

    /// Calls `visit` with the routes of each pattern that a text begins with.
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

    /// Calls `visit` with the routes of each pattern that a text ends with.
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

    /// The routes of the pattern with this text, which is added if it is new.
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
