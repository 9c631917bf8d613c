//! The node's end of a connection, which can break off in the midst of an answer or spoil it.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What is done to the bytes that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Valve {
    #[default]
    Open,
    /// So many bytes more, then the connection breaks.
    Cut(usize),
    /// The next bytes are no HTTP.
    Spoil,
}

/// An end of a connection with its valve.
pub(crate) struct Valved<S> {
    stream: S,
    valve: Rc<Cell<Valve>>,
}

impl<S> Valved<S> {
    pub(crate) fn new(stream: S, valve: Rc<Cell<Valve>>) -> Self {
        Self { stream, valve }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Valved<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Valved<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.valve.get() {
            Valve::Open => Pin::new(&mut self.stream).poll_write(cx, bytes),
            Valve::Cut(0) => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            Valve::Cut(left) => {
                let part = &bytes[..bytes.len().min(left)];
                let written = Pin::new(&mut self.stream).poll_write(cx, part);
                if let Poll::Ready(Ok(n)) = written {
                    self.valve.set(Valve::Cut(left - n));
                }
                written
            }
            Valve::Spoil => {
                // The same bits turned in each byte: the length stays, the meaning does not.
                let spoilt: Vec<u8> = bytes.iter().map(|b| b ^ 0x15).collect();
                Pin::new(&mut self.stream).poll_write(cx, &spoilt)
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
