//! What the front keeps of a client connection, beside the task that serves it.

use std::cell::Cell;
use std::rc::Rc;

use sableloom_admission::ConnectionId;
use tokio::sync::Notify;

use super::client_memory::ClientMemory;
use super::length_scan::LengthScan;
use crate::tracked_stream::TrackedStream;

/// How a connection is to be closed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// Once what was written is sent.
    Graceful,
    /// At once, with what still comes being drained.
    Drain,
    /// The same, after a rejection of the request of which a part has come.
    Reject,
    /// At once, to free memory; a request of which a part has come is rejected.
    Shed,
    /// At once, to make room.
    Evict,
}

/// A client connection, shared by the front and the task that serves it.
pub(super) struct ClientHandle {
    pub(super) id: ConnectionId,
    pub(super) stream: Rc<TrackedStream>,
    pub(super) length_scan: LengthScan,
    pub(super) memory: ClientMemory,
    pub(super) close_mode: Cell<Option<CloseMode>>,
    /// Wakes the task when a close mode is set.
    pub(super) close_signal: Notify,
    /// The head of the current request is read, and there is no answer yet.
    pub(super) handling: Cell<bool>,
    /// Whether bytes were read from the connection since the head of the last request.
    pub(super) has_read: Cell<bool>,
    /// Ends the wait for the body of the current request.
    pub(super) reject_signal: Notify,
}

impl ClientHandle {
    pub(super) fn new(
        id: ConnectionId,
        stream: Rc<TrackedStream>,
        memory: ClientMemory,
    ) -> Rc<Self> {
        Rc::new(Self {
            id,
            stream,
            length_scan: LengthScan::new(),
            memory,
            close_mode: Cell::new(None),
            close_signal: Notify::new(),
            handling: Cell::new(false),
            has_read: Cell::new(false),
            reject_signal: Notify::new(),
        })
    }

    /// Asks the task to close the connection. What frees memory goes before what was asked earlier, and an eviction
    /// before all.
    pub(super) fn close(&self, mode: CloseMode) {
        let replaces = match self.close_mode.get() {
            None => true,
            Some(CloseMode::Evict) => false,
            Some(_) => matches!(mode, CloseMode::Shed | CloseMode::Evict),
        };
        if replaces {
            self.close_mode.set(Some(mode));
            self.close_signal.notify_one();
        }
    }
}
