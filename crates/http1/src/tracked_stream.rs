//! A TCP connection with the facts about its bytes by which the balancer judges: how much of a request was written, and
//! what the peer has sent or accepted.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::Shutdown;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::BytesMut;
use sableloom_exchange::{AttemptConnection, AttemptContext, Client};
use socket2::SockRef;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout};

use crate::limits::MAX_READ_BYTES;
use crate::memory::MemoryCharge;
use crate::request_progress::RequestProgress;

/// The most bytes that are read from a connection after its end was announced.
const MAX_DRAIN_BYTES: usize = 256 << 10;
/// The most bytes behind a request that are read to see whether its client has disconnected.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;

/// A TCP connection, shared by hyper's side ([`HyperIo`](crate::hyper_io::HyperIo)) and ours.
pub(crate) struct TrackedStream {
    tcp: TcpStream,
    last_read_at: Cell<Instant>,
    /// Since when bytes may have waited in the system because there was no memory for them.
    reads_deferred_since: Cell<Option<Instant>>,
    /// Whether the peer accepts none of what is written.
    write_blocked: Cell<bool>,
    /// Since when the peer has not accepted all that there was to write.
    output_pending_since: Cell<Option<Instant>>,
    request: RequestProgress,
    /// Since when no request is under way, once there was one.
    idle_since: Cell<Option<Instant>>,
    /// Bytes behind the current request that hyper has not read yet.
    read_ahead: RefCell<BytesMut>,
    /// The charge for these bytes; without one they are not bounded by a budget.
    read_ahead_charge: RefCell<Option<MemoryCharge>>,
    /// The permit for the descriptor; released once the socket is closed.
    _descriptor: Option<OwnedSemaphorePermit>,
}

impl TrackedStream {
    pub(crate) fn new(tcp: TcpStream, descriptor: Option<OwnedSemaphorePermit>) -> Rc<Self> {
        // A request or an answer is written at once or waits for nothing: Nagle's algorithm would only delay it.
        let _ = tcp.set_nodelay(true);
        Rc::new(Self {
            tcp,
            last_read_at: Cell::new(Instant::now()),
            reads_deferred_since: Cell::new(None),
            write_blocked: Cell::new(false),
            output_pending_since: Cell::new(None),
            request: RequestProgress::default(),
            idle_since: Cell::new(None),
            read_ahead: RefCell::default(),
            read_ahead_charge: RefCell::default(),
            _descriptor: descriptor,
        })
    }

    /// Charges the bytes that are read ahead of hyper.
    pub(crate) fn charge_read_ahead(&self, charge: MemoryCharge) {
        *self.read_ahead_charge.borrow_mut() = Some(charge);
    }

    /// A request of this many bytes is about to be written. With `last_byte_hold`, its last byte is held back for this
    /// time: an idle connection that the peer closes or resets at the first byte breaks before the request is complete,
    /// so that it provably was not executed. `context` is asked before the first byte and before each further one:
    /// hyper writes in turns of its own, which may come before the attempt learns that its request is finished, or that
    /// its server is draining.
    pub(crate) fn begin_request(
        &self,
        bytes: u64,
        last_byte_hold: Option<Duration>,
        context: Option<&Rc<AttemptContext>>,
    ) {
        self.idle_since.set(None);
        self.request.begin(bytes, last_byte_hold, context);
    }

    pub(crate) fn request(&self) -> &RequestProgress {
        &self.request
    }

    /// The current request has its answer.
    pub(crate) fn set_idle(&self) {
        self.idle_since.set(Some(Instant::now()));
    }

    /// Since when no request is under way, if there was one.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        self.idle_since.get()
    }

    /// When the last bytes that were read had arrived: when they were read, or the earliest time at which they may have
    /// waited for memory.
    pub(crate) fn last_read_at(&self) -> Instant {
        self.last_read_at.get()
    }

    /// Nothing is read now, as there is no memory for it.
    pub(crate) fn defer_reads(&self) {
        let since = self.reads_deferred_since.get().unwrap_or_else(Instant::now);
        self.reads_deferred_since.set(Some(since));
    }

    /// What arrives from now on waits for no memory.
    pub(crate) fn end_deferral(&self) {
        self.reads_deferred_since.set(None);
    }

    /// Whether the peer accepts none of what is written.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Whether the peer has not accepted all that there was to write for longer than this, however often it accepted a
    /// part.
    pub(crate) fn has_output_pending_for(&self, time: Duration) -> bool {
        self.output_pending_since.get().is_some_and(|since| since.elapsed() > time)
    }

    /// Whether the peer has neither closed this idle connection nor sent anything, as far as the system knows: hyper
    /// may not have been woken yet.
    pub(crate) fn is_quiet(&self) -> bool {
        matches!(self.peek(), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether bytes of the peer wait to be read.
    pub(crate) fn has_input(&self) -> bool {
        !self.read_ahead.borrow().is_empty() || matches!(self.peek(), Ok(n) if n > 0)
    }

    fn peek(&self) -> io::Result<usize> {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        SockRef::from(&self.tcp).peek(&mut byte)
    }

    /// Writes a short answer where nothing else is written.
    pub(crate) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.tcp.writable().await?;
        match self.tcp.try_write(bytes)? {
            n if n == bytes.len() => Ok(()),
            _ => Err(io::ErrorKind::WriteZero.into()),
        }
    }

    /// Shuts both directions at once: nothing more is sent, however long the socket lives on.
    pub(crate) fn shut_down(&self) {
        let _ = SockRef::from(&self.tcp).shutdown(Shutdown::Both);
    }

    /// Shuts the writing direction.
    pub(crate) fn shut_down_writing(&self) {
        let _ = SockRef::from(&self.tcp).shutdown(Shutdown::Write);
    }

    /// Shuts the writing direction and reads what the peer still sends, for a while: closing with unread bytes would
    /// send a reset, and the reset would discard an answer on its way. A peer that goes on sending whatever it was
    /// answered gets the reset: reading it all would cost the others.
    pub(crate) async fn drain(&self, max_time: Duration) {
        self.shut_down_writing();
        let _ = timeout(max_time, self.read_to_end()).await;
    }

    async fn read_to_end(&self) {
        let mut left = MAX_DRAIN_BYTES;
        while left > 0 && self.tcp.readable().await.is_ok() {
            match self.discard_some() {
                Ok(0) => return,
                Ok(n) => {
                    left = left.saturating_sub(n);
                    tokio::task::yield_now().await;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Reads some bytes and drops them. Its buffer is not part of the tasks that wait for more.
    fn discard_some(&self) -> io::Result<usize> {
        self.tcp.try_read(&mut [0; MAX_READ_BYTES])
    }

    /// Reads for hyper: first what was read ahead. `on_read` gets the bytes.
    pub(crate) fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        on_read: impl Fn(&[u8]),
    ) -> Poll<io::Result<()>> {
        if let Some(bytes) = self.take_read_ahead(buf.remaining()) {
            buf.put_slice(&bytes);
            on_read(&bytes);
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(self.tcp.poll_read_ready(cx))?;
            let mut bytes = [0; MAX_READ_BYTES];
            let length = buf.remaining().min(MAX_READ_BYTES);
            match self.tcp.try_read(&mut bytes[..length]) {
                Ok(n) => {
                    if n > 0 {
                        buf.put_slice(&bytes[..n]);
                        let arrived = self.reads_deferred_since.get().unwrap_or_else(Instant::now);
                        self.last_read_at.set(arrived);
                        self.request.bytes_read();
                        on_read(&bytes[..n]);
                    }
                    return Poll::Ready(Ok(()));
                }
                // All that had waited was read.
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.end_deferral(),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn take_read_ahead(&self, max: usize) -> Option<BytesMut> {
        let mut read_ahead = self.read_ahead.borrow_mut();
        if read_ahead.is_empty() {
            return None;
        }
        let length = read_ahead.len().min(max);
        let bytes = read_ahead.split_to(length);
        if read_ahead.is_empty() {
            // Its buffer is released.
            *read_ahead = BytesMut::new();
            self.read_ahead_charge.borrow_mut().as_mut().map(MemoryCharge::take);
        }
        Some(bytes)
    }

    /// Writes for hyper as much as may be written now.
    pub(crate) fn poll_write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let length = ready!(self.request.poll_writable(cx, buf.len(), || self.is_quiet()))?;
        loop {
            self.write_blocked.set(true);
            if self.tcp.poll_write_ready(cx)?.is_pending() {
                let since = self.output_pending_since.get().or_else(|| Some(Instant::now()));
                self.output_pending_since.set(since);
                return Poll::Pending;
            }
            match self.tcp.try_write(&buf[..length]) {
                Ok(n) => {
                    self.write_blocked.set(false);
                    if n == buf.len() {
                        self.output_pending_since.set(None);
                    }
                    self.request.bytes_written(n);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Client for TrackedStream {
    /// hyper reads no further than the request that it handles, and not at all while its buffer holds bytes behind
    /// that; so the end is looked for here, past the bytes before it.
    fn is_gone(&self) -> bool {
        loop {
            match self.peek() {
                Ok(0) => return true,
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
                Ok(_) => {}
            }
            let mut read_ahead = self.read_ahead.borrow_mut();
            let room = MAX_READ_AHEAD_BYTES.saturating_sub(read_ahead.len());
            let mut charge = self.read_ahead_charge.borrow_mut();
            let charged = charge.as_mut().is_none_or(|charge| charge.try_grow(read_ahead.len()));
            if room == 0 || !charged {
                // The system reports an end behind any number of bytes, if not always at once.
                let ready = pin!(self.tcp.ready(Interest::READABLE));
                let polled = ready.poll(&mut Context::from_waker(Waker::noop()));
                return matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed());
            }
            let mut bytes = [0; 2048];
            match self.tcp.try_read(&mut bytes[..room.min(2048)]) {
                Ok(0) => return true,
                Ok(n) => {
                    self.last_read_at.set(Instant::now());
                    read_ahead.extend_from_slice(&bytes[..n]);
                }
                // The system has bytes, and the runtime was not notified of them yet.
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }
}

impl AttemptConnection for TrackedStream {
    fn fully_written(&self) -> bool {
        self.request.fully_written()
    }
}

#[cfg(test)]
mod tests;
