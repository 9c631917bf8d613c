//! The bandwidth limit of a control machine: bytes are tokens, filled by time up to a burst.

use sableloom_types::{Span, Time};

const MICROSECONDS_PER_SECOND: i64 = 1_000_000;

/// Tokens for bytes. A frame may be sent while there is a token, so the bucket is overdrawn by one frame at most.
#[derive(Debug)]
pub(super) struct TokenBucket {
    bytes_per_second: i64,
    burst: i64,
    tokens: i64,
    /// Up to when time has been turned into tokens.
    filled_until: Option<Time>,
}

impl TokenBucket {
    pub(super) fn new(bytes_per_second: u64, burst_bytes: u64) -> Self {
        let burst = burst_bytes as i64;
        TokenBucket {
            bytes_per_second: bytes_per_second.max(1) as i64,
            burst,
            tokens: burst,
            filled_until: None,
        }
    }

    /// Adds the tokens of the time that has passed; whether there is a token.
    pub(super) fn is_ready(&mut self, now: Time) -> bool {
        let elapsed = self.filled_until.map_or(0, |until| now.since(until).0.max(0));
        // In 128 bits: a pause that is longer than the bucket takes to fill would overflow.
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

    /// Takes tokens for bytes that are sent.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as i64;
    }

    /// When there will be a token; none before the first call of [`Self::is_ready`].
    pub(super) fn ready_at(&self) -> Option<Time> {
        let missing = (1 - self.tokens).max(0) as i128 * MICROSECONDS_PER_SECOND as i128;
        let wait = missing / self.bytes_per_second as i128 + 1;
        Some(self.filled_until?.plus(Span(wait as i64)))
    }

    /// Adds whole tokens and counts only their time as used, so that frequent calls lose no fraction of a token.
    fn add(&mut self, tokens: i64, now: Time) {
        if tokens > 0 || self.filled_until.is_none() {
            let used = tokens * MICROSECONDS_PER_SECOND / self.bytes_per_second;
            self.tokens += tokens;
            self.filled_until = Some(self.filled_until.map_or(now, |until| until.plus(Span(used))));
        }
    }
}
