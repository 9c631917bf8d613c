//! The open-loop load generator: each request is sent at its scheduled time, whether or not earlier ones
//! were answered.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use rustix::time::{ClockId, clock_gettime};
use sableloom_rehearsal::{Answer, Arrival, Clients, Idempotency, Try};
use tokio::net::TcpStream;
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

use crate::endpoints::Endpoints;

/// A connection that is not established within this time counts as failed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client waits beyond the deadline and the machine's slack, so that a late answer is not
/// counted as a missing one.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(1);
/// Idle connections that one worker keeps to each balancer.
const MAX_IDLE: usize = 64;

/// A request class, as clients know it.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    /// Its name.
    pub name: String,
    /// When a client gives up.
    pub deadline: Duration,
    /// Whether a request may be repeated.
    pub idempotency: Idempotency,
}

/// The configuration and state that all workers of the load generator share.
#[derive(Clone, Debug)]
pub(crate) struct LoadGenerator {
    /// The requests to send, in the order of their times.
    pub arrivals: Arc<Vec<Arrival>>,
    /// The request classes.
    pub classes: Arc<Vec<Class>>,
    /// How clients retry and leave.
    pub clients: Clients,
    /// How late an answer may be because of this machine.
    pub slack: Duration,
    /// The balancers, as clients see them.
    pub endpoints: Endpoints,
    /// Time zero: reported times count from here.
    pub start: Instant,
    /// Part of every request id: no two runs share it.
    pub run: u64,
    /// Counters for the progress bar.
    pub progress: Arc<Progress>,
}

/// Counters that all workers update.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Tries that were sent.
    pub sent: AtomicU64,
    /// Tries that were served.
    pub served: AtomicU64,
    /// Tries that are over.
    pub over: AtomicU64,
}

/// What one worker measured.
#[derive(Debug)]
pub(crate) struct WorkerResult {
    /// In the order in which they ended.
    pub tries: Vec<Try>,
    /// How late requests were sent, in microseconds.
    pub late: Histogram<u64>,
    /// Processor time that the worker used.
    pub processor: Duration,
    /// Requests that could not be sent for want of descriptors or ports.
    pub unsent: u64,
}

/// Starts the worker that sends every `threads`-th arrival, from number `rest` on.
pub(crate) fn start(
    generator: LoadGenerator,
    rest: usize,
    threads: usize,
) -> std::io::Result<JoinHandle<WorkerResult>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name(format!("clients-{rest}")).spawn(move || {
        let seen = LocalSet::new().block_on(&runtime, run(generator, rest, threads));
        // Tasks that still wait, such as those of connections, end with the runtime.
        drop(runtime);
        seen
    })
}

type Sender = SendRequest<Full<Bytes>>;

struct Worker {
    generator: LoadGenerator,
    idle: RefCell<Vec<Vec<Sender>>>,
    tries: RefCell<Vec<Try>>,
    unsent: Cell<u64>,
}

/// One try, as it is sent.
struct Outgoing<'a> {
    id: &'a str,
    arrival: &'a Arrival,
    class: &'a Class,
    balancer: usize,
}

/// The outcome of sending one request on one connection.
enum SendOutcome {
    Answered(StatusCode, Bytes),
    /// The balancer closed the connection without answering, perhaps before it read the request.
    ClosedUnanswered,
    BodyIncomplete,
    ConnectFailed,
    /// This process lacks descriptors or ports.
    LocalFailure,
}

async fn run(generator: LoadGenerator, rest: usize, threads: usize) -> WorkerResult {
    let mut late = Histogram::new(3).expect("three digits are few enough");
    let balancers = generator.endpoints.count();
    let worker = Rc::new(Worker {
        idle: RefCell::new((0..balancers).map(|_| Vec::new()).collect()),
        tries: RefCell::default(),
        unsent: Cell::new(0),
        generator,
    });
    let generator = &worker.generator;
    let mut clients = JoinSet::new();
    for number in (rest..generator.arrivals.len()).step_by(threads.max(1)) {
        let moment = generator.start + Duration::from_micros(generator.arrivals[number].at as u64);
        if moment > Instant::now() {
            sleep_until(moment.into()).await;
        }
        // The histogram resizes itself: no value is out of its bounds.
        let _ = late.record(moment.elapsed().as_micros() as u64);
        let client = worker.clone();
        clients.spawn_local(async move { client.run_client(number).await });
        while let Some(ended) = clients.try_join_next() {
            ended.expect("a client ends");
        }
    }
    // Each client has a time-out of its own, so this ends.
    while let Some(ended) = clients.join_next().await {
        ended.expect("a client ends");
    }
    let processor = clock_gettime(ClockId::ThreadCPUTime);
    let processor = Duration::new(processor.tv_sec as u64, processor.tv_nsec as u32);
    WorkerResult { tries: worker.tries.take(), late, processor, unsent: worker.unsent.get() }
}

impl Worker {
    fn micros(&self, at: Instant) -> i64 {
        at.saturating_duration_since(self.generator.start).as_micros() as i64
    }

    /// Runs one client from its arrival to the end of its last try.
    async fn run_client(self: &Rc<Self>, number: usize) {
        let arrival = &self.generator.arrivals[number];
        let Clients { again, after, elsewhere, .. } = self.generator.clients;
        let mut last = None;
        // Each try uses another draw, derived from the one of the arrival.
        let mut draw = arrival.balancer_draw;
        for time in 0..=again {
            let exclude = last.filter(|_| elsewhere);
            let Some(balancer) = self.generator.endpoints.choose(arrival.zone, draw, exclude)
            else {
                // No balancer is reachable: this counts as a try.
                self.wait(after, draw).await;
                continue;
            };
            last = Some(balancer);
            let answer = self.send_try(number, time, balancer).await;
            let safe = self.generator.classes[arrival.class].idempotency == Idempotency::Idempotent;
            let harmless = match answer {
                Answer::Refused | Answer::Unreached => true,
                Answer::Failed | Answer::Broken => safe,
                _ => false,
            };
            if !harmless {
                return;
            }
            draw = (draw * 7919.0 + 0.377).fract();
            if time < again {
                self.wait(after, draw).await;
            }
        }
    }

    async fn wait(&self, (least, most): (i64, i64), draw: f64) {
        let time = least as f64 + (most - least) as f64 * draw;
        sleep(Duration::from_micros(time as u64)).await;
    }

    /// Sends one try and records its outcome.
    async fn send_try(self: &Rc<Self>, number: usize, time: u32, balancer: usize) -> Answer {
        let arrival = &self.generator.arrivals[number];
        let class = &self.generator.classes[arrival.class];
        let id = format!("{:08x}-{number}-{time}", self.generator.run);
        let sent = Instant::now();
        let progress = &self.generator.progress;
        progress.sent.fetch_add(1, Ordering::Relaxed);
        let patience = class.deadline + self.generator.slack + LATE_ANSWER_WAIT;
        let Clients { leave, leave_after, .. } = self.generator.clients;
        let leaves = arrival.leave_draw < leave;
        let wait = match leaves {
            true => patience.min(Duration::from_micros(leave_after as u64)),
            false => patience,
        };
        let outgoing = Outgoing { id: &id, arrival, class, balancer };
        let answer = match timeout(wait, self.ask(&outgoing)).await {
            Err(_) if leaves => Answer::Left,
            Err(_) => Answer::Silent,
            Ok(SendOutcome::Answered(StatusCode::OK, body)) => {
                // Served only if the body is a node's answer to this request.
                let own = serde_json::from_slice::<serde_json::Value>(&body)
                    .is_ok_and(|body| body["id"] == id.as_str());
                if own { Answer::Served } else { Answer::Wrong }
            }
            Ok(SendOutcome::Answered(
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE,
                _,
            )) => Answer::Refused,
            Ok(SendOutcome::Answered(..)) => Answer::Failed,
            Ok(SendOutcome::BodyIncomplete | SendOutcome::ClosedUnanswered) => Answer::Broken,
            Ok(SendOutcome::ConnectFailed) => Answer::Unreached,
            Ok(SendOutcome::LocalFailure) => {
                self.unsent.set(self.unsent.get() + 1);
                Answer::Unreached
            }
        };
        progress.over.fetch_add(1, Ordering::Relaxed);
        progress.served.fetch_add(u64::from(answer == Answer::Served), Ordering::Relaxed);
        let (sent, ended) = (self.micros(sent), self.micros(Instant::now()));
        let one = Try { id, arrival: number, balancer, sent, ended, answer };
        self.tries.borrow_mut().push(one);
        answer
    }

    async fn ask(&self, outgoing: &Outgoing<'_>) -> SendOutcome {
        let balancer = outgoing.balancer;
        loop {
            let idle = loop {
                let next = self.idle.borrow_mut()[balancer].pop();
                match next {
                    Some(sender) if sender.is_closed() => {}
                    next => break next,
                }
            };
            let used = idle.is_some();
            let sender = match idle {
                Some(sender) => sender,
                None => match self.connect(balancer).await {
                    Ok(sender) => sender,
                    Err(sent) => return sent,
                },
            };
            match self.send(sender, outgoing).await {
                // A balancer may close an idle connection while the request is on its way; the client then
                // sends it again on a new connection. One that was killed or stopped may have read it.
                SendOutcome::ClosedUnanswered
                    if used && !self.generator.endpoints.is_unavailable(balancer) => {}
                sent => return sent,
            }
        }
    }

    async fn connect(&self, balancer: usize) -> Result<Sender, SendOutcome> {
        let address = self.generator.endpoints.address(balancer);
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            // A shortage of this process, not a fault of the balancer.
            Ok(Err(e)) if matches!(e.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL)) => {
                return Err(SendOutcome::LocalFailure);
            }
            Ok(Err(_)) | Err(_) => return Err(SendOutcome::ConnectFailed),
        };
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|_| SendOutcome::ConnectFailed)?;
        spawn_local(async move {
            // The request on it learns how the connection ended.
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn send(&self, mut sender: Sender, outgoing: &Outgoing<'_>) -> SendOutcome {
        let Outgoing { id, arrival, class, balancer } = *outgoing;
        let (method, body) = match class.idempotency {
            Idempotency::Idempotent => (Method::GET, Bytes::new()),
            Idempotency::NonIdempotent => (Method::POST, Bytes::from_static(b"{\"points\":10}")),
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("/{}/card-{}", class.name, arrival.key))
            .header("host", "points.test")
            .header("x-trace-id", id)
            .header("x-qos", &class.name)
            .header("x-object", format!("card-{}", arrival.key))
            .header("x-expires-in-ms", class.deadline.as_millis().to_string())
            .body(Full::from(body));
        let Ok(request) = request else { return SendOutcome::LocalFailure };
        if sender.ready().await.is_err() {
            return SendOutcome::ClosedUnanswered;
        }
        let answer = match sender.send_request(request).await {
            Ok(answer) => answer,
            Err(_) => return SendOutcome::ClosedUnanswered,
        };
        let status = answer.status();
        let Ok(body) = answer.into_body().collect().await else {
            return SendOutcome::BodyIncomplete;
        };
        let mut idle = self.idle.borrow_mut();
        if !sender.is_closed() && idle[balancer].len() < MAX_IDLE {
            idle[balancer].push(sender);
        }
        SendOutcome::Answered(status, body.to_bytes())
    }
}

/// errno(3): too many open files, in the process and in the system; no port is free.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;
