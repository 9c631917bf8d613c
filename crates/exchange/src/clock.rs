//! The time that the policy counts in.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sableloom_types::{Span, Time};
use tokio::time::Instant;

/// The monotonic clock, anchored once to Unix time so that the start times of servers fit on it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_us: i64,
}

impl Clock {
    /// A clock that is anchored now.
    #[allow(clippy::new_without_default, reason = "two clocks would differ")]
    pub fn new() -> Self {
        Self::with_offset_ms(0)
    }

    /// A clock that is anchored to a Unix time this many milliseconds ahead of the system's.
    pub fn with_offset_ms(ms: i64) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self::anchored_at(unix.as_micros() as i64 + ms * 1000)
    }

    /// A clock that is anchored to this Unix time in microseconds, whatever the system's is.
    pub fn anchored_at(unix_us: i64) -> Self {
        Self { start: Instant::now(), unix_us }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    /// An instant as a time.
    pub fn time_of(&self, instant: Instant) -> Time {
        Time(self.unix_us + instant.duration_since(self.start).as_micros() as i64)
    }

    /// A time as an instant; a time before the clock's start becomes its start.
    pub fn instant_of(&self, time: Time) -> Instant {
        self.start + duration_of(Span(time.0 - self.unix_us))
    }
}

/// A span as a duration; a negative span becomes zero.
pub fn duration_of(span: Span) -> Duration {
    Duration::from_micros(span.0.max(0) as u64)
}
