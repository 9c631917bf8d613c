//! Admission: a request is rejected immediately when the requests queued and in flight reach the sum of `N_i`, the
//! number of requests that server `i` answers within T_QoS, the target time for answers.

use sableloom_types::{AttemptLimits, Request, RequestClass, Span, Time};

use crate::service_time::ServiceTimes;

/// The share of a latency objective that queueing and service may take together. The rest is for the spread of service
/// times.
const OBJECTIVE_FRACTION_FOR_SERVICE: f64 = 0.7;
/// The share of the tolerable wait that the class with the lowest priority may use. It is also the factor on the share
/// of any class for a request over its tenant's quota and for a retry that cannot meet its latency objective.
const MIN_PRIORITY_SHARE: f64 = 0.2;
/// The shortest Retry-After, as a share of the mean service time.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.5;
/// A request that arrives with less time left than this share of the median timeout counts as a client's retry, since
/// the deadline counts from the client's first try. The remaining share allows for the delay between client and
/// balancer.
const MIN_FIRST_TRY_FRACTION_OF_TIMEOUT: f64 = 0.9;
/// The step by which one request moves the median timeout of its class, as a share of the class's deadline.
const TIMEOUT_STEP_FRACTION_OF_DEADLINE: f64 = 0.002;
/// The smallest rate, per microsecond, that a number of requests is divided by; it keeps the quotient finite.
const MIN_RATE: f64 = 1e-9;

/// The limits of admission; times in microseconds.
#[derive(Debug)]
pub(crate) struct Admission {
    /// The sum of `N_i` divided by T_QoS, in requests a microsecond.
    rate: f64,
    /// The longest time in the queue with which every class still meets its latency objective.
    tolerable_wait: f64,
    /// By class: the share of the tolerable wait that it may use.
    priority_shares: Vec<f64>,
    /// By class: an estimate of the median time that its requests have left when they arrive.
    median_timeouts: Vec<Span>,
}

impl Admission {
    /// Creates the limits before any answer; `service_time` is the assumed mean.
    pub(crate) fn new(service_time: f64, classes: usize) -> Self {
        Self {
            rate: 0.0,
            tolerable_wait: service_time,
            priority_shares: vec![1.0; classes],
            median_timeouts: vec![Span(0); classes],
        }
    }

    /// Whether a request of a class is admitted while `open` requests are queued or in flight. `full_share` is false
    /// for a request over its tenant's quota and for a retry that cannot meet its latency objective. `service_time` is
    /// the mean, in microseconds.
    ///
    /// T_QoS is derived from the class that tolerates the shortest wait, and is the same for all classes but for their
    /// priority shares. Otherwise requests with long latency objectives would fill the queue and starve those with
    /// short ones.
    pub(crate) fn admits(
        &self,
        class: usize,
        service_time: f64,
        full_share: bool,
        open: usize,
    ) -> bool {
        let limit = self.limit(class, service_time, full_share);
        // Without a list the sum of `N_i` is zero: requests are queued until a server is listed or their deadline
        // passes.
        limit == 0.0 || (open as f64) < limit.max(1.0)
    }

    /// The sum of `N_i` for a class, with its full priority share or with the smallest.
    fn limit(&self, class: usize, service_time: f64, full_share: bool) -> f64 {
        // When requests over a quota had the full share, a tenant over its quota took the slots of the others, although
        // its requests over the quota have little weight.
        let reduction = if full_share { 1.0 } else { MIN_PRIORITY_SHARE };
        let share = self.priority_shares[class] * reduction;
        self.rate * (service_time + self.tolerable_wait * share)
    }

    /// The Retry-After that is advised to a rejected client: the time in which the open requests above the limit of the
    /// class are served, and [`MIN_RETRY_AFTER_FRACTION`] of a service time at least; zero if the settings
    /// permit no advice. An earlier retry would be rejected again, since the queue would still be full. Where the queue
    /// empties sooner than expected, the retry comes later than necessary.
    pub(crate) fn retry_after(
        &self,
        class: usize,
        service_time: f64,
        open: usize,
        limits: &AttemptLimits,
    ) -> Span {
        if !limits.retry_after {
            return Span(0);
        }
        let excess = open as f64 - self.limit(class, service_time, true);
        let wait = excess.max(0.0) / self.rate.max(MIN_RATE);
        let wait = Span::from_micros_f64(wait.max(service_time * MIN_RETRY_AFTER_FRACTION));
        if limits.max_retry_after.0 > 0 { wait.min(limits.max_retry_after) } else { wait }
    }

    /// The estimated median time that requests of a class have left when they arrive; zero before the first request.
    pub(crate) fn median_timeout(&self, class: usize) -> Span {
        self.median_timeouts[class]
    }

    /// Whether a request is a client's retry whose answer would miss the latency objective, which counts from the first
    /// try. A retry is recognised by having less time left than a first try; the result for a first try is false.
    /// `class_mean` is the mean latency of the class in microseconds. Each call adjusts the median timeout of the
    /// class.
    ///
    /// Without this rule, in overload, retries past their objective took the slots, and most answers came late.
    pub(crate) fn cannot_meet_objective(
        &mut self,
        now: Time,
        request: &Request,
        class: &RequestClass,
        class_mean: f64,
    ) -> bool {
        let left = request.deadline.since(now);
        let median = self.observe_timeout(request.class, left, class.deadline);
        let elapsed = class.deadline.as_micros_f64() - left.as_micros_f64();
        let is_retry =
            left.as_micros_f64() < median.as_micros_f64() * MIN_FIRST_TRY_FRACTION_OF_TIMEOUT;
        is_retry && elapsed + class_mean > class.latency_objective.as_micros_f64()
    }

    /// Moves the median timeout of a class by one step towards the time that a request has left, and returns it. The
    /// median is used because most requests have the same timeout. With the longest timeout instead, clients that wait
    /// longer at their last try made all first tries look like retries.
    fn observe_timeout(&mut self, class: usize, left: Span, deadline: Span) -> Span {
        let median = &mut self.median_timeouts[class];
        let step = (deadline.as_micros_f64() * TIMEOUT_STEP_FRACTION_OF_DEADLINE).max(1.0) as i64;
        median.0 = match median.0 {
            0 => left.0,
            known => known + step * (left.0 - known).signum(),
        };
        *median
    }

    /// Updates the limits with `rate`, the sum of `N_i` per microsecond, and with the latency of the classes.
    pub(crate) fn refresh(&mut self, rate: f64, classes: &[RequestClass], times: &ServiceTimes) {
        self.rate = rate;
        let tolerable = |(index, class): (usize, &RequestClass)| {
            let objective = class.latency_objective.as_micros_f64();
            objective * OBJECTIVE_FRACTION_FOR_SERVICE - times.class_mean(index)
        };
        let tightest = classes.iter().enumerate().map(tolerable).fold(f64::MAX, f64::min);
        self.tolerable_wait = tightest.max(0.0);
        for (index, share) in self.priority_shares.iter_mut().enumerate() {
            *share = MIN_PRIORITY_SHARE
                + (1.0 - MIN_PRIORITY_SHARE) * priority_rank(index, classes, times);
        }
    }
}

/// The rank of a class by its weight divided by its mean latency: 0 for the lowest, 1 for the highest.
fn priority_rank(class: usize, classes: &[RequestClass], times: &ServiceTimes) -> f64 {
    if classes.len() == 1 {
        return 1.0;
    }
    let value = |class: usize| classes[class].priority_weight / times.class_mean(class).max(1.0);
    let own = value(class);
    let below = (0..classes.len()).filter(|&other| value(other) < own).count();
    below as f64 / (classes.len() - 1) as f64
}
