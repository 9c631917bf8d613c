//! Limits of tenants: a service's customers, each with a rate of requests of its own.

use std::ops::RangeInclusive;

use sableloom_toml_diagnostics::Table;
use serde::{Deserialize, Serialize};

/// Requests per second that a limit may say. The least is one in a thousand seconds, so that the time between two
/// requests is a number that people can mean; the most is above what one service of the fleet gets in all.
pub const REQUESTS_PER_SECOND_RANGE: RangeInclusive<f64> = 0.001..=1_000_000.0;
/// Requests at once that a limit may allow.
pub const BURST_RANGE: RangeInclusive<u32> = 1..=1_000_000;
/// Most tenants of one service: 50 times the mean of 324. With the longest names a service's bytes bind before.
pub const MAX_TENANTS: usize = 16_384;

/// The limit of a tenant over all balancers of the fleet. The tenant's name is the key of its resource.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantLimit {
    /// Requests per second in the long run, within [`REQUESTS_PER_SECOND_RANGE`].
    pub requests_per_second: f64,
    /// Requests that may come at once after a pause, within [`BURST_RANGE`].
    pub burst: u32,
}

/// A limit says what it may not.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("expected {least} to {most}, found {found}")]
pub struct LimitError {
    /// The field that is wrong.
    pub field: &'static str,
    /// The least that it may say.
    pub least: f64,
    /// The most that it may say.
    pub most: f64,
    /// What it says.
    pub found: f64,
}

impl TenantLimit {
    /// Checks the bounds. A change file's reader has checked them; a body that comes by the network is judged again,
    /// as a rate of zero or of no number would let nothing pass, or everything.
    pub fn check(&self) -> Result<(), LimitError> {
        let (least, most) = (*REQUESTS_PER_SECOND_RANGE.start(), *REQUESTS_PER_SECOND_RANGE.end());
        let found = self.requests_per_second;
        if !REQUESTS_PER_SECOND_RANGE.contains(&found) {
            return Err(LimitError { field: "requests_per_second", least, most, found });
        }
        let (least, most) = (f64::from(*BURST_RANGE.start()), f64::from(*BURST_RANGE.end()));
        if !BURST_RANGE.contains(&self.burst) {
            return Err(LimitError { field: "burst", least, most, found: f64::from(self.burst) });
        }
        Ok(())
    }

    /// The fields of a `[[tenant]]`. A burst that is not said is one second's requests, rounded up.
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
