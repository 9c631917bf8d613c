//! The descriptors for connections to servers, which all pools share.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::count_guard::CountGuard;
use crate::memory::MemoryBudget;

/// The idle connections of one pool, which can make room for others.
pub(super) trait IdleConnections {
    /// When the longest idle connection became idle.
    fn longest_idle_since(&self) -> Option<Instant>;

    /// Closes the longest idle connection; whether there was one.
    fn close_longest_idle(&self) -> bool;
}

/// The descriptors for connections to servers, of all pools together. A pool that needs one takes that of the longest
/// idle connection, whichever pool has it.
pub struct ConnectionBudget {
    descriptors: Arc<Semaphore>,
    /// How many wait for a descriptor.
    waiting: Rc<Cell<usize>>,
    pools: RefCell<Vec<Weak<dyn IdleConnections>>>,
    memory: Rc<MemoryBudget>,
}

impl ConnectionBudget {
    /// A budget of this many connections, whose messages are charged to `memory`.
    pub fn new(max_connections: usize, memory: Rc<MemoryBudget>) -> Rc<Self> {
        Rc::new(Self {
            memory,
            descriptors: Arc::new(Semaphore::new(max_connections)),
            waiting: Rc::default(),
            pools: RefCell::default(),
        })
    }

    /// What the messages on these connections are charged to.
    pub(super) fn memory(&self) -> &Rc<MemoryBudget> {
        &self.memory
    }

    /// Adds a pool whose idle connections can make room.
    pub(super) fn register(&self, pool: Weak<dyn IdleConnections>) {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|pool| pool.strong_count() > 0);
        pools.push(pool);
    }

    /// Whether a pool waits for a descriptor.
    pub(super) fn is_short(&self) -> bool {
        self.waiting.get() > 0
    }

    /// A descriptor for one more connection. It waits for one while none is free or idle.
    pub(super) async fn descriptor(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.descriptors.clone().try_acquire_owned() {
            return Some(permit);
        }
        self.close_longest_idle();
        // Where no connection is idle, the next one to become idle is closed instead. Failure: pools that had begun to
        // wait while all connections were busy waited on beside idle ones, until their connect timeout.
        let _waiting = CountGuard::new(&self.waiting);
        self.descriptors.clone().acquire_owned().await.ok()
    }

    /// Closes the connection that has been idle longest; whether there was one.
    fn close_longest_idle(&self) -> bool {
        let pools: Vec<_> = self.pools.borrow().iter().filter_map(Weak::upgrade).collect();
        let since = pools.iter().filter_map(|pool| Some((pool.longest_idle_since()?, pool)));
        since.min_by_key(|(since, _)| *since).is_some_and(|(_, pool)| pool.close_longest_idle())
    }

    /// Reserves this many descriptors for as long as the permit lives; idle connections make room. `None`, and nothing
    /// is reserved, if too many carry requests.
    pub fn reserve(&self, descriptors: usize) -> Option<OwnedSemaphorePermit> {
        let wanted = u32::try_from(descriptors).ok()?;
        loop {
            if let Ok(permit) = self.descriptors.clone().try_acquire_many_owned(wanted) {
                return Some(permit);
            }
            if !self.close_longest_idle() {
                return None;
            }
        }
    }
}
