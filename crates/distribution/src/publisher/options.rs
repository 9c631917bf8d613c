//! The limits of a publisher.

use sableloom_types::Span;

/// The limits of a publisher. Each default is derived in `docs/design/distribution.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublisherOptions {
    /// Sessions at one time. Default 8,192: the whole fleet at one control machine.
    pub max_sessions: usize,
    /// Services in the scope of one session. Default 4,096.
    pub max_scope_services: usize,
    /// Bytes of frames per second, over all sessions. Default 32 MiB.
    pub bytes_per_second: u64,
    /// Bytes that may be sent at once after a pause. Default 8 MiB.
    pub burst_bytes: u64,
    /// Snapshot slots: sessions that may send snapshots at one time. Default 16.
    pub max_concurrent_snapshots: usize,
    /// Bytes queued for one session and not yet written, from which on no frame is added. Default 64 KiB.
    pub max_queued_bytes: usize,
    /// Unacknowledged transactions of one session. Default 32.
    pub max_unacknowledged: usize,
    /// Bytes of one transaction, by estimate: a larger one is split by service. Also, no transaction is begun while as
    /// many bytes are unacknowledged. Default 4 MiB.
    pub max_transaction_bytes: usize,
    /// Services of one transaction: a larger one is split by service. Default 1,024.
    pub max_transaction_services: usize,
    /// Bytes of one frame of changes, by estimate. Default 32 KiB.
    pub chunk_bytes: usize,
    /// A session is closed if none of its queued bytes is written for this time. Default 10 s.
    pub stall_timeout: Span,
    /// A session is closed if it does not answer a complete transaction for this time. Default 30 s.
    pub acknowledge_timeout: Span,
    /// A session is closed if no message comes for this time. Default 10 s: ten pings.
    pub silence_timeout: Span,
    /// Consecutive mismatches after which a session is closed. Default 3.
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
