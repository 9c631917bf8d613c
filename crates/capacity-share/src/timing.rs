//! The intervals and limits that an operator may set.

use sableloom_types::Span;

/// Intervals and limits of capacity shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// How long a proof of absence is valid, from the time of its query on.
    pub lease: Span,
    /// The minimum time between two absence queries about the same member.
    pub query_interval: Span,
    /// The minimum time between two probes of a member that has not acknowledged this process.
    pub probe_interval: Span,
    /// The maximum number of absence queries within one lease, about all members together. A proof that cannot be
    /// renewed expires, which makes the share smaller and is therefore safe.
    pub max_queries_per_lease: usize,
    /// The maximum drift of a clock, as a fraction of the elapsed time.
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
    /// Returns how long a process waits after its start for members that do not acknowledge it. After this time every
    /// proof against it has expired, even if the slowest clock within the drift measures the lease and the fastest
    /// measures the wait.
    pub fn start_wait(&self) -> Span {
        // The wait is rounded up, because a wait that is too short by a microsecond lets two members use the same
        // capacity.
        let lease = self.lease.as_micros_f64();
        Span((lease * (1.0 + self.clock_drift) / (1.0 - self.clock_drift)).ceil() as i64)
    }
}
