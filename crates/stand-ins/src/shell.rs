//! A points node behind sockets: the emulated node, driven by the clock, behind an HTTP/1.1 server.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oorandom::Rand64;
use sableloom_emulator::{
    AttemptOutcome, Completion, Fault, Node, NodeProfile, NodeRequest, Phase, noise,
};
use sableloom_types::settings::stable_hash;
use sableloom_types::{Span, Time};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, spawn_local};

use crate::faulty_stream::{FaultyStream, WriteFault};

/// Bytes that are sent of a truncated answer: its status line and a part of its header fields.
const CUT_ANSWER_BYTES: usize = 24;

/// A class of requests, as a node knows it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name, which is the first segment of the path.
    pub name: String,
    /// Mean work, in microseconds of a core of speed 1.
    pub work: f64,
    /// Its coefficient of variation.
    pub spread: f64,
    /// Time that a request waits for other systems after its work.
    pub wait: Duration,
    /// Whether its executions are counted.
    pub effect: bool,
}

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name, which its answers contain.
    pub name: String,
    /// Its capacity and limits.
    pub profile: NodeProfile,
    /// The request classes that it serves.
    pub classes: Vec<Class>,
    /// Seed of its random draws.
    pub seed: u64,
}

/// A request that has arrived whole.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: String,
    /// Its sender, as given to [`Shell::serve`].
    pub from: usize,
    /// When its last bytes left the sender.
    pub at: Instant,
}

/// How late the node's timers fired: how often, and at worst.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    /// Number of timers that fired.
    pub wakes: u64,
    /// How many of these were later than [`Lateness::LATE`].
    pub late: u64,
    /// The largest delay.
    pub worst: Duration,
}

impl Lateness {
    /// A timer later than this distorts the node noticeably: it is a tenth of a usual answer time.
    pub const LATE: Duration = Duration::from_millis(10);

    /// Share of the timers that were late.
    pub fn share(&self) -> f64 {
        self.late as f64 / self.wakes.max(1) as f64
    }
}

struct ShellState {
    node: Node<String>,
    /// Who waits for the outcome of an attempt, by its number.
    waiting: HashMap<u64, oneshot::Sender<AttemptOutcome>>,
    done: Vec<Completion>,
    rng: Rand64,
    attempts: u64,
    /// Tasks of open connections, which are aborted when the node goes down.
    connections: HashMap<u64, AbortHandle>,
    accepted: u64,
    shut_out: u64,
    arrivals: Vec<Arrival>,
    lateness: Lateness,
}

/// A node; it lives on the `LocalSet` that it was made on.
pub struct Shell {
    name: String,
    classes: Vec<Class>,
    start: Instant,
    state: RefCell<ShellState>,
    changed: Notify,
}

/// Releases a connection's place at the node when the connection ends, however it does.
struct ConnectionGuard {
    shell: Rc<Shell>,
    number: u64,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut state = self.shell.state.borrow_mut();
        // After a crash the node has no connections any more.
        if state.connections.remove(&self.number).is_some() {
            state.node.disconnect();
        }
    }
}

/// Dropped before the answer, it reports to the node that the client has gone.
struct AttemptGuard {
    shell: Rc<Shell>,
    attempt: u64,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.shell.now();
        let mut state = self.shell.state.borrow_mut();
        if state.waiting.remove(&self.attempt).is_some() {
            let ShellState { node, done, .. } = &mut *state;
            node.client_left(now, self.attempt, done);
            drop(state);
            self.shell.changed.notify_one();
        }
    }
}

impl Shell {
    /// A warm node; to be called on a `LocalSet`.
    pub fn start(options: Options) -> Rc<Self> {
        let Options { name, profile, classes, seed } = options;
        let shell = Rc::new(Self {
            name,
            start: Instant::now(),
            state: RefCell::new(ShellState {
                node: Node::new(profile, classes.len(), Time(0)),
                waiting: HashMap::new(),
                done: Vec::new(),
                rng: Rand64::new(u128::from(seed)),
                attempts: 0,
                connections: HashMap::new(),
                accepted: 0,
                shut_out: 0,
                arrivals: Vec::new(),
                lateness: Lateness::default(),
            }),
            classes,
            changed: Notify::new(),
        });
        // Runs as long as the `LocalSet` does, and wakes only when something is due or has changed.
        let own = shell.clone();
        spawn_local(async move {
            loop {
                let due = own.advance().map(|at| tokio::time::Instant::from_std(own.instant(at)));
                let woken = async {
                    match due {
                        Some(due) => tokio::time::sleep_until(due).await,
                        None => std::future::pending().await,
                    }
                    due.map(|due| due.elapsed())
                };
                tokio::select! {
                    late = woken => {
                        let late = late.unwrap_or_default();
                        let lateness = &mut own.state.borrow_mut().lateness;
                        lateness.wakes += 1;
                        lateness.late += u64::from(late > Lateness::LATE);
                        lateness.worst = lateness.worst.max(late);
                    }
                    () = own.changed.notified() => {}
                }
            }
        });
        shell
    }

    fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as i64)
    }

    fn instant(&self, time: Time) -> Instant {
        // Bounded, because a pause may have no end.
        self.start + Duration::from_micros(time.0.clamp(0, 1 << 50) as u64)
    }

    /// Advances the node to the present and delivers outcomes; returns when it is due next.
    fn advance(&self) -> Option<Time> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let ShellState { node, waiting, done, .. } = &mut *state;
        node.advance(now, done);
        for Completion { attempt, outcome } in done.drain(..) {
            if let Some(sender) = waiting.remove(&attempt) {
                // The receiver may have gone.
                let _ = sender.send(outcome);
            }
        }
        let next = node.next();
        if node.phase() != Phase::Up {
            // A process that has ended has no connections.
            let ended = std::mem::take(&mut state.connections);
            drop(state);
            ended.into_values().for_each(|connection| connection.abort());
        }
        next
    }

    /// Applies a change to the node.
    pub fn act(&self, what: impl FnOnce(&mut Node<String>, Time, &mut Vec<Completion>)) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let ShellState { node, done, .. } = &mut *state;
        what(node, now, done);
        drop(state);
        self.advance();
        self.changed.notify_one();
    }

    /// Restarts it, cold.
    pub fn restart(&self) {
        self.act(|node, now, out| node.stop(now, out));
        self.act(|node, now, out| node.start(now, out));
    }

    /// Ends it like a killed process.
    pub fn stop(&self) {
        self.act(|node, now, out| node.stop(now, out));
    }

    /// Makes it do nothing for a time.
    pub fn pause(&self, time: Duration) {
        let time = Span(time.as_micros() as i64);
        self.act(|node, now, out| node.pause(now, now.plus(time), out));
    }

    /// Injects a fault, for one class or for all.
    pub fn set_fault(&self, class: Option<usize>, fault: Fault) {
        let classes = 0..self.classes.len();
        self.act(|node, _, _| {
            let meant = classes.filter(|c| class.is_none_or(|class| class == *c));
            meant.for_each(|c| node.set_fault(c, fault));
        });
    }

    /// Sets the share of its cores that its neighbours leave it.
    pub fn set_core_share(&self, share: f64) {
        self.act(|node, now, out| node.set_core_share(now, share, out));
    }

    /// Reads from the node.
    pub fn look<T>(&self, at: impl FnOnce(&Node<String>) -> T) -> T {
        at(&self.state.borrow().node)
    }

    /// Share of its full capacity that is available now.
    pub fn capacity_share(&self) -> f64 {
        self.state.borrow().node.capacity_share(self.now())
    }

    /// The requests that have arrived since the last call.
    pub fn arrivals(&self) -> Vec<Arrival> {
        std::mem::take(&mut self.state.borrow_mut().arrivals)
    }

    /// How late its timers fired.
    pub fn lateness(&self) -> Lateness {
        self.state.borrow().lateness
    }

    /// Numbers of connections that it accepted and rejected.
    pub fn accepted(&self) -> (u64, u64) {
        let state = self.state.borrow();
        (state.accepted, state.shut_out)
    }

    /// Whether it holds a request with an effect for which this sender waits.
    pub fn holds_effect(&self, from: usize) -> bool {
        let state = self.state.borrow();
        let of = |id: &String| state.arrivals.iter().rev().any(|a| a.from == from && a.id == *id);
        state.node.awaited_attempts().any(|ask| ask.effect && of(&ask.id))
    }

    /// Serves a connection to its end; false if the node is down. `sent` holds the time at which the sender
    /// sent the last bytes, which may be long before they arrive.
    pub async fn serve<S>(self: &Rc<Self>, stream: S, from: usize, sent: Rc<Cell<Instant>>) -> bool
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let now = self.now();
        let number = {
            let mut state = self.state.borrow_mut();
            let ShellState { node, done, .. } = &mut *state;
            let taken = node.connect(now, done);
            if !taken && node.phase() != Phase::Up {
                return false;
            }
            state.accepted += u64::from(taken);
            taken.then_some(state.accepted)
        };
        self.changed.notify_one();
        let Some(number) = number else {
            // Too many connections: one request on this one is rejected unread, then it is closed.
            self.state.borrow_mut().shut_out += 1;
            let answer = async |_: Request<Incoming>| Ok::<_, Infallible>(turned_away());
            let mut server = http1::Builder::new();
            server.keep_alive(false);
            let _ = server.serve_connection(TokioIo::new(stream), service_fn(answer)).await;
            return true;
        };
        let fault = Rc::new(Cell::new(WriteFault::None));
        let io = TokioIo::new(FaultyStream::new(stream, fault.clone()));
        let shell = self.clone();
        let connection = spawn_local(async move {
            let answer = |request| {
                let (shell, fault, sent) = (shell.clone(), fault.clone(), sent.clone());
                async move { shell.answer(request, from, &fault, &sent).await }
            };
            // A broken connection is for its client to handle.
            let _ = http1::Builder::new().serve_connection(io, service_fn(answer)).await;
        });
        self.state.borrow_mut().connections.insert(number, connection.abort_handle());
        let _guard = ConnectionGuard { shell: self.clone(), number };
        // An aborted connection has ended as well.
        let _ = connection.await;
        true
    }

    /// Starts an attempt whose last byte has arrived: returns its number, and a receiver of its outcome.
    fn begin(
        &self,
        id: String,
        class: usize,
        key: Option<u64>,
        from: usize,
        sent: Instant,
    ) -> (u64, oneshot::Receiver<AttemptOutcome>) {
        let (sender, outcome) = oneshot::channel();
        let Class { work, spread, wait, effect, .. } = self.classes[class];
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.attempts += 1;
        let attempt = state.attempts;
        state.arrivals.push(Arrival { id: id.clone(), from, at: sent });
        let work = work * noise(&mut state.rng, spread);
        let draw = state.rng.rand_float();
        let wait = Span(wait.as_micros() as i64);
        state.waiting.insert(attempt, sender);
        let ask = NodeRequest { id, attempt, class, work, wait, key, effect, draw };
        let ShellState { node, done, .. } = &mut *state;
        node.arrive(now, ask, done);
        drop(state);
        self.advance();
        self.changed.notify_one();
        (attempt, outcome)
    }

    async fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
        from: usize,
        fault: &Cell<WriteFault>,
        sent: &Cell<Instant>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        // A request starts when its last byte has arrived.
        if body.collect().await.is_err() {
            return Ok(plain(StatusCode::BAD_REQUEST, String::new()));
        }
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let part = head.uri.path().split('/').nth(1).unwrap_or_default();
        let class = self.classes.iter().position(|class| class.name == part);
        let (Some(id), Some(class)) = (text("x-trace-id").map(str::to_string), class) else {
            return Ok(plain(StatusCode::NOT_FOUND, String::new()));
        };
        let key = text("x-object").map(stable_hash);
        let (attempt, outcome) = self.begin(id.clone(), class, key, from, sent.get());
        let _guard = AttemptGuard { shell: self.clone(), attempt };
        let outcome = outcome.await;
        let answer = || {
            let body = serde_json::json!({"node": self.name, "id": id}).to_string();
            plain(StatusCode::OK, body)
        };
        Ok(match outcome {
            Ok(AttemptOutcome::Served) => answer(),
            Ok(AttemptOutcome::Error) => plain(StatusCode::INTERNAL_SERVER_ERROR, String::new()),
            Ok(AttemptOutcome::Rejected) => turned_away(),
            Ok(AttemptOutcome::Invalid) => {
                fault.set(WriteFault::Garble);
                answer()
            }
            Ok(AttemptOutcome::Truncated) => {
                fault.set(WriteFault::CutAfter(CUT_ANSWER_BYTES));
                answer()
            }
            Ok(AttemptOutcome::Reset) | Err(_) => {
                fault.set(WriteFault::CutAfter(0));
                answer()
            }
        })
    }
}

fn turned_away() -> Response<Full<Bytes>> {
    let mut full = plain(StatusCode::SERVICE_UNAVAILABLE, String::new());
    full.headers_mut().insert("x-never-ran", HeaderValue::from_static("1"));
    full
}

fn plain(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(body));
    *answer.status_mut() = status;
    answer
}

/// Serves all connections of a listener, as from one sender, until accepting fails.
pub(crate) async fn accept(shell: Rc<Shell>, listener: tokio::net::TcpListener) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        // Without this, small answers wait for an acknowledgement of the other end.
        stream.set_nodelay(true)?;
        let shell = shell.clone();
        let sent = Rc::new(Cell::new(Instant::now()));
        spawn_local(async move { shell.serve(stream, 0, sent).await });
    }
}
