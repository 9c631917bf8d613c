//! Detects that a pool is idle and stops its timers, so that a pool without requests uses no processor time.
//!
//! The policy sets one timer after another and updates its decaying sums at each. While no request is open and no
//! server is in slow start, the timers only let those sums decay, and one decay over a long time has the same result as
//! many decays over short parts of that time. The timer of an idle pool is therefore deferred, and run before the next
//! call of the policy. `docs/design/exchange.md`, "Idle pools", gives the reasons.

use sableloom_types::settings::{DeploymentSettings, EndpointListDelivery, span_from_ms};
use sableloom_types::{Endpoint, EndpointStatus, Span, Time};

use crate::deadlines::longest_deadline_span;

/// A pool is idle once no request has been open for this many times the longest deadline of its classes. By then
/// every attempt that timed out has released its slot, which it holds for one deadline at most.
const IDLE_AFTER_DEADLINES: i64 = 2;

/// A timer that the policy has set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Timer {
    /// The token by which the policy identifies the timer.
    pub(crate) token: u64,
    /// When the timer is due.
    pub(crate) at: Time,
}

/// Whether a pool is idle, and the deferred timer with which it resumes.
#[derive(Debug)]
pub(crate) struct IdleState {
    /// Whether the settings allow the pool to become idle.
    allowed: bool,
    /// How long no request must have been open before the pool is idle.
    idle_after: Span,
    /// How long the slow start of a server lasts.
    slow_start: Span,
    /// When a request was last opened or removed.
    last_request: Time,
    /// When the slow start of the last listed server ends.
    slow_starts_end: Time,
    /// The timer that is deferred while the pool is idle.
    deferred_timer: Option<Timer>,
}

impl IdleState {
    pub(crate) fn new(settings: &DeploymentSettings, now: Time) -> Self {
        let longest = longest_deadline_span(settings).0;
        let slow_start = span_from_ms(settings.safety.slow_start);
        let overload_window = span_from_ms(settings.safety.overload_window);
        // With `Poll` the policy polls for its list by the timer, which must therefore keep running. The second
        // condition is needed for the highest observed rate of warm servers: one long decay equals many short ones only
        // if the count from which that rate is computed decays sooner.
        let allowed = settings.endpoint_list_delivery != EndpointListDelivery::Poll
            && overload_window <= slow_start;
        let idle_after = Span(longest.saturating_mul(IDLE_AFTER_DEADLINES));
        Self {
            allowed,
            idle_after,
            slow_start,
            last_request: now,
            slow_starts_end: now,
            deferred_timer: None,
        }
    }

    /// Records that a request was opened or removed.
    pub(crate) fn record_request_change(&mut self, now: Time) {
        self.last_request = now;
    }

    /// Records a change of the endpoint list. `endpoints` is a full list if `full`, and a part of one otherwise.
    pub(crate) fn endpoints_updated(&mut self, full: bool, endpoints: &[Endpoint]) {
        let listed = endpoints.iter().filter(|server| server.status != EndpointStatus::Gone);
        let slow_starts_end =
            listed.filter_map(|server| Some(server.started?.plus(self.slow_start))).max();
        // A full list replaces all servers: only the slow starts of its own servers count.
        let before = (!full).then_some(self.slow_starts_end);
        self.slow_starts_end =
            before.into_iter().chain(slow_starts_end).max().unwrap_or(Time(i64::MIN));
    }

    /// Defers the timer if the pool is idle now, and returns whether it did.
    pub(crate) fn defer_timer_if_idle(&mut self, now: Time, any_open: bool, timer: Timer) -> bool {
        let unused = !any_open && now >= self.last_request.plus(self.idle_after);
        let idle = self.allowed && unused && now >= self.slow_starts_end;
        self.deferred_timer = idle.then_some(timer);
        idle
    }

    /// Ends the idle period and returns the deferred timer, if there is one.
    pub(crate) fn take_deferred_timer(&mut self) -> Option<Timer> {
        self.deferred_timer.take()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.deferred_timer.is_some()
    }
}
