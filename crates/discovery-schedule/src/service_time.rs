//! Estimates how long discovery takes in total to handle one poll of every balancer of the fleet, from this balancer's
//! own polls.

use sableloom_types::{Span, Time};

use crate::poll_timing::PollTiming;

/// The first poll, until the first answer has arrived.
#[derive(Clone, Copy, Debug)]
struct FirstPoll {
    /// When polling of the current service began.
    started: Time,
    /// Whether all balancers started at once and make their first polls in the order of their numbers.
    in_turn: bool,
}

/// An estimate of how long discovery takes in total to handle one poll of every balancer.
#[derive(Debug, Default)]
pub(crate) struct FleetServiceTime {
    first_poll: Option<FirstPoll>,
    /// The estimate; `None` until an answer allows one. `None` counts as longer than any limit.
    estimate: Option<Span>,
}

impl FleetServiceTime {
    /// Records that polls begin in this balancer's turn in a fleet that starts now.
    pub(crate) fn start_in_turn(&mut self, now: Time) {
        self.first_poll = Some(FirstPoll { started: now, in_turn: true });
    }

    /// Records that polls of another service begin: all balancers move to it at once, in no order.
    pub(crate) fn restart(&mut self, now: Time) {
        *self =
            Self { first_poll: Some(FirstPoll { started: now, in_turn: false }), estimate: None };
    }

    /// Whether discovery takes at most this time in total to handle one poll of every balancer.
    pub(crate) fn is_within(&self, limit: Span) -> bool {
        self.estimate.is_some_and(|estimate| estimate <= limit)
    }

    /// Updates the estimate with an answer. `latency` is how long the poll took; `None` for a long poll, whose
    /// answer may have waited for a change.
    pub(crate) fn observe(&mut self, now: Time, latency: Option<Span>, timing: &PollTiming) {
        match (self.first_poll.take(), self.estimate, latency) {
            // `answered` is the fraction of the fleet that had its answers at `now`, if all balancers started at once.
            // A balancer that starts alone gets its answer sooner, and may mistake a slow service for a fast one.
            (Some(FirstPoll { started, in_turn: true }), ..) => {
                let answered = timing.phase + 1.0 / timing.balancers;
                let passed_us = now.since(started).as_micros_f64();
                self.estimate = Some(Span::from_micros_f64(passed_us / answered));
            }
            // The poll may have been the first of the fleet or the last. It is assumed to be the first, in which case
            // all polls take at most this long.
            (Some(FirstPoll { in_turn: false, .. }), _, Some(latency)) => {
                let total_us = latency.as_micros_f64() * timing.balancers;
                self.estimate = Some(Span::from_micros_f64(total_us));
            }
            // All polls together take at least as long as one.
            (None, Some(estimate), Some(latency)) => self.estimate = Some(estimate.max(latency)),
            _ => {}
        }
    }
}
