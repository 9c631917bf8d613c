//! Pauses between polls after failures.

use oorandom::Rand64;
use sableloom_types::{Span, Time};

/// The most doublings of the longest backoff.
pub(crate) const MAX_DOUBLINGS: u32 = 2;
/// A backoff is drawn between this fraction of the longest one
const MIN_BACKOFF_FRACTION: f64 = 0.2;
/// and that plus this.
const JITTER_FRACTION: f64 = 0.8;

/// Until when no poll is made.
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

    /// No poll is made before this.
    pub(crate) fn set_until(&mut self, until: Time) {
        self.until = until;
    }

    /// The last poll did not fail.
    pub(crate) fn reset_failures(&mut self) {
        self.failures = 0;
    }

    /// A poll has failed. Each failure doubles the longest backoff, unless it is `urgent` to be answered.
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
