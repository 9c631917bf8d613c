//! `sableloom demo`: a balancer, three stand-in points nodes and real requests on loopback.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use oorandom::Rand64;
use sableloom_emulator::{NodeCapacity, NodeProfile};
use sableloom_stand_ins::{Class, Node, Options as NodeOptions, agent};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::config::Config;
use crate::platform::Running;

/// Number of stand-in nodes.
const NODES: u64 = 3;
/// An answer after this time is late.
const AIM: Duration = Duration::from_millis(150);
/// A client waits so long.
const DEADLINE: Duration = Duration::from_millis(600);
/// Requests a second: about two thirds of what the nodes can do.
const RATE: f64 = 400.0;
/// One request in so many is a redeem.
const REDEEM_ONE_IN: u64 = 5;
/// Descriptors that the balancer may hold.
const SOCKETS: usize = 512;

/// What the demo is to do.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// Requests to send, of both classes
    #[arg(long, default_value_t = 3000, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    requests: u32,
    /// Where the balancer listens; a loopback address
    #[arg(long, default_value = "127.0.0.1:0", value_parser = loopback)]
    listen: SocketAddr,
    /// Keep the balancer and its nodes up afterwards, until SIGINT or SIGTERM
    #[arg(long)]
    stay: bool,
}

fn loopback(text: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr = text.parse().map_err(|_| "not an address with a port".to_string())?;
    let loopback = address.ip().is_loopback();
    loopback
        .then_some(address)
        .ok_or("not a loopback address: the demo stays on this machine".into())
}

/// Runs the demo.
pub(crate) async fn run(options: Options) -> Result<(), String> {
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let nodes = (1..=NODES).map(start_node).collect::<Result<Vec<_>, _>>()?;
    let servers = nodes.iter().map(|(name, node)| (name.clone(), node.address)).collect();
    let discovery = agent(servers).map_err(|e| format!("a stand-in of discovery: {e}"))?;
    let text = configuration(options.listen, discovery);
    let config = Config::parse(text.as_bytes(), "of the demo").map_err(|e| e.to_string())?;
    let running =
        Running::start(config).map_err(|e| e.to_string().replace("field `listen`", "--listen"))?;
    let address = running.address;
    println!("balancer on {address}, before {} nodes of 2 cores each", nodes.len());
    let tally = send_requests(address, options.requests).await?;
    print!("{}", tally.table());
    print_executions(&nodes);
    if options.stay {
        println!(
            "\nThe balancer stays up until SIGINT or SIGTERM. Ask it, each time with a new id:"
        );
        for line in curl(address) {
            println!("  {line}");
        }
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        running.shut_down().await;
    }
    Ok(())
}

/// Starts a stand-in node; its number is its seed.
fn start_node(number: u64) -> Result<(String, Node), String> {
    let name = format!("node-{number}");
    let class = |name: &str, work_ms: f64, effect| Class {
        name: name.to_string(),
        work: work_ms * 1e3,
        spread: 1.0,
        wait: Duration::ZERO,
        effect,
    };
    let capacity = NodeCapacity { cores: 2.0, speed: 1.0, slots: 2, queue_limit: 16 };
    let node = Node::start(NodeOptions {
        name: name.clone(),
        profile: NodeProfile { handshake: 0.0, cached_keys: 0, ..NodeProfile::of(capacity) },
        classes: vec![class("balance", 8.0, false), class("redeem", 15.0, true)],
        seed: number,
    });
    node.map(|node| (name, node)).map_err(|e| format!("a stand-in node: {e}"))
}

/// Sends the requests, and prints the progress each second.
async fn send_requests(address: SocketAddr, requests: u32) -> Result<Tally, String> {
    let (sender, outcomes) = channel();
    let (done, mut finished) = oneshot::channel();
    // Clients have a thread of their own: their work must not delay the balancer's.
    thread::spawn(move || {
        let end = clients(address, requests, &sender);
        let _ = done.send(end);
    });
    let mut tally = Tally::default();
    let end = loop {
        let second = timeout(Duration::from_secs(1), &mut finished).await;
        outcomes.try_iter().for_each(|outcome| tally.add(outcome));
        println!("{}", tally.progress(requests));
        if let Ok(end) = second {
            break end.unwrap_or_else(|_| Err("the clients ended early".to_string()));
        }
    };
    end?;
    outcomes.try_iter().for_each(|outcome| tally.add(outcome));
    Ok(tally)
}

/// Prints how often the nodes executed each request that is not idempotent.
fn print_executions(nodes: &[(String, Node)]) {
    let mut executions: BTreeMap<String, u32> = BTreeMap::new();
    for (id, times) in nodes.iter().flat_map(|(_, node)| node.executions()) {
        *executions.entry(id).or_default() += times;
    }
    let rejected: u64 = nodes.iter().map(|(_, node)| node.rejected()).sum();
    let twice = executions.values().filter(|times| **times > 1).count();
    println!("redeems that ran {}, more than once {twice}", executions.len());
    println!("attempts that nodes turned away unseen {rejected}");
}

fn configuration(listen: SocketAddr, discovery: SocketAddr) -> String {
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "Aim": AIM.as_millis() as f64, "Deadline": DEADLINE.as_millis() as f64,
               "Effect": effect, "Group": "all", "Window": 5000.0})
    };
    json!({
        "name": "demo", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "1", "limits": {"cores": 1.0, "memory_mb": 128, "sockets": SOCKETS},
        "settings": {
            "Balancers": 1, "Tick": 1.0, "RegistryMode": "automatic", "Zones": ["a"],
            "MachineTypes": ["node"],
            "Services": [class("balance", "retryable"), class("redeem", "fragile")],
            "PolicyLimits": {"MaxAttempts": 4, "Cancelling": true, "ConnectTimeout": 250.0,
                             "Keepalive": 15000.0, "RetryAfter": true, "MaxRetryAfter": 1000.0,
                             "MaxOpen": 1000},
            "Safety": {"AskEvery": 5000.0, "Cold": 5000.0, "ColdFrom": 0.3,
                       "FallMultiple": 3.0, "TipAfter": 1500.0},
        },
    })
    .to_string()
}

fn curl(at: SocketAddr) -> [String; 2] {
    let common = format!("-H 'X-Expires-In-Ms: {}'", DEADLINE.as_millis());
    [
        format!(
            "curl -i http://{at}/balance/card-7 -H 'X-Qos: balance' {common} -H \"X-Trace-Id: $RANDOM$RANDOM\""
        ),
        format!(
            "curl -i -X POST -d 10 http://{at}/redeem/card-7 -H 'X-Qos: redeem' {common} -H \"X-Trace-Id: $RANDOM$RANDOM\""
        ),
    ]
}

// ---------------------------------------------------------------- clients

#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Served,
    Refused,
    Failed,
}

struct Outcome {
    class: &'static str,
    end: End,
    took: Duration,
    node: Option<String>,
}

/// Sends the requests as they fall due, whatever has come back by then, and waits for the last.
fn clients(at: SocketAddr, requests: u32, sender: &Sender<Outcome>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async {
        let kept: Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>> = Rc::default();
        let mut rng = Rand64::new(7);
        let mut due = Instant::now();
        let mut under_way = Vec::new();
        for n in 0..requests {
            due += Duration::from_secs_f64(-(1.0 - rng.rand_float()).ln() / RATE);
            sleep_until(due).await;
            let redeem = rng.rand_range(0..REDEEM_ONE_IN) == 0;
            let class = if redeem { "redeem" } else { "balance" };
            let (kept, sender) = (kept.clone(), sender.clone());
            under_way.push(spawn_local(async move {
                let start = Instant::now();
                let answer = timeout(DEADLINE, ask(at, &kept, class, n)).await.ok().flatten();
                let (end, node) = match answer {
                    Some((StatusCode::OK, body)) => (End::Served, node_of(&body)),
                    Some((StatusCode::SERVICE_UNAVAILABLE, _)) => (End::Refused, None),
                    _ => (End::Failed, None),
                };
                let _ = sender.send(Outcome { class, end, took: start.elapsed(), node });
            }));
        }
        for task in under_way {
            task.await.map_err(|e| format!("a client: {e}"))?;
        }
        // Connections that wind down are let go in order.
        kept.borrow_mut().clear();
        sleep(Duration::ZERO).await;
        Ok(())
    })
}

fn node_of(body: &[u8]) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value["node"].as_str().map(str::to_string)
}

/// One request, on a connection that rests or a new one.
async fn ask(
    at: SocketAddr,
    kept: &RefCell<Vec<SendRequest<Full<Bytes>>>>,
    class: &str,
    n: u32,
) -> Option<(StatusCode, Bytes)> {
    let (method, body) = if class == "redeem" { ("POST", "10") } else { ("GET", "") };
    let request = Request::builder()
        .method(method)
        .uri(format!("/{class}/card-{}", n % 500))
        .header("host", at.to_string())
        .header("x-trace-id", format!("demo-{n}"))
        .header("x-qos", class)
        .header("x-expires-in-ms", DEADLINE.as_millis().to_string())
        .body(Full::from(body))
        .ok()?;
    let rested = loop {
        let last = kept.borrow_mut().pop();
        match last {
            Some(sender) if sender.is_closed() => {}
            other => break other,
        }
    };
    let mut sender = match rested {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(at).await.ok()?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
            spawn_local(connection);
            sender
        }
    };
    let (head, body) = sender.send_request(request).await.ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    if !head.headers.contains_key("connection") {
        kept.borrow_mut().push(sender);
    }
    Some((head.status, body))
}

// ---------------------------------------------------------------- what came of them

#[derive(Default)]
struct Row {
    served: usize,
    refused: usize,
    failed: usize,
    late: usize,
    took: Vec<Duration>,
}

impl Row {
    fn add(&mut self, outcome: &Outcome) {
        match outcome.end {
            End::Served => self.served += 1,
            End::Refused => self.refused += 1,
            End::Failed => self.failed += 1,
        }
        if outcome.end == End::Served {
            self.late += usize::from(outcome.took > AIM);
            self.took.push(outcome.took);
        }
    }

    fn asked(&self) -> usize {
        self.served + self.refused + self.failed
    }

    /// The time within which this share of the served had their answer, in milliseconds.
    fn within(&self, share: f64) -> String {
        let mut took = self.took.clone();
        took.sort_unstable();
        let last = took.len().saturating_sub(1);
        let at = took.get(((took.len() as f64 * share) as usize).min(last));
        at.map_or("-".to_string(), |t| format!("{:.1}", t.as_secs_f64() * 1e3))
    }
}

#[derive(Default)]
struct Tally {
    all: Row,
    classes: BTreeMap<&'static str, Row>,
    /// What each server answered; nothing else is known to come from one.
    nodes: BTreeMap<String, Row>,
}

impl Tally {
    fn add(&mut self, outcome: Outcome) {
        self.all.add(&outcome);
        self.classes.entry(outcome.class).or_default().add(&outcome);
        if let Some(node) = &outcome.node {
            self.nodes.entry(node.clone()).or_default().add(&outcome);
        }
    }

    fn progress(&self, requests: u32) -> String {
        let Row { served, refused, failed, .. } = self.all;
        let asked = self.all.asked();
        format!(
            "{asked:>6} of {requests} answered: {served} served, {refused} refused, {failed} failed"
        )
    }

    fn table(&self) -> String {
        let mut text = format!(
            "\n{:<10}{:>8}{:>8}{:>9}{:>8}{:>7}{:>9}{:>9}\n",
            "", "asked", "served", "refused", "failed", "late", "p50 ms", "p99 ms"
        );
        let classes = self.classes.iter().map(|(name, row)| (*name, row));
        let nodes = self.nodes.iter().map(|(name, row)| (name.as_str(), row));
        for (name, row) in classes.chain([("all", &self.all)]).chain(nodes) {
            let (asked, p50, p99) = (row.asked(), row.within(0.5), row.within(0.99));
            let Row { served, refused, failed, late, .. } = row;
            text += &format!(
                "{name:<10}{asked:>8}{served:>8}{refused:>9}{failed:>8}{late:>7}{p50:>9}{p99:>9}\n"
            );
        }
        text + "A server's row holds the answers that came from it. Late: served past the aim.\n"
    }
}
