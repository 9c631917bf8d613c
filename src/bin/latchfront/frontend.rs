//! Client connections: takes requests in whole, hands them to the node, writes the answers.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use petreltack::settings::{Effect, key_hash};
use petreltack::types::Span;
use rustc_hash::FxHashMap;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use crate::config::{BODY_MAX, SMALL};
use crate::node::{Asked, Message, Node, Part, Reply, Taken};
use crate::wire::{Io, Wire};

/// A head may honestly take 2 s; one that is not whole by now never will be.
const HEAD: Duration = Duration::from_secs(5);
/// A body that moves slower than this after its grace is given up; an honest one may come at
/// 64 kB a second.
const BODY_RATE: f64 = 16_000.0;
const BODY_GRACE: Duration = Duration::from_secs(5);
/// How long a body may wait for room before its request is refused.
const ROOM_WAIT: Duration = Duration::from_secs(5);
/// How long a closed connection is still read, so that its last answer arrives.
const LINGER: Duration = Duration::from_millis(500);
/// When no connection could make room, how soon another look is taken.
const EVICT_AGAIN: Duration = Duration::from_millis(10);
/// The longest that a client may wait, an hour: more is no deadline.
const EXPIRES_MAX_MS: i64 = 3_600_000;
/// Unit in which bodies draw on the budget.
const UNIT: usize = 64 << 10;

// ---------------------------------------------------------------- connections

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing has come on it yet.
    Fresh,
    /// Between requests.
    Idle,
    /// A request has begun to come.
    Reading,
    /// A request is taken and its answer not yet given over.
    Busy,
    /// Its end is told to the client; only what still comes is taken in.
    Closing,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Close {
    /// Once what was written has left.
    Gracefully,
    /// Whatever has come, with a drain.
    Now,
    /// At once, to make room.
    Evict,
}

struct Client {
    wire: Rc<Wire>,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Its present answer broke off.
    broken: Cell<bool>,
    close: Cell<Option<Close>>,
    wake: Notify,
}

impl Client {
    fn turn(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    fn heard(&self) {
        if matches!(self.phase.get(), Phase::Fresh | Phase::Idle) {
            self.turn(Phase::Reading);
        }
    }

    fn end(&self, how: Close) {
        let closing = self.close.get().is_some() || self.phase.get() == Phase::Closing;
        if !closing || how == Close::Evict {
            self.close.set(Some(how));
            self.wake.notify_one();
        }
    }

    /// Whether closing it ends no request that was taken and cuts no answer.
    fn is_spare(&self) -> bool {
        self.phase.get() != Phase::Busy && !self.wire.blocked.get()
    }
}

/// The listening side of the balancer.
pub struct Frontend {
    node: Rc<Node>,
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    slots: Arc<Semaphore>,
    bodies: Budget,
    draining: Cell<bool>,
    next: Cell<u64>,
}

impl Frontend {
    pub fn new(node: Rc<Node>, most: usize, bodies: usize) -> Rc<Self> {
        Rc::new(Self {
            node,
            clients: RefCell::default(),
            slots: Arc::new(Semaphore::new(most)),
            bodies: Budget::new(bodies),
            draining: Cell::new(false),
            next: Cell::new(0),
        })
    }

    /// Accepts until told otherwise. When all descriptors for clients are in use, the one that
    /// has been idle or unfinished longest makes room.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let slot = self.slot().await;
                    self.open(stream, slot);
                }
                // Out of descriptors or memory for the moment: accepting at once would spin.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    async fn slot(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(slot) = self.slots.clone().try_acquire_owned() {
                return slot;
            }
            self.evict();
            // If all are busy, one soon is not.
            if let Ok(Ok(slot)) = timeout(EVICT_AGAIN, self.slots.clone().acquire_owned()).await {
                return slot;
            }
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream, slot: OwnedSemaphorePermit) {
        let client = Rc::new(Client {
            wire: Wire::new(stream, slot),
            phase: Cell::new(Phase::Fresh),
            since: Cell::new(Instant::now()),
            broken: Cell::new(false),
            close: Cell::new(None),
            wake: Notify::new(),
        });
        let id = self.next.replace(self.next.get() + 1);
        self.clients.borrow_mut().insert(id, client.clone());
        let listed = Listed { frontend: self.clone(), id };
        spawn_local(serve(listed, client));
    }

    fn evict(&self) {
        let clients = self.clients.borrow();
        let spare =
            clients.values().filter(|c| c.is_spare() && c.close.get() != Some(Close::Evict));
        if let Some(longest) = spare.min_by_key(|c| c.since.get()) {
            longest.end(Close::Evict);
        }
    }

    /// Ends connections whose head does not come.
    pub fn sweep(&self) {
        for client in self.clients.borrow().values() {
            let late = client.since.get().elapsed() > HEAD;
            if client.phase.get() == Phase::Reading && late {
                client.end(Close::Now);
            }
        }
    }

    /// No new work is wanted: answers say so, and connections between requests are closed.
    pub fn drain(&self) {
        self.draining.set(true);
        for client in self.clients.borrow().values() {
            // A request may just be on its way: then it is answered first.
            if client.phase.get() == Phase::Idle && client.is_spare() && !client.wire.has_input() {
                client.end(Close::Gracefully);
            }
        }
    }

    /// Ends the connections that have no request under way.
    pub fn close_spare(&self) {
        for client in self.clients.borrow().values() {
            if client.is_spare() && !client.wire.has_input() {
                client.end(Close::Now);
            }
        }
    }

    /// Client connections now open.
    pub fn connections(&self) -> usize {
        self.clients.borrow().len()
    }
}

/// A connection's place in the register.
struct Listed {
    frontend: Rc<Frontend>,
    id: u64,
}

impl Drop for Listed {
    fn drop(&mut self) {
        self.frontend.clients.borrow_mut().remove(&self.id);
    }
}

async fn serve(listed: Listed, client: Rc<Client>) {
    let frontend = &listed.frontend;
    let hears = client.clone();
    let io = Io { wire: client.wire.clone(), on_read: move || hears.heard() };
    let service = service_fn(|request| {
        let (frontend, client) = (frontend.clone(), client.clone());
        async move { Ok::<_, Infallible>(guarded(frontend, client, request).await) }
    });
    {
        let mut http = pin!(
            http1::Builder::new().max_buf_size(SMALL).serve_connection(TokioIo::new(io), service)
        );
        loop {
            tokio::select! {
                biased;
                _ = http.as_mut() => break,
                () = client.wake.notified() => match client.close.get() {
                    // Something has come since it was told to close: that is served first.
                    _ if !client.is_spare() => client.close.set(None),
                    Some(Close::Gracefully) => http.as_mut().graceful_shutdown(),
                    Some(Close::Now | Close::Evict) => break,
                    None => {}
                },
            }
        }
    }
    if client.broken.get() {
        // Framed by the connection's end or not, a broken answer must look broken.
        client.wire.reset_on_close();
    } else if client.close.get() != Some(Close::Evict) {
        client.turn(Phase::Closing);
        tokio::select! {
            () = client.wire.drain(LINGER) => {}
            // Room is needed.
            () = client.wake.notified() => {}
        }
    }
}

// ---------------------------------------------------------------- requests

/// A panic while one request is handled must not leave it unanswered.
async fn guarded(
    frontend: Rc<Frontend>,
    client: Rc<Client>,
    request: Request<Incoming>,
) -> Response<Content> {
    let answer = {
        let mut work = pin!(handle(&frontend, &client, request));
        std::future::poll_fn(|cx| {
            let polled = std::panic::catch_unwind(AssertUnwindSafe(|| work.as_mut().poll(cx)));
            polled.unwrap_or_else(|_| {
                eprintln!("latchfront: a request's handling panicked; it has failed");
                Poll::Ready(plain(StatusCode::INTERNAL_SERVER_ERROR).closing())
            })
        })
        .await
    };
    let Answer { mut response, close } = answer;
    if close || frontend.draining.get() {
        let value = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, value);
    }
    client.phase.set(Phase::Busy);
    response.map(|source| Content { source, client })
}

/// An answer, and whether its connection ends with it.
struct Answer {
    response: Response<Source>,
    close: bool,
}

impl Answer {
    fn closing(mut self) -> Self {
        self.close = true;
        self
    }
}

fn plain(status: StatusCode) -> Answer {
    let mut response = Response::new(Source::Whole(Bytes::new()));
    *response.status_mut() = status;
    Answer { response, close: false }
}

fn served(headers: HeaderMap, source: Source) -> Answer {
    let mut response = Response::new(source);
    *response.headers_mut() = headers;
    Answer { response, close: false }
}

async fn handle(frontend: &Frontend, client: &Client, request: Request<Incoming>) -> Answer {
    let node = &frontend.node;
    let (head, body) = request.into_parts();
    if head.uri.path() == "/up" {
        return plain(match frontend.draining.get() {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::OK,
        });
    }
    let wanted = match Wanted::read(node, &head.method, &head.uri, &head.headers) {
        Ok(wanted) => wanted,
        // What follows on this connection may be out of step with it.
        Err(status) => return plain(status).closing(),
    };
    let mut budget = Vec::new();
    let body = match read_body(&frontend.bodies, client, body, &mut budget).await {
        Ok(body) => body,
        Err(status) => return plain(status).closing(),
    };
    // It counts from its last byte, also where that came behind another request.
    let arrived = node.clock.at(client.wire.read_at.get());
    client.turn(Phase::Busy);
    let Wanted { class, tenant, key, expires, uri } = wanted;
    let asked = Asked { class, tenant, key, drop_dead: arrived.plus(expires) };
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    let message = Message { method: head.method, uri, headers, body, _budget: budget };
    let Some((taken, reply)) = node.request(asked, message) else {
        return plain(StatusCode::SERVICE_UNAVAILABLE);
    };
    let reply = reply.await;
    drop::<Taken>(taken);
    match reply {
        Ok(Reply::Served(headers, body)) => served(headers, Source::Whole(body)),
        Ok(Reply::Streaming(headers, parts)) => served(headers, Source::Streaming(parts)),
        Ok(Reply::Refused(advice)) => {
            let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
            if let Some(advice) = advice {
                let seconds = format!("{:.3}", advice.as_secs_f64());
                if let Ok(value) = seconds.parse() {
                    answer.response.headers_mut().insert(header::RETRY_AFTER, value);
                }
            }
            answer
        }
        Ok(Reply::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY),
    }
}

/// What a request's head asks for.
struct Wanted {
    class: usize,
    tenant: usize,
    key: Option<u64>,
    expires: Span,
    uri: Uri,
}

impl Wanted {
    fn read(
        node: &Node,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Result<Self, StatusCode> {
        let bad = StatusCode::BAD_REQUEST;
        let text = |name: &str| headers.get(name).map(|v| v.to_str().map_err(|_| bad)).transpose();
        if text("x-trace-id")?.is_none_or(str::is_empty) {
            return Err(bad);
        }
        let in_path = uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let name = text("x-qos")?.unwrap_or(in_path);
        let class = node.facts.services.iter().position(|s| s.name == name).ok_or(bad)?;
        let effect = node.facts.services[class].effect;
        let fits = match effect {
            Effect::Retryable => *method == Method::GET,
            Effect::Dedup => *method == Method::POST && headers.contains_key("idempotency-key"),
            Effect::Fragile => *method == Method::POST,
        };
        if !fits {
            return Err(match effect {
                Effect::Dedup if *method == Method::POST => bad,
                _ => StatusCode::METHOD_NOT_ALLOWED,
            });
        }
        let tenants = &node.facts.tenants;
        let tenant = match text("x-customer")? {
            Some(name) if !tenants.is_empty() => {
                tenants.iter().position(|t| t.name == name).ok_or(bad)?
            }
            _ => 0,
        };
        let expires: i64 = text("x-expires-in-ms")?.and_then(|t| t.parse().ok()).ok_or(bad)?;
        if !(1..=EXPIRES_MAX_MS).contains(&expires) {
            return Err(bad);
        }
        let key = text("x-object")?.map(key_hash);
        // Upstreams get the origin form, whatever form the client chose.
        let uri = uri.path_and_query().map_or(Uri::from_static("/"), |p| p.clone().into());
        Ok(Self { class, tenant, key, expires: Span(expires * 1000), uri })
    }
}

/// Removes what concerns one connection only, framing included.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|n| n.trim().to_ascii_lowercase()))
        .collect();
    // A header that carries the protocol is not given up, whatever the client lists.
    for name in named.iter().filter(|n| !n.starts_with("x-") && *n != "idempotency-key") {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "expect",
    ] {
        headers.remove(name);
    }
}

// ---------------------------------------------------------------- bodies of requests

/// Memory for request bodies past [`SMALL`]; smaller ones are bounded by the number of clients.
struct Budget {
    shared: Arc<Semaphore>,
    /// Room for one body of any size. Without it, many half-read bodies could hold all the room
    /// that each of them waits for.
    reserve: Arc<Semaphore>,
}

impl Budget {
    fn new(bytes: usize) -> Self {
        let semaphore = |n| Arc::new(Semaphore::new(n));
        Self { shared: semaphore(bytes / UNIT), reserve: semaphore(1) }
    }
}

/// Reads a body whole. `budget` comes to hold what it draws.
async fn read_body(
    room: &Budget,
    client: &Client,
    mut body: Incoming,
    budget: &mut Vec<OwnedSemaphorePermit>,
) -> Result<Vec<Bytes>, StatusCode> {
    let declared = body.size_hint().exact();
    if declared.is_some_and(|n| n > BODY_MAX as u64) {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let begun = Instant::now();
    let mut waited = Duration::ZERO;
    let (mut size, mut drawn, mut reserved) = (0, SMALL, false);
    let mut full: Vec<Bytes> = Vec::new();
    let mut segment = BytesMut::with_capacity(declared.map_or(0, |n| n.min(UNIT as u64)) as usize);
    loop {
        let Ok(frame) = timeout(BODY_GRACE, body.frame()).await else {
            return Err(StatusCode::REQUEST_TIMEOUT);
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else { continue };
        client.since.set(Instant::now());
        size += data.len();
        if size > BODY_MAX {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let reading = begun.elapsed().saturating_sub(waited);
        if reading > BODY_GRACE && (size as f64) < BODY_RATE * reading.as_secs_f64() {
            return Err(StatusCode::REQUEST_TIMEOUT);
        }
        while size > drawn && !reserved {
            let start = Instant::now();
            let got = timeout(ROOM_WAIT, async {
                tokio::select! {
                    biased;
                    unit = room.shared.clone().acquire_owned() => (unit, false),
                    all = room.reserve.clone().acquire_owned() => (all, true),
                }
            });
            // Nothing of it was sent on: coming again is harmless.
            let Ok((Ok(permit), all)) = got.await else {
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            };
            waited += start.elapsed();
            budget.push(permit);
            drawn += UNIT;
            reserved = all;
        }
        // Copied together: pieces of a few bytes would each hold a buffer of their own.
        let mut rest = &data[..];
        while !rest.is_empty() {
            if segment.len() == UNIT {
                full.push(std::mem::take(&mut segment).freeze());
            }
            let n = rest.len().min(UNIT - segment.len());
            segment.extend_from_slice(&rest[..n]);
            rest = &rest[n..];
        }
    }
    if !segment.is_empty() {
        full.push(segment.freeze());
    }
    Ok(full)
}

// ---------------------------------------------------------------- bodies of answers

enum Source {
    Whole(Bytes),
    Streaming(mpsc::Receiver<Part>),
}

/// An answer's body on its way to the client.
struct Content {
    source: Source,
    client: Rc<Client>,
}

/// The upstream broke off an answer that had begun to be passed on.
#[derive(Debug, thiserror::Error)]
#[error("the upstream broke off its answer")]
struct Broken;

impl Body for Content {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let me = &mut *self;
        match &mut me.source {
            Source::Whole(data) if data.is_empty() => Poll::Ready(None),
            Source::Whole(data) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(data))))),
            Source::Streaming(parts) => parts.poll_recv(cx).map(|part| match part {
                Some(Part::Data(data)) => Some(Ok(Frame::data(data))),
                Some(Part::Last) => None,
                None => {
                    me.client.broken.set(true);
                    Some(Err(Broken))
                }
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.source, Source::Whole(data) if data.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(data) => SizeHint::with_exact(data.len() as u64),
            Source::Streaming(_) => SizeHint::default(),
        }
    }
}

impl Drop for Content {
    fn drop(&mut self) {
        if self.client.phase.get() != Phase::Closing {
            self.client.turn(Phase::Idle);
        }
    }
}
