//! How discovery is reached.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use sableloom_exchange::{LocalFuture, Task};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A connection as a poll needs it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// Opens connections to discovery.
pub type Dial = Rc<dyn Fn(SocketAddr) -> LocalFuture<io::Result<Box<dyn Stream>>>>;

/// Opens connections over TCP.
pub fn dial_tcp() -> Dial {
    Rc::new(|address| {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            Ok(Box::new(stream) as Box<dyn Stream>)
        })
    })
}

/// Why no connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ConnectError {
    #[error("the connect timed out")]
    TimedOut,
    #[error("the connect failed")]
    Failed,
    #[error("the connection accepts no HTTP")]
    Handshake,
}

/// An HTTP connection to discovery.
pub(crate) struct DiscoveryConnection {
    pub(crate) sender: SendRequest<Empty<Bytes>>,
    _driver: Task,
}

impl DiscoveryConnection {
    pub(crate) async fn open(
        dial: &Dial,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, ConnectError> {
        let stream = timeout(connect_timeout, dial(address)).await;
        let stream =
            stream.map_err(|_| ConnectError::TimedOut)?.map_err(|_| ConnectError::Failed)?;
        let handshake = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| ConnectError::Handshake)?;
        Ok(Self { sender, _driver: Task::spawn(connection) })
    }
}
