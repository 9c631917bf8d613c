//! The intervals and limits that an operator may set.

use sableloom_types::Span;

/// Intervals and limits of capacity shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// How long a proof of absence holds, from its query on.
    pub lease: Span,
    /// The shortest time between two absence queries about one member.
    pub query_interval: Span,
    /// The shortest time between two probes of a member that has not acknowledged this process.
    pub probe_interval: Span,
    /// Absence queries within one lease at most, about all members together. A proof that can't be renewed expires;
    /// that makes the share smaller, which is safe.
    pub max_queries_per_lease: usize,
    /// How far a clock may be off, as a fraction of the time that has passed.
    pub clock_drift: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Span(2_000_000),
            query_interval: Span(500_000),
            probe_interval: Span(100_000),
            max_queries_per_lease: 1024,
            clock_drift: 0.1,
        }
    }
}

impl Timing {
    /// How long a process that starts waits for members that don't acknowledge it: until every proof against it has
    /// expired, by the slowest clock that holds one and the fastest that waits.
    pub fn start_wait(&self) -> Span {
        // Rounded up: a wait that is too short by a microsecond lets two members use the same capacity.
        let lease = self.lease.as_micros_f64();
        Span((lease * (1.0 + self.clock_drift) / (1.0 - self.clock_drift)).ceil() as i64)
    }
}
