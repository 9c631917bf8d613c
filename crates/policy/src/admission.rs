//! Admission: a request is rejected at once when queued plus in flight reach the sum of `N_i`.

use sableloom_types::{AttemptLimits, Request, RequestClass, Span, Time};

use crate::service_time::ServiceTimes;

/// Share of its latency objective that queueing and service may take; the rest is for the spread of service times.
const OBJECTIVE_FRACTION_FOR_SERVICE: f64 = 0.7;
/// Share of the tolerable wait that the class of the least weight for its work may use.
const MIN_PRIORITY_SHARE: f64 = 0.2;
/// A rejected client is advised to come back no sooner than after this share of the mean service time.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.5;
/// A request with less than this share of the usual timeout left is a retry that its client's deadline cuts short:
/// the rest is for the way to the balancer.
const MIN_FIRST_TRY_FRACTION_OF_TIMEOUT: f64 = 0.9;
/// One request moves the usual timeout of its class by this share of the class's deadline.
const TIMEOUT_STEP_FRACTION_OF_DEADLINE: f64 = 0.002;
/// Smallest rate that a wait is divided by; keeps a quotient finite.
const MIN_RATE: f64 = 1e-9;

/// The limits of admission; times in microseconds.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Sum of `N_i` per microsecond.
    rate: f64,
    /// The longest wait that every class can tolerate.
    tolerable_wait: f64,
    /// By class: the share of that wait that it may use.
    priority_shares: Vec<f64>,
    /// By class: the time that its requests usually have left when they come.
    median_timeouts: Vec<Span>,
}

impl Admission {
    /// Before any answer; `service_time` is the assumed one.
    pub(crate) fn new(service_time: f64, classes: usize) -> Self {
        Self {
            rate: 0.0,
            tolerable_wait: service_time,
            priority_shares: vec![1.0; classes],
            median_timeouts: vec![Span(0); classes],
        }
    }

    /// Whether a request of a class is admitted beside this many queued or in flight. T_QoS is one for all classes,
    /// the wait that even the tightest can tolerate, or long objectives would fill the queue and starve short ones.
    pub(crate) fn admits(
        &self,
        class: usize,
        service_time: f64,
        full_share: bool,
        open: usize,
    ) -> bool {
        let limit = self.limit(class, service_time, full_share);
        // Without a list there is no N to sum: requests are queued until a server is listed or their time is up.
        limit == 0.0 || (open as f64) < limit.max(1.0)
    }

    /// Sum of `N_i` for a class; for its full priority share, or the smallest.
    fn limit(&self, class: usize, service_time: f64, full_share: bool) -> f64 {
        // Failure: a tenant beyond its quota, worth little there, took the slots of the others.
        let reduction = if full_share { 1.0 } else { MIN_PRIORITY_SHARE };
        let share = self.priority_shares[class] * reduction;
        self.rate * (service_time + self.tolerable_wait * share)
    }

    /// When a rejected request is worth repeating: once what is ahead of it beyond the limit of its class has been
    /// served, and no sooner than one service takes. Guards against retries that meet the queue that rejected them;
    /// does harm where the queue empties at once, as they come late.
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

    /// The time that requests of a class usually have left when they come; zero before the first.
    pub(crate) fn median_timeout(&self, class: usize) -> Span {
        self.median_timeouts[class]
    }

    /// Whether an answer would miss the latency objective that counts from the client's first try. A retry is
    /// recognised by less time left than a first try has. Failure: in overload, retries past their objective took
    /// the slots, and most of what was served came late.
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

    /// Moves the usual timeout towards one request's: to the median, as most come with the same. Failure: by the
    /// longest, last tries that wait to the very end made first tries look like retries.
    fn observe_timeout(&mut self, class: usize, left: Span, deadline: Span) -> Span {
        let median = &mut self.median_timeouts[class];
        let step = (deadline.as_micros_f64() * TIMEOUT_STEP_FRACTION_OF_DEADLINE).max(1.0) as i64;
        median.0 = match median.0 {
            0 => left.0,
            known => known + step * (left.0 - known).signum(),
        };
        *median
    }

    /// Follows the capacity of the servers, and the latency of the classes.
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

/// Where a class stands among all by its weight for its work: 0 for the least, 1 for the most.
fn priority_rank(class: usize, classes: &[RequestClass], times: &ServiceTimes) -> f64 {
    if classes.len() == 1 {
        return 1.0;
    }
    let value = |class: usize| classes[class].priority_weight / times.class_mean(class).max(1.0);
    let own = value(class);
    let below = (0..classes.len()).filter(|&other| value(other) < own).count();
    below as f64 / (classes.len() - 1) as f64
}
