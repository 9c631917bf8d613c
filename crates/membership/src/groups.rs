//! The positions of a member table, grouped by the states of their members. Moving a position, counting a group and
//! drawing from it at random take the same time for a table of any size.

use oorandom::Rand64;

use crate::peer::Health;

/// The group to which a member belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Group {
    /// The member is reachable, suspected or not.
    Reachable,
    /// The member is dead or has left.
    DeadOrLeft,
    /// Nothing is known of the member yet.
    Unknown,
    /// The member is this process itself.
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

/// The positions of all members of a table, those of the same group next to each other.
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups {
    /// The positions, by group in the order of [`Group`], and unordered within a group.
    order: Vec<u32>,
    /// The index of each position in `order`.
    order_indexes: Vec<u32>,
    /// The index in `order` at which each group ends.
    group_ends: [usize; GROUP_COUNT],
}

impl Groups {
    /// Creates the groups of `positions` positions, all of them in [`Group::Reachable`].
    pub(crate) fn new(positions: usize) -> Self {
        let order: Vec<u32> = (0..positions as u32).collect();
        Self { order_indexes: order.clone(), order, group_ends: [positions; GROUP_COUNT] }
    }

    fn group_start(&self, group: Group) -> usize {
        (group as usize).checked_sub(1).map_or(0, |before| self.group_ends[before])
    }

    /// Returns the positions of a group in unspecified order.
    pub(crate) fn positions(&self, group: Group) -> &[u32] {
        &self.order[self.group_start(group)..self.group_ends[group as usize]]
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.order.swap(a, b);
        for index in [a, b] {
            self.order_indexes[self.order[index] as usize] = index as u32;
        }
    }

    /// Moves a position from one group to another, through the groups between them.
    pub(crate) fn move_position(&mut self, position: usize, from: Group, to: Group) {
        for group in from as usize..to as usize {
            // The position becomes the last of its group, and then the first of the next group.
            self.group_ends[group] -= 1;
            self.swap(self.order_indexes[position] as usize, self.group_ends[group]);
        }
        for group in (to as usize..from as usize).rev() {
            // The position becomes the first of its group, and then the last of the group before.
            self.swap(self.order_indexes[position] as usize, self.group_ends[group]);
            self.group_ends[group] += 1;
        }
    }

    /// Returns the `n`-th position of a random order of a group, or `None` if the group has no more. Calls with 0, 1,
    /// 2, … draw each position once.
    pub(crate) fn random(&mut self, group: Group, n: usize, rng: &mut Rand64) -> Option<usize> {
        let (first, end) = (self.group_start(group) + n, self.group_ends[group as usize]);
        let remaining = end.checked_sub(first).filter(|remaining| *remaining > 0)?;
        self.swap(first, first + rng.rand_range(0..remaining as u64) as usize);
        Some(self.order[first] as usize)
    }
}
