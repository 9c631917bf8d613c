//! The times at which the endpoint list is polled, where its source does not push it.

use oorandom::Rand64;
use sableloom_types::{PolicySettings, Span, Time};

/// The longest random wait before the first poll, as a share of the poll interval. It spreads the polls of a fleet
/// whose balancers start together.
const JITTER_FRACTION_OF_INTERVAL: f64 = 0.05;
/// The time after which a poll without an answer is repeated, as a share of the poll interval.
const RETRY_FRACTION_OF_INTERVAL: f64 = 0.5;
/// The largest number of doublings of the backoff after failed polls.
const MAX_DOUBLINGS: i32 = 3;

/// The state of the subscription to the endpoint list.
#[derive(Debug)]
pub(crate) struct ListPolling {
    /// Whether the list has to be polled.
    polls: bool,
    interval: Span,
    subscribed: bool,
    next_poll: Time,
    failures: i32,
}

impl ListPolling {
    pub(crate) fn new(settings: &PolicySettings, now: Time) -> Self {
        Self {
            polls: settings.polls_endpoint_list,
            interval: settings.safety_rules.poll_interval,
            subscribed: false,
            next_poll: now,
            failures: 0,
        }
    }

    /// Draws the time of the first poll at random.
    pub(crate) fn start(&mut self, now: Time, rng: &mut Rand64) {
        self.next_poll = now.plus(self.jitter(rng, JITTER_FRACTION_OF_INTERVAL));
    }

    /// Records that a list has arrived over the subscription.
    pub(crate) fn list_received(&mut self) {
        self.subscribed = true;
        self.failures = 0;
    }

    /// Records that a poll failed or the subscription broke. The next poll is due after a random backoff.
    pub(crate) fn poll_failed(&mut self, now: Time, rng: &mut Rand64) {
        self.subscribed = false;
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        let backoff = JITTER_FRACTION_OF_INTERVAL * f64::from(1 << self.failures);
        self.next_poll = now.plus(self.jitter(rng, backoff));
    }

    /// Whether a poll is due. If so, draws the time at which it is repeated unless a list arrives.
    pub(crate) fn is_due(&mut self, now: Time, rng: &mut Rand64) -> bool {
        if !self.polls || self.subscribed || now < self.next_poll {
            return false;
        }
        let interval = self.interval.as_micros_f64();
        let retry_interval = Span::from_micros_f64(interval * RETRY_FRACTION_OF_INTERVAL);
        self.next_poll =
            now.plus(retry_interval).plus(self.jitter(rng, JITTER_FRACTION_OF_INTERVAL));
        true
    }

    /// A random span of up to `fraction` of the poll interval.
    fn jitter(&self, rng: &mut Rand64, fraction: f64) -> Span {
        Span::from_micros_f64(rng.rand_float() * fraction * self.interval.as_micros_f64())
    }
}
