//! A sound server: one request at a time on a connection, begun when its last byte has come.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client::field;
use crate::record::Record;

/// A request that a server has begun.
#[derive(Clone, Debug)]
pub struct Run {
    /// Seconds since the start of the case.
    pub at: f64,
    pub id: String,
    /// How many requests the server runs, this one included.
    pub running: usize,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    running: usize,
    /// What stands before the id in an answer.
    says: String,
}

#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
    work: Duration,
}

impl Server {
    /// Starts a server that takes this long for each request.
    pub fn start(name: &str, work: Duration, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let server = Self {
            name: name.to_string(),
            address,
            state: Arc::default(),
            record: record.clone(),
            work,
        };
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// All requests that it has begun.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().map(|state| state.runs.clone()).unwrap_or_default()
    }

    /// From now on its answers begin with this.
    pub fn say(&self, text: &str) {
        if let Ok(mut state) = self.state.lock() {
            state.says = text.to_string();
        }
        self.record.line(&format!("{} answers for {text} from now on", self.name));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Some((head, body)) = read_request(&mut reader) {
            let id = field(&head, "x-trace-id").unwrap_or_default();
            let line = head.split("\r\n").next().unwrap_or_default().to_string();
            self.begin(&line, &id, &body);
            std::thread::sleep(self.work);
            self.end(&id);
            let says = self.state.lock().map(|state| state.says.clone()).unwrap_or_default();
            let answer = format!("{says} {id}");
            let text =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{answer}", answer.len());
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn begin(&self, line: &str, id: &str, body: &[u8]) {
        let Ok(mut state) = self.state.lock() else { return };
        state.running += 1;
        let running = state.running;
        let run = Run { at: self.record.now(), id: id.to_string(), running };
        let text = String::from_utf8_lossy(body);
        self.record
            .line(&format!("{} begins {line} {id} body {text:?}, runs {running}", self.name));
        state.runs.push(run);
    }

    /// A request has ended; its answer is written after this.
    fn end(&self, id: &str) {
        let Ok(mut state) = self.state.lock() else { return };
        state.running -= 1;
        self.record.line(&format!("{} answers {id}, runs {}", self.name, state.running));
    }
}

/// Reads a complete request with a length or none; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    loop {
        let before = head.len();
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
        if &head[before..] == "\r\n" {
            break;
        }
    }
    let length =
        field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0usize);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}
