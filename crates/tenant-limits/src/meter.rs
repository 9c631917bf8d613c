//! The generic cell rate algorithm for one tenant.

use sableloom_types::{Span, Time};

use crate::limit::{Limit, LimitShare};

/// Microseconds of a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// The longest time that a computation yields: some 285 years. Guards against overflow in the sum of two of them, and of
/// one and a time since 1970, however slow a rate and small a share are.
const MAX_TIME_US: f64 = 9e15;

/// The wait while this balancer has no share of the limit yet: it is not known when it gets one.
const WAIT_WITHOUT_SHARE: Span = Span(1_000_000);

/// The limit of one tenant, and what is used of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Meter {
    limit: Limit,
    /// The theoretical arrival time of the next request, in microseconds; in the past if nothing of the burst is used.
    theoretical_arrival_us: u64,
}

impl Meter {
    /// A meter of which nothing is used.
    pub(crate) fn new(limit: Limit) -> Self {
        Self { limit, theoretical_arrival_us: 0 }
    }

    /// Counts a request that is within the limit. Otherwise nothing is counted, and the error is the time after which a
    /// request would be within.
    pub(crate) fn check(&mut self, now: Time, share: LimitShare) -> Result<(), Span> {
        let now = now.0.max(0) as u64;
        let Some(schedule) = Schedule::new(self.limit, share) else {
            return Err(WAIT_WITHOUT_SHARE);
        };
        // Guards against an arrival time that is left from a larger burst, or from before the clock was set back: it would
        // reject the tenant for longer than a burst that is used up does.
        let latest_arrival = now + schedule.tolerance_us + schedule.interval_us;
        self.theoretical_arrival_us = self.theoretical_arrival_us.min(latest_arrival);
        let due = self.theoretical_arrival_us.max(now);
        let earliest = due.saturating_sub(schedule.tolerance_us);
        if earliest > now {
            return Err(Span((earliest - now) as i64));
        }
        self.theoretical_arrival_us = due + schedule.interval_us;
        Ok(())
    }

    /// Sets another limit. What is used stays the same number of requests; [`Self::check`] bounds it by the new burst.
    pub(crate) fn set(&mut self, now: Time, limit: Limit) {
        let now = now.0.max(0) as u64;
        let used = self.theoretical_arrival_us.saturating_sub(now) as f64;
        let rate_ratio = self.limit.requests_per_second / limit.requests_per_second;
        self.theoretical_arrival_us = now + whole_micros(used * rate_ratio);
        self.limit = limit;
    }
}

/// A share of a limit as times in microseconds.
struct Schedule {
    /// The time between two requests at exactly the rate, rounded up so that the rate is never above the limit.
    interval_us: u64,
    /// How much earlier than at exactly the rate a request may come.
    tolerance_us: u64,
}

impl Schedule {
    /// `None` for a share of nothing.
    fn new(limit: Limit, share: LimitShare) -> Option<Self> {
        let rate = limit.requests_per_second * share.get();
        if rate <= 0.0 {
            return None;
        }
        let interval_us = whole_micros((MICROS_PER_SECOND / rate).ceil());
        // With a share of less than one request there is no tolerance: one request passes in each interval.
        let burst = (f64::from(limit.burst) * share.get()).floor();
        let tolerance_us = whole_micros((burst - 1.0) * interval_us as f64);
        Some(Self { interval_us, tolerance_us })
    }
}

/// Microseconds as a whole number, at most [`MAX_TIME_US`].
fn whole_micros(us: f64) -> u64 {
    us.clamp(0.0, MAX_TIME_US) as u64
}
