//! The checks of the settings, and the times that are derived from them.

use sableloom_types::{PolicySettings, PolicySettingsError, Span};

/// The period of the housekeeping timer, as a share of the shortest latency objective. It is short enough that queued
/// requests are rejected close to their deadline.
const HOUSEKEEPING_FRACTION_OF_OBJECTIVE: f64 = 1.0 / 32.0;
/// The shortest tick in microseconds. With a tick of zero, the housekeeping timer could be due again at once, and time
/// would not advance.
const MIN_TICK: i64 = 100;
/// The smallest share of its capacity that a server starts with. Zero would leave the server cold.
const MIN_SLOW_START_SHARE: f64 = 0.01;
/// The shortest time between two polls of the endpoint list, in ticks.
const MIN_POLL_TICKS: i64 = 10;

/// Replaces values that would stop the balancer by safe ones.
///
/// # Errors
///
/// [`PolicySettingsError`] if there is no class, or a class whose latency objective or deadline is not above zero.
pub(crate) fn checked(mut settings: PolicySettings) -> Result<PolicySettings, PolicySettingsError> {
    if settings.classes.is_empty() {
        return Err(PolicySettingsError::NoClasses);
    }
    let unusable =
        settings.classes.iter().position(|c| c.latency_objective.0 <= 0 || c.deadline.0 <= 0);
    if let Some(class) = unusable {
        return Err(PolicySettingsError::NonPositiveTime(class));
    }
    settings.tick.0 = settings.tick.0.max(MIN_TICK);
    settings.balancers = settings.balancers.max(1);
    settings.limits.max_attempts = settings.limits.max_attempts.max(1);
    let rules = &mut settings.safety_rules;
    rules.slow_start_initial_share =
        rules.slow_start_initial_share.clamp(MIN_SLOW_START_SHARE, 1.0);
    rules.poll_interval.0 = rules.poll_interval.0.max(settings.tick.0 * MIN_POLL_TICKS);
    Ok(settings)
}

/// T_QoS in microseconds, the same for all classes: as stated, or the mean of their latency objectives.
pub(crate) fn target_time(settings: &PolicySettings) -> f64 {
    if let Some(stated) = settings.t_qos.filter(|target| target.0 > 0) {
        return stated.as_micros_f64();
    }
    let sum = settings.classes.iter().map(|c| c.latency_objective.as_micros_f64()).sum::<f64>();
    sum / settings.classes.len() as f64
}

/// The period of the housekeeping timer.
pub(crate) fn housekeeping_interval(settings: &PolicySettings) -> Span {
    let shortest = settings.classes.iter().map(|c| c.latency_objective.0).min().unwrap_or(0);
    let interval = (shortest as f64 * HOUSEKEEPING_FRACTION_OF_OBJECTIVE) as i64;
    Span(interval.max(settings.tick.0))
}
