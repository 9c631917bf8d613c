//! How long discovery takes for a poll of each balancer of the fleet, as far as it can be concluded from own polls.

use sableloom_types::{Span, Time};

use crate::poll_timing::PollTiming;

/// The polls until the first answer.
#[derive(Clone, Copy, Debug)]
struct FirstPoll {
    started: Time,
    /// Whether it was made in this balancer's turn of a fleet that started in one moment.
    in_turn: bool,
}

/// How long discovery takes for a poll of each balancer.
#[derive(Debug, Default)]
pub(crate) struct FleetServiceTime {
    first_poll: Option<FirstPoll>,
    /// `None`, which is as the longest, until anything can be concluded.
    estimate: Option<Span>,
}

impl FleetServiceTime {
    /// Polls begin in this balancer's turn of a fleet that starts now.
    pub(crate) fn start_in_turn(&mut self, now: Time) {
        self.first_poll = Some(FirstPoll { started: now, in_turn: true });
    }

    /// Polls of another service begin: all balancers come over at once, in no order.
    pub(crate) fn restart(&mut self, now: Time) {
        *self =
            Self { first_poll: Some(FirstPoll { started: now, in_turn: false }), estimate: None };
    }

    /// Whether discovery takes at most this time for a poll of each balancer.
    pub(crate) fn is_within(&self, limit: Span) -> bool {
        self.estimate.is_some_and(|estimate| estimate <= limit)
    }

    /// Takes in an answer; `latency` is that of a poll without a wait.
    pub(crate) fn observe(&mut self, now: Time, latency: Option<Span>, timing: &PollTiming) {
        match (self.first_poll.take(), self.estimate, latency) {
            // This fraction of the fleet had its answers by then, where all started in one moment. A balancer that starts
            // alone has its answer sooner, and may take a slow service for a fast one.
            (Some(FirstPoll { started, in_turn: true }), ..) => {
                let answered = timing.phase + 1.0 / timing.balancers;
                let passed = now.since(started).as_micros_f64();
                self.estimate = Some(Span::from_micros_f64(passed / answered));
            }
            // Its poll may have been the first of all, or the last.
            (Some(FirstPoll { in_turn: false, .. }), _, Some(latency)) => {
                let all = latency.as_micros_f64() * timing.balancers;
                self.estimate = Some(Span::from_micros_f64(all));
            }
            (None, Some(estimate), Some(latency)) => self.estimate = Some(estimate.max(latency)),
            _ => {}
        }
    }
}
