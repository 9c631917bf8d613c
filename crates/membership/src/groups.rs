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
    DeadOrLeft,
    /// This process has never heard of it.
    Unknown,
    /// It is this process itself.
    Own,
}

const GROUP_COUNT: usize = 4;

impl Group {
    pub(crate) fn of(health: &Health) -> Self {
        match health {
            Health::Alive | Health::Suspect(_) => Group::Reachable,
            Health::Dead | Health::Left => Group::DeadOrLeft,
            Health::Unknown => Group::Unknown,
        }
    }
}

/// All positions in one order, one group behind the other.
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups {
    order: Vec<u32>,
    /// Where each position is in that order.
    order_indexes: Vec<u32>,
    /// Where each group ends.
    group_ends: [usize; GROUP_COUNT],
}

impl Groups {
    /// So many positions, all of the first group.
    pub(crate) fn new(positions: usize) -> Self {
        let order: Vec<u32> = (0..positions as u32).collect();
        Self { order_indexes: order.clone(), order, group_ends: [positions; GROUP_COUNT] }
    }

    fn group_start(&self, group: Group) -> usize {
        (group as usize).checked_sub(1).map_or(0, |before| self.group_ends[before])
    }

    /// The positions of a group, in no order that means anything.
    pub(crate) fn positions(&self, group: Group) -> &[u32] {
        &self.order[self.group_start(group)..self.group_ends[group as usize]]
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.order.swap(a, b);
        for index in [a, b] {
            self.order_indexes[self.order[index] as usize] = index as u32;
        }
    }

    /// Moves a position from one group to another, past those between.
    pub(crate) fn move_position(&mut self, position: usize, from: Group, to: Group) {
        for group in from as usize..to as usize {
            // The last of its group becomes the first of the next.
            self.group_ends[group] -= 1;
            self.swap(self.order_indexes[position] as usize, self.group_ends[group]);
        }
        for group in (to as usize..from as usize).rev() {
            // The first of its group becomes the last of the one before.
            self.swap(self.order_indexes[position] as usize, self.group_ends[group]);
            self.group_ends[group] += 1;
        }
    }

    /// The n-th position of a random order of a group. Calls with 0, 1, 2, … draw each position once.
    pub(crate) fn random(&mut self, group: Group, n: usize, rng: &mut Rand64) -> Option<usize> {
        let (first, end) = (self.group_start(group) + n, self.group_ends[group as usize]);
        let remaining = end.checked_sub(first).filter(|remaining| *remaining > 0)?;
        self.swap(first, first + rng.rand_range(0..remaining as u64) as usize);
        Some(self.order[first] as usize)
    }
}
