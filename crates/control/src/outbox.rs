//! Frames that wait to be written to one connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use arrayvec::ArrayVec;
use bytes::{Buf, Bytes};
use sableloom_distribution::CloseReason;
use tokio::sync::Notify;

/// Frames handed to the socket at once.
pub(crate) const MAX_FRAMES_PER_WRITE: usize = 16;

/// The queue between the publisher and one connection. It has no bound of its own: the publisher hands out no more than
/// its bound of unwritten bytes, answers included.
#[derive(Default)]
pub(crate) struct Outbox {
    /// The first frame without the bytes of it that are written.
    frames: RefCell<VecDeque<Bytes>>,
    close_reason: Cell<Option<CloseReason>>,
    frame_queued: Notify,
    session_closed: Notify,
}

impl Outbox {
    /// Queues a frame.
    pub(crate) fn push(&self, frame: Vec<u8>) {
        self.frames.borrow_mut().push_back(frame.into());
        self.frame_queued.notify_one();
    }

    /// The publisher has closed the session.
    pub(crate) fn close(&self, reason: CloseReason) {
        self.close_reason.set(Some(reason));
        self.session_closed.notify_one();
    }

    /// Why the publisher has closed the session, if it has.
    pub(crate) fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get()
    }

    /// Waits until a frame is queued.
    pub(crate) async fn wait_for_frame(&self) {
        self.frame_queued.notified().await;
    }

    /// Waits until the publisher closes the session.
    pub(crate) async fn wait_for_close(&self) {
        self.session_closed.notified().await;
    }

    /// The first frames, at most as many as one write takes.
    pub(crate) fn first_frames(&self) -> ArrayVec<Bytes, MAX_FRAMES_PER_WRITE> {
        self.frames.borrow().iter().take(MAX_FRAMES_PER_WRITE).cloned().collect()
    }

    /// Removes bytes that have been written.
    pub(crate) fn remove_written(&self, mut count: usize) {
        let mut frames = self.frames.borrow_mut();
        while let Some(first) = frames.front_mut() {
            let written = count.min(first.len());
            first.advance(written);
            count -= written;
            if !first.is_empty() {
                break;
            }
            frames.pop_front();
        }
    }
}
