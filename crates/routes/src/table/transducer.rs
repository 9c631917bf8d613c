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
pub(super) struct TextIds {
    /// The pattern that only the text itself matches.
    pub(super) exact: Option<PatternId>,
    /// The pattern that every text which begins so matches.
    pub(super) prefix: Option<PatternId>,
}

/// Texts with the patterns that they stand for.
pub(super) struct Transducer {
    fst: Fst<Vec<u8>>,
    ids: Vec<TextIds>,
}

impl Transducer {
    /// Walks over `length` bytes, and calls `found` for each text on the way with the number of bytes that it has.
    pub(super) fn walk(
        &self,
        length: usize,
        byte: impl Fn(usize) -> u8,
        mut found: impl FnMut(TextIds, usize),
    ) {
        let (mut node, mut output) = (self.fst.root(), Output::zero());
        for at in 0..=length {
            if node.is_final() {
                let index = output.cat(node.final_output()).value() as usize;
                if let Some(ids) = self.ids.get(index) {
                    found(*ids, at);
                }
            }
            if at == length {
                return;
            }
            let Some(i) = node.find_input(byte(at)) else { return };
            let transition = node.transition(i);
            output = output.cat(transition.out);
            node = self.fst.node(transition.addr);
        }
    }
}

/// Numbers patterns in the order in which they come.
#[derive(Default)]
pub(super) struct Builder(BTreeMap<Vec<u8>, TextIds>);

impl Builder {
    /// The number of a pattern that only this text matches; a new one comes after `last`.
    pub(super) fn exact(&mut self, text: Vec<u8>, last: &mut PatternId) -> PatternId {
        number(&mut self.0.entry(text).or_default().exact, last)
    }

    /// The number of a pattern that every text which begins so matches; a new one comes after `last`.
    pub(super) fn prefix(&mut self, text: Vec<u8>, last: &mut PatternId) -> PatternId {
        number(&mut self.0.entry(text).or_default().prefix, last)
    }

    pub(super) fn build(self) -> Result<Transducer, fst::Error> {
        let ids = self.0.values().copied().collect();
        let numbered = self.0.into_keys().enumerate().map(|(i, text)| (text, i as u64));
        Ok(Transducer { fst: Fst::from_iter_map(numbered)?, ids })
    }
}

fn number(id: &mut Option<PatternId>, last: &mut PatternId) -> PatternId {
    *id.get_or_insert_with(|| {
        last.0 += 1;
        *last
    })
}
