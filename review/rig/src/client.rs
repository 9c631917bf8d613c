//! A client as the protocol page describes it: one request at a time on a connection that it keeps.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::read_message;

pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub post: bool,
    pub key: String,
    pub expires_ms: u64,
    pub body: Vec<u8>,
}

impl Request {
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.post { "POST" } else { "GET" };
        let Self { id, class, key, expires_ms, .. } = self;
        let mut head = format!(
            "{method} /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Object: {key}\r\nX-Expires-In-Ms: {expires_ms}\r\n"
        );
        if self.post {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// How a request ended for its client.
pub enum End {
    Answered {
        status: u16,
        body: Vec<u8>,
    },
    /// The connection ended or broke with no whole answer.
    Broken(String),
    /// Nothing came in the time that the client stayed.
    Silent,
}

pub struct Outcome {
    pub end: End,
    /// From when the last byte was written to the end.
    pub took: Duration,
}

pub struct Client {
    balancer: SocketAddr,
    kept: Option<(TcpStream, Vec<u8>)>,
}

impl Client {
    pub fn new(balancer: SocketAddr) -> Self {
        Self { balancer, kept: None }
    }

    /// Sends a request and stays for its answer for this long. A kept connection that ends with no byte of an answer
    /// was closed between requests: the request is sent once more on a new one.
    pub fn ask(&mut self, request: &Request, stay: Duration) -> Outcome {
        let bytes = request.bytes();
        let kept = self.kept.is_some();
        let (outcome, no_byte) = self.ask_once(&bytes, stay);
        match outcome.end {
            End::Broken(_) if kept && no_byte => self.ask_once(&bytes, stay).0,
            _ => outcome,
        }
    }

    fn ask_once(&mut self, bytes: &[u8], stay: Duration) -> (Outcome, bool) {
        let broken = |why: String, sent: Instant| {
            (Outcome { end: End::Broken(why), took: sent.elapsed() }, true)
        };
        let (mut stream, mut buffer) = match self.kept.take() {
            Some(kept) => kept,
            None => match TcpStream::connect(self.balancer) {
                Ok(stream) => (stream, Vec::new()),
                Err(e) => return broken(format!("connect: {e}"), Instant::now()),
            },
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(stay));
        if let Err(e) = stream.write_all(bytes) {
            return broken(format!("write: {e}"), Instant::now());
        }
        let sent = Instant::now();
        let read = read_message(&mut stream, &mut buffer);
        let took = sent.elapsed();
        let no_byte = buffer.is_empty();
        let end = match read {
            Ok(Some(message)) => {
                if !message.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
                    self.kept = Some((stream, buffer));
                }
                End::Answered { status: message.status(), body: message.body }
            }
            Ok(None) => End::Broken("the connection ended".into()),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                End::Silent
            }
            Err(e) => End::Broken(e.to_string()),
        };
        (Outcome { end, took }, no_byte)
    }
}
