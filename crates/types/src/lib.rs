//! The types that all crates of sableloom share: times, identifiers, requests, endpoints, the outcome of an attempt,
//! the actions of the policy and the settings of a deployment.
//!
//! This crate contains plain data. It does no I/O, reads no clock and makes no decisions; the crates that make them
//! depend on this one.
//!
//! ```
//! use sableloom_types::{Span, Time};
//!
//! let deadline = Time(1_000).plus(Span(250));
//! assert_eq!(deadline.since(Time(1_000)), Span(250));
//! ```

mod action;
mod attempt;
mod endpoint;
mod policy_settings;
mod request;
pub mod settings;
mod time;

pub use action::Action;
pub use attempt::{AttemptResult, LoadReport, Outcome};
pub use endpoint::{Endpoint, EndpointStatus, ListKind, ListedEndpoint, ServerId};
pub use policy_settings::{
    AttemptLimits, PolicySettings, PolicySettingsError, RequestClass, SafetyRules, TenantQuota,
};
pub use request::{DedupScope, Idempotency, Request, RequestId};
pub use time::{Span, Time};
