//! The choice of the control machine that a subscriber connects to, and of the delay before it connects. Both are
//! random, so that the subscribers of a control machine that fails spread over all others and over time.

use oorandom::Rand64;
use sableloom_types::{Span, Time};

use super::options::SubscriberTiming;

/// The time for which a control machine that is behind, diverged or full is avoided if there are others: 10 s.
const AVOID_DURATION: Span = Span(10_000_000);
/// The number of consecutive failures after which all control machines are reported as unreachable.
const UNREACHABLE_AFTER_FAILURES: u32 = 3;
/// The maximum number of times that the backoff doubles, which keeps the shift in range. By then the default backoff of
/// 1 s has long reached its limit of 4 s.
const MAX_DOUBLINGS: u32 = 16;

/// Chooses control machines and delays, and counts consecutive failures.
#[derive(Debug)]
pub(super) struct MachineSelector {
    random: Rand64,
    /// For each control machine, the time until which it is avoided.
    avoided_until: Vec<Option<Time>>,
    /// The number of the control machine that was chosen last.
    last_picked: Option<usize>,
    /// The number of consecutive connections without a bookmark that matched the applied state.
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

    /// Returns a random delay from 0 to the limit.
    pub(super) fn random_delay(&mut self, limit: Span) -> Span {
        Span(self.random.rand_range(0..limit.0.max(0) as u64 + 1) as i64)
    }

    /// Records that a bookmark has matched the applied state.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        self.unreachable_reported = false;
    }

    /// Records that a connection has failed or ended. Returns whether all control machines are to be reported as
    /// unreachable.
    pub(super) fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        let threshold = UNREACHABLE_AFTER_FAILURES.min(self.avoided_until.len() as u32);
        if self.failures < threshold || self.unreachable_reported {
            return false;
        }
        self.unreachable_reported = true;
        true
    }

    /// Returns the delay before the next connection: exponential backoff with full jitter, which is a random delay up
    /// to a limit that doubles with each failure. It prevents all subscribers from reconnecting at the same time when a
    /// control machine fails or a region returns.
    pub(super) fn backoff(&mut self, timing: &SubscriberTiming) -> Span {
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let limit = (timing.backoff_base.0 << doublings).min(timing.backoff_max.0);
        self.random_delay(Span(limit))
    }

    /// Avoids a control machine for [`AVOID_DURATION`].
    pub(super) fn avoid(&mut self, control_machine: usize, now: Time) {
        if let Some(until) = self.avoided_until.get_mut(control_machine) {
            *until = Some(now.plus(AVOID_DURATION));
        }
    }

    /// Returns a random control machine that is neither avoided nor the one that was chosen last. If all others are
    /// avoided, returns any except the last one; if there is only one, returns that one. Returns none if there are no
    /// control machines.
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
