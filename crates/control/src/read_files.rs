//! The hashes of the change files that were applied last.

use std::collections::VecDeque;

/// Files whose hash is remembered, so that an altered one is noticed: ten days at 6,200 changes a day, half a
/// megabyte.
pub const MAX_REMEMBERED_HASHES: usize = 65_536;

/// Hashes of the last files in the order of their numbers.
#[derive(Debug, Default)]
pub(crate) struct ReadFiles {
    hashes: VecDeque<u64>,
}

impl ReadFiles {
    /// Adds the hash of the next file, and forgets the oldest one beyond the bound.
    pub(crate) fn push(&mut self, hash: u64) {
        if self.hashes.len() == MAX_REMEMBERED_HASHES {
            self.hashes.pop_front();
        }
        self.hashes.push_back(hash);
    }

    /// The hash of a file that was read, if it is still remembered. `next` is the number of the file that is to be read
    /// next.
    pub(crate) fn get(&self, number: u64, next: u64) -> Option<u64> {
        let distance = usize::try_from(next.checked_sub(number)?).ok()?;
        self.hashes.get(self.hashes.len().checked_sub(distance)?).copied()
    }
}
