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
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout, timeout_at};

use crate::config::{BODY_MAX, HEAD_MAX};
use crate::node::{Asked, Message, Node, Reply, Taken, Turned};
use crate::wire::{Io, Wire};

/// From its first byte, and on a new connection from the accept, a request has so long to be whole.
/// Guards against heads and bodies that don't end, trickle, or never begin; an honest client on a
/// line slower than that would be turned away, but its request's time would be over as well.
const TAKE: Duration = Duration::from_millis(2200);
/// A connection whose request was not whole by then and could not be answered is closed.
const TAKE_CLOSE: Duration = Duration::from_millis(2400);
/// A connection on which nothing is asked for so long is closed: a client that comes again opens
/// another, and those that never come again would hold descriptors and memory for good.
const IDLE: Duration = Duration::from_millis(2500);
/// How long a closed connection is still read, so that its last answer arrives.
const LINGER: Duration = Duration::from_millis(500);
/// When no connection could make room, how soon another look is taken.
const EVICT_AGAIN: Duration = Duration::from_millis(10);
/// The longest that a client may wait, an hour: more is no deadline.
const EXPIRES_MAX_MS: i64 = 3_600_000;
/// What each body may hold without drawing on the budget.
const BODY_FREE: usize = 8 << 10;

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
    /// When it came to its phase.
    since: Cell<Instant>,
    /// When its present request began to come.
    begun: Cell<Instant>,
    lengths: Lengths,
    close: Cell<Option<Close>>,
    wake: Notify,
}

impl Client {
    fn turn(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    fn heard(&self, bytes: &[u8]) {
        match self.phase.get() {
            Phase::Fresh => self.turn(Phase::Reading),
            Phase::Idle => {
                self.turn(Phase::Reading);
                self.begun.set(self.since.get());
                self.lengths.begin();
            }
            Phase::Busy => self.lengths.ahead.set(true),
            Phase::Reading | Phase::Closing => {}
        }
        self.lengths.scan(bytes);
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

/// Whether a request's head may have named a length beside its transfer coding. hyper takes such a
/// request as chunked and hides the length, as the RFC allows; but whoever goes by the length sees
/// another request in the body. So the lines are looked at as they come. Guards against every order
/// and spelling of the two; where requests come ahead of their turn, or a line of a chunked body
/// looks like a length, an honest chunked request may be turned away.
struct Lengths {
    /// How much of the name the present line has matched; past its end if it can't match.
    matched: Cell<usize>,
    seen: Cell<bool>,
    /// Bytes of the next request may have come with those of this one: they are never forgotten.
    ahead: Cell<bool>,
}

impl Lengths {
    const NAME: &[u8] = b"content-length";
    const NO_MATCH: usize = usize::MAX;

    fn new() -> Self {
        Self { matched: Cell::new(0), seen: Cell::new(false), ahead: Cell::new(false) }
    }

    /// A request begins behind an answer.
    fn begin(&self) {
        if !self.ahead.get() {
            self.matched.set(0);
            self.seen.set(false);
        }
    }

    fn scan(&self, bytes: &[u8]) {
        for byte in bytes {
            let at = self.matched.get();
            if *byte == b'\n' {
                self.matched.set(0);
            } else if Self::NAME.get(at).is_some_and(|n| n.eq_ignore_ascii_case(byte)) {
                self.matched.set(at + 1);
                if at + 1 == Self::NAME.len() {
                    self.seen.set(true);
                }
            } else {
                self.matched.set(Self::NO_MATCH);
            }
        }
    }
}

/// The listening side of the balancer.
pub struct Frontend {
    node: Rc<Node>,
    clients: RefCell<FxHashMap<u64, Rc<Client>>>,
    slots: Arc<Semaphore>,
    /// Memory for request bodies past [`BODY_FREE`]; what is below is bounded by the number of
    /// connections.
    bodies: Arc<Semaphore>,
    draining: Cell<bool>,
    next: Cell<u64>,
}

impl Frontend {
    pub fn new(node: Rc<Node>, most: usize, bodies: usize) -> Rc<Self> {
        Rc::new(Self {
            node,
            clients: RefCell::default(),
            slots: Arc::new(Semaphore::new(most)),
            bodies: Arc::new(Semaphore::new(bodies)),
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
            begun: Cell::new(Instant::now()),
            lengths: Lengths::new(),
            close: Cell::new(None),
            wake: Notify::new(),
        });
        let id = self.next.replace(self.next.get() + 1);
        self.clients.borrow_mut().insert(id, client.clone());
        let listed = Listed { frontend: self.clone(), id };
        spawn_local(serve(listed, client));
    }

    /// Closes what will be missed least: what is closing already, then what has said nothing for
    /// longest. What has spoken and was not yet heard is spared where anything else is left.
    fn evict(&self) {
        let clients = self.clients.borrow();
        let rank = |c: &Rc<Client>| {
            let class = match c.phase.get() {
                Phase::Closing => 0,
                _ if !c.wire.has_input() => 1,
                _ => 2,
            };
            (class, c.since.get())
        };
        let spare =
            clients.values().filter(|c| c.is_spare() && c.close.get() != Some(Close::Evict));
        if let Some(longest) = spare.min_by_key(|c| rank(c)) {
            longest.end(Close::Evict);
        }
    }

    /// Ends connections whose request does not come, or no more.
    pub fn sweep(&self) {
        for client in self.clients.borrow().values() {
            match client.phase.get() {
                Phase::Fresh | Phase::Reading if client.begun.get().elapsed() > TAKE_CLOSE => {
                    client.end(Close::Now);
                }
                Phase::Idle
                    if client.since.get().elapsed() > IDLE
                        && client.is_spare()
                        && !client.wire.has_input() =>
                {
                    client.end(Close::Gracefully);
                }
                _ => {}
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
    let io = Io { wire: client.wire.clone(), on_read: move |bytes: &[u8]| hears.heard(bytes) };
    let service = service_fn(|request| {
        let (frontend, client) = (frontend.clone(), client.clone());
        async move { Ok::<_, Infallible>(guarded(frontend, client, request).await) }
    });
    {
        let mut http = pin!(
            http1::Builder::new()
                .max_buf_size(HEAD_MAX)
                .serve_connection(TokioIo::new(io), service)
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
    if client.close.get() != Some(Close::Evict) {
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
    response.map(|data| Content { data, client })
}

/// An answer, and whether its connection ends with it.
struct Answer {
    response: Response<Bytes>,
    close: bool,
}

impl Answer {
    fn closing(mut self) -> Self {
        self.close = true;
        self
    }
}

fn plain(status: StatusCode) -> Answer {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    Answer { response, close: false }
}

fn served(headers: HeaderMap, body: Bytes) -> Answer {
    let mut response = Response::new(body);
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
    if head.headers.contains_key(header::TRANSFER_ENCODING) && client.lengths.seen.get() {
        return plain(StatusCode::BAD_REQUEST).closing();
    }
    let mut budget = None;
    let whole =
        timeout_at(client.begun.get() + TAKE, read_body(&frontend.bodies, body, &mut budget));
    let body = match whole.await {
        Ok(Ok(body)) => body,
        Ok(Err(status)) => return plain(status).closing(),
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT).closing(),
    };
    // It counts from its last byte, also where that came behind another request.
    let arrived = node.clock.at(client.wire.read_at.get());
    client.turn(Phase::Busy);
    let Wanted { class, tenant, key, expires, uri } = wanted;
    let asked = Asked { class, tenant, key, drop_dead: arrived.plus(expires) };
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    let message = Message { method: head.method, uri, headers, body, _budget: budget };
    let (taken, reply) = match node.request(asked, message) {
        Ok(taken) => taken,
        Err(Turned::TooMany) => return plain(StatusCode::SERVICE_UNAVAILABLE),
        Err(Turned::SameId) => return plain(StatusCode::CONFLICT).closing(),
    };
    let reply = reply.await;
    drop::<Taken>(taken);
    match reply {
        Ok(Reply::Served(headers, body)) => served(headers, body),
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

/// Reads a body whole. `budget` comes to hold what it draws: all that it may need at once, so that
/// bodies that wait for room hold none that others wait for.
async fn read_body(
    room: &Arc<Semaphore>,
    mut body: Incoming,
    budget: &mut Option<OwnedSemaphorePermit>,
) -> Result<Bytes, StatusCode> {
    let declared = body.size_hint().exact().unwrap_or(BODY_MAX as u64);
    if declared > BODY_MAX as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    if declared > BODY_FREE as u64 {
        *budget = room.clone().acquire_many_owned(declared as u32).await.ok();
    }
    // Copied together: pieces of a few bytes would each hold a buffer of their own.
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else { continue };
        if whole.len() + data.len() > BODY_MAX {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        if whole.is_empty() {
            whole.reserve(declared.min(BODY_FREE as u64).max(data.len() as u64) as usize);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

// ---------------------------------------------------------------- bodies of answers

/// An answer's body on its way to the client.
struct Content {
    data: Bytes,
    client: Rc<Client>,
}

impl Body for Content {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let data = std::mem::take(&mut self.data);
        Poll::Ready((!data.is_empty()).then(|| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.len() as u64)
    }
}

impl Drop for Content {
    fn drop(&mut self) {
        if self.client.phase.get() != Phase::Closing {
            self.client.turn(Phase::Idle);
        }
    }
}
