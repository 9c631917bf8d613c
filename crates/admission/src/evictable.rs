//! The connections that may be evicted, and which of their slots has the least value.

use std::collections::BTreeSet;

use sableloom_types::Time;

use crate::connection::{ConnectionId, Stage, WaitKind};
use crate::hazard_estimate::{AGE_BUCKETS, HazardEstimate, bucket_start};

/// The estimates of all kinds of waits.
pub(crate) type HazardEstimates = [HazardEstimate; WaitKind::ALL.len()];

/// Connections by the time since which they wait, the longest waiting first.
pub(crate) type WaitOrder = BTreeSet<(Time, ConnectionId)>;

/// The connections that may be evicted: closed to free their slots for others.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvictableConnections {
    /// Connections that the balancer or the client has begun to close.
    pub(crate) closing: WaitOrder,
    /// Connections that wait, by kind of wait.
    waiting: [WaitOrder; WaitKind::ALL.len()],
}

/// A connection, and the value of its slot: the estimated rate of the event that the connection waits for (its first
/// byte, a complete request or the next request), per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ValuedConnection {
    pub(crate) id: ConnectionId,
    pub(crate) value: f64,
}

impl EvictableConnections {
    /// The connections with this kind of wait.
    pub(crate) fn waiting(&self, kind: WaitKind) -> &WaitOrder {
        &self.waiting[kind as usize]
    }

    /// The set of the connections in this stage; `None` for busy connections, which are never evicted.
    pub(crate) fn in_stage_mut(&mut self, stage: Stage) -> Option<&mut WaitOrder> {
        match stage {
            Stage::Closing => Some(&mut self.closing),
            Stage::Waiting(kind) => Some(&mut self.waiting[kind as usize]),
            Stage::Busy => None,
        }
    }

    /// The number of connections in all sets.
    pub(crate) fn len(&self) -> usize {
        self.waiting.iter().chain([&self.closing]).map(BTreeSet::len).sum()
    }

    /// The connection of these kinds whose slot has the least value. The age of a connection is the time for which it
    /// has waited. Within an age bucket all slots have the same value, and the longest waiting connection is taken.
    pub(crate) fn least_valuable(
        &self,
        now: Time,
        estimates: &HazardEstimates,
        kinds: &[WaitKind],
    ) -> Option<ValuedConnection> {
        let mut least: Option<(Time, ValuedConnection)> = None;
        for kind in kinds {
            for bucket in 0..AGE_BUCKETS {
                let Some((since, id)) = self.longest_waiting(now, *kind, bucket) else { continue };
                let value = estimates[*kind as usize].value(bucket);
                if least
                    .is_none_or(|(least_since, least)| (value, since) < (least.value, least_since))
                {
                    least = Some((since, ValuedConnection { id, value }));
                }
            }
        }
        least.map(|(_, connection)| connection)
    }

    /// The longest waiting connection of a kind whose age is in this bucket.
    fn longest_waiting(
        &self,
        now: Time,
        kind: WaitKind,
        bucket: usize,
    ) -> Option<(Time, ConnectionId)> {
        let youngest = match bucket {
            // The youngest bucket includes connections whose wait seems to begin in the future, because the caller's
            // clock was set back.
            0 => Time(i64::MAX),
            _ => Time(now.0 - bucket_start(bucket).0),
        };
        let oldest = match bucket + 1 {
            AGE_BUCKETS => Time(i64::MIN),
            next => Time(now.0 - bucket_start(next).0 + 1),
        };
        let range = (oldest, ConnectionId(0))..=(youngest, ConnectionId(u64::MAX));
        self.waiting(kind).range(range).next().copied()
    }
}
