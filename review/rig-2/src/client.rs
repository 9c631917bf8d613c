//! Clients over HTTP/1.1.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

/// An answer as it came.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn closes(&self) -> bool {
        self.head.to_ascii_lowercase().contains("connection: close")
    }
}

/// A connection of a client.
pub struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(4)))?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one answer with a length.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at + 4;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let length =
            field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0usize);
        while self.buffer.len() < end + length {
            self.fill()?;
        }
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or_else(|| io::Error::other("no status"))?;
        let body = self.buffer[end..end + length].to_vec();
        self.buffer.drain(..end + length);
        Ok(Answer { status, head, body })
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&bytes[..n]);
                Ok(())
            }
        }
    }
}

/// The value of a header field of a head, by its name in lower case.
pub fn field(head: &str, name: &str) -> Option<String> {
    head.split("\r\n").skip(1).find_map(|line| {
        let (field, value) = line.split_once(':')?;
        field.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_string())
    })
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// A request of the platform's clients: `GET` for a class that is safe, `POST` else.
pub fn request(class: &str, method: &str, id: &str, expires_ms: u64, body: &[u8]) -> Vec<u8> {
    request_to("backend.local", class, method, id, expires_ms, body)
}

/// The same to a host.
pub fn request_to(
    host: &str,
    class: &str,
    method: &str,
    id: &str,
    expires_ms: u64,
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} /{class} HTTP/1.1\r\nHost: {host}\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
         X-Expires-In-Ms: {expires_ms}\r\n"
    );
    if method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    [text.as_bytes(), body].concat()
}

/// A free TCP port of the loopback address.
pub fn free_port() -> Result<u16, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.local_addr().map(|address| address.port()).map_err(|error| error.to_string())
}

/// A free UDP port of the loopback address.
pub fn free_udp_port() -> Result<u16, String> {
    let socket = UdpSocket::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    socket.local_addr().map(|address| address.port()).map_err(|error| error.to_string())
}

/// Waits until `GET /up` is answered 200.
pub fn wait_until_up(at: SocketAddr, longest: Duration) -> Result<(), String> {
    let end = Instant::now() + longest;
    while Instant::now() < end {
        let answered = Client::connect(at).and_then(|mut client| {
            client.send(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")?;
            client.answer()
        });
        if answered.is_ok_and(|answer| answer.status == 200) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Err("the balancer is not up".to_string())
}
