//! Counters of a member's datagrams.

/// The datagrams that a member has sent and received since its start. Bytes are counted without the headers of UDP and
/// IP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of datagrams that the socket accepted for sending.
    pub sent: u64,
    /// The bytes of the datagrams that are counted in [`Self::sent`].
    pub sent_bytes: u64,
    /// The number of datagrams that were received, including those that were then dropped. Datagrams from the
    /// operator's address and the answers to them are counted neither here nor in [`Self::sent`].
    pub received: u64,
    /// The bytes of the datagrams that are counted in [`Self::received`].
    pub received_bytes: u64,
    /// The number of absence queries that were sent. They have one byte each and are not counted in [`Self::sent`].
    pub absence_queries: u64,
    /// The number of absence queries that were not sent because too many others were waiting.
    pub absence_queries_dropped: u64,
}
