//! The future of the final answer to a request.

use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::sync::oneshot;

use crate::message::Reply;

/// Waits for a final answer. `on_drop` is called when the future is dropped; if no answer was received by then, the
/// client has disconnected.
pub(crate) struct ReplyFuture<F: Fn() + Unpin> {
    receiver: oneshot::Receiver<Reply>,
    on_drop: F,
}

impl<F: Fn() + Unpin> ReplyFuture<F> {
    pub(crate) fn new(receiver: oneshot::Receiver<Reply>, on_drop: F) -> Self {
        Self { receiver, on_drop }
    }
}

impl<F: Fn() + Unpin> Future for ReplyFuture<F> {
    type Output = Reply;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Reply> {
        Pin::new(&mut self.receiver).poll(cx).map(|reply| reply.unwrap_or(Reply::Failed))
    }
}

impl<F: Fn() + Unpin> Drop for ReplyFuture<F> {
    fn drop(&mut self) {
        (self.on_drop)();
    }
}
