//! The context that a transport receives for one attempt, and the checks that permit each of its bytes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use sableloom_types::ServerId;
use tokio::time::Instant;

use crate::message::Message;

/// The address at which a server accepts new attempts; `None` while it is draining or gone. All attempts at a server
/// share the cell, so that a change applies to an attempt that was decided before it and has sent no byte.
pub type DispatchAddress = Rc<Cell<Option<SocketAddr>>>;

/// A connection on which the bytes of an attempt are sent.
pub trait AttemptConnection {
    /// Whether the last byte of the current request was written.
    fn fully_written(&self) -> bool;
}

/// One attempt, as it is passed to a transport.
pub struct AttemptContext {
    /// The request.
    pub message: Rc<Message>,
    /// The server.
    pub server: ServerId,
    /// The server's address when the attempt was decided.
    pub address: SocketAddr,
    /// The time after which the answer is no longer awaited.
    pub deadline: Instant,
    /// The time after which the last byte of a retry must not be written, because the server may not recognize it as
    /// a retry.
    complete_before: Option<Instant>,
    dispatch_address: DispatchAddress,
    request_finished: Rc<Cell<bool>>,
    connection: RefCell<Option<Rc<dyn AttemptConnection>>>,
}

impl AttemptContext {
    /// Returns an attempt at this server for a request that is finished once `request_finished` is true, or `None` if
    /// the server accepts no new attempts.
    pub fn new(
        message: Rc<Message>,
        server: ServerId,
        dispatch_address: &DispatchAddress,
        deadline: Instant,
        request_finished: Rc<Cell<bool>>,
    ) -> Option<Self> {
        Some(Self {
            message,
            server,
            address: dispatch_address.get()?,
            deadline,
            complete_before: None,
            dispatch_address: dispatch_address.clone(),
            request_finished,
            connection: RefCell::new(None),
        })
    }

    /// Requires the last byte of the attempt to be written before this time. This prevents a retry from arriving
    /// after the server's deduplication window and being executed a second time.
    pub fn complete_before(mut self, time: Option<Instant>) -> Self {
        self.complete_before = time;
        self
    }

    /// Whether the first byte may be sent now: the request is not finished, its client has not disconnected, and the
    /// server accepts new attempts at the address that was decided on. No other function permits the first byte. A
    /// transport must call this right before it sends that byte, whatever it waited for before.
    pub fn may_send_first_byte(&self) -> bool {
        self.is_dispatchable() && !self.message.client_is_gone()
    }

    /// Like [`may_send_first_byte`](Self::may_send_first_byte), but without the check of the client's socket, which
    /// costs a system call.
    pub fn is_dispatchable(&self) -> bool {
        self.may_send_more() && self.dispatch_address.get() == Some(self.address)
    }

    /// Whether a further byte may be sent: the request is not finished, and a retry is still within the
    /// deduplication window.
    pub fn may_send_more(&self) -> bool {
        !self.request_finished.get()
            && self.complete_before.is_none_or(|time| Instant::now() < time)
    }

    /// Sets the connection to which the request is written. Must be called before the first byte is sent.
    pub fn set_connection(&self, connection: Rc<dyn AttemptConnection>) {
        *self.connection.borrow_mut() = Some(connection);
    }

    /// Whether the request was written completely.
    pub fn fully_written(&self) -> bool {
        self.connection.borrow().as_ref().is_some_and(|connection| connection.fully_written())
    }
}
