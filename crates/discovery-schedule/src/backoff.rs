//! Pauses between polls after failures.

use oorandom::Rand64;
use sableloom_types::{Span, Time};

/// The largest number of times that the longest backoff is doubled.
pub(crate) const MAX_DOUBLINGS: u32 = 2;
/// The least backoff, as a fraction of the longest one.
const MIN_BACKOFF_FRACTION: f64 = 0.2;
/// The random part that is added to the least backoff, as a fraction of the longest one.
const JITTER_FRACTION: f64 = 0.8;

/// The time before which no poll is made, and the failures that lengthen the next backoff.
#[derive(Debug)]
pub(crate) struct Backoff {
    rng: Rand64,
    until: Time,
    failures: u32,
}

impl Backoff {
    pub(crate) fn new(seed: u64) -> Self {
        Self { rng: Rand64::new(u128::from(seed)), until: Time(i64::MIN), failures: 0 }
    }

    pub(crate) fn until(&self) -> Time {
        self.until
    }

    /// Sets the time before which no poll is made.
    pub(crate) fn set_until(&mut self, until: Time) {
        self.until = until;
    }

    /// Records that the last poll did not fail, so that the next backoff is not doubled.
    pub(crate) fn reset_failures(&mut self) {
        self.failures = 0;
    }

    /// Records a failed poll and draws the backoff after it. Each failure doubles the longest backoff, unless an
    /// answer is `urgent`.
    pub(crate) fn record_failure(&mut self, now: Time, longest: Span, urgent: bool) {
        let jitter = self.rng.rand_float();
        let longest = longest.as_micros_f64();
        let longest = match urgent {
            true => longest,
            false => longest * f64::from(1u32 << self.failures.min(MAX_DOUBLINGS)),
        };
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        let backoff = longest * (MIN_BACKOFF_FRACTION + JITTER_FRACTION * jitter);
        self.until = now.plus(Span::from_micros_f64(backoff));
    }
}
