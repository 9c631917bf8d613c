//! The decisions on the path of a request: which server it is forwarded to, whether it is retried and whether it is
//! rejected. The crate does no I/O, reads no clock and starts no threads.
//!
//! Requests wait in a first-in, first-out queue until a server has a free slot. A server `i` with round-trip time
//! `2*TP_i` and service time `TS_i` gets at most `K_i = 2*TP_i/TS_i + 1` requests at once. A request is rejected
//! immediately when the requests queued and in flight reach the sum of `N_i = T_QoS / (2*TP_i + TS_i)` (Ould Deye et
//! al.). This crate adds the limits that the paper leaves open: a concurrency limit that adapts to latency, outlier
//! detection, slow start, tenant quotas and the rules on retries.
//!
//! [`Balancer`] is the facade: its caller reports events to it, and carries out the [`sableloom_types::Action`]s that
//! it returns, in order. It calls the parts in order and contains no rule of its own. Each part is a module that owns
//! its state:
//!
//! | module | decides |
//! | --- | --- |
//! | `queue` | the order of requests; which classes no server takes |
//! | `selection` | the server, among those with a free slot |
//! | `capacity` | `K_i` and `N_i` of a server |
//! | `service_time`, `service_time_estimate` | the estimates of `TP_i` and `TS_i` by server, machine type and class |
//! | `concurrency_limit` | the limit on requests in flight, which the latency of answers raises and lowers |
//! | `admission` | the limit on requests queued and in flight, priority shares, Retry-After |
//! | `deadlines` | until when a request may be queued, and when an attempt times out |
//! | `retry` | whether a request may be forwarded again, and whether it may be rejected |
//! | `outlier` | consecutive failures by server, class and zone; ejection |
//! | `usable_share` | the share of each server's capacity that is usable now |
//! | `slow_start` | when a server that warms up may get a request |
//! | `tenant_quota` | whether a tenant is within its quota |
//! | `request` | the state of open requests and of their attempts |
//! | `in_flight` | the slots in use, including those of attempts that timed out |
//! | `endpoints`, `list_polling` | the servers of the list in force; when the list is polled |
//!
//! Invariants:
//!
//! - a request gets one final answer;
//! - a request that is not idempotent is forwarded again only if no earlier attempt can have been executed;
//! - the same events, times and seed give the same actions.
//!
//! ```
//! use sableloom_policy::Balancer;
//! use sableloom_types::settings::DeploymentSettings;
//! use sableloom_types::{Action, Time};
//!
//! let settings: DeploymentSettings = serde_json::from_value(serde_json::json!({
//!     "Balancers": 1, "Tick": 1.0, "RegistryMode": "automatic",
//!     "Services": [{"Aim": 100.0, "Deadline": 400.0, "Effect": "retryable"}],
//!     "PolicyLimits": {"MaxAttempts": 3},
//!     "Safety": {"Cold": 10_000.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0},
//! }))?;
//! let mut balancer = Balancer::new(settings.policy_settings(), 1, Time(0))?;
//! let mut actions = Vec::new();
//! balancer.start(Time(0), &mut actions);
//! assert!(matches!(actions[..], [Action::SetTimer { .. }]));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod admission;
mod balancer;
mod capacity;
mod concurrency_limit;
mod deadlines;
mod endpoints;
mod in_flight;
mod list_polling;
mod mean;
mod outlier;
mod queue;
mod request;
mod retry;
mod selection;
mod server;
mod service_time;
mod service_time_estimate;
mod settings;
mod slow_start;
mod tenant_quota;
mod token_bucket;
mod usable_share;

pub use balancer::Balancer;
pub use capacity::ServerGauge;
