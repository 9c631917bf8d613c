//! What it takes to put one service's update in force.

use std::rc::Rc;
use std::sync::Arc;

use sableloom_distribution::ServiceName;
use sableloom_routes::IndexedRoute;
use sableloom_server_list::ServerChange;
use sableloom_site_config::{ClassDefaults, Pool, PoolSettings, Site};
use sableloom_tenant_limits::Limit;
use sableloom_types::Span;
use sableloom_types::settings::span_from_ms;

use super::endpoint_feed::EndpointFeed;
use super::pools::RunningPool;

/// What happens to a service's pool.
pub(super) enum PoolPlan {
    /// It stays as it is, or there is none.
    Keep,
    /// The running pool gets other settings.
    Adjust(PoolSettings),
    /// A new pool starts, and replaces the running one if there is one.
    Start(Box<StartedPool>),
    /// The pool ends.
    Remove,
}

/// A pool that has been started and gets no requests yet.
pub(super) struct StartedPool {
    pub(super) settings: PoolSettings,
    pub(super) running: RunningPool,
    pub(super) feed: Rc<EndpointFeed>,
}

/// A tenant's limit that is to be set.
pub(super) struct TenantSetting {
    pub(super) tenant: Arc<str>,
    pub(super) limit: Limit,
}

/// A service's update that has been checked.
pub(super) struct ServicePlan {
    pub(super) service: ServiceName,
    pub(super) version: u64,
    pub(super) digest: u64,
    pub(super) pool: PoolPlan,
    pub(super) servers: Vec<ServerChange>,
    pub(super) routes: Vec<IndexedRoute<Option<u16>>>,
    pub(super) routes_removed: Vec<Box<str>>,
    pub(super) tenants: Vec<TenantSetting>,
    pub(super) tenants_removed: Vec<Arc<str>>,
}

impl ServicePlan {
    /// Closes the pool that was started for a plan that is not carried out.
    pub(super) fn discard(self) {
        if let PoolPlan::Start(started) = self.pool {
            started.running.exchange.close();
        }
    }

    /// What the plan does, for the log.
    pub(super) fn describe(&self) -> String {
        let removed = self.servers.iter().filter(|c| matches!(c, ServerChange::Remove(_))).count();
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

/// How long servers of a pool with these settings drain.
pub(super) fn drain_of(site: &Site, settings: &PoolSettings) -> Span {
    let defaults = ClassDefaults::of(&site.classes);
    span_from_ms(Pool::new("", settings.clone(), &defaults).drain_ms)
}
