//! One call of discovery over HTTP, on a connection that is kept.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use sableloom_discovery_schedule::Times;
use sableloom_exchange::{LocalFuture, Task, duration_of};
use sableloom_types::Span;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use crate::list::Snapshot;

/// Most bytes of one answer: some 50,000 entries.
const ANSWER_MAX: usize = 8 << 20;

/// A connection, as a call needs it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// How discovery is reached.
pub type Dial = Rc<dyn Fn(SocketAddr) -> LocalFuture<io::Result<Box<dyn Stream>>>>;

/// Reached over TCP.
pub fn over_tcp() -> Dial {
    Rc::new(|at| {
        Box::pin(async move {
            let stream = TcpStream::connect(at).await?;
            Ok(Box::new(stream) as Box<dyn Stream>)
        })
    })
}

/// A connection to discovery.
pub struct Line {
    sender: SendRequest<Empty<Bytes>>,
    _driver: Task,
}

/// How a call ended.
pub enum Call {
    /// With a list, on a line that may be used again.
    Whole(Snapshot, Line),
    /// It failed; why, and what came of an answer.
    Broken(&'static str, Vec<u8>),
    /// Not a byte of an answer came in time.
    Silent,
}

/// What is asked, and how.
pub struct Asked<'a> {
    /// How to get there.
    pub dial: &'a Dial,
    /// Where discovery is.
    pub at: SocketAddr,
    /// Of what is newer than this version; else of the whole list.
    pub after: Option<u64>,
    /// How long discovery is to wait for news.
    pub wait: Option<Span>,
    /// When silence is silence.
    pub until: Instant,
    /// How long the rest may take.
    pub times: &'a Times,
}

/// Makes a call, on the kept line if there is one that has not ended since.
pub async fn call(kept: Option<Line>, asked: &Asked<'_>) -> Call {
    let line = match kept.filter(|line| line.sender.is_ready()) {
        Some(line) => line,
        None => match connect(asked).await {
            Ok(line) => line,
            Err(why) => return Call::Broken(why, Vec::new()),
        },
    };
    let mut text = BytesMut::new();
    match fetch(line, asked, &mut text).await {
        Err(Short::Silent) => Call::Silent,
        Err(Short::Broke(why)) => Call::Broken(why, text.to_vec()),
        Ok(line) => match serde_json::from_slice::<Snapshot>(&text) {
            Ok(snapshot) if snapshot.is_list() => Call::Whole(snapshot, line),
            _ => Call::Broken("what came is no list", text.to_vec()),
        },
    }
}

enum Short {
    Silent,
    Broke(&'static str),
}

async fn fetch(mut line: Line, asked: &Asked<'_>, text: &mut BytesMut) -> Result<Line, Short> {
    let path = match (asked.after, asked.wait) {
        (Some(version), Some(wait)) => {
            format!("/discovery/hosts?after={version}&wait_ms={}", (wait.0 / 1000).max(1))
        }
        _ => "/discovery/hosts".to_string(),
    };
    let request = Request::get(path).header(header::HOST, asked.at.to_string());
    let request = request.body(Empty::new()).map_err(|_| Short::Broke("no request"))?;
    let answer = timeout_at(asked.until, line.sender.send_request(request));
    let answer = answer.await.map_err(|_| Short::Silent)?;
    let mut answer = answer.map_err(|_| Short::Broke("the connection broke"))?;
    if answer.status() != StatusCode::OK {
        return Err(Short::Broke("it turned the call away"));
    }
    // Once it speaks it has it all: a stall inside an answer must not hide a drain in what came.
    let pause = duration_of(asked.times.pause);
    let end = Instant::now() + pause * 4;
    loop {
        let frame = timeout_at(end, timeout(pause, answer.body_mut().frame())).await;
        let Ok(Ok(frame)) = frame else { return Err(Short::Broke("the answer stalled")) };
        let Some(frame) = frame else { return Ok(line) };
        let frame = frame.map_err(|_| Short::Broke("the answer broke off"))?;
        if let Ok(data) = frame.into_data() {
            if text.len() + data.len() > ANSWER_MAX {
                return Err(Short::Broke("the answer is too long"));
            }
            text.extend_from_slice(&data);
        }
    }
}

async fn connect(asked: &Asked<'_>) -> Result<Line, &'static str> {
    let end = Instant::now() + duration_of(asked.times.connect);
    let stream = timeout_at(end, (asked.dial)(asked.at)).await;
    let stream = stream.map_err(|_| "no connection came up")?.map_err(|_| "no connection")?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| "no HTTP")?;
    Ok(Line { sender, _driver: Task::spawn(connection) })
}
