//! Just enough of HTTP/1.1 for the stand-ins: messages with a length, or with none.

use std::io::{self, Read};

/// A request or an answer, complete.
pub struct Message {
    pub line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the messages of one connection; `buffer` holds what came behind the last one. `None` at an end between
/// messages, an error at any other end.
pub fn read_message(from: &mut impl Read, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        if !more(from, buffer)? {
            return if buffer.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or("").to_string();
    let headers: Vec<_> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_string(), v.trim().to_string()))
        .collect();
    let mut message = Message { line, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0usize);
    while buffer.len() < length {
        if !more(from, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

fn more(from: &mut impl Read, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut bytes = [0; 16 << 10];
    let n = loop {
        match from.read(&mut bytes) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => break other?,
        }
    };
    buffer.extend_from_slice(&bytes[..n]);
    Ok(n > 0)
}
