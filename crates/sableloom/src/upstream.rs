//! Connections to upstreams and the attempts that go over them. What comes back is judged
//! here by the protocol's one question: may the request have run?

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashSet;
use sableloom_types::settings::{PolicyLimits, Reports};
use sableloom_types::{Outcome, Report, ServerId};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::config::{BODY_MAX, HEAD_MAX};
use crate::frontend::strip_hop_by_hop;
use crate::node::{End, Message, Node, Pending};
use crate::wire::{Io, Task, Wire};

/// Part of the time after which upstreams close idle connections: some close sooner.
const KEEP_OF_KEEPALIVE: f64 = 0.5;
/// How long the last byte is kept back on a connection that has rested.
const HOLD: Duration = Duration::from_millis(3);
/// How long the rest of an answer that is not passed on may take before its connection is
/// closed instead of kept.
const REST: Duration = Duration::from_secs(1);
/// How long a probe may take.
const PROBE: Duration = Duration::from_secs(1);

// ---------------------------------------------------------------- connections

/// A connection to an upstream.
struct Conn {
    sender: SendRequest<Whole>,
    wire: Rc<Wire>,
    rested: Instant,
    _driver: Task,
}

impl Drop for Conn {
    fn drop(&mut self) {
        // The driver's task is ended only when it is next looked at; until then nothing of a
        // request that was given up may go out.
        self.wire.cut();
    }
}

/// The connections to upstreams that carry no request. Bounded with those that do by `slots`.
pub struct Pool {
    /// The longest idle first.
    idle: RefCell<VecDeque<(ServerId, Conn)>>,
    /// Upstreams that drain or are gone: their connections are not kept.
    retired: RefCell<FxHashSet<ServerId>>,
    slots: Arc<Semaphore>,
    keep: Duration,
    connect: Duration,
}

impl Pool {
    pub fn new(most: usize, limits: &PolicyLimits) -> Self {
        let stated = |ms: f64, otherwise: f64| {
            Duration::from_secs_f64(if ms > 0.0 { ms / 1000.0 } else { otherwise })
        };
        Self {
            idle: RefCell::new(VecDeque::new()),
            retired: RefCell::new(FxHashSet::default()),
            slots: Arc::new(Semaphore::new(most)),
            keep: stated(limits.keepalive, 15.0).mul_f64(KEEP_OF_KEEPALIVE),
            connect: stated(limits.connect_timeout, 1.0),
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn close(&self, server: ServerId) {
        self.idle.borrow_mut().retain(|(s, _)| *s != server);
    }

    /// Notes whether an upstream is to be kept connections to.
    pub fn retire(&self, server: ServerId, retired: bool) {
        if !retired {
            self.retired.borrow_mut().remove(&server);
        } else if self.retired.borrow_mut().insert(server) {
            self.close(server);
        }
    }

    /// Closes what has been idle too long, or was ended by its upstream.
    pub fn sweep(&self) {
        let keep = self.keep;
        self.idle.borrow_mut().retain(|(_, c)| c.rested.elapsed() < keep && c.wire.is_quiet());
    }

    /// The connection to this upstream that rested least.
    fn take(&self, server: ServerId) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        while let Some(i) = idle.iter().rposition(|(s, _)| *s == server) {
            let (_, conn) = idle.remove(i)?;
            // An end or a stray byte that is here already: hyper may not have been woken yet.
            if conn.wire.is_quiet() && !conn.sender.is_closed() && conn.rested.elapsed() < self.keep
            {
                return Some(conn);
            }
        }
        None
    }

    /// Notes nothing more of an upstream.
    pub fn forget(&self, server: ServerId) {
        self.retired.borrow_mut().remove(&server);
        self.close(server);
    }

    fn is_retired(&self, server: ServerId) -> bool {
        self.retired.borrow().contains(&server)
    }

    fn put(&self, server: ServerId, mut conn: Conn) {
        if self.is_retired(server) {
            return;
        }
        conn.rested = Instant::now();
        self.idle.borrow_mut().push_back((server, conn));
    }

    /// A descriptor for a new connection, if need be the longest idle one's.
    async fn slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        self.idle.borrow_mut().pop_front();
        self.slots.clone().acquire_owned().await.ok()
    }

    async fn connect(&self, to: SocketAddr) -> Option<Conn> {
        let end = Instant::now() + self.connect;
        let slot = timeout_at(end, self.slot()).await.ok()??;
        let stream = timeout_at(end, TcpStream::connect(to)).await.ok()?.ok()?;
        let wire = Wire::new(stream, slot);
        let io = TokioIo::new(Io { wire: wire.clone(), on_read: |_: &[u8]| () });
        let (sender, connection) =
            http1::Builder::new().max_buf_size(HEAD_MAX).handshake(io).await.ok()?;
        Some(Conn { sender, wire, rested: Instant::now(), _driver: Task::spawn(connection) })
    }
}

/// A request's body, sent again from the start by each attempt.
struct Whole(Bytes);

impl Body for Whole {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let data = std::mem::take(&mut self.0);
        Poll::Ready((!data.is_empty()).then(|| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}

/// The request as hyper will write it, and how many bytes that makes.
fn request(message: &Message, left: Duration) -> (Request<Whole>, u64) {
    let body = Whole(message.body.clone());
    let length = body.size_hint().exact().unwrap_or(0);
    let mut headers = message.headers.clone();
    headers.insert("x-expires-in-ms", (left.as_millis() as u64).max(1).into());
    if length > 0 || message.method == hyper::Method::POST {
        headers.insert(header::CONTENT_LENGTH, length.into());
    }
    let line = message.method.as_str().len() + message.uri.to_string().len() + 12;
    let lines: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    let bytes = (line + lines + 2) as u64 + length;
    let mut request = Request::new(body);
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    *request.headers_mut() = headers;
    (request, bytes)
}

// ---------------------------------------------------------------- attempts

/// What came of an attempt before its time was up.
enum Came {
    Nothing(Outcome, Report),
    Whole(HeaderMap, Bytes, Report),
}

/// The connection on which an attempt's bytes went out last.
#[derive(Default)]
struct Link(RefCell<Option<Rc<Wire>>>);

impl Link {
    fn all_written(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|wire| wire.all_written())
    }
}

/// Carries out one attempt, to its one outcome.
pub async fn attempt(pending: Pending) {
    let (job, attempt) = (&pending.job, &pending.attempt);
    let link = Link::default();
    let ended = async {
        job.ended.notified().await;
        if link.all_written() {
            std::future::pending::<()>().await;
        }
    };
    let nothing = |outcome| Came::Nothing(outcome, Report::default());
    let came = tokio::select! {
        biased;
        came = talk(&pending, &link) => came,
        () = attempt.cancel.notified() => nothing(Outcome::Cancelled),
        // After the final answer no byte goes out: what is half written stays so.
        () = ended => nothing(Outcome::Moot),
        () = sleep_until(attempt.until) => nothing(Outcome::Timeout),
    };
    let latency = attempt.sent.elapsed();
    let end = match came {
        // While the last byte has not left it never ran, however it ended.
        Came::Nothing(Outcome::Timeout | Outcome::Reset | Outcome::Error, report)
            if !link.all_written() =>
        {
            End { outcome: Outcome::ConnectFailed, latency, report, served: None }
        }
        Came::Nothing(Outcome::Cancelled, report) if !link.all_written() => {
            End { outcome: Outcome::Moot, latency, report, served: None }
        }
        Came::Nothing(outcome, report) => End { outcome, latency, report, served: None },
        Came::Whole(head, body, report) => {
            End { outcome: Outcome::Ok, latency, report, served: Some((head, body)) }
        }
    };
    pending.end(end);
}

async fn talk(pending: &Pending, link: &Link) -> Came {
    let Pending { node, job, attempt, .. } = pending;
    let nothing = |outcome| Came::Nothing(outcome, Report::default());
    if attempt.number >= node.facts.policy_limits.max_attempts {
        return nothing(Outcome::Moot);
    }
    let mut may_reuse = true;
    loop {
        let kept = if may_reuse { node.pool.take(attempt.server) } else { None };
        let reused = kept.is_some();
        let conn = match kept {
            Some(conn) => Some(conn),
            None => node.pool.connect(attempt.to).await,
        };
        let Some(mut conn) = conn else { return nothing(Outcome::ConnectFailed) };
        // A connection may come up long after the send was decided.
        if job.is_over() || node.pool.is_retired(attempt.server) {
            return nothing(Outcome::Moot);
        }
        let left = attempt.until.saturating_duration_since(Instant::now());
        let (request, bytes) = request(&job.message, left);
        // What is safe to repeat needs no proof that it never ran, and is not slowed down for one.
        let hold = reused && !job.message.method.is_safe();
        conn.wire.begin(bytes, hold.then_some(HOLD));
        *link.0.borrow_mut() = Some(conn.wire.clone());
        let answer = match conn.sender.send_request(request).await {
            Ok(answer) => answer,
            // A rested connection that its upstream had ended: nothing came of it, and the
            // attempt has not been made yet.
            Err(_) if reused && !conn.wire.all_written() => {
                may_reuse = false;
                continue;
            }
            Err(e) if e.is_parse() => return nothing(Outcome::Error),
            Err(_) => return nothing(Outcome::Reset),
        };
        return judge(pending, conn, answer).await;
    }
}

/// What an answer says of its attempt.
async fn judge(pending: &Pending, conn: Conn, answer: Response<Incoming>) -> Came {
    let (node, server) = (&pending.node, pending.attempt.server);
    let (head, mut body) = answer.into_parts();
    let report = node.report(&head.headers);
    let never_ran = head.headers.get("x-never-ran").is_some_and(|v| v == "1");
    let outcome = match head.status {
        StatusCode::OK if conn.wire.all_written() => None,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => {
            Some(Outcome::Full)
        }
        _ => Some(Outcome::Error),
    };
    if let Some(outcome) = outcome {
        if conn.wire.all_written() {
            let node = node.clone();
            spawn_local(async move {
                if let Ok(true) = timeout(REST, discard(&mut body)).await {
                    node.pool.put(server, conn);
                }
            });
        }
        return Came::Nothing(outcome, report);
    }
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    // The protocol has no longer answers: whoever announces or sends one has lost the thread.
    if body.size_hint().exact().is_some_and(|n| n > BODY_MAX as u64) {
        return Came::Nothing(Outcome::Error, report);
    }
    let mut held = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Came::Nothing(Outcome::Reset, report) };
        let Ok(data) = frame.into_data() else { continue };
        if held.len() + data.len() > BODY_MAX {
            return Came::Nothing(Outcome::Error, report);
        }
        held.extend_from_slice(&data);
    }
    node.pool.put(server, conn);
    Came::Whole(headers, held.freeze(), report)
}

/// Reads a short body to its end, so that its connection can be used again.
async fn discard(body: &mut Incoming) -> bool {
    let mut left = BODY_MAX;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        let size = frame.data_ref().map_or(0, |d| d.len());
        if size > left {
            return false;
        }
        left -= size;
    }
    true
}

// ---------------------------------------------------------------- probes

/// Examines an upstream.
pub async fn probe(node: Rc<Node>, server: ServerId, to: SocketAddr) {
    let sent = Instant::now();
    let work = async {
        let mut conn = match node.pool.take(server) {
            Some(conn) => conn,
            None => node.pool.connect(to).await?,
        };
        let mut request = Request::new(Whole(Bytes::new()));
        *request.uri_mut() = hyper::Uri::from_static(node.probe_path());
        let host = to.to_string().parse().ok()?;
        request.headers_mut().insert(header::HOST, host);
        conn.wire.begin(0, None);
        let (head, body) = conn.sender.send_request(request).await.ok()?.into_parts();
        let mut text =
            http_body_util::Limited::new(body, BODY_MAX).collect().await.ok()?.to_bytes();
        node.pool.put(server, conn);
        if node.facts.stats.how == Reports::Silent {
            text.clear();
        }
        let report = node.report_text(std::str::from_utf8(&text).unwrap_or_default());
        (head.status == StatusCode::OK).then_some(report)
    };
    let report = timeout(PROBE, work).await.ok().flatten();
    node.probed(server, report.is_some(), sent.elapsed(), report.unwrap_or_default());
}
