//! The generic cell rate algorithm for one tenant.

use sableloom_types::{Span, Time};

use crate::limit::{Limit, LimitShare};

/// The number of microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// The longest time in microseconds that [`whole_micros`] returns, about 285 years. It prevents overflow in the sum of
/// two of them and a time since 1970, however low a rate and a share are.
const MAX_TIME_US: f64 = 9e15;
/// The retry time while this balancer has no share of the limit. It is unknown when it gets one.
const WAIT_WITHOUT_SHARE: Span = Span(1_000_000);

/// The limit of one tenant, and how much of it is used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Meter {
    limit: Limit,
    /// The theoretical arrival time of the next request; not after the present time if nothing of the burst is used.
    theoretical_arrival_us: u64,
}

impl Meter {
    /// Creates a meter of which nothing is used.
    pub(crate) fn new(limit: Limit) -> Self {
        Self { limit, theoretical_arrival_us: 0 }
    }

    /// Counts a request that is within the limit. A request over the limit is not counted.
    ///
    /// # Errors
    ///
    /// The time after which a request would be within the limit.
    pub(crate) fn check(&mut self, now: Time, share: LimitShare) -> Result<(), Span> {
        let now = now.0.max(0) as u64;
        let Some(schedule) = Schedule::new(self.limit, share) else {
            return Err(WAIT_WITHOUT_SHARE);
        };
        // A larger burst before, or a clock that was set back, may have left an arrival time that is too late. Without
        // this bound, the tenant would be rejected for longer than after a burst that is used up.
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

    /// Changes the limit. The number of requests that are used stays the same; [`Self::check`] bounds it by the new
    /// burst.
    pub(crate) fn set(&mut self, now: Time, limit: Limit) {
        let now = now.0.max(0) as u64;
        let used = self.theoretical_arrival_us.saturating_sub(now) as f64;
        let rate_ratio = self.limit.requests_per_second / limit.requests_per_second;
        self.theoretical_arrival_us = now + whole_micros(used * rate_ratio);
        self.limit = limit;
    }
}

/// A share of a limit, as times.
struct Schedule {
    /// The time between two requests at exactly the rate, rounded up so that the rate is never above the limit.
    interval_us: u64,
    /// How much earlier than at exactly the rate a request may arrive.
    tolerance_us: u64,
}

impl Schedule {
    /// The times for a share of a limit; `None` if the share is zero.
    fn new(limit: Limit, share: LimitShare) -> Option<Self> {
        let rate = limit.requests_per_second * share.get();
        if rate <= 0.0 {
            return None;
        }
        let interval_us = whole_micros((MICROS_PER_SECOND / rate).ceil());
        // If the share of the burst is less than one request, the tolerance is zero: each interval admits one request.
        let burst = (f64::from(limit.burst) * share.get()).floor();
        let tolerance_us = whole_micros((burst - 1.0) * interval_us as f64);
        Some(Self { interval_us, tolerance_us })
    }
}

/// Rounds microseconds down to a whole number from 0 to [`MAX_TIME_US`].
fn whole_micros(us: f64) -> u64 {
    us.clamp(0.0, MAX_TIME_US) as u64
}
