//! Header fields of a message, between hyper's form and the exchange's.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use sableloom_exchange::Fields;

/// What goes on with a message: all but what concerns one connection only, framing included
/// (RFC 9110, section 7.6.1).
pub(crate) fn end_to_end(mut headers: HeaderMap) -> Fields {
    strip_hop_by_hop(&mut headers);
    Fields::collect(|| headers.iter().map(|(n, v)| (n.as_str().as_bytes(), v.as_bytes())))
}

/// Fields as hyper writes them. What is no HTTP field is left out: it comes from another protocol.
pub(crate) fn headers(fields: &Fields) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in fields.iter() {
        let name = HeaderName::from_bytes(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(value)) {
            headers.append(name, value);
        }
    }
    headers
}

fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|n| n.trim().to_ascii_lowercase()))
        .collect();
    // A header that carries the protocol is not given up, whatever the client lists.
    for name in named.iter().filter(|n| !n.starts_with("x-") && *n != "idempotency-key") {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "expect",
        // What is sent gets a length of its own.
        "content-length",
    ] {
        headers.remove(name);
    }
}
