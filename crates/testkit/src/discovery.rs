//! A scripted discovery service, and the lists that it answers with.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Instant;

use serde_json::{Value, json};

use crate::LONG;
use crate::connection::{answer, ok};
use crate::peer::Peer;

/// A discovery service that answers each call by what the test sends.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Each call's request line, and where to send its answer.
    pub calls: Receiver<(String, Sender<Told>)>,
}

/// What discovery says to a call.
pub enum Told {
    /// A whole answer.
    Whole(Value),
    /// So many bytes of it, then the end.
    Cut(Value, usize),
    /// So many bytes of it, then nothing.
    Stalled(Value, usize),
    /// An error.
    Down,
}

impl Discovery {
    /// Listens on a free port.
    pub fn start() -> Self {
        let (sender, calls) = channel();
        let sender = Mutex::new(sender);
        let peer = Peer::start(move |_, mut conn| {
            while let Some(call) = conn.message() {
                let (say, said) = channel();
                let _ = sender.lock().expect("unpoisoned").send((call.line, say));
                // A test that has ended says nothing more.
                let Ok(said) = said.recv() else { return };
                let whole = |list: &Value| ok(&list.to_string());
                match said {
                    Told::Whole(list) => conn.write(whole(&list)),
                    Told::Down => conn.write(answer("503 Down", "", "")),
                    Told::Cut(list, n) => return conn.write(&whole(&list)[..n]),
                    Told::Stalled(list, n) => {
                        conn.write(&whole(&list)[..n]);
                        conn.await_end();
                        return;
                    }
                }
            }
        });
        Self { address: peer.address, calls }
    }

    /// The next call's request line, and where to send its answer.
    pub fn call(&self) -> (String, Sender<Told>) {
        self.calls.recv_timeout(LONG).expect("a call of discovery")
    }

    /// Tells this to each call until one knows its version, which is returned with where to send its answer: then
    /// it is in force. A call that nobody answered in its time has been given up by then.
    pub fn tell(&self, list: &Value) -> (String, Sender<Told>) {
        let version = format!("after={}&", list["revision"]);
        let end = Instant::now() + LONG;
        loop {
            let (call, say) = self.call();
            if call.contains(&version) {
                return (call, say);
            }
            assert!(Instant::now() < end, "it is told {version} again and again, and asks {call}");
            // Whoever has given it up hears nothing.
            let _ = say.send(Told::Whole(list.clone()));
        }
    }
}

/// One server in a list.
pub fn entry(id: &str, at: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": at.to_string(), "locality": "a", "flavor": "m", "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// A list, or a change to one.
pub fn list(revision: u64, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}
