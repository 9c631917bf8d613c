//! Patterns in a finite state transducer, which is walked from one end of a text.

use std::collections::BTreeMap;

use fst::raw::{Fst, Output};

/// The number of a pattern. The same text may be two patterns, an exact one and a prefix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct PatternId(u32);

impl PatternId {
    /// The pattern that every host or path matches.
    pub(super) const ANY: PatternId = PatternId(0);
}

/// The patterns that a text stands for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PatternIds {
    /// The pattern that only the text itself matches.
    pub(super) exact: Option<PatternId>,
    /// The pattern that every text which begins so matches.
    pub(super) prefix: Option<PatternId>,
}

/// Texts with the patterns that they stand for.
pub(super) struct Transducer {
    fst: Fst<Vec<u8>>,
    ids: Vec<PatternIds>,
}

impl Transducer {
    /// Walks over `length` bytes, and calls `on_match` for each text on the way with the number of bytes that it has.
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

/// Numbers patterns in the order in which they come.
#[derive(Default)]
pub(super) struct TransducerBuilder(BTreeMap<Vec<u8>, PatternIds>);

impl TransducerBuilder {
    /// The number of a pattern that only this text matches; a new one comes after `last_id`.
    pub(super) fn exact_id(&mut self, text: Vec<u8>, last_id: &mut PatternId) -> PatternId {
        get_or_assign(&mut self.0.entry(text).or_default().exact, last_id)
    }

    /// The number of a pattern that every text which begins so matches; a new one comes after `last_id`.
    pub(super) fn prefix_id(&mut self, text: Vec<u8>, last_id: &mut PatternId) -> PatternId {
        get_or_assign(&mut self.0.entry(text).or_default().prefix, last_id)
    }

    pub(super) fn build(self) -> Result<Transducer, fst::Error> {
        let ids = self.0.values().copied().collect();
        let indexed = self.0.into_keys().enumerate().map(|(i, text)| (text, i as u64));
        Ok(Transducer { fst: Fst::from_iter_map(indexed)?, ids })
    }
}

fn get_or_assign(id: &mut Option<PatternId>, last_id: &mut PatternId) -> PatternId {
    *id.get_or_insert_with(|| {
        last_id.0 += 1;
        *last_id
    })
}
