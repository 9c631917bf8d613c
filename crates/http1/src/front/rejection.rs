//! The answer to a client whose connection or request is rejected before it is read.

use sableloom_types::Span;

/// A 503 that closes the connection, with this Retry-After unless it is 0: the request was not executed and may be sent
/// again.
pub(super) fn rejection(retry_after: Span) -> String {
    let retry_after = match retry_after.0 {
        0 => String::new(),
        us => format!("Retry-After: {:.3}\r\n", us as f64 / 1e6),
    };
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n{retry_after}Content-Length: 0\r\n\
         Connection: close\r\n\r\n"
    )
}
