//! The rate limit for the probes of a process that waits for its share.

use sableloom_types::{Span, Time};

use crate::member::NEVER;

/// The maximum number of probes in one probe interval. Without it, a process that starts with a list of hundreds of
/// members would probe all of them at once.
const MAX_PROBES_PER_INTERVAL: usize = 64;

/// Counts the probes of the current interval.
#[derive(Clone, Debug)]
pub(crate) struct ProbeBudget {
    interval: Span,
    interval_start: Time,
    sent: usize,
}

impl ProbeBudget {
    pub(crate) fn new(interval: Span) -> Self {
        Self { interval, interval_start: NEVER, sent: 0 }
    }

    /// Returns how many more probes the current interval allows. A new interval starts at `now` if the last one is
    /// over.
    pub(crate) fn remaining(&mut self, now: Time) -> usize {
        if now.since(self.interval_start) >= self.interval {
            (self.interval_start, self.sent) = (now, 0);
        }
        MAX_PROBES_PER_INTERVAL.saturating_sub(self.sent)
    }

    /// Records probes that are sent in the current interval.
    pub(crate) fn spend(&mut self, probes: usize) {
        self.sent += probes;
    }
}
