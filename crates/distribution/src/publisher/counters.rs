//! The counters of a publisher.

use super::output::CloseReason;

/// The totals of a publisher since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PublisherCounters {
    /// Sessions whose hello was accepted.
    pub sessions: u64,
    /// Sessions whose hello or scope was refused.
    pub refused: u64,
    /// Transactions of which all frames were queued for sending.
    pub transactions: u64,
    /// The transactions among [`Self::transactions`] that hold at least one service as a snapshot.
    pub snapshots: u64,
    /// Groups of services that exceeded the limits of a transaction and were split into one transaction per service.
    pub split_groups: u64,
    /// Changes that were added to a transaction while it was being sent.
    pub merged_changes: u64,
    /// Frames queued for sending.
    pub frames: u64,
    /// Bytes of the frames counted by [`Self::frames`].
    pub bytes: u64,
    /// Transactions that subscribers acknowledged as applied.
    pub acks: u64,
    /// Transactions that subscribers rejected because of their content.
    pub rejections: u64,
    /// Transactions whose base or digest did not match the subscriber's state.
    pub mismatches: u64,
    /// Sessions closed because no queued byte was written for [`crate::PublisherOptions::stall_timeout`].
    pub stalled: u64,
    /// Sessions closed because a transaction was not answered within
    /// [`crate::PublisherOptions::acknowledge_timeout`].
    pub unacknowledged: u64,
    /// Sessions closed by the publisher, for any reason.
    pub closed: u64,
    /// Sessions closed because no message was received for [`crate::PublisherOptions::silence_timeout`].
    pub silent: u64,
    /// Sessions closed because of a malformed frame or a message that the protocol does not allow at that point.
    pub violations: u64,
}

impl PublisherCounters {
    /// Counts a session that the publisher closes, by its reason.
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
