//! The decisions on the path of a request: which server it is forwarded to, whether it is retried, whether it is
//! rejected. No I/O, no clock, no threads.
//!
//! Requests wait in a first-come queue until a server has a free slot. A server `i` with round-trip time `2*TP_i`
//! and service time `TS_i` gets at most `K_i = 2*TP_i/TS_i + 1` requests at once, and a request is rejected at
//! once when queued plus in flight reach the sum of `N_i = T_QoS / (2*TP_i + TS_i)` (Ould Deye et al.). Around
//! that stand the limits that the paper leaves open: a concurrency limit that adapts to latency, outlier
//! detection, slow start, tenant quotas and the rules on retries.
//!
//! [`Balancer`] is the facade: its caller tells it what happened, and carries out the [`sableloom_types::Action`]s
//! that it returns, in order. It orders the parts and holds no rule of its own; each part is a module that owns
//! its state:
//!
//! | module | decides |
//! | --- | --- |
//! | `queue` | who is next; which classes are held up |
//! | `selection` | the server, among those with a free slot |
//! | `capacity` | `K_i` and `N_i` of a server |
//! | `service_time`, `service_time_estimate` | the estimates of `TP_i` and `TS_i` by server, machine kind and class |
//! | `concurrency_limit` | the adaptive limit, raised and lowered by the latency of answers |
//! | `admission` | the limit on queued plus in flight, priority shares, Retry-After |
//! | `deadlines` | until when a request is worth queueing |
//! | `retry` | whether a request may be forwarded again, and whether it may be rejected |
//! | `outlier` | consecutive failures by server, class and zone; ejection |
//! | `usable_share` | how much of each server can be used |
//! | `slow_start` | the tokens of a server that warms up |
//! | `tenant_quota` | whether a tenant is within its quota |
//! | `request` | the state of open requests and of their attempts |
//! | `in_flight` | the slots in use, also by attempts that timed out |
//! | `endpoints`, `list_polling` | the servers of the list in force; when the list is polled |
//!
//! Invariants: a request gets one final answer; a request that is not idempotent is forwarded again only while
//! every earlier attempt provably was not executed; the same events, times and seed give the same actions.
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
