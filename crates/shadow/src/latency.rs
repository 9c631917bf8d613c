//! Latencies in bounded memory.

use hdrhistogram::Histogram;
use sableloom_types::Span;
use serde::{Deserialize, Serialize};

/// Longest latency that is distinguished, in microseconds: an hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant digits of a latency.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A histogram of latencies with two significant digits.
#[derive(Clone, Debug)]
pub struct LatencySummary(Histogram<u64>);

impl Default for LatencySummary {
    fn default() -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self(latencies.expect("the bounds are valid: 1 < maximum / 2, and at most 5 digits"))
    }
}

impl LatencySummary {
    /// Adds a latency.
    pub fn add(&mut self, latency: Span) {
        self.add_many(latency.0.max(1) as u64, 1);
    }

    fn add_many(&mut self, us: u64, count: u64) {
        self.0.saturating_record_n(us.min(MAX_LATENCY_US), count);
    }

    /// This quantile in milliseconds; 0 if it is empty.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64 / 1e3
    }

    /// Number of latencies.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    pub(crate) fn merge(&mut self, other: &LatencySummary) {
        other.cells().for_each(|(us, count)| self.add_many(us, count));
    }

    fn cells(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.0.iter_recorded().map(|cell| (cell.value_iterated_to(), cell.count_at_value()))
    }
}

impl Serialize for LatencySummary {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.cells())
    }
}

impl<'de> Deserialize<'de> for LatencySummary {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut summary = Self::default();
        let cells: Vec<(u64, u64)> = Deserialize::deserialize(deserializer)?;
        cells.into_iter().for_each(|(us, count)| summary.add_many(us.max(1), count));
        Ok(summary)
    }
}
