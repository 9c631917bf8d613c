//! The limits and timeouts that admission applies.

use sableloom_types::Span;

/// The numbers of connections and the timeouts that admission applies.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The largest number of connections.
    pub max_connections: usize,
    /// The largest number of connections on which clients can send requests. It is less than `max_connections` if a
    /// bound outside the balancer allows clients fewer.
    pub max_client_connections: usize,
    /// A request must be complete this long after its first byte, and on a new connection after the accept.
    pub request_timeout: Span,
    /// An idle connection is closed after this time.
    pub idle_timeout: Span,
    /// A connection is closed if its client accepts none of an answer for this time.
    pub write_timeout: Span,
    /// How long a new client waits for a slot while all are busy. After that, this client and those after it are
    /// rejected until a slot is free.
    pub max_wait: Span,
    /// The longest Retry-After that a rejected client is given.
    pub max_retry_after: Span,
}
