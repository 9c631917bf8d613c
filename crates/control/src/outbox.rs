//! The queue of frames that are to be written to one connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use arrayvec::ArrayVec;
use bytes::{Buf, Bytes};
use sableloom_distribution::CloseReason;
use tokio::sync::Notify;

/// Maximum number of frames that are passed to the socket in one write.
pub(crate) const MAX_FRAMES_PER_WRITE: usize = 16;

/// The queue between the publisher and one connection. It has no bound of its own, because the publisher limits the
/// unwritten bytes of a session, responses included.
#[derive(Default)]
pub(crate) struct Outbox {
    /// The queued frames. The bytes of the first frame that are written already are removed.
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

    /// Records that the publisher has closed the session, and the reason.
    pub(crate) fn close(&self, reason: CloseReason) {
        self.close_reason.set(Some(reason));
        self.session_closed.notify_one();
    }

    /// The reason for which the publisher has closed the session; `None` while the session is open.
    pub(crate) fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get()
    }

    /// Waits until a frame is queued. It may return although the frame was written already.
    pub(crate) async fn wait_for_frame(&self) {
        self.frame_queued.notified().await;
    }

    /// Waits until the publisher closes the session.
    pub(crate) async fn wait_for_close(&self) {
        self.session_closed.notified().await;
    }

    /// The first frames of the queue, at most [`MAX_FRAMES_PER_WRITE`]. They stay queued.
    pub(crate) fn first_frames(&self) -> ArrayVec<Bytes, MAX_FRAMES_PER_WRITE> {
        self.frames.borrow().iter().take(MAX_FRAMES_PER_WRITE).cloned().collect()
    }

    /// Removes `count` bytes, which were written, from the front of the queue.
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
