//! The times up to which a request is worth queueing and answering.

use sableloom_types::{PolicySettings, Request, Span, Time};

use crate::settings;

/// A queued request is rejected this many housekeeping intervals before its objective, while a rejection is still
/// of use to its client.
const REJECTION_LEAD_IN_INTERVALS: i64 = 2;

/// The times that follow from the arrival of a request, its class, and the mean latency of its class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadlines {
    /// When an answer stops having any weight; attempts time out then.
    pub(crate) answer_deadline: Time,
    /// When the request must be abandoned if it is still queued.
    pub(crate) queue_deadline: Time,
    /// The last moment at which a rejection is still of use.
    rejection_time: Time,
    /// The mean latency of the class; zero before any answer of it.
    mean_latency: Span,
}

impl Deadlines {
    /// The deadlines of a request that arrives now; `class_mean` is in microseconds.
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
        // Also where a late answer keeps some weight a request is queued only while its objective can be met: else,
        // in lasting overload, the whole queue is served late. Failure: retries with what was left of their first
        // try's time were forwarded too late; a sixth of all timed out.
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

    /// Whether requests of the class come too late only because of the latency of earlier answers, which takes as
    /// long as the `usual_time` that they have.
    pub(crate) fn is_late_by_estimate_only(&self, now: Time, usual_time: Span) -> bool {
        now < self.rejection_time && self.mean_latency >= usual_time
    }
}
