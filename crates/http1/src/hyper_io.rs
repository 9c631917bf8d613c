//! hyper's side of a connection.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::tracked_stream::TrackedStream;

/// Is asked before bytes are read for hyper, and gets them as they come.
pub(crate) trait ReadObserver {
    /// Whether more may be read now.
    fn poll_may_read(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// These bytes were read.
    fn bytes_read(&self, bytes: &[u8]);
}

impl<F: Fn(&[u8])> ReadObserver for F {
    fn bytes_read(&self, bytes: &[u8]) {
        self(bytes);
    }
}

/// Reads and writes a [`TrackedStream`] for hyper.
pub(crate) struct HyperIo<O> {
    pub(crate) stream: Rc<TrackedStream>,
    pub(crate) observer: O,
}

impl<O: ReadObserver + Unpin> AsyncRead for HyperIo<O> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.observer.poll_may_read(cx))?;
        self.stream.poll_read(cx, buf, |bytes| self.observer.bytes_read(bytes))
    }
}

impl<O: ReadObserver + Unpin> AsyncWrite for HyperIo<O> {
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
