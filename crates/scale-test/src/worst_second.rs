//! The worst second of a counter that only grows, from readings at any times.

use std::collections::VecDeque;
use std::ops::Sub;
use std::time::{Duration, Instant};

/// Readings closer together than this are counted as if they were so far apart: what was counted within them was
/// counted within one second.
const SECOND: Duration = Duration::from_secs(1);

/// A counter, or several that are read together.
pub trait Reading: Copy + Sub<Output = Self> {
    /// This much in so many seconds, as an amount in one.
    fn per_second(self, seconds: f64) -> Self;
}

impl Reading for f64 {
    fn per_second(self, seconds: f64) -> Self {
        self / seconds
    }
}

/// The last readings of a counter, back to the latest that is a second old.
#[derive(Clone, Debug, Default)]
pub struct SecondWindow<R> {
    readings: VecDeque<(Instant, R)>,
}

impl<R: Reading> SecondWindow<R> {
    /// A window that begins with this reading.
    pub fn new(at: Instant, reading: R) -> Self {
        Self { readings: VecDeque::from([(at, reading)]) }
    }

    /// Notes a reading; what was counted in the second before it, or in a second on average since the earlier
    /// reading where that is longer ago.
    pub fn rate(&mut self, at: Instant, reading: R) -> R {
        while self.readings.get(1).is_some_and(|(next, _)| at.duration_since(*next) >= SECOND) {
            self.readings.pop_front();
        }
        let (since, before) = self.readings.front().copied().unwrap_or((at, reading));
        self.readings.push_back((at, reading));
        (reading - before).per_second(at.duration_since(since).max(SECOND).as_secs_f64())
    }
}
