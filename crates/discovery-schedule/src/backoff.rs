//! Pauses between polls after failures.

use oorandom::Rand64;
use sableloom_types::{Span, Time};

/// Repeated failures double the upper bound of the backoff at most this many times.
pub(crate) const MAX_DOUBLINGS: u32 = 2;
/// The lower bound of the backoff, as a fraction of its upper bound.
const MIN_BACKOFF_FRACTION: f64 = 0.2;
/// The greatest random time that is added to the lower bound, as a fraction of the upper bound.
const JITTER_FRACTION: f64 = 0.8;

/// The time before which no poll is made, and the number of failures that lengthen the next backoff.
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

    /// Records a failed poll and draws the random backoff after it, of at most `max_backoff`. Each earlier failure in a
    /// row doubles that bound, unless the next poll is `urgent`.
    pub(crate) fn record_failure(&mut self, now: Time, max_backoff: Span, urgent: bool) {
        let jitter = self.rng.rand_float();
        let max_backoff_us = max_backoff.as_micros_f64();
        let max_backoff_us = match urgent {
            true => max_backoff_us,
            false => max_backoff_us * f64::from(1u32 << self.failures.min(MAX_DOUBLINGS)),
        };
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        let backoff_us = max_backoff_us * (MIN_BACKOFF_FRACTION + JITTER_FRACTION * jitter);
        self.until = now.plus(Span::from_micros_f64(backoff_us));
    }
}
