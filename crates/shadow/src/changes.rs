//! Recent changes by key. If a read is answered before a change on the live side and after it at the candidate,
//! the answers differ although neither server is at fault. The serving thread writes here and the comparing
//! thread reads, without locks.

use std::sync::atomic::{AtomicI64, AtomicU32, Ordering::SeqCst};

use sableloom_types::{Span, Time};

use crate::hash::mix;

/// Number of slots, a power of two. Keys that share a slot are not distinguished: some pairs are left out of
/// the comparison needlessly, but none is compared wrongly. With 500 changes a second and pairs that last 0.1 s,
/// 50 of 16,384 slots are marked, so 0.3% are left out needlessly. 16 bytes each.
const SLOTS: usize = 1 << 14;

#[derive(Debug)]
struct Slot {
    /// Number of changes in progress.
    in_progress: AtomicU32,
    /// When the effects of the last ended change were complete, in microseconds.
    last_complete: AtomicI64,
}

impl Slot {
    fn new() -> Self {
        Self { in_progress: AtomicU32::new(0), last_complete: AtomicI64::new(i64::MIN) }
    }

    fn touched(&self, since: Time) -> bool {
        // In this order, because the end of a change stores its time first.
        self.in_progress.load(SeqCst) > 0 || self.last_complete.load(SeqCst) >= since.0
    }
}

/// Changes by key, in bounded memory.
#[derive(Debug)]
pub struct Changes {
    slots: Box<[Slot]>,
    /// Changes without a key: they may affect any key.
    keyless: Slot,
    /// All changes, for reads without a key.
    all: Slot,
    /// How long a change takes until every server sees it.
    settle: Span,
}

impl Changes {
    /// Without changes. Every server sees a change at most `settle` after its end.
    pub fn new(settle: Span) -> Self {
        let slots = (0..SLOTS).map(|_| Slot::new()).collect();
        Self { slots, keyless: Slot::new(), all: Slot::new(), settle }
    }

    fn slots(&self, key: Option<u64>) -> [&Slot; 2] {
        let own = match key {
            Some(key) => &self.slots[mix(key) as usize % SLOTS],
            None => &self.keyless,
        };
        [own, &self.all]
    }

    /// Begins a change: a request that is not idempotent was accepted.
    pub fn begin(&self, key: Option<u64>) {
        for slot in self.slots(key) {
            slot.in_progress.fetch_add(1, SeqCst);
        }
    }

    /// Ends a change, which is complete at the given time at the latest.
    pub fn end(&self, key: Option<u64>, complete_by: Time) {
        for slot in self.slots(key) {
            slot.last_complete.fetch_max(complete_by.plus(self.settle).0, SeqCst);
            slot.in_progress.fetch_sub(1, SeqCst);
        }
    }

    /// Whether anything that a read of this key may see has changed since the given time, or is changing.
    pub fn touched(&self, key: Option<u64>, since: Time) -> bool {
        match key {
            Some(_) => self.slots(key)[0].touched(since) || self.keyless.touched(since),
            None => self.all.touched(since),
        }
    }
}
