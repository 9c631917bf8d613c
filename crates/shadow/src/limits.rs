//! Limits on the cost of copying.

use sableloom_types::Span;

/// What the sample is chosen by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleBy {
    /// The key, so that the candidate sees a sampled key as often as the live servers do: otherwise a candidate
    /// with a cache would seem slower than it is. Requests without a key go by their id.
    Key,
    /// The id of the request.
    Request,
}

/// Limits on the cost of copying.
#[derive(Clone, Debug, PartialEq)]
pub struct CopyLimits {
    /// Classes that are copied, by index. Requests that are not idempotent never are, even if their class is listed.
    pub classes: Vec<bool>,
    /// The share of these requests that is sampled.
    pub sample_share: f64,
    /// What the sample is chosen by.
    pub sample_by: SampleBy,
    /// Maximum rate of copies: over `s` seconds at most `max_per_second * s` plus a burst of a tenth of a second's
    /// copies, at least one.
    pub max_per_second: f64,
    /// Maximum number of copies in flight.
    pub max_in_flight: usize,
    /// Maximum number of bytes that copies in flight hold, requests and live answers together.
    pub max_held_bytes: usize,
    /// Maximum number of bytes of one request and its live answer.
    pub max_pair_bytes: usize,
    /// No copies for this time after a live request was rejected or failed.
    pub quiet_time: Span,
    /// No copies while more live requests are open; 0 for no limit.
    pub max_live_open: usize,
    /// Number of consecutive failed copies that opens the circuit breaker.
    pub breaker_threshold: u32,
    /// How long the circuit breaker is open the first time, with up to a quarter of jitter, because several balancers
    /// may share the candidate.
    pub breaker_open_time: Span,
    /// The longest time for which the circuit breaker is open: the time doubles with each probe that fails.
    pub max_breaker_open_time: Span,
    /// Seed of the sample, the same at all balancers, so that they sample the same keys.
    pub sample_seed: u64,
    /// Seed of the jitter, different at each balancer, so that they do not probe at the same time.
    pub jitter_seed: u64,
}
