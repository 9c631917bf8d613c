//! The list of upstreams: its form, and the watch that keeps it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use sableloom_types::ListKind;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

use crate::node::Node;
use crate::wire::Task;

/// How long a watch asks discovery to wait.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// How long past its wait a call may take.
const CALL_SLACK: Duration = Duration::from_millis(1500);
/// How long a connection to discovery may take to come up.
const CONNECT: Duration = Duration::from_secs(1);
/// Pause before an agent that failed is watched again.
const AGENT_PAUSE: Duration = Duration::from_millis(250);
/// Most bytes of one answer: some 50,000 entries.
const ANSWER_MAX: usize = 8 << 20;

/// A list of upstreams, or a change to one, as discovery writes it.
#[derive(Deserialize)]
pub struct Snapshot {
    #[serde(default)]
    pub revision: u64,
    #[serde(default)]
    pub complete: bool,
    /// Entries that make no sense are left out one by one.
    #[serde(default)]
    members: Vec<serde_json::Value>,
}

/// One upstream.
#[derive(Deserialize)]
pub struct Entry {
    pub id: String,
    pub host_port: SocketAddr,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    #[serde(default)]
    pub cell: u32,
    pub phase: String,
    #[serde(default = "one")]
    pub size: f64,
    #[serde(default)]
    pub up_since_ms: f64,
}

fn one() -> f64 {
    1.0
}

impl Snapshot {
    pub fn entries(self) -> Vec<Entry> {
        self.members.into_iter().filter_map(|m| serde_json::from_value(m).ok()).collect()
    }
}

/// The entries that came whole in an answer that broke off.
fn whole_entries(text: &[u8]) -> Vec<Entry> {
    let key = b"\"members\"";
    let Some(at) = text.windows(key.len()).position(|w| w == key) else { return Vec::new() };
    let Some(open) = text[at..].iter().position(|&b| b == b'[') else { return Vec::new() };
    let mut rest = &text[at + open + 1..];
    let mut entries = Vec::new();
    loop {
        let skip = rest.iter().position(|b| !b.is_ascii_whitespace() && *b != b',');
        rest = &rest[skip.unwrap_or(rest.len())..];
        let mut values = serde_json::Deserializer::from_slice(rest).into_iter();
        let Some(Ok(value)) = values.next() else { return entries };
        rest = &rest[values.byte_offset()..];
        entries.extend(serde_json::from_value::<Entry>(value));
    }
}

/// A connection to discovery.
struct Line {
    sender: SendRequest<Empty<Bytes>>,
    _driver: Task,
}

/// How a call ended.
enum Call {
    Whole(Snapshot),
    /// It failed; what came of it.
    Broken(Vec<u8>),
}

/// Watches discovery until a call fails. Where the list is pushed, the agent is watched for ever.
pub async fn watch(node: Rc<Node>, at: SocketAddr, pushed: bool) {
    let mut kept = None;
    loop {
        let after = node.revision();
        match call(&mut kept, at, after).await {
            Call::Whole(snapshot) => {
                let kind = if snapshot.complete { ListKind::Whole } else { ListKind::Update };
                node.listed(kind, Some(snapshot.revision), snapshot.entries());
            }
            Call::Broken(text) => {
                kept = None;
                // What has come whole is true, a drain above all. The revision stays: the rest
                // must come again.
                let entries = whole_entries(&text);
                if !entries.is_empty() {
                    node.listed(ListKind::Update, None, entries);
                }
                if !pushed {
                    return node.list_failed();
                }
                sleep(AGENT_PAUSE).await;
            }
        }
    }
}

async fn call(kept: &mut Option<Line>, at: SocketAddr, after: Option<u64>) -> Call {
    let mut text = BytesMut::new();
    let whole = fetch(kept, at, after, &mut text).await.is_some();
    match serde_json::from_slice(&text) {
        Ok(snapshot) if whole => Call::Whole(snapshot),
        _ => Call::Broken(text.to_vec()),
    }
}

async fn fetch(
    kept: &mut Option<Line>,
    at: SocketAddr,
    after: Option<u64>,
    text: &mut BytesMut,
) -> Option<()> {
    // Closed between two calls: no failure of discovery.
    let mut line = match kept.take().filter(|line| line.sender.is_ready()) {
        Some(line) => line,
        None => connect(at).await?,
    };
    let path = match after {
        Some(version) => {
            format!("/discovery/hosts?after={version}&wait_ms={}", WATCH_WAIT.as_millis())
        }
        None => "/discovery/hosts".to_string(),
    };
    let request = Request::get(path).header(header::HOST, at.to_string()).body(Empty::new());
    let end = Instant::now() + WATCH_WAIT + CALL_SLACK;
    let mut answer = timeout_at(end, line.sender.send_request(request.ok()?)).await.ok()?.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    // Once it speaks it has it all: a stall inside an answer must not hide a drain in what came.
    let end = Instant::now() + CALL_SLACK;
    while let Some(frame) = timeout_at(end, answer.body_mut().frame()).await.ok()? {
        if let Ok(data) = frame.ok()?.into_data() {
            if text.len() + data.len() > ANSWER_MAX {
                return None;
            }
            text.extend_from_slice(&data);
        }
    }
    *kept = Some(line);
    Some(())
}

async fn connect(at: SocketAddr) -> Option<Line> {
    let stream = timeout_at(Instant::now() + CONNECT, TcpStream::connect(at)).await.ok()?.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    Some(Line { sender, _driver: Task::spawn(connection) })
}
