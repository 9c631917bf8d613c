//! Wall-clock times that files state, and the accepted difference between the clocks of machines.

use sableloom_types::Time;

/// Maximum difference between the clocks of two machines, in milliseconds. A start time that is further in the future
/// is rejected, because the server would never finish its warm-up.
pub const MAX_CLOCK_DIFFERENCE_MS: f64 = 3_600_000.0;

/// Converts a time to Unix milliseconds.
pub(crate) fn unix_ms(now: Time) -> f64 {
    now.0 as f64 / 1e3
}
