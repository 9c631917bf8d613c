//! Services that control machines have set: their pools, routes and limits of tenants.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use sableloom_distribution::ServiceName;
use sableloom_routes::{RequestHead, RouteIndex};
use sableloom_site_config::PoolSettings;
use sableloom_tenant_limits::TenantLimits;
use sableloom_types::settings::stable_hash;
use serde_json::{Value, json};

use super::endpoint_feed::EndpointFeed;
use super::pools::RunningPool;

/// The pool of a service.
pub(super) struct SubscribedPool {
    pub(super) running: Rc<RunningPool>,
    pub(super) settings: PoolSettings,
    pub(super) feed: Rc<EndpointFeed>,
    /// The number of the last change that touched the service.
    pub(super) version: u64,
    /// Of the service's resources; equal at every balancer that has them.
    pub(super) digest: u64,
}

/// The target of a route.
pub(super) enum SubscribedTarget {
    /// A pool.
    Pool(Rc<RunningPool>),
    /// The request is rejected with this HTTP status.
    Reject(u16),
}

/// The services in scope, as far as they are in force.
#[derive(Default)]
pub(super) struct SubscribedServices {
    pub(super) scope: BTreeSet<ServiceName>,
    pub(super) pools: HashMap<ServiceName, SubscribedPool>,
    /// Routes with the HTTP status that they reject with; without one they lead to their service's pool.
    pub(super) routes: RouteIndex<Option<u16>>,
    /// Limits of tenants, and what is used of them.
    pub(super) tenants: TenantLimits,
    /// Of all services, updated as they change.
    digest: u32,
    pub(super) counters: ApplyCounters,
}

/// Transactions since the start. Requests wait while one is checked and put in force, so the time that it takes is
/// measured.
#[derive(Clone, Copy, Default)]
pub(super) struct ApplyCounters {
    applied: u64,
    rejected: u64,
    total: Duration,
    longest: Duration,
}

impl ApplyCounters {
    pub(super) fn count(&mut self, in_force: bool, took: Duration) {
        match in_force {
            true => self.applied += 1,
            false => self.rejected += 1,
        }
        self.total += took;
        self.longest = self.longest.max(took);
    }
}

impl SubscribedServices {
    /// The target of the first route in order that matches.
    pub(super) fn target(&self, head: &RequestHead<'_>) -> Option<SubscribedTarget> {
        let route = self.routes.find(head)?;
        match route.target {
            Some(status) => Some(SubscribedTarget::Reject(status)),
            None => {
                let pool = self.pools.get(&*route.order.service)?;
                Some(SubscribedTarget::Pool(pool.running.clone()))
            }
        }
    }

    /// The pools in force.
    pub(super) fn running_pools(&self) -> impl Iterator<Item = &Rc<RunningPool>> {
        self.pools.values().map(|pool| &pool.running)
    }

    /// A digest of all services in force, equal at two balancers that have the same ones.
    pub(super) fn digest(&self) -> u32 {
        self.digest
    }

    /// Adds a pool. Returns the one that it replaces.
    pub(super) fn insert(
        &mut self,
        service: ServiceName,
        pool: SubscribedPool,
    ) -> Option<SubscribedPool> {
        self.digest ^= digest_of(&service, &pool);
        let before = self.pools.insert(service.clone(), pool);
        if let Some(before) = &before {
            self.digest ^= digest_of(&service, before);
        }
        before
    }

    /// Changes a pool, if there is one.
    pub(super) fn update(
        &mut self,
        service: &ServiceName,
        change: impl FnOnce(&mut SubscribedPool),
    ) {
        let Some(pool) = self.pools.get_mut(service) else { return };
        self.digest ^= digest_of(service, pool);
        change(pool);
        self.digest ^= digest_of(service, pool);
    }

    /// Removes a service with its routes and its tenants' limits.
    pub(super) fn remove(&mut self, service: &ServiceName) -> Option<SubscribedPool> {
        let pool = self.pools.remove(service)?;
        self.digest ^= digest_of(service, &pool);
        self.routes.remove_service(service.as_str());
        self.tenants.remove_service(service.as_str());
        Some(pool)
    }

    /// The status as JSON.
    pub(super) fn status(&self) -> Value {
        let counters = &self.counters;
        let servers: usize = self.pools.values().map(|pool| pool.feed.len()).sum();
        json!({"services": self.scope.len(), "pools": self.pools.len(), "servers": servers,
               "routes": self.routes.len(), "transactions": counters.applied,
               "rejected": counters.rejected, "apply_us": counters.total.as_micros() as u64,
               "longest_apply_us": counters.longest.as_micros() as u64})
    }
}

fn digest_of(service: &ServiceName, pool: &SubscribedPool) -> u32 {
    stable_hash(&format!("{service} {}", pool.digest)) as u32
}
