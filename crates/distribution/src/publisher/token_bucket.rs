//! The token bucket of a control machine's bandwidth limit. A token stands for one byte; tokens are added at a constant
//! rate up to the burst.

use sableloom_types::{Span, Time};

const MICROSECONDS_PER_SECOND: i64 = 1_000_000;

/// A token bucket in bytes. A frame of a transaction may be sent while there is at least one token, so that it can
/// overdraw the bucket by its own size. Replies and bookmarks ([`crate::PublisherMessage::Current`]) are not held
/// back, but they also take tokens.
#[derive(Debug)]
pub(super) struct TokenBucket {
    bytes_per_second: i64,
    /// The most tokens that the bucket holds, in bytes.
    burst: i64,
    /// The tokens in the bucket, in bytes; negative if the bucket is overdrawn.
    tokens: i64,
    /// The time up to which tokens have been added; none before the first call of [`Self::is_ready`].
    filled_until: Option<Time>,
}

impl TokenBucket {
    /// Creates a full bucket. A rate of 0 counts as 1 byte per second.
    pub(super) fn new(bytes_per_second: u64, burst_bytes: u64) -> Self {
        let burst = burst_bytes as i64;
        TokenBucket {
            bytes_per_second: bytes_per_second.max(1) as i64,
            burst,
            tokens: burst,
            filled_until: None,
        }
    }

    /// Adds the tokens for the elapsed time and returns whether there is at least one token.
    pub(super) fn is_ready(&mut self, now: Time) -> bool {
        let elapsed = self.filled_until.map_or(0, |until| now.since(until).0.max(0));
        // 64 bits would overflow if the elapsed time is much longer than the bucket takes to fill.
        let until_full = (self.burst - self.tokens) as i128 * MICROSECONDS_PER_SECOND as i128;
        let gained = elapsed as i128 * self.bytes_per_second as i128;
        if gained >= until_full {
            self.tokens = self.burst;
            self.filled_until = Some(now);
        } else {
            self.add((gained / MICROSECONDS_PER_SECOND as i128) as i64, now);
        }
        self.tokens > 0
    }

    /// Removes the tokens of bytes that are sent.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as i64;
    }

    /// Returns the time at which there will be at least one token, or `None` before the first call of
    /// [`Self::is_ready`].
    pub(super) fn ready_at(&self) -> Option<Time> {
        let missing = (1 - self.tokens).max(0) as i128 * MICROSECONDS_PER_SECOND as i128;
        let wait = missing / self.bytes_per_second as i128 + 1;
        Some(self.filled_until?.plus(Span(wait as i64)))
    }

    /// Adds whole tokens and advances `filled_until` only by the time that these took, so that frequent calls lose no
    /// fraction of a token.
    fn add(&mut self, tokens: i64, now: Time) {
        if tokens > 0 || self.filled_until.is_none() {
            let used = tokens * MICROSECONDS_PER_SECOND / self.bytes_per_second;
            self.tokens += tokens;
            self.filled_until = Some(self.filled_until.map_or(now, |until| until.plus(Span(used))));
        }
    }
}
