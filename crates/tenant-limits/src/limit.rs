//! The rate limit of a tenant, and a balancer's share of it.

/// The rate limit of a tenant, for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    pub(crate) requests_per_second: f64,
    pub(crate) burst: u32,
}

/// The rate or the burst of a limit is not above zero, or the rate is not finite.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error(
    "invalid limit of {requests_per_second} requests a second and a burst of {burst}: \
     the rate must be finite and above 0, the burst above 0"
)]
pub struct LimitError {
    requests_per_second: f64,
    burst: u32,
}

impl Limit {
    /// Creates a limit of `requests_per_second` on average, and of `burst` requests at once after a pause.
    ///
    /// # Errors
    ///
    /// [`LimitError`] unless both values are above zero and the rate is finite.
    pub fn new(requests_per_second: f64, burst: u32) -> Result<Self, LimitError> {
        if requests_per_second.is_finite() && requests_per_second > 0.0 && burst > 0 {
            return Ok(Self { requests_per_second, burst });
        }
        Err(LimitError { requests_per_second, burst })
    }
}

/// A balancer's share of every limit, from 0 to 1. The shares of a fleet must add up to 1 at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare(f64);

impl LimitShare {
    /// The share of a balancer while the others have all of every limit.
    pub const NONE: LimitShare = LimitShare(0.0);
    /// The share of the only balancer.
    pub const ALL: LimitShare = LimitShare(1.0);

    /// Creates a share, clamped to the range from 0 to 1; NaN counts as 0.
    pub fn new(share: f64) -> Self {
        let share = if share.is_nan() { 0.0 } else { share };
        Self(share.clamp(0.0, 1.0))
    }

    /// The share as a number from 0 to 1.
    pub fn get(self) -> f64 {
        self.0
    }
}
