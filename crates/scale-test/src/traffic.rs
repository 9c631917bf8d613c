//! Requests in an open loop, through balancers and beside them directly to their servers, and how long each takes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use oorandom::Rand64;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep_until;

use crate::client::{Client, RequestFailure};

/// Requests to one target.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Where they go, in turn.
    pub targets: Vec<SocketAddr>,
    /// What is asked for.
    pub path: String,
    /// How many a second, at random times.
    pub rate: f64,
    /// Whether they go past the balancer.
    pub direct: bool,
}

/// What the requests of one way came to: those through balancers, or those directly to servers.
#[derive(Debug)]
pub struct WayOutcome {
    /// Times of those answered, in microseconds.
    pub times: Histogram<u64>,
    /// Requests that failed, by reason.
    pub failures: BTreeMap<RequestFailure, u64>,
}

impl WayOutcome {
    fn new() -> Self {
        Self { times: times(), failures: BTreeMap::new() }
    }

    fn record(&mut self, took: Duration, answered: Result<(), RequestFailure>) {
        match answered {
            // It grows as it has to: no value is out of its bounds.
            Ok(()) => _ = self.times.record(took.as_micros() as u64),
            Err(failure) => *self.failures.entry(failure).or_default() += 1,
        }
    }

    /// The time of those answered at a quantile, in milliseconds.
    pub fn at_ms(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Requests that failed, for any reason.
    pub fn failed(&self) -> u64 {
        self.failures.values().sum()
    }
}

/// What a crowd of requests came to.
#[derive(Debug)]
pub struct Outcome {
    /// Those through a balancer.
    pub through: WayOutcome,
    /// Those to a server directly.
    pub direct: WayOutcome,
    /// How late requests left, in microseconds. Times count from when they left.
    pub late: Histogram<u64>,
}

fn times() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are within the bounds of a histogram")
}

impl Outcome {
    fn new() -> Self {
        Self { through: WayOutcome::new(), direct: WayOutcome::new(), late: times() }
    }

    /// What the balancers add at a quantile, in milliseconds.
    pub fn added_ms(&self, quantile: f64) -> f64 {
        self.through.at_ms(quantile) - self.direct.at_ms(quantile)
    }
}

/// Requests that are being made, on a thread of their own.
#[derive(Debug)]
pub struct Traffic {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Outcome>,
}

impl Traffic {
    /// Starts these streams.
    ///
    /// # Errors
    ///
    /// If the runtime of the streams can't be created.
    pub fn start(streams: Vec<Stream>, seed: u64) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            LocalSet::new().block_on(&runtime, make_requests(streams, seed, stopped))
        });
        Ok(Self { stop, thread })
    }

    /// Stops, and says what came of them; `None` if their thread has failed.
    pub fn stop(self) -> Option<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().ok()
    }
}

async fn make_requests(streams: Vec<Stream>, seed: u64, stop: Arc<AtomicBool>) -> Outcome {
    let outcome = Rc::new(RefCell::new(Outcome::new()));
    let mut tasks = Vec::new();
    for (number, stream) in streams.into_iter().enumerate() {
        let rng = Rand64::new(u128::from(seed) << 64 | number as u128);
        tasks.push(spawn_local(make_stream(stream, rng, outcome.clone(), stop.clone())));
    }
    for task in tasks {
        let _ = task.await;
    }
    // Requests that are still out keep what they found to themselves.
    outcome.replace(Outcome::new())
}

async fn make_stream(
    stream: Stream,
    mut rng: Rand64,
    outcome: Rc<RefCell<Outcome>>,
    stop: Arc<AtomicBool>,
) {
    let clients: Rc<Vec<Client>> =
        Rc::new(stream.targets.iter().map(|&to| Client::new(to)).collect());
    let stream = Rc::new(stream);
    let mut due = Instant::now();
    for number in 0_usize.. {
        due += Duration::from_secs_f64(-(1.0 - rng.rand_float()).ln() / stream.rate);
        sleep_until(due.into()).await;
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let _ = outcome.borrow_mut().late.record(due.elapsed().as_micros() as u64);
        let (stream, clients, outcome) = (stream.clone(), clients.clone(), outcome.clone());
        spawn_local(async move {
            let begun = Instant::now();
            let answered = clients[number % clients.len()].request(&stream.path, number).await;
            let took = begun.elapsed();
            let outcome = &mut *outcome.borrow_mut();
            let way = if stream.direct { &mut outcome.direct } else { &mut outcome.through };
            way.record(took, answered);
        });
    }
}
