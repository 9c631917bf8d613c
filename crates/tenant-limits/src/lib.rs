//! Rate limits of tenants at one balancer: whether a request is within its tenant's limit, and if not, after what time
//! it may be sent again.
//!
//! One customer with a runaway client must not use up the capacity that all others share. An operator sets a rate and a
//! burst for a tenant, over the whole fleet; each balancer applies its [`LimitShare`] of them, so that no request has to
//! ask another machine.
//!
//! The decision is the generic cell rate algorithm (ATM Forum, Traffic Management 4.0, section 4.4.5, virtual
//! scheduling): one time for each tenant, the theoretical arrival time of its next request if it kept to its rate
//! exactly. Why this algorithm, and how balancers share a limit: `docs/design/tenant-limits.md`.
//!
//! Invariants:
//!
//! - times come in as values: no I/O, no clock;
//! - nothing is kept of a tenant without a limit, so memory is bounded by the limits that are set, whatever names
//!   requests carry;
//! - a rejected request is not counted, so a client that retries all the time is not kept out by that;
//! - if the shares of a fleet add up to one at most, no more requests pass than the limit and one burst.
//!
//! ```
//! use sableloom_tenant_limits::{Limit, LimitDecision, LimitShare, TenantLimits};
//! use sableloom_types::{Span, Time};
//!
//! let mut limits = TenantLimits::default();
//! let limit = Limit::new(10.0, 1).expect("above zero");
//! limits.set(Time(0), "points", &"customer-17".into(), limit);
//! let check = |limits: &mut TenantLimits| limits.check(Time(0), "points", "customer-17", LimitShare::ALL);
//! assert_eq!(check(&mut limits), LimitDecision::Within);
//! assert_eq!(check(&mut limits), LimitDecision::Over(Span(100_000)));
//! ```

mod limit;
mod meter;
mod tenant_limits;

pub use limit::{Limit, LimitError, LimitShare};
pub use tenant_limits::{LimitDecision, TenantLimits, TenantRejections};
