//! How long each step of polling may take, computed from the settings.

use sableloom_types::Span;

use crate::backoff::MAX_DOUBLINGS;
use crate::notification::{
    NOTIFIED_AFTER_FAILURE, NOTIFIED_AFTER_SILENCE, NOTIFIED_AFTER_WAIT, ms,
};

/// The grace of a drain where the settings state none.
const DEFAULT_DRAIN_GRACE: Span = ms(1000);
/// Of the time in which silence has to be detected and answered, the short wait takes this fraction; the rest is for the
/// answer.
const SHORT_WAIT_FRACTION_OF_BUDGET: f64 = 0.72;
/// A service that takes this fraction of that time for a poll of each balancer can answer all of them in time though they
/// all detect the silence within one short wait. Failure where it takes longer: the last of six, at 1.3 s for each, was
/// answered later than with long waits, which end further apart.
const FAST_SERVICE_FRACTION_OF_BUDGET: f64 = 0.88;
/// A fleet that starts in one moment polls over this fraction of the poll interval.
const START_SPREAD_FRACTION_OF_INTERVAL: f64 = 0.05;
/// The start is spread over no more of the poll interval than this, in microseconds.
const MAX_START_SPREAD_INTERVAL_US: f64 = 10e6;
/// The least and the longest wait of a poll.
const MIN_WAIT: Span = ms(500);
const MAX_WAIT: Span = ms(10_000);
/// The longest backoff is this fraction of the poll interval,
const BACKOFF_FRACTION_OF_INTERVAL: f64 = 0.1;
/// and at most this. It is bounded by no more of the interval, as what counts as notified after a failure does not depend
/// on that. Failure: backoffs of up to four tenths of the interval, and a service that came back meanwhile.
const MAX_BACKOFF: Span = ms(250);
/// A poll is hedged after this fraction of the time that is left for its answer,
const HEDGE_FRACTION_OF_BUDGET: f64 = 0.65;
/// and at the latest after this.
const MAX_HEDGE_DELAY: Span = ms(1500);

/// What the settings say about discovery, and which balancer of how many this one is.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleOptions {
    /// Whether an agent on this machine has the list, which answers at once and at no cost; else one service has it for
    /// all balancers, which handles new polls one after the other.
    pub local_agent: bool,
    /// The longest time between polls, where discovery has to be polled.
    pub poll_interval: Span,
    /// For how long after the notification of a drain a request to the server may still begin; zero if not stated.
    pub drain_grace: Span,
    /// The number of this balancer, from 0.
    pub position: u32,
    /// The number of balancers.
    pub balancers: u32,
}

/// How long each step may take.
#[derive(Clone, Copy, Debug)]
pub struct PollTiming {
    /// The longest wait that a poll asks for: the period of the polls.
    pub wait: Span,
    /// The same at a service that is fast enough: short enough for silence to be detected, and answered, in the time that
    /// counts after a poll that was abandoned.
    pub short_wait: Span,
    /// A service is fast enough if it takes no longer than this for a poll of each balancer.
    pub fast_service_limit: Span,
    /// The fraction of each period at which this balancer's waits end.
    pub phase: f64,
    /// How long after its start this balancer polls first. A fleet that starts in one moment polls in the order of its
    /// numbers, so that each balancer can conclude from its own answer how long all polls take together.
    pub start_delay: Span,
    /// The number of balancers.
    pub balancers: f64,
    /// How long past its wait an answer may come. One that is due comes within a round trip and this process's own delay.
    pub answer_slack: Span,
    /// The timeout of a poll that asks for no wait: its turn at the service.
    pub poll_timeout: Span,
    /// The same after a poll that took longer, or a service that always does would never be heard.
    pub extended_poll_timeout: Span,
    /// A poll that has to be answered soon is hedged after this time.
    pub hedge_delay: Span,
    /// The timeout of a connect.
    pub connect_timeout: Span,
    /// How long an answer that has begun may pause.
    pub read_timeout: Span,
    /// The longest backoff between polls after silence or a move of discovery.
    pub max_urgent_backoff: Span,
    /// The longest backoff after the first failure otherwise; it doubles with each further one.
    pub max_backoff: Span,
    /// For how long after the notification of a drain a request to the server may still begin.
    pub drain_grace: Span,
}

impl PollTiming {
    /// The timing that follows from these options.
    pub fn new(options: &ScheduleOptions) -> Self {
        let stated = options.drain_grace;
        let drain_grace = if stated.0 > 0 { stated } else { DEFAULT_DRAIN_GRACE };
        match options.local_agent {
            true => Self::for_agent(drain_grace),
            false => Self::for_service(options, drain_grace),
        }
    }

    /// What an agent has counts as notified at once, also what it gets while a poll hangs that it will never answer: wait,
    /// slack and a new poll have to fit into the grace of a drain.
    fn for_agent(drain_grace: Span) -> Self {
        let fraction_of_grace = |fraction: f64, max: Span| {
            Span::from_micros_f64(drain_grace.as_micros_f64() * fraction).min(max).max(ms(20))
        };
        Self {
            wait: fraction_of_grace(0.4, ms(400)),
            short_wait: fraction_of_grace(0.4, ms(400)),
            fast_service_limit: Span(0),
            phase: 0.0,
            start_delay: Span(0),
            balancers: 1.0,
            answer_slack: fraction_of_grace(0.25, ms(250)),
            poll_timeout: fraction_of_grace(0.25, ms(250)),
            extended_poll_timeout: fraction_of_grace(0.25, ms(250)),
            hedge_delay: fraction_of_grace(0.1, ms(100)),
            connect_timeout: fraction_of_grace(0.1, ms(100)),
            read_timeout: fraction_of_grace(0.25, ms(250)),
            max_urgent_backoff: fraction_of_grace(0.05, ms(50)),
            max_backoff: fraction_of_grace(0.05, ms(50)),
            drain_grace,
        }
    }

    /// A service can handle one poll of each balancer in the poll interval, or the interval could not be kept. So the ends
    /// of all waits are spread evenly over that time: when all long polls go silent in one moment, the polls that detect it
    /// still come one by one. Failure: all started in one moment, and polled again in one moment, 1.5 s late, at a service
    /// that took 0.35 s for each.
    fn for_service(options: &ScheduleOptions, drain_grace: Span) -> Self {
        let wait = options.poll_interval.max(MIN_WAIT).min(MAX_WAIT);
        let position = f64::from(options.position % options.balancers.max(1));
        let interval_us = options.poll_interval.as_micros_f64();
        let backoff = Span::from_micros_f64(interval_us * BACKOFF_FRACTION_OF_INTERVAL);
        let mut timing = Self {
            wait,
            short_wait: wait,
            fast_service_limit: Span(0),
            phase: position / f64::from(options.balancers.max(1)),
            start_delay: Span(0),
            balancers: f64::from(options.balancers.max(1)),
            answer_slack: ms(250),
            poll_timeout: ms(5000),
            extended_poll_timeout: ms(10_000),
            hedge_delay: Span(0),
            connect_timeout: ms(500),
            read_timeout: ms(500),
            max_urgent_backoff: ms(250),
            max_backoff: backoff.min(MAX_BACKOFF),
            drain_grace,
        };
        let detection = timing.answer_slack.0 + timing.connect_timeout.0;
        let budget_us = Span(NOTIFIED_AFTER_FAILURE.0 + drain_grace.0 - detection).as_micros_f64();
        timing.short_wait =
            Span::from_micros_f64(budget_us * SHORT_WAIT_FRACTION_OF_BUDGET).min(wait);
        timing.fast_service_limit =
            Span::from_micros_f64(budget_us * FAST_SERVICE_FRACTION_OF_BUDGET);
        timing.start_delay = Span::from_micros_f64(
            interval_us.min(MAX_START_SPREAD_INTERVAL_US)
                * START_SPREAD_FRACTION_OF_INTERVAL
                * timing.phase,
        );
        // Late, as a service that is merely slow is made slower by a hedge.
        let answer_budget_us = timing.answer_budget_after_silence().as_micros_f64();
        timing.hedge_delay =
            Span::from_micros_f64(answer_budget_us * HEDGE_FRACTION_OF_BUDGET).min(MAX_HEDGE_DELAY);
        timing
    }

    /// The time that is left for the answer to a new poll once a long poll is known to be silent, until a request to a
    /// draining server would break the rule.
    pub fn answer_budget_after_silence(&self) -> Span {
        let notified = (NOTIFIED_AFTER_SILENCE.0 - self.wait.0).max(NOTIFIED_AFTER_WAIT.0);
        let after_short_wait = NOTIFIED_AFTER_FAILURE.0 - self.longest_short_wait().0;
        let detection = self.answer_slack.0 + self.connect_timeout.0;
        Span(notified.min(after_short_wait) + self.drain_grace.0 - detection)
    }

    /// The longest wait at a service that is fast enough: one may be a twentieth longer than its period.
    pub(crate) fn longest_short_wait(&self) -> Span {
        Span(self.short_wait.0 * 21 / 20)
    }

    /// Where lists are pushed: the time that is left for the answer of an agent that has come back, if a poll hangs that
    /// was made just before.
    pub fn answer_budget_after_agent_return(&self) -> Span {
        let hanging = (self.wait.0 + self.answer_slack.0)
            .max(self.poll_timeout.0 + (self.max_backoff.0 << MAX_DOUBLINGS));
        Span(self.drain_grace.0 - hanging - self.connect_timeout.0)
    }
}
