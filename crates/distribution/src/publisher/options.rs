//! What a publisher may do, and what it orders its shell to do.

use sableloom_types::Span;

use crate::codec::CodecError;

/// The shell's handle for a connection; never reused while the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// What a publisher may do. Each default is derived in `docs/design/distribution.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublisherOptions {
    /// Sessions at one time. Default 8,192: the whole fleet at one machine.
    pub max_sessions: usize,
    /// Services in the scope of one session. Default 4,096.
    pub max_scope_services: usize,
    /// Bytes of frames a second, over all sessions. Default 32 MiB.
    pub bytes_per_second: u64,
    /// Bytes that may be sent at once after a rest. Default 8 MiB.
    pub burst_bytes: u64,
    /// Sessions that are sent snapshots at one time. Default 16.
    pub max_snapshots: usize,
    /// Bytes handed out to one session and not yet written, beyond which no frame is added. Default 64 KiB.
    pub max_queued_bytes: usize,
    /// Transactions of one session on the way at one time. Default 32.
    pub max_unacknowledged: usize,
    /// Bytes of one transaction, about: a larger one is split by service. Also, none is begun while as many bytes are
    /// on the way unacknowledged. Default 4 MiB.
    pub max_transaction_bytes: usize,
    /// Services of one transaction: a larger one is split by service. Default 1,024.
    pub max_transaction_services: usize,
    /// Bytes of one frame of changes, about. Default 32 KiB.
    pub chunk_bytes: usize,
    /// A session that takes no byte of what is queued for so long is closed. Default 10 s.
    pub stall_timeout: Span,
    /// A session that does not answer a whole transaction for so long is closed. Default 30 s.
    pub acknowledge_timeout: Span,
    /// A session that says nothing for so long is closed. Default 10 s: ten pings.
    pub silence_timeout: Span,
    /// Mismatches in a row after which a session is closed. Default 3.
    pub max_mismatches: u32,
}

impl Default for PublisherOptions {
    fn default() -> Self {
        PublisherOptions {
            max_sessions: 8_192,
            max_scope_services: 4_096,
            bytes_per_second: 32 << 20,
            burst_bytes: 8 << 20,
            max_snapshots: 16,
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

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherOutput {
    /// Write a frame to a connection, after all before it.
    Send {
        /// Which connection.
        session: SessionId,
        /// The encoded message ([`crate::PublisherMessage`]).
        frame: Vec<u8>,
    },
    /// Write what was handed out as far as that goes without waiting, and close the connection. The publisher has
    /// forgotten it.
    Close {
        /// Which connection.
        session: SessionId,
        /// Why.
        reason: CloseReason,
    },
}

/// Why a control machine ends a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// The hello was refused; the refusal has been sent.
    #[error("refused")]
    Refused,
    /// It takes no bytes.
    #[error("does not read what is sent")]
    Stalled,
    /// It does not answer transactions.
    #[error("does not acknowledge")]
    Unacknowledged,
    /// Nothing came from it.
    #[error("silent")]
    Silent,
    /// Transactions do not fit what it has, again and again.
    #[error("what it has does not fit what is sent, again and again")]
    Mismatch,
    /// It said what may not be said at that point.
    #[error("protocol violation: {0}")]
    Violation(&'static str),
    /// What it sent is no message.
    #[error("{0}")]
    Malformed(CodecError),
    /// Another history has been read.
    #[error("another history has been read")]
    Replaced,
}

/// What a publisher has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PublisherCounters {
    /// Sessions after a hello.
    pub sessions: u64,
    /// Hellos refused.
    pub refused: u64,
    /// Transactions sent whole.
    pub transactions: u64,
    /// Of these, with at least one service as a snapshot.
    pub snapshots: u64,
    /// Groups of services that were too large for one transaction and were split by service.
    pub split: u64,
    /// Changes taken into a transaction that was being sent.
    pub absorbed: u64,
    /// Frames handed out.
    pub frames: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Transactions in force at their subscriber.
    pub acks: u64,
    /// Transactions refused for their content.
    pub rejections: u64,
    /// Transactions that did not fit or had a wrong digest.
    pub mismatches: u64,
    /// Sessions closed for not reading.
    pub stalled: u64,
    /// Sessions closed for not acknowledging.
    pub unacknowledged: u64,
    /// Sessions ended by the control machine, for whatever reason.
    pub closed: u64,
    /// Sessions closed for silence.
    pub silent: u64,
    /// Sessions closed for messages that may not be said, or for bytes that are no message.
    pub violations: u64,
}
