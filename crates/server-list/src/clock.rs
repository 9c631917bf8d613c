//! Wall-clock times in files, and how far they are trusted.

use sableloom_types::Time;

/// How far the clocks of two machines may differ, in milliseconds. A start time that is further ahead than that is
/// rejected: the server would be warming up for good.
pub const MAX_CLOCK_DIFFERENCE_MS: f64 = 3_600_000.0;

/// A time in Unix milliseconds.
pub(crate) fn unix_ms(now: Time) -> f64 {
    now.0 as f64 / 1e3
}
