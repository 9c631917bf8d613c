//! The node's end of a connection, which can break in the middle of an answer or garble it.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The fault that is applied to written bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WriteFault {
    #[default]
    None,
    /// The connection breaks after so many more bytes.
    CutAfter(usize),
    /// Written bytes are changed, so that they are not HTTP.
    Garble,
}

/// A stream whose writes are subject to a fault.
pub(crate) struct FaultyStream<S> {
    stream: S,
    fault: Rc<Cell<WriteFault>>,
}

impl<S> FaultyStream<S> {
    pub(crate) fn new(stream: S, fault: Rc<Cell<WriteFault>>) -> Self {
        Self { stream, fault }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FaultyStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FaultyStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.fault.get() {
            WriteFault::None => Pin::new(&mut self.stream).poll_write(cx, bytes),
            WriteFault::CutAfter(0) => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            WriteFault::CutAfter(left) => {
                let part = &bytes[..bytes.len().min(left)];
                let written = Pin::new(&mut self.stream).poll_write(cx, part);
                if let Poll::Ready(Ok(n)) = written {
                    self.fault.set(WriteFault::CutAfter(left - n));
                }
                written
            }
            WriteFault::Garble => {
                // Flips the same bits in each byte: the length stays, the content does not.
                let garbled: Vec<u8> = bytes.iter().map(|b| b ^ 0x15).collect();
                Pin::new(&mut self.stream).poll_write(cx, &garbled)
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
