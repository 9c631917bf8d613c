//! When a pool without requests stops keeping time, so that it costs nothing until it is needed again.
//!
//! The decision module asks for one timer after the other and brings its sums up to date at each. While
//! nothing is open and no server warms up, all that those timers do is let sums decay, and decaying once
//! over a long time gives what decaying often over short ones does. So the timer is held back, and made
//! up for before the next call of the module. `docs/design/exchange.md`, "Pools at rest", has the reasons.

use sableloom_types::settings::{DeploymentSettings, RegistryMode, span};
use sableloom_types::{Endpoint, EndpointStatus, Span, Time};

/// A pool rests once nothing has been open for so many times the longest deadline of its classes. By then
/// every attempt that timed out has given its slot back: it keeps it for one deadline at most.
const REST_AFTER_DEADLINES: i64 = 2;

/// A timer that the decision module has asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Timer {
    /// What the module calls it.
    pub(crate) token: u64,
    /// When it is due.
    pub(crate) at: Time,
}

/// Whether a pool rests, and what it needs to go on.
#[derive(Debug)]
pub(crate) struct IdleState {
    /// Whether the settings allow it at all.
    allowed: bool,
    /// How long nothing must have been open.
    after: Span,
    /// For how long a server that has started warms up.
    cold: Span,
    /// Since when nothing is open, if that is so.
    idle_since: Time,
    /// When the last server of the list is warm.
    warm_from: Time,
    /// The timer that is held back while the pool rests.
    held: Option<Timer>,
}

impl IdleState {
    pub(crate) fn new(settings: &DeploymentSettings, now: Time) -> Self {
        let longest =
            settings.services.iter().map(|class| span(class.deadline).0).max().unwrap_or(0);
        let (cold, window) =
            (span(settings.safety.slow_start), span(settings.safety.overload_window));
        // Whoever must ask for its list asks by the timer. The rate that warm servers were seen to serve
        // decays in one step as in many only if the count behind it decays sooner.
        let allowed = settings.registry_mode != RegistryMode::Subscribe && window <= cold;
        let after = Span(longest.saturating_mul(REST_AFTER_DEADLINES));
        Self { allowed, after, cold, idle_since: now, warm_from: now, held: None }
    }

    /// A request has come or is forgotten.
    pub(crate) fn busy(&mut self, now: Time) {
        self.idle_since = now;
    }

    /// The list of servers, or a part of it, is this now.
    pub(crate) fn listed(&mut self, whole: bool, members: &[Endpoint]) {
        let listed = members.iter().filter(|member| member.status != EndpointStatus::Gone);
        let warm_from = listed.filter_map(|member| Some(member.started?.plus(self.cold))).max();
        let before = (!whole).then_some(self.warm_from);
        // A whole list of servers that are long warm leaves nothing to wait for.
        self.warm_from = before.into_iter().chain(warm_from).max().unwrap_or(Time(i64::MIN));
    }

    /// Holds the timer back if the pool may rest now; whether it did.
    pub(crate) fn hold(&mut self, now: Time, open: bool, timer: Timer) -> bool {
        let idle = !open && now >= self.idle_since.plus(self.after);
        let rests = self.allowed && idle && now >= self.warm_from;
        self.held = rests.then_some(timer);
        rests
    }

    /// Ends the rest: the timer that was held back.
    pub(crate) fn end(&mut self) -> Option<Timer> {
        self.held.take()
    }

    pub(crate) fn is_on(&self) -> bool {
        self.held.is_some()
    }
}
