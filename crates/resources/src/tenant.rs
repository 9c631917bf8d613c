//! The body of a tenant: the rate limit of one customer of a service.

use std::ops::RangeInclusive;

use sableloom_toml_diagnostics::Table;
use serde::{Deserialize, Serialize};

/// The rates that a limit may have, in requests per second. The minimum is one request in a thousand seconds, as a
/// lower rate is a mistake; the maximum exceeds all requests that one service of the fleet gets.
pub const REQUESTS_PER_SECOND_RANGE: RangeInclusive<f64> = 0.001..=1_000_000.0;
/// The bursts that a limit may have, in requests.
pub const BURST_RANGE: RangeInclusive<u32> = 1..=1_000_000;
/// The most tenants of one service: 50 times the mean of 324. With the longest names the limit of a service's bytes is
/// reached before.
pub const MAX_TENANTS: usize = 16_384;

/// The rate limit of a tenant over all balancers of the fleet. The tenant's name is the key of its resource. Encoded by
/// position: the order of the fields must stay.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantLimit {
    /// The sustained rate in requests per second, within [`REQUESTS_PER_SECOND_RANGE`].
    pub requests_per_second: f64,
    /// The most requests at once after a pause, within [`BURST_RANGE`].
    pub burst: u32,
}

/// A field of a limit is out of its range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("expected {min} to {max}, found {found}")]
pub struct LimitError {
    /// The name of the field.
    pub field: &'static str,
    /// The minimum.
    pub min: f64,
    /// The maximum.
    pub max: f64,
    /// The value of the field.
    pub found: f64,
}

impl TenantLimit {
    /// Checks the ranges. The reader of change files has checked them, but a body from the network is checked again: a
    /// rate of 0 or NaN would reject all requests of the tenant, or admit all of them.
    ///
    /// # Errors
    ///
    /// The first field that is out of its range.
    pub fn check(&self) -> Result<(), LimitError> {
        let (min, max) = (*REQUESTS_PER_SECOND_RANGE.start(), *REQUESTS_PER_SECOND_RANGE.end());
        let found = self.requests_per_second;
        if !REQUESTS_PER_SECOND_RANGE.contains(&found) {
            return Err(LimitError { field: "requests_per_second", min, max, found });
        }
        let (min, max) = (f64::from(*BURST_RANGE.start()), f64::from(*BURST_RANGE.end()));
        if !BURST_RANGE.contains(&self.burst) {
            return Err(LimitError { field: "burst", min, max, found: f64::from(self.burst) });
        }
        Ok(())
    }

    /// Reads a `[[tenant]]`. The default burst is the requests of one second, rounded up.
    pub(crate) fn read(table: &Table<'_>) -> Option<Self> {
        let rate = table.required_number(
            "requests_per_second",
            REQUESTS_PER_SECOND_RANGE,
            " requests a second",
        );
        let bounds = *BURST_RANGE.start() as usize..=*BURST_RANGE.end() as usize;
        let burst = table.integer("burst", bounds, " requests");
        let requests_per_second = rate?.value;
        let one_second = requests_per_second.ceil() as u32;
        let burst = burst.map_or(one_second, |burst| burst.value as u32);
        Some(Self { requests_per_second, burst })
    }
}
