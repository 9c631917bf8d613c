//! The settings of a deployment, a JSON object that the platform passes to the balancer and to the simulator's adapter,
//! and the values and hashes that are derived from it. The keys are part of the deployment protocol, so a field with
//! another name states its key in a `serde(rename)`.

use serde::{Deserialize, Serialize};

use crate::{
    AttemptLimits, DedupScope, Idempotency, LoadReport, PolicySettings, RequestClass, SafetyRules,
    Span, TenantQuota, Time,
};

/// Converts milliseconds to a span, rounded to whole microseconds. NaN gives 0, and values out of range are clamped.
pub fn span_from_ms(ms: f64) -> Span {
    Span((ms * 1000.0).round() as i64)
}

/// Converts a clock reading in milliseconds to a time, as [`span_from_ms`] does.
pub fn time_from_ms(ms: f64) -> Time {
    Time(span_from_ms(ms).0)
}

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a hash of a text, which is the same at every balancer and in every build.
pub fn stable_hash(text: &str) -> u64 {
    stable_hash_of_bytes(text.as_bytes())
}

/// The same hash of any bytes.
pub fn stable_hash_of_bytes(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// The hash of a routing key. A key of up to 16 hexadecimal digits is taken as the number that it denotes.
pub fn key_hash(key: &str) -> u64 {
    u64::from_str_radix(key, 16).unwrap_or_else(|_| stable_hash(key))
}

fn default_priority_weight() -> f64 {
    1.0
}

/// The settings of a deployment. Unknown keys are ignored.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct DeploymentSettings {
    /// The number of balancers in the fleet.
    pub balancers: u32,
    /// The index of this balancer in the fleet, from 0.
    #[serde(default, rename = "Position")]
    pub balancer_index: u32,
    /// The zone of this balancer, by index in [`zones`](Self::zones).
    #[serde(default)]
    pub zone: u32,
    /// The names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The names of the machine types.
    #[serde(default)]
    pub machine_types: Vec<String>,
    /// The shortest time between two deliveries of events, in milliseconds.
    pub tick: f64,
    /// How the endpoint list is delivered.
    #[serde(rename = "RegistryMode")]
    pub endpoint_list_delivery: EndpointListDelivery,
    /// The classes of requests.
    #[serde(rename = "Services")]
    pub classes: Vec<ClassSettings>,
    /// The tenants; may be empty.
    #[serde(default)]
    pub tenants: Vec<TenantSettings>,
    /// Limits and permissions of the deployment.
    pub policy_limits: PolicyLimits,
    /// Limits on servers that warm up and on the age of the endpoint list.
    pub safety: SafetySettings,
    /// Prices of the deployment.
    #[serde(default)]
    pub prices: Prices,
    /// How servers report their load.
    #[serde(default, rename = "Stats")]
    pub load_reports: LoadReportSettings,
    /// Properties of the service that the servers run.
    #[serde(default, rename = "FamilyInfo")]
    pub service_properties: ServiceProperties,
    /// T_QoS, the target time for answers, in milliseconds. It is not part of the JSON; a site sets it.
    #[serde(skip)]
    pub t_qos: Option<f64>,
}

/// How the endpoint list is delivered.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub enum EndpointListDelivery {
    /// The source pushes changes without being polled.
    #[serde(rename = "automatic")]
    Push,
    /// The balancer polls for changes.
    #[serde(rename = "subscribe")]
    Poll,
}

/// A class of requests; times in milliseconds.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClassSettings {
    /// The name by which requests on sockets state the class.
    #[serde(default)]
    pub name: String,
    /// The latency objective: an answer within this time has the full weight.
    #[serde(rename = "Aim")]
    pub latency_objective: f64,
    /// The longest time that a client waits for the answer.
    pub deadline: f64,
    /// Whether a request may be executed more than once.
    #[serde(rename = "Effect")]
    pub idempotency: Idempotency,
    /// The servers that drop repeats of each other's keyed requests.
    #[serde(default, rename = "Group")]
    pub dedup_scope: DedupScope,
    /// The weight of one request; where capacity is short, classes with more weight per service time have priority.
    #[serde(default = "default_priority_weight", rename = "Importance")]
    pub priority_weight: f64,
    /// The share of the weight, 0 to 1, that an answer after the latency objective still has.
    #[serde(default, rename = "LateValue")]
    pub late_priority_weight: f64,
    /// How long servers drop repeats, from the start of the first attempt that may have been executed.
    #[serde(default, rename = "Window")]
    pub dedup_window: f64,
}

/// A tenant and its quota.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TenantSettings {
    /// The name by which requests on sockets state the tenant.
    #[serde(default)]
    pub name: String,
    /// The quota in requests a second, over all balancers.
    #[serde(default)]
    pub quota_rps: f64,
}

/// Limits and permissions of the deployment; times in milliseconds, 0 where not stated.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PolicyLimits {
    /// The largest number of attempts for one request.
    pub max_attempts: usize,
    /// The largest number of open requests at one balancer; 0 where not stated.
    #[serde(default)]
    pub max_open: usize,
    /// The timeout of a connection attempt.
    #[serde(default)]
    pub connect_timeout: f64,
    /// The time after which servers close idle connections.
    #[serde(default)]
    pub keepalive: f64,
    /// Whether two attempts of a request may be in flight at once (hedging).
    #[serde(default, rename = "SecondCopies")]
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    #[serde(default)]
    pub cancelling: bool,
    /// Whether health checks may be sent to servers.
    #[serde(default, rename = "Probes")]
    pub health_checks: bool,
    /// Whether rejected clients are given Retry-After advice.
    #[serde(default)]
    pub retry_after: bool,
    /// The longest Retry-After that clients follow.
    #[serde(default)]
    pub max_retry_after: f64,
}

/// Limits on servers that warm up and on the age of the endpoint list; times in milliseconds.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SafetySettings {
    /// The longest time between polls of discovery. A balancer counts as notified of a change once this time has
    /// passed.
    #[serde(default, rename = "AskEvery")]
    pub poll_interval: f64,
    /// How long after the notification of a drain an attempt at the server may still begin; 0 where not stated.
    #[serde(default)]
    pub drain_grace: f64,
    /// The time after its start at which a server has its full capacity at the latest.
    #[serde(rename = "Cold")]
    pub slow_start: f64,
    /// The share of its capacity, 0 to 1, that a server has at least when it starts.
    #[serde(rename = "ColdFrom")]
    pub slow_start_initial_share: f64,
    /// A server is overloaded when it gets more than this many times its present capacity for
    /// [`overload_window`](Self::overload_window).
    #[serde(rename = "FallMultiple")]
    pub overload_factor: f64,
    /// How long a load above [`overload_factor`](Self::overload_factor) lasts before it overloads the server.
    #[serde(rename = "TipAfter")]
    pub overload_window: f64,
}

/// Prices of the deployment.
#[derive(Clone, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Prices {
    /// The price of an attempt that crosses zones, as a share of a request's weight.
    pub cross_zone: f64,
}

/// How servers report their load.
#[derive(Clone, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct LoadReportSettings {
    /// The messages that carry load reports.
    #[serde(rename = "How")]
    pub source: LoadReportSource,
    /// The names of the values that a report contains, in order.
    #[serde(rename = "Names")]
    pub values: Vec<String>,
}

/// The messages that carry load reports. Any unknown name in the JSON stands for [`Silent`](Self::Silent).
#[derive(Clone, Copy, Debug, Deserialize, Serialize, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LoadReportSource {
    /// Answers to requests and to health checks carry reports.
    Piggyback,
    /// Only answers to health checks carry reports.
    Pull,
    /// Servers report no load.
    #[default]
    #[serde(other)]
    Silent,
}

impl LoadReportSettings {
    /// Builds the load report from named values. Names that [`values`](Self::values) does not list are ignored.
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

/// Properties of the service that the servers run.
#[derive(Clone, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ServiceProperties {
    /// Whether a server that has served a key recently serves it again with less work.
    #[serde(rename = "WarmKeys")]
    pub key_affinity: bool,
}

impl DeploymentSettings {
    /// Converts the settings that the policy needs to its units.
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
