//! The routes that have the same pattern.

use std::cmp::Ordering;

/// Index of a route in the list of routes of a [`RouteIndex`](crate::RouteIndex).
pub(super) type Slot = u32;

/// Slots of the routes that have the same pattern, in the order of the routes. Most patterns have one route, which is
/// stored without an allocation.
#[derive(Default)]
pub(super) enum Postings {
    #[default]
    None,
    One(Slot),
    Many(Vec<Slot>),
}

impl Postings {
    pub(super) fn as_slice(&self) -> &[Slot] {
        match self {
            Postings::None => &[],
            Postings::One(slot) => std::slice::from_ref(slot),
            Postings::Many(slots) => slots,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.as_slice().is_empty()
    }

    /// Adds a slot at its position in the order, which is found with `compare`. A slot that is present already is not
    /// added again, because a rule may list the same pattern twice.
    pub(super) fn insert(&mut self, slot: Slot, compare: impl Fn(&Slot) -> Ordering) {
        let Err(position) = self.as_slice().binary_search_by(compare) else { return };
        match self {
            Postings::None => *self = Postings::One(slot),
            Postings::One(other) if position == 0 => *self = Postings::Many(vec![slot, *other]),
            Postings::One(other) => *self = Postings::Many(vec![*other, slot]),
            Postings::Many(slots) => slots.insert(position, slot),
        }
    }

    /// Removes the slot for which `compare` returns `Equal`, if it is present.
    pub(super) fn remove(&mut self, compare: impl Fn(&Slot) -> Ordering) {
        let Ok(position) = self.as_slice().binary_search_by(compare) else { return };
        match self {
            Postings::Many(slots) if slots.len() > 1 => _ = slots.remove(position),
            _ => *self = Postings::None,
        }
    }
}
