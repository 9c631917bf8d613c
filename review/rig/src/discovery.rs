//! The platform's discovery: the list, and watches on its changes.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_message;
use crate::record::Record;

/// One entry, in discovery's form.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub phase: &'static str,
}

impl Member {
    pub fn json(&self) -> String {
        let Self { id, address, zone, phase } = self;
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"{zone}","flavor":"medium","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
        )
    }
}

pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let entries: Vec<_> = members.iter().map(Member::json).collect();
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, entries.join(","))
}

struct State {
    revision: u64,
    members: Vec<Member>,
    /// How long a call waits for its turn, from when it comes.
    turn: Duration,
}

/// One discovery service, which may move from one address to the next.
pub struct Discovery {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Arc<Record>,
    door: Mutex<Door>,
}

/// Where it is reached.
struct Door {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

/// After it has moved, its old connections stay open for this long (DAYS).
const OLD_CONNECTIONS: Duration = Duration::from_millis(1500);

impl Discovery {
    pub fn start(members: Vec<Member>, record: &Arc<Record>) -> Self {
        let state = Arc::new((
            Mutex::new(State { revision: 1, members, turn: Duration::ZERO }),
            Condvar::new(),
        ));
        let door = Mutex::new(Door::open(&state, record));
        Self { state, record: record.clone(), door }
    }

    pub fn address(&self) -> SocketAddr {
        self.door.lock().unwrap().address
    }

    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.revision, true, &state.members)
    }

    /// From now on it is crowded: each call without a wait is answered so long after it came.
    pub fn set_turn(&self, turn: Duration) {
        self.state.0.lock().unwrap().turn = turn;
    }

    /// A member begins to drain.
    pub fn drain(&self, id: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.members.iter_mut().filter(|m| m.id == id).for_each(|m| m.phase = "DRAINING");
        self.record
            .line(format!("discovery has it: {id} is DRAINING, revision {}", state.revision));
        self.state.1.notify_all();
    }

    /// It moves to a new address. The old one takes no new connection, and closes the open ones after 1.5 s.
    pub fn move_on(&self) -> SocketAddr {
        let mut door = self.door.lock().unwrap();
        let old = std::mem::replace(&mut *door, Door::open(&self.state, &self.record));
        old.closed.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(old.address);
        thread::spawn(move || {
            thread::sleep(OLD_CONNECTIONS);
            for stream in old.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        door.address
    }
}

impl Door {
    fn open(state: &Arc<(Mutex<State>, Condvar)>, record: &Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (closed, open) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (state, record) = (state.clone(), record.clone());
        let (is_closed, streams) = (closed.clone(), open.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_closed.load(Ordering::SeqCst) {
                    return;
                }
                let (state, record) = (state.clone(), record.clone());
                streams.lock().unwrap().extend(stream.try_clone());
                thread::spawn(move || serve(stream, &state, &record, address));
            }
        });
        Self { address, closed, open }
    }
}

fn serve(
    mut stream: TcpStream,
    state: &(Mutex<State>, Condvar),
    record: &Record,
    address: SocketAddr,
) {
    let _ = stream.set_nodelay(true);
    let port = address.port();
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
        let came = Instant::now();
        let target = request.target().to_string();
        record.line(format!("discovery at {port}: {target}"));
        let query = target.split_once('?').map_or("", |(_, q)| q);
        let number = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse::<u64>().ok())
        };
        let after = number("after");
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
        let turn = state.0.lock().unwrap().turn;
        thread::sleep(turn);
        let mut held = state.0.lock().unwrap();
        if let Some(after) = after {
            let end = came + turn.max(wait);
            while held.revision <= after {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                held = state.1.wait_timeout(held, left).unwrap().0;
            }
        }
        let text = match after {
            Some(after) if held.revision <= after => list_json(held.revision, false, &[]),
            _ => list_json(held.revision, true, &held.members),
        };
        let revision = held.revision;
        drop(held);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        let written = stream.write_all(answer.as_bytes()).is_ok();
        let ms = came.elapsed().as_millis();
        record.line(format!(
            "discovery at {port}: answers {target} with revision {revision} after {ms} ms{}",
            if written { "" } else { ": the balancer has closed" }
        ));
        if !written {
            return;
        }
    }
}
