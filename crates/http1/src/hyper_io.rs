//! hyper's side of a connection.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::tracked_stream::TrackedStream;

/// Reads and writes a [`TrackedStream`] for hyper; `on_read` gets the bytes as they come.
pub(crate) struct HyperIo<F> {
    pub(crate) stream: Rc<TrackedStream>,
    pub(crate) on_read: F,
}

impl<F: Fn(&[u8]) + Unpin> AsyncRead for HyperIo<F> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.poll_read(cx, buf, &self.on_read)
    }
}

impl<F: Fn(&[u8]) + Unpin> AsyncWrite for HyperIo<F> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream.poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.shut_down_writing();
        Poll::Ready(Ok(()))
    }
}
