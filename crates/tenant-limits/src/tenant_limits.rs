//! The limits of a balancer's services, by service and tenant.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sableloom_types::{Span, Time};

use crate::limit::{Limit, LimitShare};
use crate::meter::Meter;

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// Its tenant has no limit here.
    Unlimited,
    /// It is within its tenant's limit, and is counted.
    Within,
    /// It is over the limit, and is not counted. A request after this time would be within, if none came before it.
    Over(Span),
}

/// How many requests of one tenant were rejected since its limit was set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantRejections {
    /// The service.
    pub service: Arc<str>,
    /// The tenant.
    pub tenant: Arc<str>,
    /// How many.
    pub count: u64,
}

/// A tenant with a limit.
#[derive(Debug)]
struct Tenant {
    meter: Meter,
    rejected: u64,
}

/// The limits of a balancer's services, and what is used of them.
#[derive(Debug, Default)]
pub struct TenantLimits {
    services: FxHashMap<Arc<str>, FxHashMap<Arc<str>, Tenant>>,
    len: usize,
    rejected: u64,
}

impl TenantLimits {
    /// Sets a tenant's limit. A tenant that had a limit keeps what it has used, in requests, up to the new burst.
    pub fn set(&mut self, now: Time, service: &str, tenant: &Arc<str>, limit: Limit) {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), FxHashMap::default());
        }
        let Some(tenants) = self.services.get_mut(service) else { return };
        if let Some(tenant) = tenants.get_mut(tenant) {
            return tenant.meter.set(now, limit);
        }
        tenants.insert(tenant.clone(), Tenant { meter: Meter::new(limit), rejected: 0 });
        self.len += 1;
    }

    /// Removes a tenant's limit, and what is known of the tenant.
    pub fn remove(&mut self, service: &str, tenant: &str) {
        let Some(tenants) = self.services.get_mut(service) else { return };
        self.len -= usize::from(tenants.remove(tenant).is_some());
        if tenants.is_empty() {
            self.services.remove(service);
        }
    }

    /// Removes all limits of a service.
    pub fn remove_service(&mut self, service: &str) {
        self.len -= self.services.remove(service).map_or(0, |tenants| tenants.len());
    }

    /// The tenants of a service that have a limit.
    pub fn limited_tenants(&self, service: &str) -> impl Iterator<Item = &Arc<str>> {
        self.services.get(service).into_iter().flat_map(FxHashMap::keys)
    }

    /// Checks a request of a tenant against this balancer's share of its limit.
    pub fn check(
        &mut self,
        now: Time,
        service: &str,
        tenant: &str,
        share: LimitShare,
    ) -> LimitDecision {
        let limited = self.services.get_mut(service).and_then(|tenants| tenants.get_mut(tenant));
        let Some(tenant) = limited else { return LimitDecision::Unlimited };
        match tenant.meter.check(now, share) {
            Ok(()) => LimitDecision::Within,
            Err(after) => {
                tenant.rejected += 1;
                self.rejected += 1;
                LimitDecision::Over(after)
            }
        }
    }

    /// How many limits there are.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Requests rejected since the start, also those of tenants whose limit was removed.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// The tenants with the most rejections, at most `max` of them, the most rejected first. The work grows with the number
    /// of limits.
    pub fn most_rejected(&self, max: usize) -> Vec<TenantRejections> {
        let tenants = self.services.iter().flat_map(|(service, tenants)| {
            tenants.iter().map(move |(name, tenant)| (tenant.rejected, service, name))
        });
        let mut rejected: Vec<_> = tenants.filter(|(count, ..)| *count > 0).collect();
        rejected.sort_unstable_by(|(a, a_service, a_name), (b, b_service, b_name)| {
            b.cmp(a).then_with(|| (a_service, a_name).cmp(&(b_service, b_name)))
        });
        let named = rejected.into_iter().take(max).map(|(count, service, tenant)| {
            TenantRejections { service: service.clone(), tenant: tenant.clone(), count }
        });
        named.collect()
    }
}
