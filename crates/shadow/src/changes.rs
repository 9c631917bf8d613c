//! What was changed lately, by key. A read that is answered twice, before and after a change of what
//! it reads, differs with nothing wrong at either server. Written by the thread that serves live
//! requests and read by the one that compares; neither waits for the other.

use std::sync::atomic::{AtomicI64, AtomicU32, Ordering::SeqCst};

use sableloom_types::{Span, Time};

use crate::mix;

/// Slots, a power of two. Keys that share one are taken for each other: then a pair too many is left
/// out, never one compared too many. With 500 changes a second and pairs that last 0.1 s, 50 slots of
/// 16,384 are marked: 0.3% are left out for nothing. 16 bytes each.
const SLOTS: usize = 1 << 14;

#[derive(Debug)]
struct Slot {
    /// Changes that are open.
    open: AtomicU32,
    /// When the last one that has ended was surely over, in microseconds.
    last: AtomicI64,
}

impl Slot {
    fn new() -> Self {
        Self { open: AtomicU32::new(0), last: AtomicI64::new(i64::MIN) }
    }

    fn touched(&self, since: Time) -> bool {
        // In this order, as a change that ends sets its time first.
        self.open.load(SeqCst) > 0 || self.last.load(SeqCst) >= since.0
    }
}

/// Changes by key, in bounded memory.
#[derive(Debug)]
pub struct Changes {
    slots: Box<[Slot]>,
    /// Those without a key: they may concern any.
    keyless: Slot,
    /// All of them, for reads without a key.
    all: Slot,
    /// How long a change takes to be seen by every server.
    settle: Span,
}

impl Changes {
    /// No changes. One is seen by every server no later than `settle` after its end.
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

    /// A request that is not safe is taken.
    pub fn begin(&self, key: Option<u64>) {
        for slot in self.slots(key) {
            slot.open.fetch_add(1, SeqCst);
        }
    }

    /// It is over, or will be by then if that is not known.
    pub fn end(&self, key: Option<u64>, by: Time) {
        for slot in self.slots(key) {
            slot.last.fetch_max(by.plus(self.settle).0, SeqCst);
            slot.open.fetch_sub(1, SeqCst);
        }
    }

    /// Whether something that a read of this key may see has changed since then, or is changing.
    pub fn touched(&self, key: Option<u64>, since: Time) -> bool {
        match key {
            Some(_) => self.slots(key)[0].touched(since) || self.keyless.touched(since),
            None => self.all.touched(since),
        }
    }
}
