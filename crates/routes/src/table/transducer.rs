//! Patterns in a finite state transducer. One walk over a text finds all patterns that match from its first byte.

use std::collections::BTreeMap;

use fst::raw::{Fst, Output};

/// Number of a pattern. An exact pattern and a prefix pattern with the same text have different numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct PatternId(u32);

impl PatternId {
    /// The pattern that matches every host or path.
    pub(super) const ANY: PatternId = PatternId(0);
}

/// Numbers of the patterns that have the same text.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PatternIds {
    /// Number of the pattern that matches only the text.
    pub(super) exact: Option<PatternId>,
    /// Number of the pattern that matches everything that begins with the text.
    pub(super) prefix: Option<PatternId>,
}

/// Texts of patterns, each with the numbers of its patterns.
pub(super) struct Transducer {
    fst: Fst<Vec<u8>>,
    /// Numbers of the patterns of each text; the output of `fst` for a text is the index.
    ids: Vec<PatternIds>,
}

impl Transducer {
    /// Walks over `length` bytes, which `byte` returns by position. Calls `on_match` for each text of a pattern that is
    /// a prefix of these bytes, with the numbers of the patterns and the length of the text in bytes.
    pub(super) fn walk(
        &self,
        length: usize,
        byte: impl Fn(usize) -> u8,
        mut on_match: impl FnMut(PatternIds, usize),
    ) {
        let (mut node, mut output) = (self.fst.root(), Output::zero());
        for walked in 0..=length {
            if node.is_final() {
                let text_index = output.cat(node.final_output()).value() as usize;
                if let Some(ids) = self.ids.get(text_index) {
                    on_match(*ids, walked);
                }
            }
            if walked == length {
                return;
            }
            let Some(i) = node.find_input(byte(walked)) else { return };
            let transition = node.transition(i);
            output = output.cat(transition.out);
            node = self.fst.node(transition.addr);
        }
    }
}

/// Collects the texts of patterns, and assigns numbers to patterns in the order in which they are added.
#[derive(Default)]
pub(super) struct TransducerBuilder(BTreeMap<Vec<u8>, PatternIds>);

impl TransducerBuilder {
    /// Returns the number of the exact pattern with this text. A new pattern gets the number after `last_id`, which
    /// becomes the new `last_id`.
    pub(super) fn exact_id(&mut self, text: Vec<u8>, last_id: &mut PatternId) -> PatternId {
        get_or_assign_id(&mut self.0.entry(text).or_default().exact, last_id)
    }

    /// Returns the number of the prefix pattern with this text. A new pattern gets the number after `last_id`, which
    /// becomes the new `last_id`.
    pub(super) fn prefix_id(&mut self, text: Vec<u8>, last_id: &mut PatternId) -> PatternId {
        get_or_assign_id(&mut self.0.entry(text).or_default().prefix, last_id)
    }

    pub(super) fn build(self) -> Result<Transducer, fst::Error> {
        let ids = self.0.values().copied().collect();
        let indexed = self.0.into_keys().enumerate().map(|(i, text)| (text, i as u64));
        Ok(Transducer { fst: Fst::from_iter_map(indexed)?, ids })
    }
}

fn get_or_assign_id(id: &mut Option<PatternId>, last_id: &mut PatternId) -> PatternId {
    *id.get_or_insert_with(|| {
        last_id.0 += 1;
        *last_id
    })
}
