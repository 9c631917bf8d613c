//! The limits at a balancer, by service and tenant.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sableloom_types::{Span, Time};

use crate::limit::{Limit, LimitShare};
use crate::meter::Meter;

/// The decision on a request of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// The tenant has no limit for the service.
    Unlimited,
    /// The request is within the tenant's limit and is counted.
    Within,
    /// The request is over the limit and is not counted. A request after this time would be within the limit, if none
    /// arrives before it.
    Over(Span),
}

/// The rejections of one tenant since its limit was set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantRejections {
    /// The service.
    pub service: Arc<str>,
    /// The tenant.
    pub tenant: Arc<str>,
    /// The number of rejected requests.
    pub count: u64,
}

/// The limit and the rejections of one tenant.
#[derive(Debug)]
struct Tenant {
    meter: Meter,
    rejected: u64,
}

/// The limits at a balancer by service and tenant, and how much of them is used.
#[derive(Debug, Default)]
pub struct TenantLimits {
    services: FxHashMap<Arc<str>, FxHashMap<Arc<str>, Tenant>>,
    len: usize,
    rejected: u64,
}

impl TenantLimits {
    /// Sets a tenant's limit. A tenant that already has one keeps the number of requests it has used, up to the new
    /// burst.
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

    /// Removes a tenant's limit, with its use and its rejections. Does nothing if the tenant has none.
    pub fn remove(&mut self, service: &str, tenant: &str) {
        let Some(tenants) = self.services.get_mut(service) else { return };
        self.len -= usize::from(tenants.remove(tenant).is_some());
        if tenants.is_empty() {
            self.services.remove(service);
        }
    }

    /// Removes the limits of all tenants of a service.
    pub fn remove_service(&mut self, service: &str) {
        self.len -= self.services.remove(service).map_or(0, |tenants| tenants.len());
    }

    /// The tenants of a service that have a limit.
    pub fn limited_tenants(&self, service: &str) -> impl Iterator<Item = &Arc<str>> {
        self.services.get(service).into_iter().flat_map(FxHashMap::keys)
    }

    /// Decides on a request of a tenant by this balancer's share of the tenant's limit, and counts it if it is within.
    pub fn check(
        &mut self,
        now: Time,
        service: &str,
        tenant: &str,
        share: LimitShare,
    ) -> LimitDecision {
        let tenant = self.services.get_mut(service).and_then(|tenants| tenants.get_mut(tenant));
        let Some(tenant) = tenant else { return LimitDecision::Unlimited };
        match tenant.meter.check(now, share) {
            Ok(()) => LimitDecision::Within,
            Err(after) => {
                tenant.rejected += 1;
                self.rejected += 1;
                LimitDecision::Over(after)
            }
        }
    }

    /// The number of limits.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no limits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The number of requests rejected since the start, including those of tenants whose limit was removed.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// The tenants with the most rejections, in descending order and at most `max` of them. The cost grows with the
    /// number of limits.
    pub fn most_rejected(&self, max: usize) -> Vec<TenantRejections> {
        let tenants = self.services.iter().flat_map(|(service, tenants)| {
            tenants.iter().map(move |(name, tenant)| (tenant.rejected, service, name))
        });
        let mut rejected: Vec<_> = tenants.filter(|(count, ..)| *count > 0).collect();
        rejected.sort_unstable_by(|(a, a_service, a_name), (b, b_service, b_name)| {
            b.cmp(a).then_with(|| (a_service, a_name).cmp(&(b_service, b_name)))
        });
        let top = rejected.into_iter().take(max).map(|(count, service, tenant)| TenantRejections {
            service: service.clone(),
            tenant: tenant.clone(),
            count,
        });
        top.collect()
    }
}
