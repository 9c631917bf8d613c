//! Checks a service's update against this balancer's own site, and plans what it takes to put it in force.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use sableloom_distribution::{
    Change, Rejection, Resource, ResourceKind, ResourceName, ServiceUpdate,
};
use sableloom_resources::{Body, RouteRule, ServerEntry, ServerState, TenantLimit};
use sableloom_routes::{IndexedRoute, MAX_PATTERN_PAIRS_PER_ROUTE, RouteOrder, Rule};
use sableloom_server_list::{
    IncrementalList, MAX_CLOCK_DIFFERENCE_MS, MAX_SERVERS, MAX_WEIGHT, ServerChange,
    ServerDescription,
};
use sableloom_site_config::{ClassDefaults, Pool, PoolSettings, Site};
use sableloom_tenant_limits::Limit;
use sableloom_toml_diagnostics::suggestion;

use super::endpoint_feed::EndpointFeed;
use super::error::PoolError;
use super::pools::{PoolContext, ServerSource};
use super::routing::Router;
use super::service_plan::{PoolPlan, ServicePlan, StartedPool, TenantSetting, drain_of};

/// A value with the resource that it was read from, which a rejection names.
struct FromResource<'a, T> {
    value: T,
    resource: &'a Resource,
}

/// A service's update while it is checked.
pub(super) struct UpdatePlanner<'a> {
    router: &'a Router,
    context: &'a PoolContext,
    site: &'a Site,
    update: &'a ServiceUpdate,
    /// The servers in force, if there are any.
    feed: Option<Rc<EndpointFeed>>,
    settings: Option<FromResource<'a, PoolSettings>>,
    pool_removed: bool,
    servers: Vec<FromResource<'a, ServerDescription>>,
    servers_removed: HashSet<&'a str>,
    routes: Vec<IndexedRoute<Option<u16>>>,
    routes_removed: BTreeSet<Box<str>>,
    tenants: Vec<TenantSetting>,
    tenants_removed: BTreeSet<Arc<str>>,
    rejections: Vec<Rejection>,
}

impl<'a> UpdatePlanner<'a> {
    pub(super) fn new(
        router: &'a Router,
        context: &'a PoolContext,
        site: &'a Site,
        update: &'a ServiceUpdate,
    ) -> Self {
        Self {
            router,
            context,
            site,
            update,
            feed: router.feed_of(&update.service),
            settings: None,
            pool_removed: false,
            servers: Vec::new(),
            servers_removed: HashSet::new(),
            routes: Vec::new(),
            routes_removed: BTreeSet::new(),
            tenants: Vec::new(),
            tenants_removed: BTreeSet::new(),
            rejections: Vec::new(),
        }
    }

    /// The plan, or all problems of the update.
    pub(super) fn plan(mut self) -> Result<ServicePlan, Vec<Rejection>> {
        for change in &self.update.changes {
            match change {
                Change::Set(resource) => self.set(resource),
                Change::Remove { name, .. } => self.remove(name),
                // Only in change files: a control machine sends the removal of each resource.
                Change::RemoveService { .. } => {}
            }
        }
        let stale_servers = if self.update.snapshot { self.remove_stale() } else { Vec::new() };
        self.check_servers();
        self.check_pool();
        if !self.rejections.is_empty() {
            return Err(self.rejections);
        }
        let pool = self.pool_plan()?;
        let removed = self.servers_removed.iter().map(|id| ServerChange::Remove((*id).into()));
        let set = self.servers.into_iter().map(|server| ServerChange::Set(server.value));
        let ServiceUpdate { service, version, digest, .. } = self.update;
        Ok(ServicePlan {
            service: service.clone(),
            version: *version,
            digest: *digest,
            pool,
            servers: stale_servers.into_iter().chain(removed).chain(set).collect(),
            routes: self.routes,
            routes_removed: self.routes_removed.into_iter().collect(),
            tenants: self.tenants,
            tenants_removed: self.tenants_removed.into_iter().collect(),
        })
    }

    fn reject(&mut self, resource: &Resource, field: &str, problem: String) {
        self.rejections.push(rejection(resource, field, problem));
    }

    fn set(&mut self, resource: &'a Resource) {
        match Body::decode(resource.name.kind, resource.body.as_slice()) {
            Ok(Body::Pool(settings)) => {
                self.settings = Some(FromResource { value: settings, resource });
            }
            Ok(Body::Server(server)) => self.set_server(resource, &server),
            Ok(Body::Route(route)) => self.set_route(resource, &route),
            Ok(Body::Tenant(limit)) => self.set_tenant(resource, &limit),
            Err(error) => self.reject(resource, "", error.to_string()),
        }
    }

    fn remove(&mut self, name: &'a ResourceName) {
        match name.kind {
            ResourceKind::Pool => self.pool_removed = true,
            ResourceKind::Server => _ = self.servers_removed.insert(&name.key),
            ResourceKind::Route => _ = self.routes_removed.insert((*name.key).into()),
            ResourceKind::Tenant => _ = self.tenants_removed.insert(name.key.clone()),
        }
    }

    fn set_server(&mut self, resource: &'a Resource, server: &ServerEntry) {
        let zones = &self.site.locality.zones;
        let zone = server.zone.as_deref().unwrap_or_default();
        if !zone.is_empty() && !zones.is_empty() && !zones.iter().any(|known| known == zone) {
            let help = suggestion(zone, zones.iter().map(String::as_str));
            self.reject(resource, "zone", format!("no zone {zone:?}; {help}"));
        }
        if !(0.0..=MAX_WEIGHT).contains(&server.weight) {
            let problem = format!("{} is not from 0 to {MAX_WEIGHT}", server.weight);
            self.reject(resource, "weight", problem);
        }
        let started_ms = server.started_ms.map(|at| at as f64);
        let now_ms = self.context.clock.now().0 as f64 / 1e3;
        if started_ms.is_some_and(|at| at > now_ms + MAX_CLOCK_DIFFERENCE_MS) {
            let problem = "more than an hour ahead of this machine's clock".to_string();
            self.reject(resource, "started", problem);
        }
        let server = ServerDescription {
            id: (*resource.name.key).into(),
            address: server.address,
            zone: zone.into(),
            weight: server.weight,
            draining: server.state == ServerState::Draining,
            started_ms,
        };
        self.servers.push(FromResource { value: server, resource });
    }

    fn set_route(&mut self, resource: &'a Resource, route: &RouteRule) {
        let classes: Vec<&str> = self.site.classes.iter().map(|class| &*class.name).collect();
        let rule = match route.to_rule(&classes) {
            Ok(rule) => rule,
            Err(unknown) => {
                let help = suggestion(&unknown.0, classes.iter().copied());
                return self.reject(resource, "class", format!("{unknown}; {help}"));
            }
        };
        let pairs = pairs_of(&rule);
        if pairs > MAX_PATTERN_PAIRS_PER_ROUTE {
            let problem = format!(
                "{pairs} pairs of a host and a path; {MAX_PATTERN_PAIRS_PER_ROUTE} at most in one route"
            );
            return self.reject(resource, "host", problem);
        }
        let order = RouteOrder {
            rank: route.rank,
            service: self.update.service.as_str().into(),
            name: (*resource.name.key).into(),
        };
        self.routes.push(IndexedRoute { order, rule, target: route.refusal_status });
    }

    fn set_tenant(&mut self, resource: &'a Resource, limit: &TenantLimit) {
        if let Err(error) = limit.check() {
            return self.reject(resource, error.field, error.to_string());
        }
        match Limit::new(limit.requests_per_second, limit.burst) {
            Ok(limit) => {
                let tenant = resource.name.key.clone();
                self.tenants.push(TenantSetting { tenant, limit });
            }
            Err(error) => self.reject(resource, "", error.to_string()),
        }
    }

    /// Plans to remove what is in force and not in the snapshot. Returns the removals of servers.
    fn remove_stale(&mut self) -> Vec<ServerChange> {
        let set: HashSet<&str> = self.routes.iter().map(|route| &*route.order.name).collect();
        let router = self.router;
        let subscribed = router.subscribed.borrow();
        let names = subscribed.routes.route_names(self.update.service.as_str());
        let gone = names.filter(|name| !set.contains(name)).map(Box::from);
        self.routes_removed.extend(gone);
        let set: HashSet<&str> = self.tenants.iter().map(|set| &*set.tenant).collect();
        let names = subscribed.tenants.limited_tenants(self.update.service.as_str());
        self.tenants_removed.extend(names.filter(|name| !set.contains(&***name)).cloned());
        let set: HashSet<&str> = self.servers.iter().map(|set| &*set.value.id).collect();
        let Some(feed) = &self.feed else { return Vec::new() };
        feed.with_roster(|roster| {
            let gone = roster.ids().filter(|id| !set.contains(id));
            gone.map(|id| ServerChange::Remove(id.into())).collect()
        })
    }

    /// Rejects two servers with one address, and too many servers.
    fn check_servers(&mut self) {
        let feed = self.feed.clone();
        let known = feed.as_ref().map_or(0, |feed| feed.len());
        let mut at: HashMap<SocketAddr, &str> = HashMap::new();
        let set: HashSet<&str> = self.servers.iter().map(|set| &*set.value.id).collect();
        let mut rejections = Vec::new();
        for FromResource { value: server, resource } in &self.servers {
            let stays = |id: &str| {
                id != &*server.id
                    && !self.update.snapshot
                    && !set.contains(id)
                    && !self.servers_removed.contains(id)
            };
            let same = at.insert(server.address, &server.id);
            let other = same.map(str::to_string).or_else(|| {
                let id_at =
                    |roster: &IncrementalList| roster.id_at(server.address).map(str::to_string);
                feed.as_ref().and_then(|feed| feed.with_roster(id_at)).filter(|id| stays(id))
            });
            if let Some(other) = other {
                let problem = format!("{} is the address of {other:?} as well", server.address);
                rejections.push(rejection(resource, "address", problem));
            }
        }
        if let Some(last) = self.servers.last()
            && known + self.servers.len() > 2 * MAX_SERVERS
        {
            let problem = format!("more than {MAX_SERVERS} servers, and as many that drain");
            rejections.push(rejection(last.resource, "", problem));
        }
        self.rejections.extend(rejections);
    }

    /// Rejects servers, routes and tenants of a service without a pool.
    fn check_pool(&mut self) {
        let subscribed = self.router.subscribed.borrow();
        let stays = !self.pool_removed && !self.update.snapshot;
        let has_pool = self.settings.is_some()
            || (stays && subscribed.pools.contains_key(&self.update.service));
        let set = self.update.changes.iter().find_map(|change| match change {
            Change::Set(resource) => Some(resource),
            _ => None,
        });
        if let (false, Some(resource)) = (has_pool, set) {
            let problem = format!("service {} has no pool", self.update.service);
            self.reject(resource, "", problem);
        }
    }

    /// Decides what happens to the pool. A pool starts here, before anything is in force.
    fn pool_plan(&mut self) -> Result<PoolPlan, Vec<Rejection>> {
        let router = self.router;
        let subscribed = router.subscribed.borrow();
        let pool = subscribed.pools.get(&self.update.service);
        let Some(FromResource { value: settings, resource }) = self.settings.take() else {
            let gone = self.pool_removed || (self.update.snapshot && pool.is_some());
            return Ok(if gone { PoolPlan::Remove } else { PoolPlan::Keep });
        };
        if let Some(pool) = pool {
            if pool.settings == settings {
                return Ok(PoolPlan::Keep);
            }
            let drain_ms = settings.drain_ms;
            if (PoolSettings { drain_ms, ..pool.settings.clone() }) == settings {
                return Ok(PoolPlan::Adjust(settings));
            }
        }
        drop(subscribed);
        let started = self.start(settings).map_err(|error| {
            self.reject(resource, "", error.to_string());
            std::mem::take(&mut self.rejections)
        })?;
        Ok(PoolPlan::Start(Box::new(started)))
    }

    /// Starts a pool with these settings.
    fn start(&self, settings: PoolSettings) -> Result<StartedPool, PoolError> {
        let defaults = ClassDefaults::of(&self.site.classes);
        let pool = Pool::new(self.update.service.as_str(), settings.clone(), &defaults);
        let drain = drain_of(self.site, &settings);
        let feed = match &self.feed {
            Some(feed) => feed.clone(),
            None => EndpointFeed::new(self.context.clock, drain),
        };
        let source = ServerSource::Feed(feed.clone());
        let running = self.context.start(self.site, &pool, source)?;
        Ok(StartedPool { settings, running, feed })
    }
}

fn rejection(resource: &Resource, field: &str, problem: String) -> Rejection {
    Rejection {
        resource: resource.name.clone(),
        origin: resource.origin.clone(),
        field: field.into(),
        problem: problem.into(),
    }
}

/// How many pairs of a host and a path a rule matches.
fn pairs_of(rule: &Rule) -> usize {
    rule.hosts.len().max(1) * rule.paths.len().max(1)
}
