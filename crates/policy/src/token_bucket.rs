//! A token bucket whose refill is computed when it is read.

use sableloom_types::Time;

/// The number of tokens at one time. The caller states the rate of the refill since then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    updated: Time,
}

impl TokenBucket {
    /// Creates a bucket that contains this many tokens at the time `updated`.
    pub(crate) fn with_tokens(tokens: f64, updated: Time) -> Self {
        Self { tokens, updated }
    }

    /// The tokens that the bucket contains at `now`, `capacity` at most; `rate` is in tokens a microsecond.
    pub(crate) fn available(&self, now: Time, rate: f64, capacity: f64) -> f64 {
        (self.tokens + now.since(self.updated).as_micros_f64().max(0.0) * rate).min(capacity)
    }

    /// The tokens at the time of the last update.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes one token.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
