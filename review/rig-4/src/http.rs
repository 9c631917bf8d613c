//! A server and a client of HTTP/1.1, as far as the cases need them.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A message, read completely.
pub struct Message {
    pub first_line: String,
    pub fields: HashMap<String, String>,
    #[allow(dead_code, reason = "not every case looks at it")]
    pub body: Vec<u8>,
}

/// Reads messages with a length from a connection.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(port: u16, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(("127.0.0.1", port))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&bytes[..n]);
                Ok(())
            }
        }
    }

    /// The next message.
    pub fn read(&mut self) -> io::Result<Message> {
        let end = loop {
            match self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_string();
        let field = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_string()))
        };
        let fields: HashMap<_, _> = lines.filter_map(field).collect();
        let length = fields.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            self.fill()?;
        }
        let body = self.buffer.drain(..length).collect();
        Ok(Message { first_line, fields, body })
    }
}

/// A server's address, which outlives its processes.
pub struct Server {
    pub port: u16,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves each request on a free port: `answer` gets the request and returns the whole answer.
    pub fn start(answer: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let answer = Arc::new(answer);
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let open = connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                open.lock().unwrap().extend(stream.try_clone());
                let answer = answer.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) = connection.read() {
                        if connection.stream.write_all(&answer(&request)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { port, connections }
    }

    /// The process at this address ends: its connections break.
    pub fn break_connections(&self) {
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}
