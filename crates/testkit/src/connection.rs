//! One end of an HTTP/1.1 connection, driven by hand, and the messages on it.

use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use socket2::Socket;

use crate::{LONG, eventually};

/// A message as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
    /// Bytes of it on the wire.
    pub bytes: usize,
}

impl Message {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }
    /// The id of a request.
    pub fn id(&self) -> &str {
        self.header("x-trace-id").expect("an id")
    }
}

/// One end of a connection.
pub struct Conn {
    stream: TcpStream,
    ahead: Vec<u8>,
}

impl Conn {
    /// An end that waits for [`LONG`] at most.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        Self { stream, ahead: Vec::new() }
    }

    /// Writes all of it, if the other end is there.
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        // The other end may have left: what comes of it is the test's to judge.
        let _ = self.stream.write_all(bytes.as_ref());
    }

    /// Writes all of it; false once the other end does not take it any more.
    pub fn takes(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(bytes.as_ref()).is_ok()
    }

    /// More bytes; none at the end of the connection, however it ended.
    fn more(&mut self) -> usize {
        let mut buffer = [0; 65536];
        let n = match self.stream.read(&mut buffer) {
            Ok(n) => n,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("nothing came"),
            Err(_) => 0,
        };
        self.ahead.extend_from_slice(&buffer[..n]);
        n
    }

    fn take_line(&mut self) -> Option<String> {
        loop {
            if let Some(i) = self.ahead.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..i + 2).collect();
                return Some(String::from_utf8_lossy(&line[..i]).into_owned());
            }
            if self.more() == 0 {
                return None;
            }
        }
    }

    fn take(&mut self, n: usize) -> Option<Vec<u8>> {
        while self.ahead.len() < n {
            if self.more() == 0 {
                return None;
            }
        }
        Some(self.ahead.drain(..n).collect())
    }

    /// The next message's line and headers; `None` if the connection ends before them.
    pub fn head(&mut self) -> Option<Message> {
        let mut message = Message { line: self.take_line()?, ..Default::default() };
        message.bytes = message.line.len() + 2;
        loop {
            let line = self.take_line()?;
            message.bytes += line.len() + 2;
            if line.is_empty() {
                return Some(message);
            }
            let (name, value) = line.split_once(':').expect("a header");
            message.headers.push((name.to_lowercase(), value.trim().to_string()));
        }
    }

    /// The next message, whole; `None` if the connection ends before it is.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(&self.take_line()?, 16).expect("a chunk size");
                message.body.extend(self.take(size)?);
                self.take_line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.header("content-length") {
            message.body = self.take(length.parse().expect("a length"))?;
            message.bytes += message.body.len();
        }
        Some(message)
    }

    /// Waits until the other end has closed; panics if it says anything first.
    pub fn await_end(&mut self) {
        while self.more() > 0 {}
        assert_eq!(self.ahead, b"", "nothing but the end was expected");
    }

    /// Whether the other end has closed within this time.
    pub fn ends_within(&mut self, time: Duration) -> bool {
        self.stream.set_read_timeout(Some(time)).expect("a time-out");
        let ended = !matches!(self.stream.read(&mut [0; 1]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        self.stream.set_read_timeout(Some(LONG)).expect("a time-out");
        ended
    }

    /// Reads this many bytes and leaves the rest unread.
    pub fn read_some(&mut self, n: usize) {
        while self.ahead.len() < n && self.more() > 0 {}
    }

    /// Waits for the next byte and leaves it unread; false at the end.
    pub fn await_byte(&mut self) -> bool {
        !self.ahead.is_empty() || matches!(self.stream.peek(&mut [0]), Ok(1))
    }

    /// Writes as much as the other end takes without waiting.
    pub fn write_some(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.set_nonblocking(true).expect("a socket");
        let _ = self.stream.write_all(bytes.as_ref());
        self.stream.set_nonblocking(false).expect("a socket");
    }

    /// Whether the other end has sent something or closed by now.
    pub fn has_news(&self) -> bool {
        self.stream.set_nonblocking(true).expect("a socket");
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).expect("a socket");
        !self.ahead.is_empty()
            || !matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Ends this direction.
    pub fn finish(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Ends the connection, with a reset or without, and waits until the system at the other end knows.
    pub fn leave(self, reset: bool) {
        let (here, there) = (self.stream.local_addr(), self.stream.peer_addr());
        let (here, there) = (here.expect("an address").port(), there.expect("an address").port());
        match reset {
            true => self.reset(),
            false => drop(self),
        }
        // proc_net_tcp(5): local and remote address, then the state; 01 is established.
        let (local, remote) = (format!(":{there:04X}"), format!(":{here:04X}"));
        eventually("the other end knows that it has closed", || {
            let table = fs::read_to_string("/proc/net/tcp").expect("the system's connections");
            !table.lines().any(|line| {
                let fields: Vec<_> = line.split_whitespace().collect();
                fields.len() > 3
                    && fields[1].ends_with(&local)
                    && fields[2].ends_with(&remote)
                    && fields[3] == "01"
            })
        });
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        let socket = Socket::from(self.stream);
        socket.set_linger(Some(Duration::ZERO)).expect("linger");
    }
}

/// An answer with a length.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A good answer.
pub fn ok(body: &str) -> String {
    answer("200 OK", "", body)
}

/// A request of the class that is safe to repeat, in a head that `more` adds to.
pub fn read(id: &str, more: &str) -> String {
    format!(
        "GET /read/x?q=1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {id}\r\nX-Qos: read\r\n\
         X-Expires-In-Ms: 2500\r\n{more}\r\n"
    )
}

/// A request of a class that has a body.
pub fn post(class: &str, id: &str, more: &str, body: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
         X-Expires-In-Ms: 2500\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
