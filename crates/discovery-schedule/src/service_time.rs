//! Estimates how long discovery takes in total to handle one poll of every balancer of the fleet, from this balancer's
//! own polls.
//!
//! The latency of a single poll can't tell a slow service from a fast one that is crowded. An estimate by which the
//! service looks slow is therefore measured again, by new polls at times when few others are expected, and falls with
//! the first one that shows a fast service. So no estimate outlives the crowd that it came from.

use sableloom_types::{Span, Time};

use crate::notification::ms;
use crate::poll_timing::PollTiming;

/// After a shorter time from the start until the first answer, the time of the whole fleet does not follow from this
/// balancer's turn: a few polls of others or the order of the starts can make up all of it.
const MIN_TIME_TO_OWN_TURN: Span = ms(900);
/// Repeated measurements double the time until the next one at most this many times: each is work for a slow service.
const MAX_INTERVAL_DOUBLINGS: u32 = 5;

/// The first poll of a service, until an answer has arrived.
#[derive(Clone, Copy, Debug)]
struct FirstPoll {
    /// When polling of the current service began.
    started: Time,
    /// Whether all balancers may have started at once, and make their first polls in the order of their numbers.
    in_turn: bool,
    /// Whether a poll has failed or was silent.
    failed: bool,
}

/// How fast discovery is, compared to the limit for short waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServiceSpeed {
    /// It handles a poll of every balancer within the limit, or nothing shows that it does not.
    Fast,
    /// It looks slow by the latency of a poll that may have been queued behind others, and is to be measured at this
    /// time.
    Unconfirmed(Time),
    /// It takes longer than the limit, or it has not answered yet.
    Slow,
}

/// An estimate of how long discovery takes in total to handle one poll of every balancer.
#[derive(Debug, Default)]
pub(crate) struct FleetServiceTime {
    first_poll: Option<FirstPoll>,
    /// The estimate; `None` until an answer allows one.
    estimate: Option<Span>,
    /// The least time that an answer took beyond its wait, when the poll was not queued; `None` if there was none.
    transfer_time: Option<Span>,
    /// Whether the estimate follows from a start in turn, or from a measurement.
    confirmed: bool,
    /// The number of measurements since the service began to look slow.
    measurements: u32,
    /// The time from which the next measurement is to be made; `None` unless the service looks slow.
    measure_at: Option<Time>,
}

impl FleetServiceTime {
    /// Records that polls begin in this balancer's turn in a fleet that starts now.
    pub(crate) fn start_in_turn(&mut self, now: Time) {
        self.first_poll = Some(FirstPoll { started: now, in_turn: true, failed: false });
    }

    /// Records that polls of another service begin: all balancers move to it at once, in no order.
    pub(crate) fn restart(&mut self, now: Time) {
        let first_poll = Some(FirstPoll { started: now, in_turn: false, failed: false });
        *self = Self { first_poll, ..Self::default() };
    }

    /// Records that a poll failed or was silent.
    pub(crate) fn poll_failed(&mut self) {
        if let Some(first_poll) = &mut self.first_poll {
            first_poll.failed = true;
        }
    }

    /// Returns how fast discovery is. A service that takes longer than the poll interval for a poll of every balancer
    /// could not be used at all: such an estimate shows a crowd, and not a slow service.
    pub(crate) fn speed(&self, timing: &PollTiming) -> ServiceSpeed {
        let Some(estimate) = self.estimate else { return ServiceSpeed::Slow };
        match self.measure_at {
            None => ServiceSpeed::Fast,
            Some(at) if !self.confirmed => ServiceSpeed::Unconfirmed(at),
            Some(_) if estimate <= timing.poll_interval => ServiceSpeed::Slow,
            Some(_) => ServiceSpeed::Fast,
        }
    }

    /// Whether discovery can handle two polls of every balancer in the time in which a fast service handles one, as far
    /// as is known.
    pub(crate) fn has_room_for_hedges(&self, timing: &PollTiming) -> bool {
        self.estimate.is_none_or(|estimate| estimate.0 * 2 <= timing.fast_service_limit.0)
    }

    /// Whether the next poll is to measure the service.
    pub(crate) fn measurement_is_due(&self, now: Time) -> bool {
        self.measure_at.is_some_and(|at| now >= at)
    }

    /// Records how long the answer to a poll that was not queued took beyond its wait.
    pub(crate) fn observe_transfer(&mut self, transfer_time: Span) {
        let transfer_time = transfer_time.max(Span(0));
        let least = self.transfer_time.map_or(transfer_time, |before| before.min(transfer_time));
        self.transfer_time = Some(least);
    }

    /// Updates the estimate with the answer to a new poll that took this long beyond its wait.
    pub(crate) fn observe(&mut self, now: Time, latency: Span, timing: &PollTiming) {
        let first_poll = self.first_poll.take();
        let at_most = self.longest_time_of_fleet(latency, timing);
        let estimate = match (first_poll, self.estimate) {
            (Some(first_poll), _) if first_poll.in_turn => {
                time_of_fleet_in_turn(now, first_poll, timing)
            }
            // All polls together take at least as long as one.
            (None, Some(estimate)) => estimate.max(latency),
            (None, None) => return,
            (Some(_), _) => at_most,
        };
        let estimate = estimate.min(at_most);
        self.estimate = Some(estimate);
        let is_fast = estimate <= timing.fast_service_limit || timing.short_wait >= timing.wait;
        if is_fast {
            (self.confirmed, self.measurements, self.measure_at) = (false, 0, None);
        } else if self.measurement_is_due(now) {
            self.confirmed = true;
            self.schedule_next_measurement(now, timing);
        } else if self.measure_at.is_none() {
            self.confirmed = first_poll.is_some_and(|first_poll| first_poll.shows_speed(now))
                && estimate <= timing.poll_interval;
            self.schedule_first_measurement(now, timing);
        }
    }

    /// The longest time that a poll of every balancer takes, if one took this long: the service took no longer for it,
    /// and takes no longer for any other.
    fn longest_time_of_fleet(&self, latency: Span, timing: &PollTiming) -> Span {
        let transfer_time = self.transfer_time.unwrap_or(Span(0));
        let longest = Span((latency.0 - transfer_time.0).max(0));
        Span::from_micros_f64(longest.as_micros_f64() * timing.balancers)
    }

    fn schedule_first_measurement(&mut self, now: Time, timing: &PollTiming) {
        // Polls of a fleet that were answered one by one are still as far apart after a time that is the same for all.
        let delay = if self.confirmed { Span(0) } else { timing.fast_service_limit };
        self.measure_at = Some(now.plus(delay));
    }

    fn schedule_next_measurement(&mut self, now: Time, timing: &PollTiming) {
        let waits = 1 << self.measurements.min(MAX_INTERVAL_DOUBLINGS);
        self.measurements += 1;
        // Half a wait earlier, so that this time lies within the last wait before the measurement.
        self.measure_at = Some(now.plus(Span(timing.wait.0 * waits - timing.wait.0 / 2)));
    }
}

impl FirstPoll {
    /// Whether the time of the whole fleet follows from the answer to this poll at `now`.
    fn shows_speed(&self, now: Time) -> bool {
        self.in_turn && now.since(self.started) >= MIN_TIME_TO_OWN_TURN
    }
}

/// The time that a poll of every balancer takes, if all balancers started at once and the first poll of this one was
/// answered at `now`: by then the balancers up to this one had their answers. A poll that failed was repeated out of
/// turn, in which case the time is no longer than a service may take.
fn time_of_fleet_in_turn(now: Time, first_poll: FirstPoll, timing: &PollTiming) -> Span {
    let answered = timing.phase + 1.0 / timing.balancers;
    let passed = now.since(first_poll.started);
    let time = Span::from_micros_f64(passed.as_micros_f64() / answered);
    if first_poll.failed { time.min(timing.poll_interval) } else { time }
}
