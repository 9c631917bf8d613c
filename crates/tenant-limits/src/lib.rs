//! Rate limits of tenants at one balancer: whether a request is within its tenant's limit, and if not, after what time
//! it may be sent again.
//!
//! One customer with a faulty client must not use up the capacity that all customers share. An operator sets a rate and
//! a burst for a tenant, over the whole fleet. Each balancer applies its [`LimitShare`] of them, so that no request has
//! to wait for another machine.
//!
//! The decision is the generic cell rate algorithm (ATM Forum, Traffic Management 4.0, section 4.4.5, virtual
//! scheduling). It keeps one time for each tenant, the theoretical arrival time: when the next request would arrive if
//! the tenant kept exactly to its rate. `docs/design/tenant-limits.md` explains the choice of this algorithm and how
//! balancers share a limit.
//!
//! Invariants:
//!
//! - times are passed in as values: the crate does no I/O and reads no clock;
//! - nothing is stored for a tenant without a limit, so the limits that are set bound the memory, whatever tenants the
//!   requests name;
//! - a rejected request is not counted, so a client that retries all the time does not prolong its rejection;
//! - if the shares of a fleet add up to one at most, the fleet admits no more than the rate and one burst.
//!
//! ```
//! use sableloom_tenant_limits::{Limit, LimitDecision, LimitShare, TenantLimits};
//! use sableloom_types::{Span, Time};
//!
//! let mut limits = TenantLimits::default();
//! let limit = Limit::new(10.0, 1).expect("valid limit");
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
