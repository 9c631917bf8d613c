//! The limits of a publisher.

use sableloom_types::Span;

/// The limits of a publisher. Each default is derived in `docs/design/distribution.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublisherOptions {
    /// The most sessions at one time. 64 further connections are allowed for those that have not sent a hello and for
    /// tools that request the status: a hello is refused while more than `max_sessions` + 64 connections are open.
    /// Default 8,192: all 7,600 balancers of a fleet connected to one control machine.
    pub max_sessions: usize,
    /// The most services in the scope of one session; a larger scope is refused. Default 4,096.
    pub max_scope_services: usize,
    /// The most bytes of frames per second on average, over all sessions. Default 32 MiB.
    pub bytes_per_second: u64,
    /// The most bytes that may be sent at once after a period with less traffic than `bytes_per_second`. Default 8 MiB.
    pub burst_bytes: u64,
    /// The snapshot slots: the most sessions that may send snapshots at one time. Default 16.
    pub max_concurrent_snapshots: usize,
    /// The queue limit of one session: no frame is added while at least this number of bytes is queued and not yet
    /// written. The last frame may exceed it. Default 64 KiB.
    pub max_queued_bytes: usize,
    /// The most unacknowledged transactions of one session. Default 32.
    pub max_unacknowledged: usize,
    /// The most bytes of one transaction, by estimate; a larger transaction is split by service. In addition, no
    /// transaction is begun while at least this number of bytes is unacknowledged. Default 4 MiB.
    pub max_transaction_bytes: usize,
    /// The most services of one transaction; a larger transaction is split by service. Default 1,024.
    pub max_transaction_services: usize,
    /// The most bytes of changes in one frame, by estimate; a larger single change has a frame of its own. Default
    /// 32 KiB.
    pub chunk_bytes: usize,
    /// The time after which a session is closed if none of its queued bytes has been written. Default 10 s.
    pub stall_timeout: Span,
    /// The time after which a session is closed if a complete transaction has not been answered. Default 30 s.
    pub acknowledge_timeout: Span,
    /// The time after which a session is closed if no message has been received. Default 10 s: ten times the default
    /// interval of a subscriber's pings.
    pub silence_timeout: Span,
    /// The number of consecutive mismatches at which a session is closed. Default 3.
    pub max_mismatches: u32,
}

impl Default for PublisherOptions {
    fn default() -> Self {
        PublisherOptions {
            max_sessions: 8_192,
            max_scope_services: 4_096,
            bytes_per_second: 32 << 20,
            burst_bytes: 8 << 20,
            max_concurrent_snapshots: 16,
            max_queued_bytes: 64 << 10,
            max_unacknowledged: 32,
            max_transaction_bytes: 4 << 20,
            max_transaction_services: 1_024,
            chunk_bytes: 32 << 10,
            stall_timeout: Span(10_000_000),
            acknowledge_timeout: Span(30_000_000),
            silence_timeout: Span(10_000_000),
            max_mismatches: 3,
        }
    }
}
