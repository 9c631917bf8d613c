//! The positions of a member table by group, so that to move one, to count a group and to draw from it at random take
//! the same time whatever the table's size.

use oorandom::Rand64;

use crate::peer::Health;

/// What a member is counted among.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Group {
    /// It is reachable, suspected or not.
    Reachable,
    /// It is dead or has left.
    Departed,
    /// This process has never heard of it.
    Unknown,
    /// It is this process itself.
    Own,
}

const GROUPS: usize = 4;

impl Group {
    pub(crate) fn of(health: &Health) -> Self {
        match health {
            Health::Alive | Health::Suspect(_) => Group::Reachable,
            Health::Dead | Health::Left => Group::Departed,
            Health::Unknown => Group::Unknown,
        }
    }
}

/// All positions in one order, one group behind the other.
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups {
    order: Vec<u32>,
    /// Where each position is in that order.
    indexes: Vec<u32>,
    /// Where each group ends.
    ends: [usize; GROUPS],
}

impl Groups {
    /// So many positions, all of the first group.
    pub(crate) fn new(positions: usize) -> Self {
        let order: Vec<u32> = (0..positions as u32).collect();
        Self { indexes: order.clone(), order, ends: [positions; GROUPS] }
    }

    fn start(&self, group: Group) -> usize {
        (group as usize).checked_sub(1).map_or(0, |before| self.ends[before])
    }

    /// The positions of a group, in no order that means anything.
    pub(crate) fn positions(&self, group: Group) -> &[u32] {
        &self.order[self.start(group)..self.ends[group as usize]]
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.order.swap(a, b);
        for index in [a, b] {
            self.indexes[self.order[index] as usize] = index as u32;
        }
    }

    /// Moves a position from one group to another, past those between.
    pub(crate) fn shift(&mut self, position: usize, from: Group, to: Group) {
        for group in from as usize..to as usize {
            // The last of its group becomes the first of the next.
            self.ends[group] -= 1;
            self.swap(self.indexes[position] as usize, self.ends[group]);
        }
        for group in (to as usize..from as usize).rev() {
            // The first of its group becomes the last of the one before.
            self.swap(self.indexes[position] as usize, self.ends[group]);
            self.ends[group] += 1;
        }
    }

    /// The n-th position of a random order of a group. Calls with 0, 1, 2, … draw each position once.
    pub(crate) fn random(&mut self, group: Group, n: usize, rng: &mut Rand64) -> Option<usize> {
        let (first, end) = (self.start(group) + n, self.ends[group as usize]);
        let left = end.checked_sub(first).filter(|left| *left > 0)?;
        self.swap(first, first + rng.rand_range(0..left as u64) as usize);
        Some(self.order[first] as usize)
    }
}
