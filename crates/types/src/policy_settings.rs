//! The settings of the policy, in the units of this crate.

use crate::{DedupScope, Idempotency, Span};

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Latency objective: an answer within this time has the full weight.
    pub latency_objective: Span,
    /// The longest that a client waits.
    pub deadline: Span,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Share of the weight, 0 to 1, that an answer after the latency objective still has.
    pub late_priority_weight: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Which servers drop repeats of a keyed request.
    pub dedup_scope: DedupScope,
    /// For how long they do, from the start of the first attempt that may have been executed.
    pub dedup_window: Span,
}

/// A tenant's quota.
#[derive(Clone, Debug)]
pub struct TenantQuota {
    /// Requests a second within its quota, over all balancers.
    pub quota_rps: f64,
}

/// What the deployment permits for attempts.
#[derive(Clone, Debug)]
pub struct AttemptLimits {
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Two attempts of a request may be in flight at once (hedging).
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Servers may be sent health checks.
    pub health_checks: bool,
    /// Clients are given Retry-After advice.
    pub retry_after: bool,
    /// The longest Retry-After that a client heeds.
    pub max_retry_after: Span,
}

/// Limits on the load of servers that warm up, and the freshness of the endpoint list.
#[derive(Clone, Debug)]
pub struct SafetyRules {
    /// A server starts with this share of its capacity or more, 0 to 1.
    pub slow_start_initial_share: f64,
    /// A server has its full capacity after this time at the latest.
    pub slow_start: Span,
    /// A server is overloaded when it gets more than this many times its present capacity,
    pub overload_factor: f64,
    /// for this long.
    pub overload_window: Span,
    /// Where the list is polled: the longest silence after which a change counts as notified.
    pub poll_interval: Span,
}

/// The settings that a policy is created with.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<TenantQuota>,
    /// Balancers in the fleet, this one included.
    pub balancers: u32,
    /// Zone of this balancer, by index.
    pub zone: u32,
    /// The shortest time between two deliveries of events.
    pub tick: Span,
    /// The endpoint list comes only when it is polled.
    pub polls_endpoint_list: bool,
    /// What the deployment permits for attempts.
    pub limits: AttemptLimits,
    /// Limits on the load of servers that warm up.
    pub safety_rules: SafetyRules,
    /// Price of an attempt that crosses zones, as a share of a request's weight.
    pub cross_zone_price: f64,
    /// A server that has served a key lately serves it again with less work.
    pub key_affinity: bool,
    /// T_QoS, the time within which requests are to be answered; the mean latency objective if `None`.
    pub t_qos: Option<Span>,
}

/// Why a policy could not be created from its settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicySettingsError {
    /// Without a class no request could be judged.
    #[error("settings name no request class")]
    NoClasses,
    /// No answer can meet a latency objective or deadline of zero.
    #[error("class {0} has an aim or deadline that is not above zero")]
    NonPositiveTime(usize),
}
