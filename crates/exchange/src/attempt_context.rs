//! What a transport is given for one attempt, and the permission to send each of its bytes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use sableloom_types::ServerId;
use tokio::time::Instant;

use crate::message::Message;

/// The address at which a server accepts new attempts; `None` while it is draining or gone. All attempts at a
/// server share the cell, so that a change after an attempt was decided is seen at its first byte.
pub type DispatchAddress = Rc<Cell<Option<SocketAddr>>>;

/// A connection on which the bytes of an attempt are sent.
pub trait AttemptConnection {
    /// Whether the last byte of the current request was written.
    fn fully_written(&self) -> bool;
}

/// One attempt, as a transport is given it.
pub struct AttemptContext {
    /// The request.
    pub message: Rc<Message>,
    /// The server.
    pub server: ServerId,
    /// The server's address when the attempt was decided.
    pub address: SocketAddr,
    /// After this nobody waits for an answer.
    pub deadline: Instant,
    /// A retry whose last byte is written later than this may not be recognized as one.
    complete_before: Option<Instant>,
    dispatch_address: DispatchAddress,
    request_finished: Rc<Cell<bool>>,
    connection: RefCell<Option<Rc<dyn AttemptConnection>>>,
}

impl AttemptContext {
    /// An attempt at this server, of a request that is finished once `request_finished` says so. `None` if the
    /// server accepts nothing new.
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

    /// The same attempt, but its last byte must be written before this time. Guards against a retry that arrives
    /// after the server's deduplication window and is executed a second time.
    pub fn complete_before(mut self, time: Option<Instant>) -> Self {
        self.complete_before = time;
        self
    }

    /// Whether the first byte may be sent now: the request is not finished, its client has not disconnected, and the
    /// server accepts new attempts at the address that was decided on. This is the one place that permits the
    /// first byte. A transport asks right before that byte, whatever it waited for until then.
    pub fn may_send_first_byte(&self) -> bool {
        self.is_dispatchable() && !self.message.client_is_gone()
    }

    /// The same, but without the look at the client's socket, which costs a system call.
    pub fn is_dispatchable(&self) -> bool {
        self.may_send_more() && self.dispatch_address.get() == Some(self.address)
    }

    /// Whether a further byte may be sent: the request is not finished, and a retry is still within the
    /// deduplication window.
    pub fn may_send_more(&self) -> bool {
        !self.request_finished.get()
            && self.complete_before.is_none_or(|time| Instant::now() < time)
    }

    /// From now on the request is written to this connection. To be called before the first byte.
    pub fn set_connection(&self, connection: Rc<dyn AttemptConnection>) {
        *self.connection.borrow_mut() = Some(connection);
    }

    /// Whether the request was written completely.
    pub fn fully_written(&self) -> bool {
        self.connection.borrow().as_ref().is_some_and(|connection| connection.fully_written())
    }
}
