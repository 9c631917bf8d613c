//! Connections to servers and the attempts that go over them. What comes back is reported as facts;
//! what they prove is the exchange's to say.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashSet;
use sableloom_exchange::fate::AttemptEnd;
use sableloom_exchange::{
    Answer, AttemptConnection, AttemptContext, AttemptOutcome, LocalFuture, Message, Task,
    Transport,
};
use sableloom_types::settings::{DeploymentSettings, LoadReportSource, PolicyLimits, Stats};
use sableloom_types::{LoadReport, ServerId};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout, timeout_at};

use crate::fields;
use crate::reuse::{RESTED, ReuseGuard};
use crate::wire::{BODY_MAX, HEAD_MAX, Io, Wire};

/// Part of the time after which upstreams close idle connections: some close sooner.
const KEEP_OF_KEEPALIVE: f64 = 0.5;
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
    /// Where it goes: its server may have moved since.
    to: SocketAddr,
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

/// The descriptors for connections to servers, of all pools together. A pool that needs one takes
/// that of the longest idle connection, whichever pool has it.
pub struct Budget {
    slots: Arc<Semaphore>,
    /// Those that wait for one.
    waiting: Cell<usize>,
    users: RefCell<Vec<Weak<Upstreams>>>,
}

impl Budget {
    /// At most so many connections.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self {
            slots: Arc::new(Semaphore::new(most)),
            waiting: Cell::new(0),
            users: RefCell::default(),
        })
    }

    async fn slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        self.close_longest_idle();
        // Where none is idle, the next to be is closed instead of kept. Failure: those that waited
        // while all were busy waited on beside idle ones, until their time to connect was up.
        let _waits = Waits::new(&self.waiting);
        self.slots.clone().acquire_owned().await.ok()
    }

    /// Closes the connection that has been idle longest; whether there was one.
    fn close_longest_idle(&self) -> bool {
        let users: Vec<_> = self.users.borrow().iter().filter_map(Weak::upgrade).collect();
        let longest = users.iter().filter_map(|user| Some((user.longest_idle()?, user)));
        let Some((_, user)) = longest.min_by_key(|(rested, _)| *rested) else { return false };
        let closed = user.idle.borrow_mut().pop_front();
        closed.is_some()
    }

    /// Gives up so many descriptors for as long as the permit lives; idle connections make room.
    /// `None`, and nothing is given up, if too many carry requests.
    pub fn lend(&self, many: usize) -> Option<OwnedSemaphorePermit> {
        let wanted = u32::try_from(many).ok()?;
        loop {
            if let Ok(permit) = self.slots.clone().try_acquire_many_owned(wanted) {
                return Some(permit);
            }
            if !self.close_longest_idle() {
                return None;
            }
        }
    }
}

/// One that waits, until it is dropped.
struct Waits<'b>(&'b Cell<usize>);

impl<'b> Waits<'b> {
    fn new(waiting: &'b Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The HTTP/1.1 transport: the connections to servers that carry no request.
pub struct Upstreams {
    /// The longest idle first.
    idle: RefCell<VecDeque<(ServerId, Conn)>>,
    /// Servers that drain or are gone: their connections are not kept.
    retired: RefCell<FxHashSet<ServerId>>,
    budget: Rc<Budget>,
    keep: Duration,
    connect: Duration,
    stats: Stats,
    guard: Rc<ReuseGuard>,
}

impl Upstreams {
    /// A transport whose connections count against this budget.
    pub fn new(budget: Rc<Budget>, settings: &DeploymentSettings) -> Rc<Self> {
        let stated = |ms: f64, otherwise: f64| {
            Duration::from_secs_f64(if ms > 0.0 { ms / 1000.0 } else { otherwise })
        };
        let limits: &PolicyLimits = &settings.policy_limits;
        let upstreams = Rc::new(Self {
            idle: RefCell::new(VecDeque::new()),
            retired: RefCell::new(FxHashSet::default()),
            budget,
            keep: stated(limits.keepalive, 15.0).mul_f64(KEEP_OF_KEEPALIVE),
            connect: stated(limits.connect_timeout, 1.0),
            stats: settings.stats.clone(),
            guard: Rc::new(ReuseGuard::new()),
        });
        let mut users = upstreams.budget.users.borrow_mut();
        users.retain(|user| user.strong_count() > 0);
        users.push(Rc::downgrade(&upstreams));
        drop(users);
        upstreams
    }

    /// Closes the idle connections to a server.
    fn close(&self, server: ServerId) {
        self.idle.borrow_mut().retain(|(s, _)| *s != server);
    }

    /// Closes what has been idle too long, or was ended by its upstream.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|(_, conn)| self.is_usable(conn));
    }

    /// A connection to this upstream, at this address.
    fn take(&self, server: ServerId, to: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        while let Some(i) = choose(&idle, server, to) {
            let (_, conn) = idle.remove(i)?;
            if self.is_usable(&conn) {
                return Some(conn);
            }
        }
        None
    }

    /// Whether an idle connection can carry a request.
    fn is_usable(&self, conn: &Conn) -> bool {
        // An end or a stray byte that is here already: hyper may not have been woken yet.
        if !conn.wire.is_quiet() {
            self.look_for_second_answer(conn);
            return false;
        }
        !conn.sender.is_closed() && conn.rested.elapsed() < self.keep
    }

    /// Notes bytes that are there though no request on this connection was seen whole since its last answer.
    fn look_for_second_answer(&self, conn: &Conn) {
        if conn.wire.has_input() {
            self.guard.unasked(Instant::now(), conn.rested.elapsed());
        }
    }

    fn is_retired(&self, server: ServerId) -> bool {
        self.retired.borrow().contains(&server)
    }

    fn put(&self, server: ServerId, mut conn: Conn) {
        if self.is_retired(server) || self.budget.waiting.get() > 0 {
            return;
        }
        conn.rested = Instant::now();
        conn.wire.rest();
        self.idle.borrow_mut().push_back((server, conn));
    }

    fn longest_idle(&self) -> Option<Instant> {
        self.idle.borrow().front().map(|(_, conn)| conn.rested)
    }

    async fn connect(&self, to: SocketAddr) -> Option<Conn> {
        let end = Instant::now() + self.connect;
        let slot = timeout_at(end, self.budget.slot()).await.ok()??;
        let stream = timeout_at(end, TcpStream::connect(to)).await.ok()?.ok()?;
        let wire = Wire::new(stream, Some(slot));
        let (rests, guard) = (wire.clone(), self.guard.clone());
        let on_read = move |_: &[u8]| {
            if let Some(since) = rests.rests_since() {
                guard.unasked(Instant::now(), since.elapsed());
            }
        };
        let io = TokioIo::new(Io { wire: wire.clone(), on_read });
        let (sender, connection) =
            http1::Builder::new().max_buf_size(HEAD_MAX).handshake(io).await.ok()?;
        Some(Conn { sender, wire, to, rested: Instant::now(), _driver: Task::spawn(connection) })
    }
}

/// Which of these connections the next request takes: of those that have rested, the one that rested least,
/// so that few are kept; where none has, the one that will have soonest.
fn choose(idle: &VecDeque<(ServerId, Conn)>, server: ServerId, to: SocketAddr) -> Option<usize> {
    // One that was out while its server moved comes back under the server's id. Failure: it carried
    // the next request to the old address, where another server may be by now.
    let fits = |(_, (s, conn)): &(usize, &(ServerId, Conn))| *s == server && conn.to == to;
    let mut soonest = None;
    for (i, (_, conn)) in idle.iter().enumerate().rev().filter(fits) {
        if conn.rested.elapsed() >= RESTED {
            return Some(i);
        }
        soonest = Some(i);
    }
    soonest
}

/// A request's body, sent again from the start by each attempt.
type Whole = Full<Bytes>;

/// The request as hyper will write it, and how many bytes that makes.
fn request(message: &Message, left: Duration) -> Option<(Request<Whole>, u64)> {
    let body = Whole::new(message.body.clone());
    let length = body.size_hint().exact().unwrap_or(0);
    let method = Method::from_bytes(&message.method).ok()?;
    let mut headers = fields::headers(&message.fields);
    headers.insert("x-expires-in-ms", (left.as_millis() as u64).max(1).into());
    if length > 0 || method == Method::POST {
        headers.insert(header::CONTENT_LENGTH, length.into());
    }
    let uri = Uri::from_maybe_shared(message.target.clone()).ok()?;
    let line = method.as_str().len() + uri.to_string().len() + 12;
    let lines: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    let bytes = (line + lines + 2) as u64 + length;
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.headers_mut() = headers;
    Some((request, bytes))
}

// ---------------------------------------------------------------- attempts

impl Transport for Upstreams {
    fn attempt(self: Rc<Self>, call: Rc<AttemptContext>) -> LocalFuture<AttemptOutcome> {
        Box::pin(async move { self.talk(&call).await })
    }

    fn check_health(
        self: Rc<Self>,
        server: ServerId,
        to: SocketAddr,
    ) -> LocalFuture<Option<LoadReport>> {
        Box::pin(async move { timeout(PROBE, self.examine(server, to)).await.ok().flatten() })
    }

    fn set_retired(&self, server: ServerId, retired: bool) {
        if !retired {
            self.retired.borrow_mut().remove(&server);
        } else if self.retired.borrow_mut().insert(server) {
            self.close(server);
        }
    }

    fn address_changed(&self, server: ServerId) {
        self.close(server);
    }

    fn forget(&self, server: ServerId) {
        self.retired.borrow_mut().remove(&server);
        self.close(server);
    }
}

impl Upstreams {
    async fn talk(self: &Rc<Self>, call: &Rc<AttemptContext>) -> AttemptOutcome {
        let mut may_reuse = true;
        loop {
            if !call.is_dispatchable() {
                return AttemptOutcome::without_answer(AttemptEnd::NotStarted);
            }
            let kept = if may_reuse { self.take(call.server, call.address) } else { None };
            let reused = kept.is_some();
            let conn = match kept {
                Some(conn) => Some(conn),
                None => self.connect(call.address).await,
            };
            let Some(mut conn) = conn else {
                return AttemptOutcome::without_answer(AttemptEnd::ConnectFailed);
            };
            // A connection may come up long after the send was decided.
            if !call.is_dispatchable() {
                self.put(call.server, conn);
                return AttemptOutcome::without_answer(AttemptEnd::NotStarted);
            }
            let left = call.deadline.saturating_duration_since(Instant::now());
            let Some((request, bytes)) = request(&call.message, left) else {
                return AttemptOutcome::without_answer(AttemptEnd::NotStarted);
            };
            let rested = conn.rested.elapsed();
            let hold = || self.guard.hold(Instant::now(), rested, call.message.idempotency);
            conn.wire.begin(bytes, reused.then(hold).flatten(), Some(call));
            call.set_connection(conn.wire.clone());
            let answer = match conn.sender.send_request(request).await {
                // To the request before it: nobody has seen this one whole.
                Ok(_) if conn.wire.keeps_last_byte() => {
                    self.guard.unasked(Instant::now(), conn.rested.elapsed());
                    may_reuse = false;
                    continue;
                }
                Ok(answer) => answer,
                // Between the look above and hyper's turn to write.
                Err(_) if !conn.wire.has_begun() && !call.may_send_first_byte() => {
                    return AttemptOutcome::without_answer(AttemptEnd::NotStarted);
                }
                // A rested connection that its server had ended: nothing came of it, and the
                // attempt has not been made yet.
                Err(_) if reused && !conn.wire.fully_written() => {
                    self.look_for_second_answer(&conn);
                    may_reuse = false;
                    continue;
                }
                Err(e) if e.is_parse() => {
                    return AttemptOutcome::without_answer(AttemptEnd::UnusableAnswer);
                }
                Err(_) => return AttemptOutcome::without_answer(AttemptEnd::ConnectionLost),
            };
            return self.read(call.server, conn, answer).await;
        }
    }

    /// Takes an answer in.
    async fn read(
        self: &Rc<Self>,
        server: ServerId,
        conn: Conn,
        answer: Response<Incoming>,
    ) -> AttemptOutcome {
        let (head, mut body) = answer.into_parts();
        let report = self.report(&head.headers);
        let outcome = |ended| AttemptOutcome { report, ..AttemptOutcome::without_answer(ended) };
        if head.status != StatusCode::OK || !conn.wire.fully_written() {
            let may_disown = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT];
            let states_not_executed = head.headers.get("x-never-ran").is_some_and(|v| v == "1");
            if conn.wire.fully_written() {
                let pool = self.clone();
                spawn_local(async move {
                    if let Ok(true) = timeout(REST, discard(&mut body)).await {
                        pool.put(server, conn);
                    }
                });
            }
            let not_executed = states_not_executed && may_disown.contains(&head.status);
            return AttemptOutcome { not_executed, ..outcome(AttemptEnd::UnusableAnswer) };
        }
        // The protocol has no longer answers: whoever announces or sends one has lost the thread.
        if body.size_hint().exact().is_some_and(|n| n > BODY_MAX as u64) {
            return outcome(AttemptEnd::UnusableAnswer);
        }
        let mut held = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return outcome(AttemptEnd::ConnectionLost) };
            let Ok(data) = frame.into_data() else { continue };
            if held.len() + data.len() > BODY_MAX {
                return outcome(AttemptEnd::UnusableAnswer);
            }
            held.extend_from_slice(&data);
        }
        self.put(server, conn);
        let answer = Answer { fields: fields::end_to_end(head.headers), body: held.freeze() };
        AttemptOutcome { answer: Some(answer), ..outcome(AttemptEnd::Answered) }
    }

    /// The load report on an answer, where the settings have such.
    fn report(&self, headers: &HeaderMap) -> LoadReport {
        let header = headers.get("endpoint-load-metrics").and_then(|h| h.to_str().ok());
        match header {
            Some(text) if self.stats.how == LoadReportSource::Piggyback => {
                report_text(&self.stats, text)
            }
            _ => LoadReport::default(),
        }
    }

    async fn examine(&self, server: ServerId, to: SocketAddr) -> Option<LoadReport> {
        let mut conn = match self.take(server, to) {
            Some(conn) => conn,
            None => self.connect(to).await?,
        };
        let silent = self.stats.how == LoadReportSource::Silent;
        let path = if silent { "/alive" } else { "/metrics/load" };
        let mut request = Request::new(Whole::default());
        *request.uri_mut() = Uri::from_static(path);
        request.headers_mut().insert(header::HOST, to.to_string().parse().ok()?);
        conn.wire.begin(0, None, None);
        let (head, body) = conn.sender.send_request(request).await.ok()?.into_parts();
        let text = http_body_util::Limited::new(body, BODY_MAX).collect().await.ok()?.to_bytes();
        self.put(server, conn);
        let text = if silent { "" } else { std::str::from_utf8(&text).unwrap_or_default() };
        (head.status == StatusCode::OK).then(|| report_text(&self.stats, text))
    }
}

/// A load report in the form `TEXT inflight=7, util=0.61`; what makes no sense in it is skipped.
pub fn report_text(stats: &Stats, text: &str) -> LoadReport {
    let pairs = text.trim().strip_prefix("TEXT").unwrap_or_default().split(',');
    let value = |pair: &'_ str| -> Option<(usize, f64)> {
        let (name, value) = pair.split_once('=')?;
        let index = stats.names.iter().position(|n| n == name.trim())?;
        Some((index, value.trim().parse().ok().filter(|v: &f64| v.is_finite())?))
    };
    let names = &stats.names;
    stats.report(pairs.filter_map(value).map(|(i, v)| (names[i].as_str(), v)))
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

#[cfg(test)]
mod tests;
