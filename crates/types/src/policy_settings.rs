//! The settings of the policy, with times as [`Span`]s.

use crate::{DedupScope, Idempotency, Span};

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The latency objective: an answer within this time has the full weight.
    pub latency_objective: Span,
    /// The longest time that a client waits for the answer.
    pub deadline: Span,
    /// The weight of one request; where capacity is short, classes with more weight per service time have priority.
    pub priority_weight: f64,
    /// The share of the weight, 0 to 1, that an answer after the latency objective still has.
    pub late_priority_weight: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// The servers that drop repeats of each other's keyed requests.
    pub dedup_scope: DedupScope,
    /// How long servers drop repeats, from the start of the first attempt that may have been executed.
    pub dedup_window: Span,
}

/// A tenant's quota.
#[derive(Clone, Debug)]
pub struct TenantQuota {
    /// The quota in requests a second, over all balancers.
    pub quota_rps: f64,
}

/// Limits and permissions of the deployment for attempts.
#[derive(Clone, Debug)]
pub struct AttemptLimits {
    /// The largest number of attempts for one request.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at once (hedging).
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether health checks may be sent to servers.
    pub health_checks: bool,
    /// Whether rejected clients are given Retry-After advice.
    pub retry_after: bool,
    /// The longest Retry-After that clients follow; 0 for no limit.
    pub max_retry_after: Span,
}

/// Limits on the load of servers that warm up, and on the age of the endpoint list.
#[derive(Clone, Debug)]
pub struct SafetyRules {
    /// The share of its capacity, 0 to 1, that a server has at least when it starts.
    pub slow_start_initial_share: f64,
    /// The time after its start at which a server has its full capacity at the latest.
    pub slow_start: Span,
    /// A server is overloaded when it gets more than this many times its present capacity for
    /// [`overload_window`](Self::overload_window).
    pub overload_factor: f64,
    /// How long a load above [`overload_factor`](Self::overload_factor) lasts before it overloads the server.
    pub overload_window: Span,
    /// Where the list is polled, the longest time between polls. A balancer counts as notified of a change once this
    /// time has passed.
    pub poll_interval: Span,
}

/// The settings that a policy is created with.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// The request classes; [`Request::class`](crate::Request::class) is an index into them.
    pub classes: Vec<RequestClass>,
    /// The tenants; [`Request::tenant`](crate::Request::tenant) is an index into them. May be empty.
    pub tenants: Vec<TenantQuota>,
    /// The number of balancers in the fleet, this one included.
    pub balancers: u32,
    /// The zone of this balancer, by index.
    pub zone: u32,
    /// The shortest time between two deliveries of events.
    pub tick: Span,
    /// Whether the endpoint list has to be polled.
    pub polls_endpoint_list: bool,
    /// Limits and permissions for attempts.
    pub limits: AttemptLimits,
    /// Limits on the load of servers that warm up, and on the age of the endpoint list.
    pub safety_rules: SafetyRules,
    /// The price of an attempt that crosses zones, as a share of a request's weight.
    pub cross_zone_price: f64,
    /// Whether requests with the same key prefer the same server, which serves a recent key with less work.
    pub key_affinity: bool,
    /// T_QoS, the target time for answers; the mean latency objective of the classes if `None`.
    pub t_qos: Option<Span>,
}

/// Why a policy could not be created from its settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicySettingsError {
    /// The settings contain no class, so that no request can be admitted.
    #[error("settings contain no request class; at least one is required")]
    NoClasses,
    /// The class with this index has a latency objective or deadline of zero or less, which no answer can meet.
    #[error("class {0}: latency objective and deadline must be above zero")]
    NonPositiveTime(usize),
}
