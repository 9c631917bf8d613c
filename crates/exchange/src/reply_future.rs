//! The wait for the final answer to a request.

use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::sync::oneshot;

use crate::message::Reply;

/// Waits for a final answer. `on_drop` is called when the wait ends, for whatever reason: without an answer by then, the
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
