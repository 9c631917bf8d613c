//! Puts transactions of control machines in force: checked first, then whole.
//!
//! All of a transaction is planned before any of it is carried out, and planning changes nothing that is in
//! force. Carrying out has no step that can fail, and no request is served in between. The work goes with the
//! transaction's changes, not with what is in force.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use sableloom_distribution::{Rejection, ServiceName, Transaction};
use sableloom_routes::IndexedRoute;
use sableloom_server_list::RosterChange;
use sableloom_site_config::{ClassDefaults, Pool, PoolSettings, Site};
use sableloom_subscription::Applier;
use sableloom_tenant_limits::Limit;
use sableloom_types::settings::span;

use super::feed::ServerFeed;
use super::plan::Planning;
use super::pools::{PoolContext, RunningPool};
use super::routing::Router;
use super::subscribed::SubscribedPool;

/// Puts transactions in force at a router.
pub(super) struct ControlApplier {
    pub(super) router: Rc<Router>,
    pub(super) context: Rc<PoolContext>,
    /// It has been said that limits of tenants are held and not applied.
    pub(super) tenants_told: Cell<bool>,
}

/// What is to be done about a service's pool.
pub(super) enum PoolPlan {
    /// As it is, or there is none.
    Keep,
    /// Other settings that the running pool can take over.
    Adjust(PoolSettings),
    /// A new one, in place of the old one if there is one.
    Start(Box<StartedPool>),
    /// It ends.
    Remove,
}

/// A pool that has been started and gets no requests yet.
pub(super) struct StartedPool {
    pub(super) settings: PoolSettings,
    pub(super) running: RunningPool,
    pub(super) feed: Rc<ServerFeed>,
}

/// A service's update, checked.
pub(super) struct ServicePlan {
    pub(super) service: ServiceName,
    pub(super) version: u64,
    pub(super) digest: u64,
    pub(super) pool: PoolPlan,
    pub(super) servers: Vec<RosterChange>,
    pub(super) routes: Vec<IndexedRoute<Option<u16>>>,
    pub(super) routes_removed: Vec<Box<str>>,
    pub(super) tenants: Vec<(Arc<str>, Limit)>,
    pub(super) tenants_removed: Vec<Arc<str>>,
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
    /// Checks a transaction; nothing is in force yet.
    fn plan(&self, transaction: &Transaction) -> Result<Vec<ServicePlan>, Vec<Rejection>> {
        let (mut plans, mut rejections) = (Vec::new(), Vec::new());
        let routing = self.router.routing.borrow().clone();
        for update in &transaction.services {
            // It may have left the scope while the transaction was under way.
            if !self.router.subscribed.borrow().scope.contains(&update.service) {
                continue;
            }
            match Planning::new(self, &routing.site, update).plan() {
                Ok(plan) => plans.push(plan),
                Err(wrong) => rejections.extend(wrong),
            }
        }
        if rejections.is_empty() {
            return Ok(plans);
        }
        plans.into_iter().for_each(ServicePlan::discard);
        Err(rejections)
    }

    fn put_in_force(&self, plans: Vec<ServicePlan>) {
        let lines: Vec<String> = plans.into_iter().map(|plan| self.carry_out(plan)).collect();
        if !lines.is_empty() {
            self.log(&format!("in force: {}", lines.join("; ")));
        }
        self.say_if_not_applied();
    }

    /// Says once that limits of tenants have come to a site that does not say how tenants are named.
    fn say_if_not_applied(&self) {
        let limits = self.router.subscribed.borrow().tenants.len();
        let applied = self.router.routing.borrow().site.tenants.is_some();
        if limits > 0 && !applied && !self.tenants_told.replace(true) {
            self.log(&format!(
                "{limits} limits of tenants are held and not applied: the site has no [tenants]"
            ));
        }
    }

    /// Puts a plan in force; says what it did.
    fn carry_out(&self, plan: ServicePlan) -> String {
        let line = plan.describe();
        let ServicePlan {
            service,
            version,
            digest,
            pool,
            servers,
            routes,
            routes_removed,
            tenants,
            tenants_removed,
        } = plan;
        // Servers first: one that leaves gets nothing from here on, also where its whole service goes.
        let feed = match &pool {
            PoolPlan::Start(started) => Some(started.feed.clone()),
            _ => self.router.subscribed.borrow().pools.get(&service).map(|pool| pool.feed.clone()),
        };
        if let Some(feed) = &feed
            && !(servers.is_empty() && matches!(pool, PoolPlan::Keep))
        {
            feed.apply(servers);
        }
        let subscribed = &mut *self.router.subscribed.borrow_mut();
        let ended = match pool {
            PoolPlan::Keep => None,
            PoolPlan::Adjust(settings) => {
                let drain = drain_of(&self.router.routing.borrow().site, &settings);
                feed.iter().for_each(|feed| feed.set_drain(drain));
                subscribed.update(&service, |pool| pool.settings = settings);
                None
            }
            PoolPlan::Start(started) => {
                let StartedPool { settings, running, feed } = *started;
                self.router.share_with(&running);
                let running = Rc::new(running);
                let pool = SubscribedPool { running, settings, feed, version, digest };
                subscribed.insert(service.clone(), pool)
            }
            PoolPlan::Remove => subscribed.remove(&service),
        };
        self.router.ending.borrow_mut().extend(ended.map(|pool| pool.running));
        for name in &routes_removed {
            subscribed.routes.remove(service.as_str(), name);
        }
        routes.into_iter().for_each(|route| subscribed.routes.set(route));
        for name in &tenants_removed {
            subscribed.tenants.remove(service.as_str(), name);
        }
        let now = self.context.clock.now();
        for (name, limit) in tenants {
            subscribed.tenants.set(now, service.as_str(), &name, limit);
        }
        subscribed.update(&service, |pool| (pool.version, pool.digest) = (version, digest));
        line
    }

    /// Takes services out of force that this balancer serves no longer. Requests under way end as they began.
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
            self.router.ending.borrow_mut().extend(pool.map(|pool| pool.running));
        }
    }
}

/// How long servers of a pool with these settings drain.
pub(super) fn drain_of(site: &Site, settings: &PoolSettings) -> sableloom_types::Span {
    let defaults = ClassDefaults::of(&site.classes);
    span(Pool::new("", settings.clone(), &defaults).drain_ms)
}

impl ServicePlan {
    /// Lets go of what was started for it.
    fn discard(self) {
        if let PoolPlan::Start(started) = self.pool {
            started.running.exchange.close();
        }
    }

    fn describe(&self) -> String {
        let removed = self.servers.iter().filter(|c| matches!(c, RosterChange::Remove(_))).count();
        let pool = match &self.pool {
            PoolPlan::Keep => None,
            PoolPlan::Adjust(_) => Some("pool adjusted".to_string()),
            PoolPlan::Start(_) => Some("pool started".to_string()),
            PoolPlan::Remove => Some("pool removed".to_string()),
        };
        let counts = [
            (self.servers.len() - removed, "servers set"),
            (removed, "servers removed"),
            (self.routes.len(), "routes set"),
            (self.routes_removed.len(), "routes removed"),
            (self.tenants.len(), "tenants set"),
            (self.tenants_removed.len(), "tenants removed"),
        ];
        let counts = counts.into_iter().filter(|(n, _)| *n > 0);
        let parts: Vec<String> =
            pool.into_iter().chain(counts.map(|(n, what)| format!("{n} {what}"))).collect();
        let what = if parts.is_empty() { "nothing".to_string() } else { parts.join(", ") };
        format!("{} {}: {what}", self.service, self.version)
    }
}
