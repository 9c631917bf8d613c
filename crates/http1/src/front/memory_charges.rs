//! Charges the connections of a front and their messages, and sheds connections where memory is short.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll};

use sableloom_admission::{MemoryDecision, MemoryDemand, MemoryRequester};

use super::client_handle::{ClientHandle, CloseMode};
use super::client_memory::ClientMemory;
use super::context::FrontContext;
use crate::hyper_io::ReadObserver;
use crate::limits::{CONNECTION_BYTES, INITIAL_BUFFER_BYTES, head_buffer_bytes};
use crate::memory::{MemoryCharge, MemoryExhausted, MemoryReclaimer, charged_bytes};

/// hyper's buffer for an answer takes up to this many times its bytes, as it grows by doubling.
const WRITE_BUFFER_GROWTH: usize = 2;

impl FrontContext {
    /// Charges a new connection. Fails if it has to be rejected.
    pub(super) async fn charge_connection(
        &self,
        client: &ClientHandle,
    ) -> Result<(), MemoryExhausted> {
        let requester = MemoryRequester::Connection(client.id);
        let ClientMemory { connection, read_buffer, .. } = &client.memory;
        for (charge, bytes) in [(connection, CONNECTION_BYTES), (read_buffer, INITIAL_BUFFER_BYTES)]
        {
            poll_fn(|cx| self.poll_charge(cx, client, charge, bytes, requester)).await?;
        }
        Ok(())
    }

    /// Charges the current request of a client for this many bytes in all, once the memory for them is free. Fails if
    /// the request has to be rejected.
    pub(super) async fn charge_request(
        &self,
        client: &ClientHandle,
        bytes: usize,
        requester: MemoryRequester,
    ) -> Result<(), MemoryExhausted> {
        let request = &client.memory.request;
        poll_fn(|cx| self.poll_charge(cx, client, request, bytes, requester)).await
    }

    fn poll_charge(
        &self,
        cx: &Context<'_>,
        client: &ClientHandle,
        charge: &RefCell<MemoryCharge>,
        bytes: usize,
        requester: MemoryRequester,
    ) -> Poll<Result<(), MemoryExhausted>> {
        let polled = self.memory.poll_grow(cx, &mut charge.borrow_mut(), bytes, requester);
        match polled {
            Poll::Ready(Ok(())) => self.memory_changed(client),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => client.stream.defer_reads(),
        }
        polled
    }

    /// Charges the buffer of an answer, which is written whatever else holds memory. Whether its connection may keep
    /// the buffer.
    pub(super) fn charge_answer(&self, client: &ClientHandle, answer: usize) -> bool {
        let bytes = charged_bytes(answer) * WRITE_BUFFER_GROWTH;
        client.memory.write_buffer.borrow_mut().set_at_least(bytes);
        self.memory_changed(client);
        !client.memory.has_large_buffers() || self.memory.allows_retained_buffers()
    }

    /// The charge for the current request of a client, to go with the request.
    pub(super) fn take_request_charge(&self, client: &ClientHandle) -> MemoryCharge {
        let charge = client.memory.take_request();
        self.memory_changed(client);
        charge
    }

    /// Releases what is charged to a client whose buffers and messages are dropped.
    pub(super) fn release_memory(&self, client: &ClientHandle) {
        let memory = &client.memory;
        for charge in [&memory.read_buffer, &memory.write_buffer, &memory.request] {
            drop(charge.borrow_mut().take());
        }
        self.memory_changed(client);
    }

    fn memory_changed(&self, client: &ClientHandle) {
        let bytes = client.memory.bytes();
        if client.memory.reported.replace(bytes) == bytes {
            return;
        }
        self.notify_admission(client, |admission, now, id| {
            admission.memory_changed(now, id, bytes);
        });
    }

    /// Sheds a connection that was chosen to free its memory.
    fn shed(&self, client: &ClientHandle) {
        match client.stream.is_write_blocked() {
            true => {
                client.stream.shut_down();
                client.close(CloseMode::Evict);
            }
            false => client.close(CloseMode::Shed),
        }
    }

    /// There is a reason against closing a connection.
    pub(super) fn close_cancelled(&self, client: &ClientHandle) {
        client.close_mode.set(None);
        self.admission.borrow_mut().shed_cancelled(client.id);
        // Others may have counted on its memory.
        self.memory.wake_waiting();
    }
}

impl MemoryReclaimer for FrontContext {
    fn reclaim(&self, demand: MemoryDemand, requester: MemoryRequester) -> bool {
        let decision = self.admission.borrow_mut().make_memory_room(demand, requester);
        let MemoryDecision::Shed(ids) = decision else { return false };
        for id in ids {
            if let Some(client) = self.client(id) {
                self.shed(&client);
            }
        }
        true
    }
}

/// Watches what is read from a client for hyper.
pub(super) struct ClientReads {
    pub(super) context: Rc<FrontContext>,
    pub(super) client: Rc<ClientHandle>,
}

impl ReadObserver for ClientReads {
    /// Charges a head before it needs a larger buffer. Bodies are charged where they are read.
    fn poll_may_read(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { context, client } = self;
        let memory = &client.memory;
        let bytes = head_buffer_bytes(memory.head_bytes.get());
        if client.handling.get() || bytes <= memory.read_buffer.borrow().bytes() {
            return Poll::Ready(Ok(()));
        }
        let requester = MemoryRequester::PartialRequest(client.id);
        let charge = &memory.read_buffer;
        match context.poll_charge(cx, client, charge, bytes, requester) {
            Poll::Ready(Ok(())) => Poll::Ready(Ok(())),
            Poll::Ready(Err(MemoryExhausted)) => {
                client.close(CloseMode::Shed);
                Poll::Pending
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn bytes_read(&self, bytes: &[u8]) {
        self.client.has_read.set(true);
        let memory = &self.client.memory;
        if !self.client.handling.get() {
            memory.head_bytes.set(memory.head_bytes.get() + bytes.len());
        }
        self.context.bytes_read(&self.client, bytes);
    }
}
