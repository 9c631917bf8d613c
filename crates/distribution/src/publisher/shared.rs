//! The state that all sessions of a publisher share.

use sableloom_types::Time;

use super::bandwidth::Bandwidth;
use super::counters::PublisherCounters;
use super::options::PublisherOptions;
use super::output::{PublisherOutput, SessionId};
use super::snapshot_slots::SnapshotSlots;
use crate::codec::encode;
use crate::message::PublisherMessage;

/// The bandwidth limit, the snapshot slots, the counters and the ids of transactions.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) bandwidth: Bandwidth,
    pub(super) snapshot_slots: SnapshotSlots,
    pub(super) counters: PublisherCounters,
    /// The id of the next transaction; ids start at 1.
    next_transaction: u64,
}

impl Shared {
    /// Creates the state of a publisher with no session.
    pub(super) fn new(options: &PublisherOptions) -> Self {
        Shared {
            bandwidth: Bandwidth::new(options),
            snapshot_slots: SnapshotSlots::new(options.max_concurrent_snapshots),
            counters: PublisherCounters::default(),
            next_transaction: 1,
        }
    }

    /// Returns the id of the next transaction.
    pub(super) fn next_transaction(&self) -> u64 {
        self.next_transaction
    }

    /// Marks the id of [`Self::next_transaction`] as used by a transaction that has been opened.
    pub(super) fn transaction_opened(&mut self) {
        self.next_transaction += 1;
    }
}

/// The destination of the frames that are queued during one call of the publisher.
pub(super) struct FrameSink<'a> {
    pub(super) now: Time,
    pub(super) shared: &'a mut Shared,
    pub(super) out: &'a mut Vec<PublisherOutput>,
}

impl FrameSink<'_> {
    /// Encodes and queues a message for a session, counts it, and deducts it from the bandwidth. Returns the bytes of
    /// its frame.
    pub(super) fn send(&mut self, session: SessionId, message: &PublisherMessage) -> usize {
        let frame = encode(message);
        let bytes = frame.len();
        self.shared.bandwidth.spend(bytes);
        self.shared.counters.frames += 1;
        self.shared.counters.bytes += bytes as u64;
        self.out.push(PublisherOutput::Send { session, frame });
        bytes
    }
}
