//! Clients in an open loop: each request leaves at its moment, whatever became of those before.

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
use sableloom_rehearsal::{Answer, Arrival, Clients, Effect, Try};
use tokio::net::TcpStream;
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

use crate::doors::Doors;

/// A connection that is not up by then has failed.
const CONNECT: Duration = Duration::from_secs(1);
/// Past a request's time and the machine's slack a client still waits so long, to tell an answer that
/// is too late from none.
const PATIENCE: Duration = Duration::from_secs(1);
/// Connections at rest that a thread of clients keeps at a balancer.
const IDLE: usize = 64;

/// A class, as clients know it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Given up after.
    pub deadline: Duration,
    /// What repeating it can do.
    pub effect: Effect,
}

/// What all clients share.
#[derive(Clone, Debug)]
pub struct Crowd {
    /// What comes.
    pub arrivals: Arc<Vec<Arrival>>,
    /// The classes.
    pub classes: Arc<Vec<Class>>,
    /// What clients do.
    pub clients: Clients,
    /// What an answer may be late for reasons of the machine.
    pub slack: Duration,
    /// The front.
    pub doors: Doors,
    /// The moment that times count from.
    pub start: Instant,
    /// For the ids: no two runs share one.
    pub run: u64,
    /// How far they are.
    pub progress: Arc<Progress>,
}

/// How far the clients are.
#[derive(Debug, Default)]
pub struct Progress {
    /// Tries that were sent.
    pub sent: AtomicU64,
    /// Tries that were served.
    pub served: AtomicU64,
    /// Tries that are over.
    pub over: AtomicU64,
}

/// What a thread of clients saw.
#[derive(Debug)]
pub struct Seen {
    /// In the order in which they ended.
    pub tries: Vec<Try>,
    /// How late they left, in microseconds.
    pub late: Histogram<u64>,
    /// Processor time of the thread.
    pub processor: Duration,
    /// Requests that could not be sent for want of descriptors or ports.
    pub unsent: u64,
}

/// Starts the clients whose numbers leave this rest.
pub fn start(crowd: Crowd, rest: usize, threads: usize) -> std::io::Result<JoinHandle<Seen>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name(format!("clients-{rest}")).spawn(move || {
        let seen = LocalSet::new().block_on(&runtime, run(crowd, rest, threads));
        // What still waits, as a connection's task, is over with it.
        drop(runtime);
        seen
    })
}

type Sender = SendRequest<Full<Bytes>>;

struct Thread {
    crowd: Crowd,
    idle: RefCell<Vec<Vec<Sender>>>,
    tries: RefCell<Vec<Try>>,
    unsent: Cell<u64>,
}

/// What came of one sending.
enum Sent {
    Answered(StatusCode, Bytes),
    /// A connection that was used before ended without a word.
    Crossed,
    Broken,
    Unreached,
    Unsent,
}

async fn run(crowd: Crowd, rest: usize, threads: usize) -> Seen {
    let mut late = Histogram::new(3).expect("three digits are few enough");
    let balancers = crowd.doors.count();
    let thread = Rc::new(Thread {
        idle: RefCell::new((0..balancers).map(|_| Vec::new()).collect()),
        tries: RefCell::default(),
        unsent: Cell::new(0),
        crowd,
    });
    let crowd = &thread.crowd;
    let mut visits = JoinSet::new();
    for number in (rest..crowd.arrivals.len()).step_by(threads.max(1)) {
        let moment = crowd.start + Duration::from_micros(crowd.arrivals[number].at as u64);
        if moment > Instant::now() {
            sleep_until(moment.into()).await;
        }
        // It grows as it has to: no time is out of its bounds.
        let _ = late.record(moment.elapsed().as_micros() as u64);
        let client = thread.clone();
        visits.spawn_local(async move { client.visit(number).await });
        while let Some(ended) = visits.try_join_next() {
            ended.expect("a visit ends");
        }
    }
    // Each ends by its own time; nothing is awaited without one.
    while let Some(ended) = visits.join_next().await {
        ended.expect("a visit ends");
    }
    let processor = clock_gettime(ClockId::ThreadCPUTime);
    let processor = Duration::new(processor.tv_sec as u64, processor.tv_nsec as u32);
    Seen { tries: thread.tries.take(), late, processor, unsent: thread.unsent.get() }
}

impl Thread {
    fn micros(&self, at: Instant) -> i64 {
        at.saturating_duration_since(self.crowd.start).as_micros() as i64
    }

    /// A client's whole visit.
    async fn visit(self: &Rc<Self>, number: usize) {
        let arrival = &self.crowd.arrivals[number];
        let Clients { again, after, elsewhere, .. } = self.crowd.clients;
        let mut last = None;
        // Each time another lot, all from the one that was drawn.
        let mut lot = arrival.lot;
        for time in 0..=again {
            let not = last.filter(|_| elsewhere);
            let Some(balancer) = self.crowd.doors.choose(arrival.zone, lot, not) else {
                // Nobody is there to ask: the next look is the next time.
                self.wait(after, lot).await;
                continue;
            };
            last = Some(balancer);
            let answer = self.once(number, time, balancer).await;
            let safe = self.crowd.classes[arrival.class].effect == Effect::Safe;
            let harmless = match answer {
                Answer::Refused | Answer::Unreached => true,
                Answer::Failed | Answer::Broken => safe,
                _ => false,
            };
            if !harmless {
                return;
            }
            lot = (lot * 7919.0 + 0.377).fract();
            if time < again {
                self.wait(after, lot).await;
            }
        }
    }

    async fn wait(&self, (least, most): (i64, i64), lot: f64) {
        let time = least as f64 + (most - least) as f64 * lot;
        sleep(Duration::from_micros(time as u64)).await;
    }

    /// One try.
    async fn once(self: &Rc<Self>, number: usize, time: u32, balancer: usize) -> Answer {
        let arrival = &self.crowd.arrivals[number];
        let class = &self.crowd.classes[arrival.class];
        let id = format!("{:08x}-{number}-{time}", self.crowd.run);
        let sent = Instant::now();
        let progress = &self.crowd.progress;
        progress.sent.fetch_add(1, Ordering::Relaxed);
        let patience = class.deadline + self.crowd.slack + PATIENCE;
        let Clients { leave, leave_after, .. } = self.crowd.clients;
        let leaves = arrival.mood < leave;
        let wait = match leaves {
            true => patience.min(Duration::from_micros(leave_after as u64)),
            false => patience,
        };
        let answer = match timeout(wait, self.ask(&id, arrival, class, balancer)).await {
            Err(_) if leaves => Answer::Left,
            Err(_) => Answer::Silent,
            Ok(Sent::Answered(StatusCode::OK, body)) => {
                // The whole answer of a node to this very request.
                let own = serde_json::from_slice::<serde_json::Value>(&body)
                    .is_ok_and(|body| body["id"] == id.as_str());
                if own { Answer::Served } else { Answer::Wrong }
            }
            Ok(Sent::Answered(
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE,
                _,
            )) => Answer::Refused,
            Ok(Sent::Answered(..)) => Answer::Failed,
            Ok(Sent::Broken | Sent::Crossed) => Answer::Broken,
            Ok(Sent::Unreached) => Answer::Unreached,
            Ok(Sent::Unsent) => {
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

    async fn ask(&self, id: &str, arrival: &Arrival, class: &Class, balancer: usize) -> Sent {
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
            match self.send(sender, id, arrival, class, balancer).await {
                // A balancer may close a connection between requests; if that crosses one, the client
                // sends it once more on a new one. One that is out of order may have read it.
                Sent::Crossed if used && !self.crowd.doors.is_out(balancer) => {}
                sent => return sent,
            }
        }
    }

    async fn connect(&self, balancer: usize) -> Result<Sender, Sent> {
        let address = self.crowd.doors.address(balancer);
        let stream = match timeout(CONNECT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            // The rig's own want, and no fault of the balancer's.
            Ok(Err(e)) if matches!(e.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL)) => {
                return Err(Sent::Unsent);
            }
            Ok(Err(_)) | Err(_) => return Err(Sent::Unreached),
        };
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|_| Sent::Unreached)?;
        spawn_local(async move {
            // How it ended is told to the request on it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn send(
        &self,
        mut sender: Sender,
        id: &str,
        arrival: &Arrival,
        class: &Class,
        balancer: usize,
    ) -> Sent {
        let (method, body) = match class.effect {
            Effect::Safe => (Method::GET, Bytes::new()),
            Effect::Unsafe => (Method::POST, Bytes::from_static(b"{\"points\":10}")),
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
        let Ok(request) = request else { return Sent::Unsent };
        if sender.ready().await.is_err() {
            return Sent::Crossed;
        }
        let answer = match sender.send_request(request).await {
            Ok(answer) => answer,
            Err(_) => return Sent::Crossed,
        };
        let status = answer.status();
        let Ok(body) = answer.into_body().collect().await else { return Sent::Broken };
        let mut idle = self.idle.borrow_mut();
        if !sender.is_closed() && idle[balancer].len() < IDLE {
            idle[balancer].push(sender);
        }
        Sent::Answered(status, body.to_bytes())
    }
}

/// errno(3): too many open files, in the process and in the system; no port is free.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;
