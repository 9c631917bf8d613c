//! What the cases share: addresses, messages, the record, discovery, and the balancer as a process.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// A small generator of random numbers (xorshift), seeded from the clock.
pub struct Random(u64);

static STREAM: AtomicU64 = AtomicU64::new(1);

impl Random {
    pub fn new() -> Self {
        let nanos =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        let stream = STREAM.fetch_add(1, Ordering::Relaxed);
        let mut random = Self((nanos ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15)) | 1);
        for _ in 0..8 {
            random.next();
        }
        random
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to 1.
    pub fn part(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.part()
    }

    pub fn id(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}

/// The record of a run: what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<io::BufWriter<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Result<Arc<Self>> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Arc::new(Self { start: Instant::now(), file: Mutex::new(io::BufWriter::new(file)) }))
    }

    /// Milliseconds since the start.
    pub fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.3} {text}", self.at());
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

/// A complete message: its head, without the empty line, and its body.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// The second word of the first line: a request's target, or an answer's status.
    pub fn second_word(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().get(..3).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Takes a complete message with a `Content-Length` off the buffer, if one has come.
pub fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let end = buffer.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut message = Message { head, body: Vec::new() };
    let length = message.field("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    if buffer.len() < end + 4 + length {
        return None;
    }
    message.body = buffer[end + 4..end + 4 + length].to_vec();
    buffer.drain(..end + 4 + length);
    Some(message)
}

/// Reads until a complete message has come; `None` at the end of the connection or after the time.
pub fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    until: Instant,
) -> Option<Message> {
    loop {
        if let Some(message) = take_message(buffer) {
            return Some(message);
        }
        let left = until.checked_duration_since(Instant::now()).filter(|d| !d.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        let mut bytes = [0; 16384];
        match stream.read(&mut bytes) {
            Ok(0) => return None,
            Ok(n) => buffer.extend_from_slice(&bytes[..n]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

/// Sleeps until this time.
pub fn sleep_until(time: Instant) {
    if let Some(left) = time.checked_duration_since(Instant::now()) {
        thread::sleep(left);
    }
}

pub fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

/// Listens on a free loopback port, and serves each connection on a thread.
pub fn serve(each: impl Fn(TcpStream) + Send + Sync + 'static) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    serve_on(listener, each);
    Ok(address)
}

pub fn serve_on(listener: TcpListener, each: impl Fn(TcpStream) + Send + Sync + 'static) {
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                each(stream)
            });
        }
    });
}

/// One upstream as discovery tells it.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub phase: &'static str,
    pub up_since_ms: u64,
}

impl Member {
    fn json(&self) -> String {
        let Self { id, address, zone, kind, phase, up_since_ms } = self;
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"{zone}","flavor":"{kind}","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms}}}"#
        )
    }
}

#[derive(Default)]
struct DiscoveryState {
    revision: u64,
    members: Vec<Member>,
    /// Each change with its revision.
    changes: Vec<(u64, Member)>,
}

/// A discovery service as PROTOCOL has it: the whole list, and watches.
pub struct Discovery {
    state: Mutex<DiscoveryState>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(members: Vec<Member>) -> Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = DiscoveryState { revision: 1, members, changes: Vec::new() };
        let discovery =
            Arc::new(Self { state: Mutex::new(state), changed: Condvar::new(), address });
        let shared = discovery.clone();
        serve_on(listener, move |stream| shared.answer(stream));
        Ok(discovery)
    }

    fn answer(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let far = Duration::from_secs(600);
        while let Some(request) = read_message(&mut stream, &mut buffer, Instant::now() + far) {
            let target = request.second_word();
            let query: HashMap<&str, u64> = target
                .split_once('?')
                .map_or("", |(_, query)| query)
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .filter_map(|(key, value)| Some((key, value.parse().ok()?)))
                .collect();
            let mut state = self.state.lock().unwrap();
            let (complete, members) = match query.get("after") {
                None => (true, state.members.clone()),
                Some(after) => {
                    let wait = Duration::from_millis(*query.get("wait_ms").unwrap_or(&0));
                    let until = Instant::now() + wait;
                    while state.revision <= *after {
                        let left = until.saturating_duration_since(Instant::now());
                        if left.is_zero() {
                            break;
                        }
                        state = self.changed.wait_timeout(state, left).unwrap().0;
                    }
                    let newer = state.changes.iter().filter(|(revision, _)| revision > after);
                    (false, newer.map(|(_, member)| member.clone()).collect())
                }
            };
            let revision = state.revision;
            drop(state);
            let members: Vec<_> = members.iter().map(Member::json).collect();
            let body = format!(
                r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#,
                members.join(",")
            );
            if stream.write_all(answer(200, "", body.as_bytes()).as_slice()).is_err() {
                return;
            }
        }
    }
}

/// An answer with these further fields, each with its line end.
pub fn answer(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n", body.len())
            .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The settings of a small deployment of perth-points, as the simulator's first message gives them.
pub fn settings(balancers: usize, position: usize) -> String {
    format!(
        r#"{{"Balancers":{balancers},"ClientHabits":{{"MarksRetry":true}},"CountedBy":"request","Family":"proxy",
"FamilyInfo":{{"WarmKeys":true}},"Layer":0,"MachineTypes":["large","medium","small"],"OverShareWorth":0.1,
"PolicyLimits":{{"Cancelling":true,"ConnectTimeout":120.0,"CpuUsPerRequest":0.0,"CpuUsPerS":33977,"Keepalive":30000.0,"MaxAttempts":4,"MaxOpen":45303,"MaxRetryAfter":300.0,"PeerMessages":false,"Probes":false,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":1}},
"Position":{position},
"Prices":{{"Connection":0.0,"CrossZone":0.08,"Handshake":0.0,"LateFail":0.08,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.0,"RegistryMode":0.0,"Waste":0.05}},
"RegistryMode":"subscribe",
"Safety":{{"AnswerSlack":20.0,"AskEvery":10000.0,"Cold":24000.0,"ColdFrom":0.13,"DrainGrace":1000.0,"FallMultiple":3.0,"TipAfter":1500.0}},
"ScoringMix":{{"Whole":0.55,"WorstClass":0.1,"WorstTenant":0.0,"WorstWindow":0.35}},
"Services":[{{"Aim":250.0,"Deadline":600.0,"Effect":"retryable","Group":"all","Importance":3.0,"LateValue":0.0,"Name":"balance","Streaming":false,"Window":5000.0}},{{"Aim":300.0,"Deadline":600.0,"Effect":"fragile","Group":"all","Importance":9.0,"LateValue":0.0,"Name":"redeem","Streaming":false,"Window":5000.0}}],
"Stats":{{"How":"silent","Names":[]}},"Tenants":[],"Tick":5.0,"Tiers":["points-web"],"Weights":"silent","Zone":0,
"Zones":["malaga","osborne-park","canning-vale"]}}"#
    )
}

/// The command of a key of `deploy/balancer.toml`.
fn deploy_command(root: &Path, key: &str) -> Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let value = text.lines().find_map(|line| {
        let (name, value) = line.split_once('=')?;
        (name.trim() == key).then(|| value.trim())
    });
    let value = value.ok_or("deploy/balancer.toml lacks the command")?;
    Ok(value.split('"').nth(1).ok_or("no command in quotes")?.to_string())
}

/// A balancer as a process, started by `run` of the deploy file. It is killed when this is dropped.
pub struct Balancer {
    process: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

impl Balancer {
    pub fn start(root: &Path, name: &str, discovery: SocketAddr, settings: &str) -> Result<Self> {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(folder.join("tmp"))?;
        let config = folder.join("config.json");
        let seed = Random::new().id();
        fs::write(
            &config,
            format!(
                r#"{{"name":"{name}","listen":"{address}","discovery":"{discovery}","seed":"{seed}","limits":{{"cores":1.0,"memory_mb":128,"sockets":512}},"settings":{settings}}}"#
            ),
        )?;
        let log = File::create(folder.join("log"))?;
        let process = Command::new("/bin/sh")
            .args(["-c", &deploy_command(root, "run")?])
            .current_dir(root)
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut balancer = Self { process, address, folder };
        for _ in 0..300 {
            if balancer.is_ready() {
                return Ok(balancer);
            }
            if let Some(status) = balancer.process.try_wait()? {
                return Err(format!("the balancer ended: {status}").into());
            }
            thread::sleep(ms(50.0));
        }
        Err("the balancer was not ready within 15 s".into())
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let request = b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n";
        let until = Instant::now() + ms(1000.0);
        stream.write_all(request).is_ok()
            && read_message(&mut stream, &mut Vec::new(), until).is_some_and(|a| a.status() == 200)
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The head of a client's request, without further fields and the empty line.
pub fn request_head(class: &str, id: &str, key: &str, expires_ms: u64) -> String {
    let method = if class == "redeem" { "POST" } else { "GET" };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
         X-Object: {key}\r\nX-Expires-In-Ms: {expires_ms}\r\n"
    )
}

/// A client's complete request.
pub fn request(class: &str, id: &str, key: &str, expires_ms: u64) -> Vec<u8> {
    let length = if class == "redeem" { "Content-Length: 0\r\n" } else { "" };
    format!("{}{length}\r\n", request_head(class, id, key, expires_ms)).into_bytes()
}
