//! The limit of a tenant, and the share of it that a balancer has.

/// The rate limit of a tenant, for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    pub(crate) requests_per_second: f64,
    pub(crate) burst: u32,
}

/// Values that are no limit.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error(
    "{requests_per_second} requests a second and a burst of {burst} are no limit: both are above 0"
)]
pub struct LimitError {
    requests_per_second: f64,
    burst: u32,
}

impl Limit {
    /// A limit of so many requests a second in the long run, and of `burst` requests at once after a pause.
    ///
    /// # Errors
    ///
    /// [`LimitError`] unless both are above zero and the rate is finite.
    pub fn new(requests_per_second: f64, burst: u32) -> Result<Self, LimitError> {
        if requests_per_second.is_finite() && requests_per_second > 0.0 && burst > 0 {
            return Ok(Self { requests_per_second, burst });
        }
        Err(LimitError { requests_per_second, burst })
    }
}

/// A balancer's share of every limit, from 0 to 1. The shares of a fleet add up to 1 at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare(f64);

impl LimitShare {
    /// Nothing: the other balancers have all of it.
    pub const NONE: LimitShare = LimitShare(0.0);
    /// All of it: the only balancer.
    pub const ALL: LimitShare = LimitShare(1.0);

    /// A share, clamped to 0 to 1; a value that is no number is 0.
    pub fn new(share: f64) -> Self {
        let share = if share.is_nan() { 0.0 } else { share };
        Self(share.clamp(0.0, 1.0))
    }

    /// The share as a number from 0 to 1.
    pub fn get(self) -> f64 {
        self.0
    }
}
