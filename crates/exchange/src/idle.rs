//! When a pool without requests stops its timers, so that it costs nothing until it is needed again.
//!
//! The policy sets one timer after the other and brings its sums up to date at each. While no request is open and no
//! server is in slow start, all that those timers do is to let sums decay, and one decay over a long time leaves what
//! many over short times leave. So the timer is held back, and made up for before the next call of the policy.
//! `docs/design/exchange.md`, "Idle pools", has the reasons.

use sableloom_types::settings::{DeploymentSettings, EndpointListDelivery, span_from_ms};
use sableloom_types::{Endpoint, EndpointStatus, Span, Time};

/// A pool is idle once no request has been open for this many times the longest deadline of its classes. By then
/// every attempt that timed out has released its slot, which it holds for one deadline at most.
const IDLE_AFTER_DEADLINES: i64 = 2;

/// A timer that the policy has set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Timer {
    /// The policy's name for it.
    pub(crate) token: u64,
    /// When it is due.
    pub(crate) at: Time,
}

/// Whether a pool is idle, and the timer with which it resumes.
#[derive(Debug)]
pub(crate) struct IdleState {
    /// Whether the settings allow it at all.
    allowed: bool,
    /// For how long no request must have been open.
    idle_after: Span,
    /// How long the slow start of a server lasts.
    slow_start: Span,
    /// When a request was last opened or removed.
    last_request: Time,
    /// When the last server of the list has ended its slow start.
    slow_starts_end: Time,
    /// The timer that is held back while the pool is idle.
    deferred_timer: Option<Timer>,
}

impl IdleState {
    pub(crate) fn new(settings: &DeploymentSettings, now: Time) -> Self {
        let longest =
            settings.classes.iter().map(|class| span_from_ms(class.deadline).0).max().unwrap_or(0);
        let slow_start = span_from_ms(settings.safety.slow_start);
        let overload_window = span_from_ms(settings.safety.overload_window);
        // With `Poll` the policy polls for its list by the timer. And the highest rate that warm servers were
        // seen to serve decays in one step as in many only if the count behind it decays sooner.
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

    /// A request was opened or removed.
    pub(crate) fn record_request_change(&mut self, now: Time) {
        self.last_request = now;
    }

    /// The endpoint list, or a part of it, has changed.
    pub(crate) fn endpoints_updated(&mut self, full: bool, endpoints: &[Endpoint]) {
        let listed = endpoints.iter().filter(|server| server.status != EndpointStatus::Gone);
        let slow_starts_end =
            listed.filter_map(|server| Some(server.started?.plus(self.slow_start))).max();
        // After a full list of servers that have long ended their slow start there is nothing to wait for.
        let before = (!full).then_some(self.slow_starts_end);
        self.slow_starts_end =
            before.into_iter().chain(slow_starts_end).max().unwrap_or(Time(i64::MIN));
    }

    /// Holds the timer back if the pool may be idle now; whether it did.
    pub(crate) fn defer_timer_if_idle(&mut self, now: Time, any_open: bool, timer: Timer) -> bool {
        let unused = !any_open && now >= self.last_request.plus(self.idle_after);
        let idle = self.allowed && unused && now >= self.slow_starts_end;
        self.deferred_timer = idle.then_some(timer);
        idle
    }

    /// Ends the idle time: the timer that was held back.
    pub(crate) fn take_deferred_timer(&mut self) -> Option<Timer> {
        self.deferred_timer.take()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.deferred_timer.is_some()
    }
}
