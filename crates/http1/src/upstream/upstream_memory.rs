//! What the messages on a connection to a server are charged for.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll};

use sableloom_admission::MemoryRequester;
use tokio::time::Instant;

use crate::hyper_io::ReadObserver;
use crate::limits::{CONNECTION_BYTES, INITIAL_BUFFER_BYTES, head_buffer_bytes};
use crate::memory::{MemoryBudget, MemoryCharge, MemoryExhausted, charged_bytes};
use crate::reuse_guard::ReuseGuard;
use crate::tracked_stream::TrackedStream;

/// hyper's buffer for a request takes up to this many times its bytes, as it grows by doubling.
const WRITE_BUFFER_GROWTH: usize = 2;

/// The charges of one connection to a server.
pub(super) struct UpstreamMemory {
    budget: Rc<MemoryBudget>,
    /// What the connection takes, with its buffer of heads, which it keeps.
    read_buffer: RefCell<MemoryCharge>,
    /// The buffer of requests, which the connection keeps.
    write_buffer: RefCell<MemoryCharge>,
    /// The largest request that was written, in bytes.
    largest_request: Cell<usize>,
    /// The bytes of the head that is being read; `None` while none is expected.
    head_bytes: Cell<Option<usize>>,
}

impl UpstreamMemory {
    /// Charges a connection that is about to be opened.
    pub(super) async fn reserve(budget: Rc<MemoryBudget>) -> Result<Rc<Self>, MemoryExhausted> {
        let mut charge = budget.charge();
        let bytes = CONNECTION_BYTES + INITIAL_BUFFER_BYTES;
        poll_fn(|cx| budget.poll_grow(cx, &mut charge, bytes, MemoryRequester::Attempt)).await?;
        Ok(Rc::new(Self {
            read_buffer: RefCell::new(charge),
            write_buffer: RefCell::new(budget.charge()),
            budget,
            largest_request: Cell::new(0),
            head_bytes: Cell::new(None),
        }))
    }

    /// A request of this many bytes is about to be written. While it is under way its buffer is a part of the request's
    /// own charge.
    pub(super) fn begin_request(&self, bytes: usize) {
        self.largest_request.set(self.largest_request.get().max(bytes));
        self.head_bytes.set(Some(0));
    }

    /// The head of the answer was parsed.
    pub(super) fn head_complete(&self) {
        self.head_bytes.set(None);
    }

    /// The connection becomes idle: whether it may keep its buffers.
    pub(super) fn may_be_kept(&self) -> bool {
        let largest = self.largest_request.get();
        let mut write_buffer = self.write_buffer.borrow_mut();
        write_buffer.set_at_least(charged_bytes(largest) * WRITE_BUFFER_GROWTH);
        let has_large_buffers = write_buffer.bytes() > 0
            || self.read_buffer.borrow().bytes() > CONNECTION_BYTES + 2 * INITIAL_BUFFER_BYTES;
        !has_large_buffers || self.budget.allows_retained_buffers()
    }

    /// Charges a head before it needs a larger buffer. An error if there is no memory for it.
    fn poll_may_read(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(head_bytes) = self.head_bytes.get() else { return Poll::Ready(Ok(())) };
        let mut charge = self.read_buffer.borrow_mut();
        let requester = MemoryRequester::Attempt;
        let bytes = CONNECTION_BYTES + head_buffer_bytes(head_bytes);
        let polled = self.budget.poll_grow(cx, &mut charge, bytes, requester);
        polled.map_err(|_| io::ErrorKind::OutOfMemory.into())
    }
}

/// Watches what is read from a server for hyper.
pub(super) struct UpstreamReads {
    pub(super) stream: Rc<TrackedStream>,
    pub(super) guard: Rc<ReuseGuard>,
    pub(super) memory: Rc<UpstreamMemory>,
}

impl ReadObserver for UpstreamReads {
    fn poll_may_read(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.memory.poll_may_read(cx)
    }

    fn bytes_read(&self, bytes: &[u8]) {
        let head_bytes = &self.memory.head_bytes;
        head_bytes.set(head_bytes.get().map(|before| before + bytes.len()));
        if let Some(since) = self.stream.idle_since() {
            self.guard.unsolicited_bytes(Instant::now(), since.elapsed());
        }
    }
}
