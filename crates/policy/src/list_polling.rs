//! When the endpoint list is polled, where it does not come by itself.

use oorandom::Rand64;
use sableloom_types::{PolicySettings, Span, Time};

/// Longest random wait before the first poll, as a share of the poll interval: fleets restart together.
const JITTER_FRACTION_OF_INTERVAL: f64 = 0.05;
/// A poll without an answer is repeated after this share of the poll interval.
const REPEAT_FRACTION_OF_INTERVAL: f64 = 0.5;
/// Most doublings of the wait after polls that failed.
const MAX_DOUBLINGS: i32 = 3;

/// The state of the subscription to the list.
#[derive(Debug)]
pub(crate) struct ListPolling {
    /// Whether the list must be polled at all.
    polls: bool,
    interval: Span,
    subscribed: bool,
    next: Time,
    failures: i32,
}

impl ListPolling {
    pub(crate) fn new(settings: &PolicySettings, now: Time) -> Self {
        Self {
            polls: settings.polls_endpoint_list,
            interval: settings.safety_rules.poll_interval,
            subscribed: false,
            next: now,
            failures: 0,
        }
    }

    /// Draws the time of the first poll.
    pub(crate) fn start(&mut self, now: Time, rng: &mut Rand64) {
        self.next = now.plus(self.jitter(rng, JITTER_FRACTION_OF_INTERVAL));
    }

    /// A list has come over the subscription.
    pub(crate) fn listed(&mut self) {
        self.subscribed = true;
        self.failures = 0;
    }

    /// A poll failed or the subscription broke: the next poll is due after a random backoff.
    pub(crate) fn failed(&mut self, now: Time, rng: &mut Rand64) {
        self.subscribed = false;
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        let backoff = JITTER_FRACTION_OF_INTERVAL * f64::from(1 << self.failures);
        self.next = now.plus(self.jitter(rng, backoff));
    }

    /// Whether a poll is due; then the time of its repetition is drawn.
    pub(crate) fn is_due(&mut self, now: Time, rng: &mut Rand64) -> bool {
        if !self.polls || self.subscribed || now < self.next {
            return false;
        }
        let interval = self.interval.as_micros_f64();
        let repetition = Span::from_micros_f64(interval * REPEAT_FRACTION_OF_INTERVAL);
        self.next = now.plus(repetition).plus(self.jitter(rng, JITTER_FRACTION_OF_INTERVAL));
        true
    }

    /// A random span of up to this share of the poll interval.
    fn jitter(&self, rng: &mut Rand64, fraction: f64) -> Span {
        Span::from_micros_f64(rng.rand_float() * fraction * self.interval.as_micros_f64())
    }
}
