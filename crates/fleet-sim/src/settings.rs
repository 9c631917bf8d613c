//! The settings of the simulated balancers (classes, limits and rules), and the work of a request.

use sableloom_types::{
    AttemptLimits, DedupScope, Idempotency, PolicySettings, RequestClass, SafetyRules, Span,
};

use crate::case::{Case, MS, S};

/// Work of each class in microseconds of a core of speed 1, and its wait for other systems in microseconds.
pub(crate) const WORK: [(f64, f64); 2] =
    [(40.0 * MS as f64, 30.0 * MS as f64), (48.0 * MS as f64, 70.0 * MS as f64)];
/// Share of the requests that are of the first class.
pub(crate) const SAFE_SHARE: f64 = 0.75;

/// Mean work of a request, in microseconds of a core of speed 1.
pub(crate) fn mean_work() -> f64 {
    SAFE_SHARE * WORK[0].0 + (1.0 - SAFE_SHARE) * WORK[1].0
}

/// The settings of a balancer. The first class may be repeated, the second must never run twice.
pub fn settings(case: &Case) -> PolicySettings {
    let class = |latency_objective: i64, priority_weight, idempotency| RequestClass {
        latency_objective: Span(latency_objective * MS),
        deadline: Span(600 * MS),
        priority_weight,
        late_priority_weight: 0.0,
        idempotency,
        dedup_scope: DedupScope::All,
        dedup_window: Span(0),
    };
    PolicySettings {
        classes: vec![
            class(250, 3.0, Idempotency::Idempotent),
            class(300, 9.0, Idempotency::NonIdempotent),
        ],
        tenants: vec![],
        balancers: case.balancers as u32,
        zone: 0,
        tick: Span(5 * MS),
        polls_endpoint_list: false,
        limits: AttemptLimits {
            max_attempts: 4,
            hedging: true,
            cancel: true,
            health_checks: false,
            retry_after: true,
            max_retry_after: Span(300 * MS),
        },
        safety_rules: SafetyRules {
            slow_start_initial_share: case.slow_start_initial_share,
            slow_start: Span(15 * S),
            overload_factor: 3.0,
            overload_window: Span(1500 * MS),
            poll_interval: Span(10 * S),
        },
        cross_zone_price: 0.0,
        key_affinity: false,
        t_qos: None,
    }
}
