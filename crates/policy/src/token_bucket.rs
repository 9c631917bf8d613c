//! A token bucket that is refilled when it is read.

use sableloom_types::Time;

/// Tokens that were left at a time; they grow at a rate that the caller states.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    left: f64,
    at: Time,
}

impl TokenBucket {
    /// A bucket that holds this many tokens at this time.
    pub(crate) fn holding(tokens: f64, at: Time) -> Self {
        Self { left: tokens, at }
    }

    /// The tokens that it holds by `now`, `capacity` at most; `rate` is in tokens a microsecond.
    pub(crate) fn available(&self, now: Time, rate: f64, capacity: f64) -> f64 {
        (self.left + now.since(self.at).as_micros_f64().max(0.0) * rate).min(capacity)
    }

    /// Tokens left when it was last refilled.
    pub(crate) fn left(&self) -> f64 {
        self.left
    }

    /// Takes one token.
    pub(crate) fn take(&mut self) {
        self.left -= 1.0;
    }
}
