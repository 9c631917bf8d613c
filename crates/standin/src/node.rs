//! A points node: cores, a waiting room, work that takes time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use oorandom::Rand64;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::serve::{Answer, serve};

/// The longest work, in means.
const WORK_MAX: f64 = 8.0;

/// What a node is like.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name, which its answers bear.
    pub name: String,
    /// Requests in work at once.
    pub cores: usize,
    /// Requests that may wait; past these it turns away unseen.
    pub queue: usize,
    /// Mean work of a request that is safe to repeat (GET).
    pub read: Duration,
    /// Mean work of any other.
    pub write: Duration,
    /// For the work that is drawn.
    pub seed: u64,
}

/// A node that runs.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where it listens.
    pub address: SocketAddr,
    turned_away: Arc<AtomicU64>,
    /// How often each request that is not safe to repeat has run.
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

struct State {
    options: Options,
    rng: RefCell<Rand64>,
    held: Cell<usize>,
    cores: Semaphore,
    node: Node,
}

impl Node {
    /// Starts a node on a free loopback port.
    pub fn start(options: Options) -> io::Result<Self> {
        let (turned_away, runs) = (Arc::default(), Arc::default());
        let mut node = Self { address: SocketAddr::from(([127, 0, 0, 1], 0)), turned_away, runs };
        let inside = node.clone();
        node.address = serve(move || {
            let state = Rc::new(State {
                rng: RefCell::new(Rand64::new(u128::from(options.seed))),
                held: Cell::new(0),
                cores: Semaphore::new(options.cores),
                node: inside,
                options,
            });
            move |request| answer(state.clone(), request)
        })?;
        Ok(node)
    }

    /// Requests that it turned away unseen.
    pub fn turned_away(&self) -> u64 {
        self.turned_away.load(Ordering::Relaxed)
    }

    /// The ids of requests not safe to repeat that it has run, each with how often.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.lock().map(|runs| runs.clone()).unwrap_or_default()
    }
}

/// A place in the node, given back however the request ends.
struct Held<'a>(&'a Cell<usize>);

impl<'a> Held<'a> {
    fn new(held: &'a Cell<usize>) -> Self {
        held.set(held.get() + 1);
        Self(held)
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn answer(state: Rc<State>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    // A request begins once its last byte has come.
    if body.collect().await.is_err() {
        return plain(StatusCode::BAD_REQUEST, String::new());
    }
    let id = head.headers.get("x-trace-id").and_then(|id| id.to_str().ok());
    let Some(id) = id.map(str::to_string) else {
        return plain(StatusCode::NOT_FOUND, String::new());
    };
    if state.held.get() >= state.options.cores + state.options.queue {
        state.node.turned_away.fetch_add(1, Ordering::Relaxed);
        let mut full = plain(StatusCode::SERVICE_UNAVAILABLE, String::new());
        full.headers_mut().insert("x-never-ran", hyper::header::HeaderValue::from_static("1"));
        return full;
    }
    let _held = Held::new(&state.held);
    let Ok(_core) = state.cores.acquire().await else {
        return plain(StatusCode::INTERNAL_SERVER_ERROR, String::new());
    };
    let safe = head.method == Method::GET;
    if !safe && let Ok(mut runs) = state.node.runs.lock() {
        *runs.entry(id.clone()).or_default() += 1;
    }
    let mean = if safe { state.options.read } else { state.options.write };
    let part = -(1.0 - state.rng.borrow_mut().rand_float()).ln();
    sleep(mean.mul_f64(part.clamp(0.0, WORK_MAX))).await;
    let name = &state.options.name;
    plain(StatusCode::OK, serde_json::json!({"node": name, "id": id}).to_string())
}

fn plain(status: StatusCode, body: String) -> Answer {
    let mut answer = Response::new(Full::from(body));
    *answer.status_mut() = status;
    answer
}
