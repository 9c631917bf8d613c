//! The time limits of each step of polling, computed from the settings.

use sableloom_types::Span;

use crate::backoff::MAX_DOUBLINGS;
use crate::notification::{
    NOTIFIED_AFTER_FAILURE, NOTIFIED_AFTER_SILENCE, NOTIFIED_AFTER_WAIT, ms,
};

/// The drain grace if the settings state none.
const DEFAULT_DRAIN_GRACE: Span = ms(1000);
/// The fraction of the budget that the short wait takes. The budget is the time from the start of a poll that goes
/// silent until a new poll must have been answered, less the answer slack and the connect timeout. The rest of it is
/// for the answer to the new poll.
const SHORT_WAIT_FRACTION_OF_BUDGET: f64 = 0.72;
/// The fraction of the budget of [`SHORT_WAIT_FRACTION_OF_BUDGET`] in which a fast service handles a poll of each
/// balancer. Such a service can answer all of them in time although they all detect the silence within one short wait.
const FAST_SERVICE_FRACTION_OF_BUDGET: f64 = 0.88;
/// The fraction of the poll interval over which the first polls of a fleet that starts at once are spread.
const START_SPREAD_FRACTION_OF_INTERVAL: f64 = 0.05;
/// The upper bound of the poll interval from which the spread of the first polls is computed, in microseconds.
const MAX_START_SPREAD_INTERVAL_US: f64 = 10e6;
/// The least wait of a long poll at a service.
const MIN_WAIT: Span = ms(500);
/// The longest wait of a long poll at a service.
const MAX_WAIT: Span = ms(10_000);
/// The longest backoff, as a fraction of the poll interval.
const BACKOFF_FRACTION_OF_INTERVAL: f64 = 0.1;
/// The upper bound of the longest backoff, whatever the poll interval. It does not grow with the interval, because
/// the time at which a change counts as notified after a failure does not depend on the interval.
const MAX_BACKOFF: Span = ms(250);
/// The fraction of the time that is left for an answer after silence, after which a poll is hedged.
const HEDGE_FRACTION_OF_BUDGET: f64 = 0.65;
/// The upper bound of the time after which a poll is hedged.
const MAX_HEDGE_DELAY: Span = ms(1500);

/// The settings of discovery, and the number of this balancer among all balancers.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleOptions {
    /// Whether the list comes from an agent on this machine, which answers at once and at no cost. Otherwise one
    /// service provides the list to all balancers, and handles new polls one after the other.
    pub local_agent: bool,
    /// The longest time between polls if a service provides the list.
    pub poll_interval: Span,
    /// For how long after the notification of a drain a request to the server may still begin. Zero means that it is
    /// not stated, and selects the default of 1 s.
    pub drain_grace: Span,
    /// The number of this balancer, from 0.
    pub position: u32,
    /// The number of balancers.
    pub balancers: u32,
}

/// The time limits of each step of polling.
#[derive(Clone, Copy, Debug)]
pub struct PollTiming {
    /// Whether the list comes from an agent on this machine.
    pub local_agent: bool,
    /// The longest wait that a poll asks for: the period of the polls.
    pub wait: Span,
    /// The wait at a service that is fast enough for it. It is short enough for silence to be detected, and a new
    /// poll to be answered, before a change that an abandoned poll misses becomes binding.
    pub short_wait: Span,
    /// The longest time that a service may take in total to handle one poll of every balancer if it is to be fast
    /// enough for the short wait.
    pub fast_service_limit: Span,
    /// The longest time between polls. A service takes no longer in total to handle one poll of every balancer.
    pub poll_interval: Span,
    /// The fraction of each period at which this balancer's waits end.
    pub phase: f64,
    /// How long after its start this balancer polls first. The balancers of a fleet that starts at once poll in the
    /// order of their numbers, so that each can conclude from its own answer how long all polls take together.
    pub start_delay: Span,
    /// The number of balancers.
    pub balancers: f64,
    /// How long after the end of its wait a poll may still be answered. An answer that is due arrives within a round
    /// trip and the scheduling delay of this process.
    pub answer_slack: Span,
    /// The timeout of a poll without a wait, which is answered when its turn comes at the service.
    pub poll_timeout: Span,
    /// The timeout of a poll without a wait after one that timed out. Without a longer timeout, no answer of a
    /// service that always takes longer would ever be received.
    pub extended_poll_timeout: Span,
    /// How long after its start a poll that has to be answered soon is hedged.
    pub hedge_delay: Span,
    /// The timeout for opening a connection.
    pub connect_timeout: Span,
    /// How long an answer may pause once it has begun.
    pub read_timeout: Span,
    /// The longest backoff between polls after silence or a move of discovery.
    pub max_urgent_backoff: Span,
    /// The longest backoff after the first failure in all other cases. It doubles with each further failure, twice at
    /// most.
    pub max_backoff: Span,
    /// For how long after the notification of a drain a request to the server may still begin.
    pub drain_grace: Span,
}

impl PollTiming {
    /// Computes the timing from these options.
    pub fn new(options: &ScheduleOptions) -> Self {
        let stated = options.drain_grace;
        let drain_grace = if stated.0 > 0 { stated } else { DEFAULT_DRAIN_GRACE };
        match options.local_agent {
            true => Self::for_agent(drain_grace),
            false => Self::for_service(options, drain_grace),
        }
    }

    /// Computes the timing for a local agent. A change that an agent has counts as notified at once, even if the agent
    /// gets it while a poll is open that it will never answer. Wait, slack and a new poll therefore have to fit into
    /// the drain grace.
    fn for_agent(drain_grace: Span) -> Self {
        let fraction_of_grace = |fraction: f64, max: Span| {
            Span::from_micros_f64(drain_grace.as_micros_f64() * fraction).min(max).max(ms(20))
        };
        Self {
            local_agent: true,
            wait: fraction_of_grace(0.4, ms(400)),
            short_wait: fraction_of_grace(0.4, ms(400)),
            fast_service_limit: Span(0),
            poll_interval: Span(0),
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

    /// Computes the timing for a service. A service can handle one poll of each balancer in the poll interval, or
    /// else the interval could not be kept. The ends of all waits are therefore spread evenly over the interval: when
    /// all long polls go silent at once, the polls that detect it still arrive one by one.
    fn for_service(options: &ScheduleOptions, drain_grace: Span) -> Self {
        let wait = options.poll_interval.max(MIN_WAIT).min(MAX_WAIT);
        let position = f64::from(options.position % options.balancers.max(1));
        let interval_us = options.poll_interval.as_micros_f64();
        let backoff = Span::from_micros_f64(interval_us * BACKOFF_FRACTION_OF_INTERVAL);
        let mut timing = Self {
            local_agent: false,
            wait,
            short_wait: wait,
            fast_service_limit: Span(0),
            poll_interval: options.poll_interval,
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
        // The hedge is sent late, because it adds load to a service that is slow but not silent.
        let answer_budget_us = timing.answer_budget_after_silence().as_micros_f64();
        timing.hedge_delay =
            Span::from_micros_f64(answer_budget_us * HEDGE_FRACTION_OF_BUDGET).min(MAX_HEDGE_DELAY);
        timing
    }

    /// The time that is left for the answer to a new poll once a long poll is known to be silent. After that time, a
    /// request to a draining server could begin after the drain grace.
    pub fn answer_budget_after_silence(&self) -> Span {
        let notified = (NOTIFIED_AFTER_SILENCE.0 - self.wait.0).max(NOTIFIED_AFTER_WAIT.0);
        let after_short_wait = NOTIFIED_AFTER_FAILURE.0 - self.longest_short_wait().0;
        let detection = self.answer_slack.0 + self.connect_timeout.0;
        Span(notified.min(after_short_wait) + self.drain_grace.0 - detection)
    }

    /// The longest wait at a service that is fast enough. A wait may be a twentieth longer than its period.
    pub(crate) fn longest_short_wait(&self) -> Span {
        Span(self.short_wait.0 * 21 / 20)
    }

    /// The time that is left for the answer of a local agent that has come back, if it never answers a poll that was
    /// made just before its return.
    pub fn answer_budget_after_agent_return(&self) -> Span {
        let unanswered = (self.wait.0 + self.answer_slack.0)
            .max(self.poll_timeout.0 + (self.max_backoff.0 << MAX_DOUBLINGS));
        Span(self.drain_grace.0 - unanswered - self.connect_timeout.0)
    }
}
