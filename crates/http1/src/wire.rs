//! A TCP connection as hyper drives it, with the facts about its bytes that the
//! balancer judges by: how much of a request has left, and when the last bytes moved.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::BytesMut;
use sableloom_exchange::{AttemptConnection, AttemptContext, Client};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, Sleep, sleep};

/// The largest body, of a request or an answer, in bytes.
pub const BODY_MAX: usize = 64 << 10;
/// The largest head, and what is buffered of one connection at most, in bytes.
pub const HEAD_MAX: usize = 32 << 10;
/// Most bytes that are taken in on a connection after its end was told.
const DRAIN_MAX: usize = 256 << 10;
/// Most bytes behind a request that are taken in to see whether its client has left.
const AHEAD_MAX: usize = 16 << 10;

/// What is known of one connection, shared by hyper's side and ours.
pub(crate) struct Wire {
    stream: TcpStream,
    /// When bytes last came.
    pub(crate) read_at: Cell<Instant>,
    /// When bytes last left.
    pub(crate) wrote_at: Cell<Instant>,
    /// The peer does not take what is written.
    pub(crate) blocked: Cell<bool>,
    /// Since when it has not taken all that there was to write.
    owes: Cell<Option<Instant>>,
    /// Bytes of the present request that have not left yet.
    left: Cell<u64>,
    /// The attempt whose request is written. Not held, as it holds the wire.
    call: RefCell<Option<Weak<AttemptContext>>>,
    /// A byte of it has left.
    begun: Cell<bool>,
    /// Bytes have come since the present request began.
    heard: Cell<bool>,
    /// Since when no request is under way on it, once there was one.
    rests: Cell<Option<Instant>>,
    /// What came behind the present request and is not read yet.
    ahead: RefCell<BytesMut>,
    /// Keeps the last byte of the present request back for this long.
    hold: RefCell<Option<Hold>>,
    /// Its descriptor's place in the fixed split; freed once the socket is closed.
    _slot: Option<OwnedSemaphorePermit>,
}

enum Hold {
    For(Duration),
    Until(Pin<Box<Sleep>>),
}

impl Wire {
    pub(crate) fn new(stream: TcpStream, slot: Option<OwnedSemaphorePermit>) -> Rc<Self> {
        // A request or answer goes out in one piece or waits for nothing: Nagle only delays.
        let _ = stream.set_nodelay(true);
        let now = Instant::now();
        Rc::new(Self {
            stream,
            read_at: Cell::new(now),
            wrote_at: Cell::new(now),
            blocked: Cell::new(false),
            owes: Cell::new(None),
            left: Cell::new(0),
            call: RefCell::new(None),
            begun: Cell::new(false),
            heard: Cell::new(false),
            rests: Cell::new(None),
            ahead: RefCell::default(),
            hold: RefCell::new(None),
            _slot: slot,
        })
    }

    /// A request of this many bytes is about to be written. With `hold`, its last byte is kept
    /// back for so long: a rested connection that the peer ends or resets at the first byte breaks
    /// before the request is whole, so that it provably never ran. What `call` says is asked at the first
    /// byte and at each further one: hyper writes in turns of its own, which may come before the attempt
    /// hears that it is over, or that its server leaves.
    pub(crate) fn begin(
        &self,
        bytes: u64,
        hold: Option<Duration>,
        call: Option<&Rc<AttemptContext>>,
    ) {
        self.left.set(bytes);
        self.begun.set(false);
        self.heard.set(false);
        self.rests.set(None);
        *self.call.borrow_mut() = call.map(Rc::downgrade);
        *self.hold.borrow_mut() = hold.map(Hold::For);
    }

    /// Whether all of the present request but its last byte has left, and that one is kept back.
    pub(crate) fn keeps_last_byte(&self) -> bool {
        self.left.get() == 1 && self.hold.borrow().is_some()
    }

    /// Its request has its answer.
    pub(crate) fn rest(&self) {
        self.rests.set(Some(Instant::now()));
    }

    /// Since when no request is under way on it, if one was.
    pub(crate) fn rests_since(&self) -> Option<Instant> {
        self.rests.get()
    }

    /// Whether a byte of the present request has left.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun.get()
    }

    /// Whether more of the present request may leave.
    fn may_write(&self) -> bool {
        let call = self.call.borrow();
        let Some(call) = call.as_ref().filter(|_| self.left.get() > 0) else { return true };
        let may = |call: Rc<AttemptContext>| match self.begun.get() {
            true => call.may_send_more(),
            false => call.may_send_first_byte(),
        };
        // One that nobody knows of any more is over.
        call.upgrade().is_some_and(may)
    }

    /// Whether the peer has said nothing at all on this idle connection: neither its end nor
    /// a stray byte, whatever hyper has not yet been woken for.
    pub(crate) fn is_quiet(&self) -> bool {
        matches!(self.peek(), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether bytes of the peer wait to be read.
    pub(crate) fn has_input(&self) -> bool {
        !self.ahead.borrow().is_empty() || matches!(self.peek(), Ok(n) if n > 0)
    }

    fn peek(&self) -> io::Result<usize> {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        SockRef::from(&self.stream).peek(&mut byte)
    }

    /// Whether its peer has not taken all that there was to write for so long, however often it took a part.
    pub(crate) fn owes_for(&self, time: Duration) -> bool {
        self.owes.get().is_some_and(|since| since.elapsed() > time)
    }

    /// Writes a short answer where nothing else is written.
    pub(crate) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.stream.writable().await?;
        match self.stream.try_write(bytes)? {
            n if n == bytes.len() => Ok(()),
            _ => Err(io::ErrorKind::WriteZero.into()),
        }
    }

    /// Ends both directions at once: nothing more goes out, however long the socket lives on.
    pub(crate) fn cut(&self) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Both);
    }

    /// Ends our direction and takes in what the peer still sends, for a while: closing with
    /// unread bytes would send a reset, and the reset would eat an answer on its way. A peer that
    /// goes on sending whatever it was told gets the reset: reading it all would cost the others.
    pub(crate) async fn drain(&self, at_most: Duration) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        let rest = async {
            let mut scratch = [0; 4096];
            let mut left = DRAIN_MAX;
            while left > 0 && self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut scratch) {
                    Ok(0) => return,
                    Ok(n) => {
                        left = left.saturating_sub(n);
                        tokio::task::yield_now().await;
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        let _ = tokio::time::timeout(at_most, rest).await;
    }
}

impl Client for Wire {
    /// hyper reads no further than the request that it works on, and not at all while its buffer holds
    /// bytes behind that; so the end is looked for here, past what came before it.
    fn is_gone(&self) -> bool {
        loop {
            match self.peek() {
                Ok(0) => return true,
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
                Ok(_) => {}
            }
            let mut ahead = self.ahead.borrow_mut();
            let room = AHEAD_MAX.saturating_sub(ahead.len());
            if room == 0 {
                // The system tells of an end behind any number of bytes, if not always at once.
                let ready = pin!(self.stream.ready(Interest::READABLE));
                let polled = ready.poll(&mut Context::from_waker(Waker::noop()));
                return matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed());
            }
            let mut bytes = [0; 2048];
            match self.stream.try_read(&mut bytes[..room.min(2048)]) {
                Ok(0) => return true,
                Ok(n) => {
                    self.read_at.set(Instant::now());
                    ahead.extend_from_slice(&bytes[..n]);
                }
                // The system has bytes, and the runtime has not heard of them yet.
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }
}

impl AttemptConnection for Wire {
    fn fully_written(&self) -> bool {
        self.left.get() == 0
    }
}

/// hyper's handle on a [`Wire`]; `on_read` hears of bytes as they come.
pub(crate) struct Io<F> {
    pub(crate) wire: Rc<Wire>,
    pub(crate) on_read: F,
}

impl<F: Fn(&[u8]) + Unpin> AsyncRead for Io<F> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let wire = &self.wire;
        let mut ahead = wire.ahead.borrow_mut();
        if !ahead.is_empty() {
            let n = ahead.len().min(buf.remaining());
            let bytes = ahead.split_to(n);
            if ahead.is_empty() {
                *ahead = BytesMut::new();
            }
            drop(ahead);
            buf.put_slice(&bytes);
            (self.on_read)(&bytes);
            return Poll::Ready(Ok(()));
        }
        drop(ahead);
        loop {
            ready!(wire.stream.poll_read_ready(cx))?;
            let before = buf.filled().len();
            match wire.stream.try_read_buf(buf) {
                Ok(n) => {
                    if n > 0 {
                        wire.read_at.set(Instant::now());
                        wire.heard.set(true);
                        (self.on_read)(&buf.filled()[before..]);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl<F: Fn(&[u8]) + Unpin> AsyncWrite for Io<F> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let wire = &self.wire;
        if !wire.may_write() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let mut take = buf.len();
        if let Some(hold) = &mut *wire.hold.borrow_mut() {
            let left = wire.left.get();
            if left > 1 {
                take = take.min((left - 1) as usize);
            } else {
                if let Hold::For(time) = *hold {
                    *hold = Hold::Until(Box::pin(sleep(time)));
                }
                if let Hold::Until(sleep) = hold {
                    ready!(sleep.as_mut().poll(cx));
                }
                // The end of the hold and the end of the connection may fall due in one turn, and the
                // timer be heard first. Failure: an unsafe request left whole on a connection that its
                // server had closed 3 ms before, and could not be sent again. And hyper may have read an answer
                // to the request before, in this very turn: then nothing is there any more to be seen. Failure:
                // the last byte left behind it, and it passed for the answer to this request.
                if left > 0 && (wire.heard.get() || !wire.is_quiet()) {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
                }
            }
        }
        loop {
            wire.blocked.set(true);
            if wire.stream.poll_write_ready(cx)?.is_pending() {
                wire.owes.set(wire.owes.get().or_else(|| Some(Instant::now())));
                return Poll::Pending;
            }
            match wire.stream.try_write(&buf[..take]) {
                Ok(n) => {
                    wire.blocked.set(false);
                    if n == buf.len() {
                        wire.owes.set(None);
                    }
                    wire.wrote_at.set(Instant::now());
                    wire.begun.set(true);
                    wire.left.set(wire.left.get().saturating_sub(n as u64));
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let _ = SockRef::from(&self.wire.stream).shutdown(std::net::Shutdown::Write);
        Poll::Ready(Ok(()))
    }
}

#[cfg(test)]
mod tests;
