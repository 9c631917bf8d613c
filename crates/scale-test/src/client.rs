//! The requests of one client: sent over kept connections, and sorted by how they end.

use std::cell::RefCell;
use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A request that has no answer by then has failed.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// Longest answer that is read.
const MAX_ANSWER_BYTES: usize = 16 << 10;
/// Longest head of an answer.
const MAX_HEADERS: usize = 32;

/// Why a request has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestFailure {
    /// The answer had another status than 200.
    Status(u16),
    /// No connection could be opened.
    Connect,
    /// A kept connection was closed before any byte of the answer.
    KeptConnectionClosed,
    /// A new connection was closed before any byte of the answer.
    NewConnectionClosed,
    /// The connection was closed in the middle of the answer.
    AnswerCut,
    /// The answer was not HTTP/1.1 with a length, or too long.
    Malformed,
    /// There was no answer in time.
    TimedOut,
}

impl fmt::Display for RequestFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => write!(f, "status {status}"),
            Self::Connect => f.write_str("connect failed"),
            Self::KeptConnectionClosed => f.write_str("kept connection closed before the answer"),
            Self::NewConnectionClosed => f.write_str("new connection closed before the answer"),
            Self::AnswerCut => f.write_str("closed within the answer"),
            Self::Malformed => f.write_str("malformed answer"),
            Self::TimedOut => f.write_str("timed out"),
        }
    }
}

/// A client of one server, with the connections that it keeps.
#[derive(Debug)]
pub struct Client {
    server: SocketAddr,
    kept: RefCell<Vec<TcpStream>>,
}

impl Client {
    /// A client without connections yet.
    pub fn new(server: SocketAddr) -> Self {
        Self { server, kept: RefCell::default() }
    }

    /// One request with its answer.
    ///
    /// # Errors
    ///
    /// If the connection fails, or the answer is not a success.
    pub async fn request(&self, path: &str, number: usize) -> Result<(), RequestFailure> {
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: scale.test\r\nX-Trace-Id: {number}\r\n\
             X-Expires-In-Ms: 600\r\n\r\n"
        );
        let answered = timeout(ANSWER_WITHIN, self.exchange(request.as_bytes())).await;
        answered.unwrap_or(Err(RequestFailure::TimedOut))
    }

    async fn exchange(&self, request: &[u8]) -> Result<(), RequestFailure> {
        let kept = self.open_connection();
        let (mut connection, closed) = match kept {
            Some(connection) => (connection, RequestFailure::KeptConnectionClosed),
            None => (self.connect().await?, RequestFailure::NewConnectionClosed),
        };
        exchange_on(&mut connection, request, closed).await?;
        self.kept.borrow_mut().push(connection);
        Ok(())
    }

    /// The kept connection that was used last, of those that are still open. A server may close a connection at rest
    /// (RFC 9112, 9.5; the balancer does after 2.5 s): a request on it would fail though nobody is at fault.
    fn open_connection(&self) -> Option<TcpStream> {
        let mut kept = self.kept.borrow_mut();
        std::iter::from_fn(|| kept.pop()).find(is_open)
    }

    async fn connect(&self) -> Result<TcpStream, RequestFailure> {
        let connection = TcpStream::connect(self.server).await;
        let connection = connection.map_err(|_| RequestFailure::Connect)?;
        connection.set_nodelay(true).map_err(|_| RequestFailure::Connect)?;
        Ok(connection)
    }
}

/// Whether a connection at rest may be used: the server has neither closed it nor sent anything unasked. The socket
/// itself is asked, as the runtime may not have heard of a close yet.
fn is_open(connection: &TcpStream) -> bool {
    let peeked = SockRef::from(connection).peek(&mut [MaybeUninit::uninit()]);
    matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Sends a request and reads its answer whole; `closed` is the failure where the server closes before it answers.
async fn exchange_on(
    connection: &mut TcpStream,
    request: &[u8],
    closed: RequestFailure,
) -> Result<(), RequestFailure> {
    connection.write_all(request).await.map_err(|_| closed)?;
    let mut bytes = Vec::with_capacity(512);
    loop {
        let read: io::Result<usize> = connection.read_buf(&mut bytes).await;
        if !matches!(read, Ok(1..)) {
            return Err(if bytes.is_empty() { closed } else { RequestFailure::AnswerCut });
        }
        if answer_bytes(&bytes)?.is_some_and(|whole| bytes.len() >= whole) {
            return Ok(());
        }
        if bytes.len() > MAX_ANSWER_BYTES {
            return Err(RequestFailure::Malformed);
        }
    }
}

/// How long the answer is that begins so, if its head is whole.
fn answer_bytes(bytes: &[u8]) -> Result<Option<usize>, RequestFailure> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let parsed = answer.parse(bytes).map_err(|_| RequestFailure::Malformed)?;
    let httparse::Status::Complete(head) = parsed else { return Ok(None) };
    match answer.code {
        Some(200) => {}
        Some(status) => return Err(RequestFailure::Status(status)),
        None => return Err(RequestFailure::Malformed),
    }
    let mut lengths =
        answer.headers.iter().filter(|h| h.name.eq_ignore_ascii_case("content-length"));
    let length =
        lengths.next().and_then(|h| std::str::from_utf8(h.value).ok()?.parse::<usize>().ok());
    Ok(Some(head + length.ok_or(RequestFailure::Malformed)?))
}
