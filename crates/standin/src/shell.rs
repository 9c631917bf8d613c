//! A points node behind sockets: the emulated node, driven by the clock, with HTTP/1.1 before it.

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
use sableloom_emulator::{Ask, Done, Ending, Fault, Nature, Node, Phase, noise};
use sableloom_types::settings::stable_hash;
use sableloom_types::{Span, Time};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, spawn_local};

use crate::valve::{Valve, Valved};

/// Bytes of an answer that is cut that come all the same: its status line and a part of its fields.
const CUT_AFTER: usize = 24;

/// A class of requests, as a node knows it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name, the first part of the path.
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

/// What a node is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name, which its answers bear.
    pub name: String,
    /// What it is like.
    pub nature: Nature,
    /// What it serves.
    pub classes: Vec<Class>,
    /// For its draws.
    pub seed: u64,
}

/// A request whose last byte has come.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: String,
    /// Who sent it, as [`Shell::serve`] was told.
    pub from: usize,
    /// When its last bytes left the sender.
    pub at: Instant,
}

/// How far behind its time the node's clockwork was, at worst and how often.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    /// Times that it woke.
    pub wakes: u64,
    /// Of these, so many later than [`Lateness::LATE`].
    pub late: u64,
    /// The worst.
    pub worst: Duration,
}

impl Lateness {
    /// Past this a node is no longer what it is said to be: a tenth of a usual answer.
    pub const LATE: Duration = Duration::from_millis(10);

    /// Share of the wakes that were late.
    pub fn share(&self) -> f64 {
        self.late as f64 / self.wakes.max(1) as f64
    }
}

struct Inside {
    node: Node<String>,
    /// Who waits for an attempt.
    told: HashMap<u64, oneshot::Sender<Ending>>,
    done: Vec<Done>,
    rng: Rand64,
    attempts: u64,
    /// Connections that are open, to be ended with the node.
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
    inside: RefCell<Inside>,
    changed: Notify,
}

/// A connection's place at the node; it is given back however the connection ends.
struct Connected {
    shell: Rc<Shell>,
    number: u64,
}

impl Drop for Connected {
    fn drop(&mut self) {
        let mut inside = self.shell.inside.borrow_mut();
        // After a crash the node knows of no connections.
        if inside.connections.remove(&self.number).is_some() {
            inside.node.disconnect();
        }
    }
}

/// An attempt's place; dropped before its answer it means that the client has gone.
struct Attended {
    shell: Rc<Shell>,
    attempt: u64,
}

impl Drop for Attended {
    fn drop(&mut self) {
        let now = self.shell.now();
        let mut inside = self.shell.inside.borrow_mut();
        if inside.told.remove(&self.attempt).is_some() {
            let Inside { node, done, .. } = &mut *inside;
            node.leave(now, self.attempt, done);
            drop(inside);
            self.shell.changed.notify_one();
        }
    }
}

impl Shell {
    /// A warm node; to be called on a `LocalSet`.
    pub fn start(options: Options) -> Rc<Self> {
        let Options { name, nature, classes, seed } = options;
        let shell = Rc::new(Self {
            name,
            start: Instant::now(),
            inside: RefCell::new(Inside {
                node: Node::new(nature, classes.len(), Time(0)),
                told: HashMap::new(),
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
        // It runs as long as the `LocalSet` does, and wakes for what is due or has changed, nothing else.
        let own = shell.clone();
        spawn_local(async move {
            loop {
                let due = own.turn().map(|at| tokio::time::Instant::from_std(own.instant(at)));
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
                        let lateness = &mut own.inside.borrow_mut().lateness;
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
        // A pause without an end: as far as anyone looks.
        self.start + Duration::from_micros(time.0.clamp(0, 1 << 50) as u64)
    }

    /// Brings the node up to now and tells those whose attempts ended; when it is due next.
    fn turn(&self) -> Option<Time> {
        let now = self.now();
        let mut inside = self.inside.borrow_mut();
        let Inside { node, told, done, .. } = &mut *inside;
        node.advance(now, done);
        for Done { attempt, ending } in done.drain(..) {
            if let Some(told) = told.remove(&attempt) {
                // Whoever no longer waits needs no telling.
                let _ = told.send(ending);
            }
        }
        let next = node.next();
        if node.phase() != Phase::Up {
            // A process that is gone has no connections.
            let ended = std::mem::take(&mut inside.connections);
            drop(inside);
            ended.into_values().for_each(|connection| connection.abort());
        }
        next
    }

    /// Does something to the node.
    pub fn act(&self, what: impl FnOnce(&mut Node<String>, Time, &mut Vec<Done>)) {
        let now = self.now();
        let mut inside = self.inside.borrow_mut();
        let Inside { node, done, .. } = &mut *inside;
        what(node, now, done);
        drop(inside);
        self.turn();
        self.changed.notify_one();
    }

    /// It starts anew, cold.
    pub fn restart(&self) {
        self.act(|node, now, out| node.stop(now, out));
        self.act(|node, now, out| node.start(now, out));
    }

    /// It is gone, as a process that was killed.
    pub fn stop(&self) {
        self.act(|node, now, out| node.stop(now, out));
    }

    /// It does nothing for so long.
    pub fn pause(&self, time: Duration) {
        let time = Span(time.as_micros() as i64);
        self.act(|node, now, out| node.pause(now, now.plus(time), out));
    }

    /// What is wrong with it for a class, or for all.
    pub fn fault(&self, class: Option<usize>, fault: Fault) {
        let classes = 0..self.classes.len();
        self.act(|node, _, _| {
            let meant = classes.filter(|c| class.is_none_or(|class| class == *c));
            meant.for_each(|c| node.fault(c, fault));
        });
    }

    /// Its neighbours leave it this share of its cores.
    pub fn neighbours(&self, share: f64) {
        self.act(|node, now, out| node.neighbours(now, share, out));
    }

    /// Looks at the node.
    pub fn look<T>(&self, at: impl FnOnce(&Node<String>) -> T) -> T {
        at(&self.inside.borrow().node)
    }

    /// Share of its capacity that it has now.
    pub fn present(&self) -> f64 {
        self.inside.borrow().node.present(self.now())
    }

    /// What came since the last call.
    pub fn arrivals(&self) -> Vec<Arrival> {
        std::mem::take(&mut self.inside.borrow_mut().arrivals)
    }

    /// How late its clockwork was.
    pub fn lateness(&self) -> Lateness {
        self.inside.borrow().lateness
    }

    /// Connections that it took, and those that it had no place for.
    pub fn accepted(&self) -> (u64, u64) {
        let inside = self.inside.borrow();
        (inside.accepted, inside.shut_out)
    }

    /// Whether a request with an effect is here that this sender waits for.
    pub fn holds_effect(&self, from: usize) -> bool {
        let inside = self.inside.borrow();
        let of = |id: &String| inside.arrivals.iter().rev().any(|a| a.from == from && a.id == *id);
        inside.node.attended().any(|ask| ask.effect && of(&ask.id))
    }

    /// Serves a connection to its end; false if no node is there. `sent` says when the last bytes that
    /// came left whoever sent them, which may be long before they are here.
    pub async fn serve<S>(self: &Rc<Self>, stream: S, from: usize, sent: Rc<Cell<Instant>>) -> bool
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let now = self.now();
        let number = {
            let mut inside = self.inside.borrow_mut();
            let Inside { node, done, .. } = &mut *inside;
            let taken = node.connect(now, done);
            if !taken && node.phase() != Phase::Up {
                return false;
            }
            inside.accepted += u64::from(taken);
            taken.then_some(inside.accepted)
        };
        self.changed.notify_one();
        let Some(number) = number else {
            // It holds too many: what comes on this one is turned away unseen, and that is its end.
            self.inside.borrow_mut().shut_out += 1;
            let answer = async |_: Request<Incoming>| Ok::<_, Infallible>(turned_away());
            let mut server = http1::Builder::new();
            server.keep_alive(false);
            let _ = server.serve_connection(TokioIo::new(stream), service_fn(answer)).await;
            return true;
        };
        let valve = Rc::new(Cell::new(Valve::Open));
        let io = TokioIo::new(Valved::new(stream, valve.clone()));
        let shell = self.clone();
        let connection = spawn_local(async move {
            let answer = |request| {
                let (shell, valve, sent) = (shell.clone(), valve.clone(), sent.clone());
                async move { shell.answer(request, from, &valve, &sent).await }
            };
            // A connection that breaks is its client's to deal with.
            let _ = http1::Builder::new().serve_connection(io, service_fn(answer)).await;
        });
        self.inside.borrow_mut().connections.insert(number, connection.abort_handle());
        let _connected = Connected { shell: self.clone(), number };
        // One that was ended from outside is over as well.
        let _ = connection.await;
        true
    }

    /// The last byte of a request has come: its attempt's number, and where its end will be told.
    fn begin(
        &self,
        id: String,
        class: usize,
        key: Option<u64>,
        from: usize,
        sent: Instant,
    ) -> (u64, oneshot::Receiver<Ending>) {
        let (told, ending) = oneshot::channel();
        let Class { work, spread, wait, effect, .. } = self.classes[class];
        let now = self.now();
        let mut inside = self.inside.borrow_mut();
        inside.attempts += 1;
        let attempt = inside.attempts;
        inside.arrivals.push(Arrival { id: id.clone(), from, at: sent });
        let work = work * noise(&mut inside.rng, spread);
        let lot = inside.rng.rand_float();
        let wait = Span(wait.as_micros() as i64);
        inside.told.insert(attempt, told);
        let ask = Ask { id, attempt, class, work, wait, key, effect, lot };
        let Inside { node, done, .. } = &mut *inside;
        node.arrive(now, ask, done);
        drop(inside);
        self.turn();
        self.changed.notify_one();
        (attempt, ending)
    }

    async fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
        from: usize,
        valve: &Cell<Valve>,
        sent: &Cell<Instant>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        // A request begins once its last byte has come.
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
        let (attempt, ending) = self.begin(id.clone(), class, key, from, sent.get());
        let _attended = Attended { shell: self.clone(), attempt };
        let ending = ending.await;
        let answer = || {
            let body = serde_json::json!({"node": self.name, "id": id}).to_string();
            plain(StatusCode::OK, body)
        };
        Ok(match ending {
            Ok(Ending::Served) => answer(),
            Ok(Ending::Error) => plain(StatusCode::INTERNAL_SERVER_ERROR, String::new()),
            Ok(Ending::TurnedAway) => turned_away(),
            Ok(Ending::Spoilt) => {
                valve.set(Valve::Spoil);
                answer()
            }
            Ok(Ending::Cut) => {
                valve.set(Valve::Cut(CUT_AFTER));
                answer()
            }
            Ok(Ending::Reset) | Err(_) => {
                valve.set(Valve::Cut(0));
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

/// Serves a listener's connections, as from one sender, to the end of time.
pub async fn accept(shell: Rc<Shell>, listener: tokio::net::TcpListener) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        // Without it small answers wait for the other end's acknowledgement.
        stream.set_nodelay(true)?;
        let shell = shell.clone();
        let sent = Rc::new(Cell::new(Instant::now()));
        spawn_local(async move { shell.serve(stream, 0, sent).await });
    }
}
