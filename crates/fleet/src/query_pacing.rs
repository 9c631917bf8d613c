//! The rate limit of absence queries for long lists.

use sableloom_types::Time;

/// How many absence queries a second all other members together send to the operating system of one missing member. A
/// query has 29 bytes with its headers. Queries are still sent while the missing member starts again: when each of
/// 7,600 members queried at the rate of a short list, a member that started again was sent 15,200 queries a second.
const QUERIES_PER_SECOND_PER_MEMBER: f64 = 24.0;
/// The capacity of the token bucket, in seconds at the current rate. Missing members are considered for queries at
/// least this often.
const BURST_SECONDS: f64 = 0.5;

/// A token bucket that limits the absence queries of one member. A query takes one token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueryPacing {
    tokens: f64,
    updated_at: Time,
}

impl QueryPacing {
    /// Creates a bucket with a fraction of a token that depends on the seed, so that the members of a fleet do not send
    /// their first queries at the same time.
    pub(crate) fn new(now: Time, seed: u64) -> Self {
        Self { tokens: f64::from((seed >> 32) as u32) / f64::from(u32::MAX), updated_at: now }
    }

    /// Returns how many queries this member may send at `now`. `unconfirmed` is the number of members that are not
    /// confirmed to be alive, and `other_senders` the number of other members that query them, too.
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

    /// Takes the tokens for queries that were sent.
    pub(crate) fn spend(&mut self, queries: usize) {
        self.tokens -= queries as f64;
    }
}
