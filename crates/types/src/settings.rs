//! The settings of a deployment, a JSON object that the platform hands to both programs, and the values and
//! hashes that are derived from it. The keys are part of the deployment protocol: a field that has another name
//! states its key in a `serde(rename)`.

use serde::{Deserialize, Serialize};

use crate::{
    AttemptLimits, DedupScope, Idempotency, LoadReport, PolicySettings, RequestClass, SafetyRules,
    Span, TenantQuota, Time,
};

/// Milliseconds rounded to whole microseconds; 0 for anything that is not a number.
pub fn span_from_ms(ms: f64) -> Span {
    Span((ms * 1000.0).round() as i64)
}

/// A clock reading in milliseconds as a time.
pub fn time_from_ms(ms: f64) -> Time {
    Time(span_from_ms(ms).0)
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a hash of a text: the same at every balancer and in every build.
pub fn stable_hash(text: &str) -> u64 {
    text.bytes()
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// Hash of a routing key; a key of hexadecimal digits is its own hash.
pub fn key_hash(key: &str) -> u64 {
    u64::from_str_radix(key, 16).unwrap_or_else(|_| stable_hash(key))
}

fn default_priority_weight() -> f64 {
    1.0
}

/// The settings object. Unknown keys are ignored.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct DeploymentSettings {
    /// Balancers in the fleet.
    pub balancers: u32,
    /// Number of this balancer among them, from 0.
    #[serde(default, rename = "Position")]
    pub balancer_index: u32,
    /// Zone of this balancer, by index.
    #[serde(default)]
    pub zone: u32,
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    #[serde(default)]
    pub machine_types: Vec<String>,
    /// How often events are delivered at most, in milliseconds.
    pub tick: f64,
    /// How the endpoint list is delivered.
    #[serde(rename = "RegistryMode")]
    pub endpoint_list_delivery: EndpointListDelivery,
    /// Classes of requests.
    #[serde(rename = "Services")]
    pub classes: Vec<ClassSettings>,
    /// Tenants; may be empty.
    #[serde(default)]
    pub tenants: Vec<TenantSettings>,
    /// What the deployment permits.
    pub policy_limits: PolicyLimits,
    /// Limits on servers that warm up and on the age of the endpoint list.
    pub safety: SafetySettings,
    /// Prices of the deployment.
    #[serde(default)]
    pub prices: Prices,
    /// Load reports.
    #[serde(default, rename = "Stats")]
    pub load_reports: LoadReportSettings,
    /// Properties of this kind of service.
    #[serde(default, rename = "FamilyInfo")]
    pub service_properties: ServiceProperties,
    /// T_QoS in milliseconds, where an operator sets it.
    #[serde(skip)]
    pub t_qos: Option<f64>,
}

/// How the endpoint list is delivered.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub enum EndpointListDelivery {
    /// Changes are pushed.
    #[serde(rename = "automatic")]
    Push,
    /// Changes come only when polled.
    #[serde(rename = "subscribe")]
    Poll,
}

/// A class of requests; times in milliseconds.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClassSettings {
    /// Its name on sockets.
    #[serde(default)]
    pub name: String,
    /// Latency objective: an answer within this time has the full weight.
    #[serde(rename = "Aim")]
    pub latency_objective: f64,
    /// The longest a client waits.
    pub deadline: f64,
    /// Whether a request may be executed more than once.
    #[serde(rename = "Effect")]
    pub idempotency: Idempotency,
    /// Which servers drop repeats of a keyed request.
    #[serde(default, rename = "Group")]
    pub dedup_scope: DedupScope,
    /// Priority weight of one request.
    #[serde(default = "default_priority_weight", rename = "Importance")]
    pub priority_weight: f64,
    /// Share of the weight, 0 to 1, that an answer after the latency objective still has.
    #[serde(default, rename = "LateValue")]
    pub late_priority_weight: f64,
    /// For how long they drop repeats.
    #[serde(default, rename = "Window")]
    pub dedup_window: f64,
}

/// A tenant.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TenantSettings {
    /// Its name on sockets.
    #[serde(default)]
    pub name: String,
    /// Requests a second within its quota, over all balancers.
    #[serde(default)]
    pub quota_rps: f64,
}

/// What the deployment permits; times in milliseconds, 0 where not stated.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PolicyLimits {
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Most open requests of one balancer; 0 where not stated.
    #[serde(default)]
    pub max_open: usize,
    /// Time after which a connection attempt has failed.
    #[serde(default)]
    pub connect_timeout: f64,
    /// Time after which servers close idle connections.
    #[serde(default)]
    pub keepalive: f64,
    /// Two attempts of a request may be in flight at once (hedging).
    #[serde(default, rename = "SecondCopies")]
    pub hedging: bool,
    /// Attempts may be cancelled.
    #[serde(default)]
    pub cancelling: bool,
    /// Servers may be sent health checks.
    #[serde(default, rename = "Probes")]
    pub health_checks: bool,
    /// Clients are given Retry-After advice.
    #[serde(default)]
    pub retry_after: bool,
    /// The longest Retry-After that a client heeds.
    #[serde(default)]
    pub max_retry_after: f64,
}

/// Limits on servers that warm up and on the age of the endpoint list; times in milliseconds.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SafetySettings {
    /// The longest silence towards discovery after which a change counts as notified.
    #[serde(default, rename = "AskEvery")]
    pub poll_interval: f64,
    /// How long after the notification of a drain an attempt may still begin; 0 where not stated.
    #[serde(default)]
    pub drain_grace: f64,
    /// A server has its full capacity after this time at the latest.
    #[serde(rename = "Cold")]
    pub slow_start: f64,
    /// A server starts with this share of its capacity or more, 0 to 1.
    #[serde(rename = "ColdFrom")]
    pub slow_start_initial_share: f64,
    /// A server is overloaded when it gets more than this many times its present capacity,
    #[serde(rename = "FallMultiple")]
    pub overload_factor: f64,
    /// for this long.
    #[serde(rename = "TipAfter")]
    pub overload_window: f64,
}

/// Prices of the deployment.
#[derive(Clone, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Prices {
    /// Price of an attempt that crosses zones, as a share of a request's weight.
    pub cross_zone: f64,
}

/// How servers report their load.
#[derive(Clone, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct LoadReportSettings {
    /// How load reports are delivered.
    #[serde(rename = "How")]
    pub source: LoadReportSource,
    /// The values they carry, in order.
    #[serde(rename = "Names")]
    pub values: Vec<String>,
}

/// How load reports are delivered.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LoadReportSource {
    /// With answers and health checks.
    Piggyback,
    /// With health checks only.
    Pull,
    /// Not at all.
    #[default]
    #[serde(other)]
    Silent,
}

impl LoadReportSettings {
    /// The load report of these named values; names that the settings do not list are ignored.
    pub fn report<'a>(&self, values: impl Iterator<Item = (&'a str, f64)>) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, value) in
            values.filter(|(name, _)| self.values.iter().any(|listed| listed == name))
        {
            match name {
                "inflight" => report.in_flight = Some(value),
                "queue" => report.queued = Some(value),
                "util" => report.utilisation = Some(value),
                "latency_ms" => report.service_time = Some(span_from_ms(value)),
                _ => {}
            }
        }
        report
    }
}

/// Properties of this kind of service.
#[derive(Clone, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ServiceProperties {
    /// A server that has served a key lately serves it again with less work.
    #[serde(rename = "WarmKeys")]
    pub key_affinity: bool,
}

impl DeploymentSettings {
    /// The settings of the policy that follow from these.
    pub fn policy_settings(&self) -> PolicySettings {
        let class = |class: &ClassSettings| RequestClass {
            latency_objective: span_from_ms(class.latency_objective),
            deadline: span_from_ms(class.deadline),
            priority_weight: class.priority_weight,
            late_priority_weight: class.late_priority_weight,
            idempotency: class.idempotency,
            dedup_scope: class.dedup_scope,
            dedup_window: span_from_ms(class.dedup_window),
        };
        let limits = &self.policy_limits;
        PolicySettings {
            classes: self.classes.iter().map(class).collect(),
            tenants: self.tenants.iter().map(|t| TenantQuota { quota_rps: t.quota_rps }).collect(),
            balancers: self.balancers,
            zone: self.zone,
            tick: span_from_ms(self.tick),
            polls_endpoint_list: self.endpoint_list_delivery == EndpointListDelivery::Poll,
            limits: AttemptLimits {
                max_attempts: limits.max_attempts,
                hedging: limits.hedging,
                cancel: limits.cancelling,
                health_checks: limits.health_checks,
                retry_after: limits.retry_after,
                max_retry_after: span_from_ms(limits.max_retry_after),
            },
            safety_rules: SafetyRules {
                slow_start_initial_share: self.safety.slow_start_initial_share,
                slow_start: span_from_ms(self.safety.slow_start),
                overload_factor: self.safety.overload_factor,
                overload_window: span_from_ms(self.safety.overload_window),
                poll_interval: span_from_ms(self.safety.poll_interval),
            },
            cross_zone_price: self.prices.cross_zone,
            key_affinity: self.service_properties.key_affinity,
            t_qos: self.t_qos.map(span_from_ms),
        }
    }
}
