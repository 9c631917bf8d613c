//! What a publisher counts.

use super::output::CloseReason;

/// The counters of a publisher since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PublisherCounters {
    /// Sessions that were welcomed.
    pub sessions: u64,
    /// Sessions that were refused.
    pub refused: u64,
    /// Transactions sent completely.
    pub transactions: u64,
    /// Of these, transactions with at least one service as a snapshot.
    pub snapshots: u64,
    /// Groups of services that exceeded one transaction and were split by service.
    pub split_groups: u64,
    /// Changes that were added to a transaction while it was being sent.
    pub merged_changes: u64,
    /// Frames queued for sending.
    pub frames: u64,
    /// Bytes of these frames.
    pub bytes: u64,
    /// Transactions that were acknowledged.
    pub acks: u64,
    /// Transactions that were rejected for their content.
    pub rejections: u64,
    /// Transactions whose base or digest did not match the subscriber's state.
    pub mismatches: u64,
    /// Sessions closed because the subscriber did not read.
    pub stalled: u64,
    /// Sessions closed because the subscriber did not answer a transaction.
    pub unacknowledged: u64,
    /// Sessions closed by the publisher, for any reason.
    pub closed: u64,
    /// Sessions closed because no message came.
    pub silent: u64,
    /// Sessions closed for a message that the protocol does not allow at that point, or for a malformed frame.
    pub violations: u64,
}

impl PublisherCounters {
    /// Counts a session that the publisher closes.
    pub(super) fn count_close(&mut self, reason: CloseReason) {
        match reason {
            CloseReason::Refused => self.refused += 1,
            CloseReason::Stalled => self.stalled += 1,
            CloseReason::Unacknowledged => self.unacknowledged += 1,
            CloseReason::Silent => self.silent += 1,
            CloseReason::Violation(_) | CloseReason::Malformed(_) => self.violations += 1,
            CloseReason::Mismatch | CloseReason::StoreReplaced => {}
        }
        self.closed += 1;
    }
}
