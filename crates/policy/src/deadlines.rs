//! The deadlines of a request: until when it may be queued, and until when an answer has any weight.

use sableloom_types::{PolicySettings, Request, Span, Time};

use crate::settings;

/// The number of housekeeping intervals before its latency objective at which a queued request is rejected, while the
/// rejection is still of use to its client.
const REJECTION_LEAD_IN_INTERVALS: i64 = 2;

/// The deadlines that follow from the arrival of a request, its class and the mean latency of its class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadlines {
    /// When an answer no longer has any weight; attempts time out then.
    pub(crate) answer_deadline: Time,
    /// When the request is answered without an attempt if it is still queued.
    pub(crate) queue_deadline: Time,
    /// The last time at which a rejection is still of use to the client.
    rejection_time: Time,
    /// The mean latency of the class; zero before its first answer.
    mean_latency: Span,
}

impl Deadlines {
    /// The deadlines of a request that arrives now; `class_mean`, the mean latency of its class, is in microseconds.
    pub(crate) fn new(
        now: Time,
        request: &Request,
        settings: &PolicySettings,
        class_mean: f64,
    ) -> Self {
        let class = &settings.classes[request.class];
        let objective = request.deadline.min(now.plus(class.latency_objective));
        let late_answer_has_weight = class.late_priority_weight > 0.0;
        let interval = settings::housekeeping_interval(settings).0;
        let rejection_time = Time(objective.0 - REJECTION_LEAD_IN_INTERVALS * interval);
        // A request is queued only while its objective can be met, even if a late answer keeps some weight; otherwise
        // the whole queue would be served late in lasting overload. Without this, clients' retries, which have only
        // the time that their first try left, were forwarded too late, and a sixth of all attempts timed out.
        let mean_latency = Span::from_micros_f64(class_mean);
        let latest = objective.0 - mean_latency.0;
        Self {
            answer_deadline: if late_answer_has_weight { request.deadline } else { objective },
            queue_deadline: Time(rejection_time.0.min(latest)),
            rejection_time,
            mean_latency,
        }
    }

    /// Whether it is too late to queue the request.
    pub(crate) fn is_too_late(&self, now: Time) -> bool {
        now >= self.queue_deadline
    }

    /// Whether only the mean latency of earlier answers makes the request too late, and the mean is so long that
    /// requests that have the `usual_time` left are too late as well.
    pub(crate) fn is_late_by_estimate_only(&self, now: Time, usual_time: Span) -> bool {
        now < self.rejection_time && self.mean_latency >= usual_time
    }
}
