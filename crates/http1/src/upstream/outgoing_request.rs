//! A request as hyper writes it to a server.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::Full;
use hyper::{Method, Request, Uri, header};
use sableloom_exchange::Message;

use crate::fields;

/// The bytes of a request line besides its method and target: two spaces, the version and the end of the line.
const REQUEST_LINE_EXTRA: usize = 12;
/// The bytes of a header line besides its name and value: colon, space and the end of the line.
const HEADER_LINE_EXTRA: usize = 4;
/// The empty line behind the head.
const HEAD_END: usize = 2;

/// A request, and the number of bytes that hyper writes of it.
pub(super) struct OutgoingRequest {
    pub(super) request: Request<Full<Bytes>>,
    pub(super) bytes: u64,
}

impl OutgoingRequest {
    /// The request that forwards a message; its client waits for `time_left`. `None` if the message is none of HTTP.
    pub(super) fn new(message: &Message, time_left: Duration) -> Option<Self> {
        let body = Full::new(message.body.clone());
        let length = body.size_hint().exact().unwrap_or(0);
        let method = Method::from_bytes(&message.method).ok()?;
        let mut headers = fields::to_headers(&message.fields);
        headers.insert("x-expires-in-ms", (time_left.as_millis() as u64).max(1).into());
        if length > 0 || method == Method::POST {
            headers.insert(header::CONTENT_LENGTH, length.into());
        }
        let uri = Uri::from_maybe_shared(message.target.clone()).ok()?;
        let request_line = method.as_str().len() + uri.to_string().len() + REQUEST_LINE_EXTRA;
        let header_lines: usize = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_EXTRA)
            .sum();
        let bytes = (request_line + header_lines + HEAD_END) as u64 + length;
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        Some(Self { request, bytes })
    }
}

#[cfg(test)]
mod tests;
