//! The hashes of the change files that were applied last.

use std::collections::VecDeque;

/// Number of files whose hash is held, so that a modification of one is detected. This covers ten days at 6,200 changes
/// a day and takes half a megabyte.
pub const MAX_REMEMBERED_HASHES: usize = 65_536;

/// The hashes of the files that were applied last, in the order of their numbers; at most [`MAX_REMEMBERED_HASHES`].
#[derive(Debug, Default)]
pub(crate) struct RecentHashes {
    hashes: VecDeque<u64>,
}

impl RecentHashes {
    /// Adds the hash of the next file. Beyond [`MAX_REMEMBERED_HASHES`], the oldest hash is dropped.
    pub(crate) fn push(&mut self, hash: u64) {
        if self.hashes.len() == MAX_REMEMBERED_HASHES {
            self.hashes.pop_front();
        }
        self.hashes.push_back(hash);
    }

    /// The hash of the file with this number; `None` if the file was not applied or its hash was dropped. `next` is the
    /// number that follows that of the file added last.
    pub(crate) fn get(&self, number: u64, next: u64) -> Option<u64> {
        let distance = usize::try_from(next.checked_sub(number)?).ok()?;
        self.hashes.get(self.hashes.len().checked_sub(distance)?).copied()
    }
}
