//! Counters of the datagrams of a member.

/// Datagrams that a member has sent and received since its start, and their bytes without headers of the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams that the socket took.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that came, whatever became of them.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Absence queries, of one byte each; not counted as sent.
    pub absence_queries: u64,
    /// Absence queries that were not sent, as too many others were waiting.
    pub absence_queries_dropped: u64,
}
