//! Which control machine a subscriber connects to, and after which delay: both at random, so that the subscribers of a
//! machine that fails spread over all others and over time.

use oorandom::Rand64;
use sableloom_types::{Span, Time};

use super::options::SubscriberTiming;

/// How long a control machine that is behind, diverged or full is avoided if there are others.
const AVOID_DURATION: Span = Span(10_000_000);
/// Consecutive failures after which control is reported to be unreachable.
const UNREACHABLE_AFTER_FAILURES: u32 = 3;
/// Doublings after which any backoff is at its limit; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 16;

#[derive(Debug)]
pub(super) struct MachineSelector {
    random: Rand64,
    /// By machine: until when it is avoided.
    avoided_until: Vec<Option<Time>>,
    last_picked: Option<usize>,
    /// Consecutive connections without a bookmark that matched the applied state.
    failures: u32,
    unreachable_reported: bool,
}

impl MachineSelector {
    pub(super) fn new(machines: usize, seed: u64) -> Self {
        MachineSelector {
            random: Rand64::new(u128::from(seed)),
            avoided_until: vec![None; machines],
            last_picked: None,
            failures: 0,
            unreachable_reported: false,
        }
    }

    /// A random time up to a limit.
    pub(super) fn random_delay(&mut self, limit: Span) -> Span {
        Span(self.random.rand_range(0..limit.0.max(0) as u64 + 1) as i64)
    }

    /// A connection has led to a bookmark that matched the applied state.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        self.unreachable_reported = false;
    }

    /// A connection has failed or ended; whether control is to be reported as unreachable.
    pub(super) fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        let threshold = UNREACHABLE_AFTER_FAILURES.min(self.avoided_until.len() as u32);
        if self.failures < threshold || self.unreachable_reported {
            return false;
        }
        self.unreachable_reported = true;
        true
    }

    /// Full jitter: a random time up to a limit that doubles with each failure. Guards against the simultaneous
    /// reconnection of all subscribers when a control machine fails or a region comes back.
    pub(super) fn backoff(&mut self, timing: &SubscriberTiming) -> Span {
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let limit = (timing.backoff_base.0 << doublings).min(timing.backoff_max.0);
        self.random_delay(Span(limit))
    }

    /// Avoids a control machine for a while.
    pub(super) fn avoid(&mut self, control_machine: usize, now: Time) {
        if let Some(until) = self.avoided_until.get_mut(control_machine) {
            *until = Some(now.plus(AVOID_DURATION));
        }
    }

    /// A machine that is neither avoided nor the last one; if there is none, any but the last one.
    pub(super) fn pick(&mut self, now: Time) -> Option<usize> {
        let machines = self.avoided_until.len();
        let is_other =
            |control_machine: &usize| self.last_picked != Some(*control_machine) || machines == 1;
        let others: Vec<usize> = (0..machines).filter(is_other).collect();
        let is_usable = |control_machine: &usize| {
            self.avoided_until[*control_machine].is_none_or(|until| until <= now)
        };
        let mut candidates: Vec<usize> = others.iter().copied().filter(is_usable).collect();
        if candidates.is_empty() {
            candidates = others;
        }
        if candidates.is_empty() {
            return None;
        }
        let index = self.random.rand_range(0..candidates.len() as u64) as usize;
        self.last_picked = candidates.get(index).copied();
        self.last_picked
    }
}
