//! A token bucket that is refilled when it is read.

use sableloom_types::Time;

/// Tokens that were left at a time; they grow at a rate that the caller states.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    updated: Time,
}

impl TokenBucket {
    /// A bucket that holds this many tokens at this time.
    pub(crate) fn with_tokens(tokens: f64, updated: Time) -> Self {
        Self { tokens, updated }
    }

    /// The tokens that it holds by `now`, `capacity` at most; `rate` is in tokens a microsecond.
    pub(crate) fn available(&self, now: Time, rate: f64, capacity: f64) -> f64 {
        (self.tokens + now.since(self.updated).as_micros_f64().max(0.0) * rate).min(capacity)
    }

    /// Tokens left when it was last refilled.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes one token.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
