//! What the messages of a client connection are charged for.

use std::cell::{Cell, RefCell};

use crate::limits::INITIAL_BUFFER_BYTES;
use crate::memory::{MemoryBudget, MemoryCharge};

/// The charges of one client connection.
pub(super) struct ClientMemory {
    /// What the connection takes until it ends.
    pub(super) connection: RefCell<MemoryCharge>,
    /// The buffer of heads, which the connection keeps.
    pub(super) read_buffer: RefCell<MemoryCharge>,
    /// The buffer of answers, which the connection keeps.
    pub(super) write_buffer: RefCell<MemoryCharge>,
    /// The current request, until it is handed over.
    pub(super) request: RefCell<MemoryCharge>,
    /// The bytes of the head that is being read.
    pub(super) head_bytes: Cell<usize>,
    /// What admission was told last that closing the connection frees, in bytes.
    pub(super) reported: Cell<usize>,
}

impl ClientMemory {
    pub(super) fn new(budget: &MemoryBudget) -> Self {
        Self {
            connection: RefCell::new(budget.charge()),
            read_buffer: RefCell::new(budget.charge()),
            write_buffer: RefCell::new(budget.charge()),
            request: RefCell::new(budget.charge()),
            head_bytes: Cell::new(0),
            reported: Cell::new(0),
        }
    }

    /// The head of a request was parsed.
    pub(super) fn head_complete(&self) {
        self.head_bytes.set(0);
    }

    /// Takes out the charge for the current request.
    pub(super) fn take_request(&self) -> MemoryCharge {
        self.request.borrow_mut().take()
    }

    /// Whether its buffers are larger than those that each connection has.
    pub(super) fn has_large_buffers(&self) -> bool {
        let read_buffer = self.read_buffer.borrow().bytes();
        read_buffer > 2 * INITIAL_BUFFER_BYTES || self.write_buffer.borrow().bytes() > 0
    }

    /// What is freed when the connection is closed.
    pub(super) fn bytes(&self) -> usize {
        let charges = [&self.read_buffer, &self.write_buffer, &self.request];
        charges.iter().map(|charge| charge.borrow().bytes()).sum()
    }
}
