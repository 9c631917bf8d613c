//! How many probes a process that waits may send.

use sableloom_types::{Span, Time};

use crate::member::NEVER;

/// Probes in one interval at most. A process that started with a long list would otherwise send hundreds at once.
const MAX_PROBES_PER_INTERVAL: usize = 64;

/// The probes of the current interval.
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

    /// How many probes the interval leaves; a new one starts when the last is over.
    pub(crate) fn remaining(&mut self, now: Time) -> usize {
        if now.since(self.interval_start) >= self.interval {
            (self.interval_start, self.sent) = (now, 0);
        }
        MAX_PROBES_PER_INTERVAL.saturating_sub(self.sent)
    }

    /// Counts probes.
    pub(crate) fn spend(&mut self, probes: usize) {
        self.sent += probes;
    }
}
