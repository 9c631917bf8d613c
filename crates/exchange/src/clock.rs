//! The clock for the times that the policy receives.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sableloom_types::{Span, Time};
use tokio::time::Instant;

/// A monotonic clock, anchored once to Unix time so that it is comparable with the start times of servers.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_us: i64,
}

impl Clock {
    /// Returns a clock that is anchored to the current system time.
    #[allow(clippy::new_without_default, reason = "each call anchors a clock anew")]
    pub fn new() -> Self {
        Self::with_offset_ms(0)
    }

    /// Returns a clock that is anchored this many milliseconds ahead of the system time.
    pub fn with_offset_ms(ms: i64) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self::anchored_at(unix.as_micros() as i64 + ms * 1000)
    }

    /// Returns a clock that is anchored to this Unix time in microseconds instead of the system time.
    pub fn anchored_at(unix_us: i64) -> Self {
        Self { start: Instant::now(), unix_us }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    /// Converts an instant to a time; an instant before the clock's start becomes its start.
    pub fn time_of(&self, instant: Instant) -> Time {
        Time(self.unix_us + instant.duration_since(self.start).as_micros() as i64)
    }

    /// Converts a time to an instant; a time before the clock's start becomes its start.
    pub fn instant_of(&self, time: Time) -> Instant {
        self.start + duration_of(Span(time.0 - self.unix_us))
    }
}

/// Converts a span to a duration; a negative span becomes zero.
pub fn duration_of(span: Span) -> Duration {
    Duration::from_micros(span.0.max(0) as u64)
}
