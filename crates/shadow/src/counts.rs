//! How many requests were copied, and why the others were not.

use std::sync::atomic::{AtomicU64, Ordering};

/// Why an answered request of the sample was not copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// Live requests were rejected or failed recently.
    LivePressure,
    /// Too many live requests are open.
    LiveOpen,
    /// The maximum rate is reached.
    Rate,
    /// The maximum number in flight is reached.
    InFlight,
    /// The maximum number of bytes is reached.
    HeldBytes,
    /// The request and its answer are too large.
    TooLarge,
    /// The circuit breaker is open.
    BreakerOpen,
    /// The thread that sends and compares copies has ended.
    WorkerEnded,
}

impl SkipReason {
    /// All reasons.
    pub const ALL: [SkipReason; 8] = [
        SkipReason::LivePressure,
        SkipReason::LiveOpen,
        SkipReason::Rate,
        SkipReason::InFlight,
        SkipReason::HeldBytes,
        SkipReason::TooLarge,
        SkipReason::BreakerOpen,
        SkipReason::WorkerEnded,
    ];

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            SkipReason::LivePressure => "live pressed",
            SkipReason::LiveOpen => "live open",
            SkipReason::Rate => "rate",
            SkipReason::InFlight => "in flight",
            SkipReason::HeldBytes => "bytes held",
            SkipReason::TooLarge => "too large",
            SkipReason::BreakerOpen => "candidate rests",
            SkipReason::WorkerEnded => "copying ended",
        }
    }
}

/// Counters, readable from any thread.
#[derive(Debug, Default)]
pub struct CopyCounts {
    /// Idempotent requests of the copied classes.
    pub seen: AtomicU64,
    /// Sampled requests that were served.
    pub sampled: AtomicU64,
    /// Copies.
    pub copied: AtomicU64,
    /// How often the circuit breaker opened.
    pub breaker_openings: AtomicU64,
    skipped: [AtomicU64; SkipReason::ALL.len()],
}

impl CopyCounts {
    pub(crate) fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_skipped(&self, reason: SkipReason) {
        Self::add(&self.skipped[reason as usize]);
    }

    /// Number of requests that were not copied for this reason.
    pub fn skipped(&self, reason: SkipReason) -> u64 {
        self.skipped[reason as usize].load(Ordering::Relaxed)
    }
}
