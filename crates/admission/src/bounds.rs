//! The limits within which admission decides.

use sableloom_types::Span;

/// The limits within which admission decides.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The largest number of connections.
    pub max_connections: usize,
    /// The largest number that clients with requests can hold, where it is bounded lower on the clients' side.
    pub max_client_connections: usize,
    /// A request must be complete this long after its first byte, and on a new connection after the accept.
    pub request_timeout: Span,
    /// An idle connection is closed after this time.
    pub idle_timeout: Span,
    /// A client that accepts none of an answer for this time is cut off.
    pub write_timeout: Span,
    /// How long a new client waits for a slot while all are busy. After that it and those behind it are rejected until
    /// a slot is free.
    pub max_wait: Span,
    /// The longest Retry-After.
    pub max_retry_after: Span,
}
