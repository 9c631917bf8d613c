//! The memory that messages may hold, and what each of them holds.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use sableloom_admission::{MemoryDemand, MemoryRequester};

use crate::limits::SMALL_MESSAGE_BYTES;

/// Clients' connections and requests may take this share of the memory, so that answers to requests that were executed
/// find room.
const CLIENT_SHARE: f64 = 0.85;
/// An idle connection keeps large buffers for its next message while less than this share of the memory is taken.
const RETAINED_SHARE: f64 = 0.5;
/// Connections are shed for this share of the memory at a time.
const RESERVE_SHARE: f64 = 0.03;

/// The memory that all connections of a process and their messages may hold.
pub struct MemoryBudget {
    ledger: Arc<Ledger>,
    reclaimer: RefCell<Option<Weak<dyn MemoryReclaimer>>>,
    /// What is held beside connections and messages.
    other: RefCell<MemoryCharge>,
}

/// Frees memory for messages.
pub(crate) trait MemoryReclaimer {
    /// Begins to free memory; whether what is needed will be free soon.
    fn reclaim(&self, demand: MemoryDemand, requester: MemoryRequester) -> bool;
}

/// The memory for a message can't be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryExhausted;

impl MemoryBudget {
    /// A budget of this many bytes.
    pub fn new(bytes: usize) -> Rc<Self> {
        let ledger = Ledger { limit: bytes, used: AtomicUsize::new(0), waiting: Mutex::default() };
        let ledger = Arc::new(ledger);
        let other = MemoryCharge { ledger: ledger.clone(), bytes: 0 };
        Rc::new(Self { ledger, reclaimer: RefCell::default(), other: RefCell::new(other) })
    }

    /// Sets how many bytes of the budget are held beside connections and their messages.
    pub fn set_other(&self, bytes: usize) {
        let mut other = self.other.borrow_mut();
        if bytes < other.bytes {
            drop(other.take());
        }
        other.set_at_least(bytes);
    }

    /// Sets what frees memory when it is short.
    pub(crate) fn set_reclaimer(&self, reclaimer: Weak<dyn MemoryReclaimer>) {
        *self.reclaimer.borrow_mut() = Some(reclaimer);
    }

    /// A charge of nothing yet.
    pub(crate) fn charge(&self) -> MemoryCharge {
        MemoryCharge { ledger: self.ledger.clone(), bytes: 0 }
    }

    /// Whether an idle connection may keep buffers of its messages.
    pub(crate) fn allows_retained_buffers(&self) -> bool {
        self.ledger.used() < self.ledger.share(RETAINED_SHARE)
    }

    /// Lets all that wait for memory ask again: what they wait for may not be freed.
    pub(crate) fn wake_waiting(&self) {
        self.ledger.wake_all();
    }

    /// Lets a charge grow to `bytes`. Waits while memory is about to be freed for it, which takes a turn of the
    /// connections that are shed, and fails if there is none to free.
    pub(crate) fn poll_grow(
        &self,
        cx: &Context<'_>,
        charge: &mut MemoryCharge,
        bytes: usize,
        requester: MemoryRequester,
    ) -> Poll<Result<(), MemoryExhausted>> {
        let limit = match requester {
            MemoryRequester::Attempt => self.ledger.limit,
            _ => self.ledger.share(CLIENT_SHARE),
        };
        let needed = charge.shortage(bytes, limit);
        if needed == 0 {
            charge.set_at_least(bytes);
            return Poll::Ready(Ok(()));
        }
        let reclaimer = self.reclaimer.borrow().as_ref().and_then(Weak::upgrade);
        let demand = MemoryDemand { needed, reserve: self.ledger.share(RESERVE_SHARE) };
        if bytes <= limit && reclaimer.is_some_and(|r| r.reclaim(demand, requester)) {
            self.ledger.wait(cx.waker(), bytes - charge.bytes);
            return Poll::Pending;
        }
        Poll::Ready(Err(MemoryExhausted))
    }
}

/// What is charged for a message of this many bytes: nothing for one that is part of what each connection has.
pub(crate) fn charged_bytes(message: usize) -> usize {
    if message > SMALL_MESSAGE_BYTES { message } else { 0 }
}

/// What is charged in all.
#[derive(Debug)]
struct Ledger {
    limit: usize,
    used: AtomicUsize,
    waiting: Mutex<VecDeque<Waiting>>,
}

/// Who waits for memory.
#[derive(Debug)]
struct Waiting {
    waker: Waker,
    /// The bytes that are waited for.
    bytes: usize,
}

impl Ledger {
    fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn share(&self, share: f64) -> usize {
        (self.limit as f64 * share) as usize
    }

    fn waiting(&self) -> MutexGuard<'_, VecDeque<Waiting>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes who waits; once, however often it asks.
    fn wait(&self, waker: &Waker, bytes: usize) {
        let mut waiting = self.waiting();
        match waiting.iter_mut().find(|waiting| waiting.waker.will_wake(waker)) {
            Some(waiting) => waiting.bytes = bytes,
            None => waiting.push_back(Waiting { waker: waker.clone(), bytes }),
        }
    }

    /// Wakes the one that has waited longest, which may find others to shed, and of those behind it all for whom there is
    /// memory.
    fn wake_some(&self) {
        let mut free = self.share(CLIENT_SHARE).saturating_sub(self.used());
        let mut waiting = self.waiting();
        let Some(first) = waiting.pop_front() else { return };
        free = free.saturating_sub(first.bytes);
        first.waker.wake();
        waiting.retain(|Waiting { waker, bytes }| {
            let fits = *bytes <= free;
            if fits {
                free -= *bytes;
                waker.wake_by_ref();
            }
            !fits
        });
    }

    fn wake_all(&self) {
        let waiting = std::mem::take(&mut *self.waiting());
        waiting.into_iter().for_each(|waiting| waiting.waker.wake());
    }
}

/// The memory that a message is charged for; released when this is dropped.
#[derive(Debug)]
pub(crate) struct MemoryCharge {
    ledger: Arc<Ledger>,
    bytes: usize,
}

impl MemoryCharge {
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows to `bytes` if the memory for that is free; whether it was.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        let fits = self.shortage(bytes, self.ledger.share(CLIENT_SHARE)) == 0;
        if fits {
            self.set_at_least(bytes);
        }
        fits
    }

    /// How many bytes are missing to grow to `bytes` below this limit.
    fn shortage(&self, bytes: usize, limit: usize) -> usize {
        match bytes.saturating_sub(self.bytes) {
            0 => 0,
            more => (self.ledger.used() + more).saturating_sub(limit),
        }
    }

    /// Grows to `bytes`, also beyond the budget: for what is held already.
    pub(crate) fn set_at_least(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.bytes);
        self.ledger.used.fetch_add(more, Ordering::Relaxed);
        self.bytes += more;
    }

    /// Takes the charge out, and leaves one of nothing.
    pub(crate) fn take(&mut self) -> Self {
        let bytes = std::mem::take(&mut self.bytes);
        Self { ledger: self.ledger.clone(), bytes }
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.ledger.used.fetch_sub(self.bytes, Ordering::Relaxed);
            self.ledger.wake_some();
        }
    }
}

/// Bytes that are charged for as long as they are held.
pub(crate) struct ChargedBytes {
    pub(crate) bytes: Vec<u8>,
    pub(crate) _charge: MemoryCharge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
