//! The platform's discovery: the list, and watches on its changes.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_message;

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
}

/// A discovery service on a port of its own.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    pub fn start(members: Vec<Member>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new((Mutex::new(State { revision: 1, members }), Condvar::new()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        Self { address, state }
    }

    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.revision, true, &state.members)
    }
}

fn serve(mut stream: TcpStream, state: &(Mutex<State>, Condvar)) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
        let query = request.target().split_once('?').map_or("", |(_, q)| q).to_string();
        let number = |name: &str| {
            query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let text = match (number("after"), number("wait_ms")) {
            (Some(after), Some(wait)) => {
                let end = Instant::now() + Duration::from_millis(wait.min(60_000));
                let mut held = state.0.lock().unwrap();
                while held.revision <= after {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    held = state.1.wait_timeout(held, left).unwrap().0;
                }
                match held.revision <= after {
                    true => list_json(held.revision, false, &[]),
                    false => list_json(held.revision, true, &held.members),
                }
            }
            _ => {
                let held = state.0.lock().unwrap();
                list_json(held.revision, true, &held.members)
            }
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
