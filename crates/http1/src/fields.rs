//! Header fields of a message, between hyper's form and the exchange's.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use sableloom_exchange::Fields;

/// Fields that concern one connection only (RFC 9110, section 7.6.1), and the length: what is forwarded gets a length of
/// its own.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "content-length",
];

/// What hyper's table of fields takes for each, in bytes; connections keep the table for their next message.
const TABLE_BYTES_PER_FIELD: usize = 128;

/// The fields that are passed on with a message.
pub(crate) fn end_to_end(mut headers: HeaderMap) -> Fields {
    strip_hop_by_hop(&mut headers);
    Fields::collect(|| {
        headers.iter().map(|(name, value)| (name.as_str().as_bytes(), value.as_bytes()))
    })
}

/// Fields as hyper writes them. What is no HTTP field is left out: it comes from another protocol.
pub(crate) fn to_headers(fields: &Fields) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in fields.iter() {
        let name = HeaderName::from_bytes(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(value)) {
            headers.append(name, value);
        }
    }
    headers
}

/// What these fields take as a message's head, in bytes.
pub(crate) fn head_bytes(fields: &Fields) -> usize {
    fields.text_bytes() + fields.count() * TABLE_BYTES_PER_FIELD
}

/// The same of fields in hyper's form.
pub(crate) fn header_bytes(headers: &HeaderMap) -> usize {
    let text = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    headers.iter().map(text).sum::<usize>() + headers.len() * TABLE_BYTES_PER_FIELD
}

fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    // The fields of the platform's protocol are kept, even if the client lists them.
    let is_kept = |name: &str| name.starts_with("x-") || name == "idempotency-key";
    for name in listed.iter().filter(|name| !is_kept(name)) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
