//! A TCP connection as hyper drives it, with the facts about its bytes that the
//! balancer judges by: how much of a request has left, and when the last bytes moved.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use sableloom_exchange::Line;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, Sleep, sleep};

/// The largest body, of a request or an answer, in bytes.
pub const BODY_MAX: usize = 64 << 10;
/// The largest head, and what is buffered of one connection at most, in bytes.
pub const HEAD_MAX: usize = 32 << 10;
/// Most bytes that are taken in on a connection after its end was told.
const DRAIN_MAX: usize = 256 << 10;

/// What is known of one connection, shared by hyper's side and ours.
pub(crate) struct Wire {
    stream: TcpStream,
    /// When bytes last came.
    pub(crate) read_at: Cell<Instant>,
    /// When bytes last left.
    pub(crate) wrote_at: Cell<Instant>,
    /// The peer does not take what is written.
    pub(crate) blocked: Cell<bool>,
    /// Bytes of the present request that have not left yet.
    left: Cell<u64>,
    /// Says when the present request is over.
    over: RefCell<Option<Rc<Cell<bool>>>>,
    /// Keeps the last byte of the present request back for this long.
    hold: RefCell<Option<Hold>>,
    /// Its descriptor's place in the fixed split; freed once the socket is closed.
    _slot: OwnedSemaphorePermit,
}

enum Hold {
    For(Duration),
    Until(Pin<Box<Sleep>>),
}

impl Wire {
    pub(crate) fn new(stream: TcpStream, slot: OwnedSemaphorePermit) -> Rc<Self> {
        // A request or answer goes out in one piece or waits for nothing: Nagle only delays.
        let _ = stream.set_nodelay(true);
        let now = Instant::now();
        Rc::new(Self {
            stream,
            read_at: Cell::new(now),
            wrote_at: Cell::new(now),
            blocked: Cell::new(false),
            left: Cell::new(0),
            over: RefCell::new(None),
            hold: RefCell::new(None),
            _slot: slot,
        })
    }

    /// A request of this many bytes is about to be written. With `hold`, its last byte is kept
    /// back for so long: a rested connection that the peer resets at the first byte breaks
    /// before the request is whole, so that it provably never ran. Once `over` is set, the rest of
    /// the request stays here: hyper writes in turns of its own, which may come before the attempt
    /// hears that it is over.
    pub(crate) fn begin(&self, bytes: u64, hold: Option<Duration>, over: Option<Rc<Cell<bool>>>) {
        self.left.set(bytes);
        *self.over.borrow_mut() = over;
        *self.hold.borrow_mut() = hold.map(Hold::For);
    }

    /// Whether the peer has said nothing at all on this idle connection: neither its end nor
    /// a stray byte, whatever hyper has not yet been woken for.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether bytes of the peer wait to be read.
    pub(crate) fn has_input(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Ok(n) if n > 0)
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

impl Line for Wire {
    fn all_written(&self) -> bool {
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
        loop {
            ready!(wire.stream.poll_read_ready(cx))?;
            let before = buf.filled().len();
            match wire.stream.try_read_buf(buf) {
                Ok(n) => {
                    if n > 0 {
                        wire.read_at.set(Instant::now());
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
        let over = wire.over.borrow().as_ref().is_some_and(|over| over.get());
        if over && wire.left.get() > 0 {
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
            }
        }
        loop {
            wire.blocked.set(true);
            ready!(wire.stream.poll_write_ready(cx))?;
            match wire.stream.try_write(&buf[..take]) {
                Ok(n) => {
                    wire.blocked.set(false);
                    wire.wrote_at.set(Instant::now());
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
mod tests {
    use std::sync::Arc;

    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::sync::Semaphore;

    use super::*;

    /// A wire, hyper's handle on it, and its peer.
    async fn pair() -> (Rc<Wire>, Io<impl Fn(&[u8])>, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        let stream = TcpStream::connect(at).await.expect("a connection");
        let (peer, _) = listener.accept().await.expect("a peer");
        let slot = Arc::new(Semaphore::new(1)).try_acquire_owned().expect("a slot");
        let wire = Wire::new(stream, slot);
        (wire.clone(), Io { wire, on_read: |_: &[u8]| {} }, peer)
    }

    async fn all_that_came(mut peer: TcpStream) -> Vec<u8> {
        let mut came = Vec::new();
        peer.read_to_end(&mut came).await.expect("an end without a reset");
        came
    }

    #[tokio::test(flavor = "current_thread")]
    async fn nothing_more_of_a_request_leaves_once_it_is_over() {
        let (wire, mut io, peer) = pair().await;
        let over = Rc::new(Cell::new(false));
        wire.begin(10, None, Some(over.clone()));
        io.write_all(b"12345").await.expect("the first half leaves");
        over.set(true);
        let refused = io.write_all(b"67890").await.expect_err("the second half stays");
        assert_eq!(refused.kind(), io::ErrorKind::ConnectionAborted);
        assert!(!wire.all_written());
        wire.cut();
        assert_eq!(all_that_came(peer).await, b"12345");
    }

    #[tokio::test(flavor = "current_thread")]
    async fn the_last_byte_is_kept_back_and_not_sent_if_the_request_is_over_by_then() {
        let (wire, mut io, peer) = pair().await;
        let over = Rc::new(Cell::new(false));
        wire.begin(5, Some(Duration::from_millis(1)), Some(over.clone()));
        let n = io.write(b"12345").await.expect("all but the last leave");
        assert_eq!(n, 4);
        over.set(true);
        io.write_all(b"5").await.expect_err("the last stays");
        wire.cut();
        assert_eq!(all_that_came(peer).await, b"1234");
    }

    #[tokio::test(flavor = "current_thread")]
    async fn what_is_over_once_it_has_left_whole_is_no_error() {
        let (wire, mut io, peer) = pair().await;
        let over = Rc::new(Cell::new(false));
        wire.begin(5, Some(Duration::from_millis(1)), Some(over.clone()));
        io.write_all(b"12345").await.expect("it leaves");
        assert!(wire.all_written());
        over.set(true);
        io.write_all(b"").await.expect("nothing is left to refuse");
        wire.cut();
        assert_eq!(all_that_came(peer).await, b"12345");
    }
}
