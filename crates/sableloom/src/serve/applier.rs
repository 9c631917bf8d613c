//! Puts transactions of control machines in force: all of a transaction or nothing of it.
//!
//! All of a transaction is planned before any of it is applied, and planning changes nothing that is in force. Applying
//! has no step that can fail, and no request is served in between. The work grows with the transaction's changes, not
//! with what is in force.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use sableloom_distribution::{Rejection, ServiceName, ServiceVersion, Transaction};
use sableloom_subscription::Applier;

use super::endpoint_feed::EndpointFeed;
use super::planner::UpdatePlanner;
use super::pools::{PoolContext, RunningPool};
use super::routing::Router;
use super::service_plan::{PoolPlan, ServicePlan, StartedPool, TenantSetting, drain_of};
use super::subscribed::{SubscribedPool, SubscribedServices};

/// Puts transactions in force at a router.
pub(super) struct ControlApplier {
    pub(super) router: Rc<Router>,
    pub(super) context: Rc<PoolContext>,
    /// The log says that there are limits of tenants which are not applied.
    pub(super) unapplied_limits_logged: Cell<bool>,
}

impl Applier for ControlApplier {
    fn apply(&self, transaction: &Transaction) -> Result<(), Vec<Rejection>> {
        let start = Instant::now();
        let result = self.plan(transaction).map(|plans| self.put_in_force(plans));
        let counters = &mut self.router.subscribed.borrow_mut().counters;
        counters.count(result.is_ok(), start.elapsed());
        result
    }

    fn log(&self, line: &str) {
        eprintln!("sableloom: control: {line}");
    }
}

impl ControlApplier {
    /// Plans a transaction, or rejects all of it. Nothing is in force yet.
    fn plan(&self, transaction: &Transaction) -> Result<Vec<ServicePlan>, Vec<Rejection>> {
        let (mut plans, mut rejections) = (Vec::new(), Vec::new());
        let routing = self.router.routing.borrow().clone();
        for update in &transaction.services {
            // The service may have left the scope while the transaction was on its way.
            if !self.router.subscribed.borrow().scope.contains(&update.service) {
                continue;
            }
            match UpdatePlanner::new(&self.router, &self.context, &routing.site, update).plan() {
                Ok(plan) => plans.push(plan),
                Err(rejected) => rejections.extend(rejected),
            }
        }
        if rejections.is_empty() {
            return Ok(plans);
        }
        plans.into_iter().for_each(ServicePlan::discard);
        Err(rejections)
    }

    fn put_in_force(&self, plans: Vec<ServicePlan>) {
        let lines: Vec<String> = plans.into_iter().map(|plan| self.apply_plan(plan)).collect();
        if !lines.is_empty() {
            self.log(&format!("in force: {}", lines.join("; ")));
        }
        self.log_unapplied_limits();
    }

    /// Logs once that there are limits of tenants, and that the site does not say how requests name tenants.
    fn log_unapplied_limits(&self) {
        let limits = self.router.subscribed.borrow().tenants.len();
        let applied = self.router.routing.borrow().site.tenants.is_some();
        if limits > 0 && !applied && !self.unapplied_limits_logged.replace(true) {
            self.log(&format!(
                "{limits} limits of tenants are held and not applied: the site has no [tenants]"
            ));
        }
    }

    /// Puts a plan in force, and returns what it did.
    fn apply_plan(&self, plan: ServicePlan) -> String {
        let line = plan.describe();
        let ServicePlan { service, version, digest, pool, .. } = &plan;
        let in_force =
            ServiceVersion { service: service.clone(), version: *version, digest: *digest };
        let service = &in_force.service;
        // Servers first: one that leaves gets no new request from here on, also if its service is removed.
        let feed = match pool {
            PoolPlan::Start(started) => Some(started.feed.clone()),
            _ => self.router.subscribed.borrow().pools.get(service).map(|pool| pool.feed.clone()),
        };
        if let Some(feed) = &feed
            && !(plan.servers.is_empty() && matches!(pool, PoolPlan::Keep))
        {
            feed.apply(plan.servers);
        }
        let subscribed = &mut *self.router.subscribed.borrow_mut();
        let replaced = self.apply_pool(subscribed, &in_force, plan.pool, feed.as_deref());
        self.router.ending_pools.borrow_mut().extend(replaced);
        for name in &plan.routes_removed {
            subscribed.routes.remove(service.as_str(), name);
        }
        plan.routes.into_iter().for_each(|route| subscribed.routes.set(route));
        for name in &plan.tenants_removed {
            subscribed.tenants.remove(service.as_str(), name);
        }
        let now = self.context.clock.now();
        for TenantSetting { tenant, limit } in plan.tenants {
            subscribed.tenants.set(now, service.as_str(), &tenant, limit);
        }
        subscribed.update(service, |pool| {
            pool.version = in_force.version;
            pool.digest = in_force.digest;
        });
        line
    }

    /// Starts, adjusts or removes a service's pool. Returns the pool that is no longer in force.
    fn apply_pool(
        &self,
        subscribed: &mut SubscribedServices,
        in_force: &ServiceVersion,
        plan: PoolPlan,
        feed: Option<&EndpointFeed>,
    ) -> Option<Rc<RunningPool>> {
        let ServiceVersion { service, version, digest } = in_force;
        let ended = match plan {
            PoolPlan::Keep => None,
            PoolPlan::Adjust(settings) => {
                let drain = drain_of(&self.router.routing.borrow().site, &settings);
                if let Some(feed) = feed {
                    feed.set_drain(drain);
                }
                subscribed.update(service, |pool| pool.settings = settings);
                None
            }
            PoolPlan::Start(started) => {
                let StartedPool { settings, running, feed } = *started;
                self.router.apply_capacity_share(&running);
                let running = Rc::new(running);
                let (version, digest) = (*version, *digest);
                let pool = SubscribedPool { running, settings, feed, version, digest };
                subscribed.insert(service.clone(), pool)
            }
            PoolPlan::Remove => subscribed.remove(service),
        };
        ended.map(|pool| pool.running)
    }

    /// Sets the services that this balancer serves, and takes all others out of force. Their open requests end as they
    /// began.
    pub(super) fn set_scope(&self, scope: &[ServiceName]) {
        let subscribed = &mut *self.router.subscribed.borrow_mut();
        subscribed.scope = scope.iter().cloned().collect();
        let left: Vec<ServiceName> = subscribed
            .pools
            .keys()
            .filter(|name| !subscribed.scope.contains(*name))
            .cloned()
            .collect();
        for service in left {
            let pool = subscribed.remove(&service);
            self.router.ending_pools.borrow_mut().extend(pool.map(|pool| pool.running));
        }
    }
}
