//! The pace of absence queries where the list is long.

use sableloom_types::Time;

/// Absence queries a second to one missing member's system by all others together, each of 29 bytes with its headers:
/// they still come when the member starts. Where each of 7,600 queried at the pace of a short list, a member that came
/// back was sent 15,200 a second.
const QUERIES_PER_SECOND_PER_MEMBER: f64 = 24.0;
/// The queries that may be sent at once, in seconds of the pace: members are looked at that often at least.
const BURST_SECONDS: f64 = 0.5;

/// A token bucket of absence queries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueryPacing {
    tokens: f64,
    updated_at: Time,
}

impl QueryPacing {
    /// Each member begins with another fraction of a token, so that the first queries of all do not come at once.
    pub(crate) fn new(now: Time, seed: u64) -> Self {
        Self { tokens: f64::from((seed >> 32) as u32) / f64::from(u32::MAX), updated_at: now }
    }

    /// How many queries this member may send now, about so many unconfirmed members, with so many others that send
    /// queries too.
    pub(crate) fn available(
        &mut self,
        now: Time,
        unconfirmed: usize,
        other_senders: usize,
    ) -> usize {
        let per_second =
            QUERIES_PER_SECOND_PER_MEMBER * unconfirmed as f64 / (other_senders + 1) as f64;
        let elapsed_seconds = now.since(self.updated_at).as_micros_f64() / 1e6;
        self.updated_at = now;
        let max_tokens = (per_second * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + per_second * elapsed_seconds.max(0.0)).min(max_tokens);
        self.tokens as usize
    }

    /// Counts queries that were sent.
    pub(crate) fn spend(&mut self, queries: usize) {
        self.tokens -= queries as f64;
    }
}
