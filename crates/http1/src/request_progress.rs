//! How much of the current request of a connection was written, and how much may be written now.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use sableloom_exchange::AttemptContext;
use tokio::time::{Sleep, sleep};

/// The request that is being written to a connection.
#[derive(Default)]
pub(crate) struct RequestProgress {
    /// The bytes of the request that are not written yet.
    unwritten: Cell<u64>,
    /// The attempt that is written. A weak reference, as the attempt holds the connection.
    context: RefCell<Option<Weak<AttemptContext>>>,
    /// Whether a byte of the request was written.
    started: Cell<bool>,
    /// Whether bytes were read since the request began.
    answer_started: Cell<bool>,
    last_byte_hold: RefCell<Option<LastByteHold>>,
}

/// Holds the last byte of a request back: for a time from when all other bytes are written.
enum LastByteHold {
    For(Duration),
    Until(Pin<Box<Sleep>>),
}

impl LastByteHold {
    fn poll_elapsed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Self::For(time) = *self {
            *self = Self::Until(Box::pin(sleep(time)));
        }
        match self {
            Self::Until(sleep) => sleep.as_mut().poll(cx),
            Self::For(_) => Poll::Ready(()),
        }
    }
}

impl RequestProgress {
    /// A request of this many bytes is about to be written.
    pub(crate) fn begin(
        &self,
        bytes: u64,
        last_byte_hold: Option<Duration>,
        context: Option<&Rc<AttemptContext>>,
    ) {
        self.unwritten.set(bytes);
        self.started.set(false);
        self.answer_started.set(false);
        *self.context.borrow_mut() = context.map(Rc::downgrade);
        *self.last_byte_hold.borrow_mut() = last_byte_hold.map(LastByteHold::For);
    }

    pub(crate) fn fully_written(&self) -> bool {
        self.unwritten.get() == 0
    }

    /// Whether a byte of the request was written.
    pub(crate) fn has_started(&self) -> bool {
        self.started.get()
    }

    /// Whether all of the request but its last byte was written, and that one is held back.
    pub(crate) fn holds_last_byte(&self) -> bool {
        self.unwritten.get() == 1 && self.last_byte_hold.borrow().is_some()
    }

    pub(crate) fn bytes_read(&self) {
        self.answer_started.set(true);
    }

    pub(crate) fn bytes_written(&self, bytes: usize) {
        self.started.set(true);
        self.unwritten.set(self.unwritten.get().saturating_sub(bytes as u64));
    }

    /// How many of `length` bytes may be written now; an error if no byte of the request may be written any more.
    /// `is_quiet` says that the peer has neither sent anything nor closed the connection.
    pub(crate) fn poll_writable(
        &self,
        cx: &mut Context<'_>,
        length: usize,
        is_quiet: impl Fn() -> bool,
    ) -> Poll<io::Result<usize>> {
        if !self.may_write() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let mut hold = self.last_byte_hold.borrow_mut();
        let Some(hold) = &mut *hold else { return Poll::Ready(Ok(length)) };
        let unwritten = self.unwritten.get();
        if unwritten > 1 {
            return Poll::Ready(Ok(length.min((unwritten - 1) as usize)));
        }
        ready!(hold.poll_elapsed(cx));
        // The hold and the connection may end in one turn, and the timer be polled first. Failure: a request that is not
        // idempotent was written completely to a connection that its server had closed 3 ms before, and could not be
        // forwarded again. And hyper may have read an answer to the request before in this very turn, so that the socket
        // is quiet. Failure: the last byte was written behind it, and it passed for the answer to this request.
        if unwritten > 0 && (self.answer_started.get() || !is_quiet()) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Poll::Ready(Ok(length))
    }

    /// Whether more of the request may be written.
    fn may_write(&self) -> bool {
        let context = self.context.borrow();
        let Some(context) = context.as_ref().filter(|_| !self.fully_written()) else { return true };
        // An attempt that is dropped has ended.
        context.upgrade().is_some_and(|context| match self.started.get() {
            true => context.may_send_more(),
            false => context.may_send_first_byte(),
        })
    }
}
