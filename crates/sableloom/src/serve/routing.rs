//! The configuration in force, and the pool that a request is forwarded to.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use sableloom_capacity_share::Share;
use sableloom_distribution::ServiceName;
use sableloom_exchange::{
    Clock, LocalFuture, Message, Reply, RequestContext, RequestRejection, Service, ShareExpiry,
};
use sableloom_fleet::{FleetObserver, RunningMember};
use sableloom_routes::{RequestHead, RouteTable};
use sableloom_site_config::{Site, Target};
use sableloom_tenant_limits::LimitShare;
use sableloom_types::Time;
use sableloom_types::settings::stable_hash;
use serde_json::{Value, json};

use super::endpoint_feed::EndpointFeed;
use super::pools::{RunningPool, ServerSource};
use super::subscribed::{SubscribedServices, SubscribedTarget};
use super::tenants;

/// The number of balancers that a pool is given while this balancer has no share of the capacity: more than any fleet
/// has. The policy keeps a limit of one request for each server however small its share is.
const BALANCERS_WITHOUT_SHARE: u32 = 10_000;

/// The HTTP status for a request that no route matches.
const NOT_FOUND: u16 = 404;

/// The configuration in force.
pub(super) struct Routing {
    /// 1 for the first configuration, and one more for each later one.
    pub(super) number: u64,
    pub(super) site: Site,
    pub(super) table: RouteTable,
    /// In the order of the site's pools.
    pub(super) pools: Vec<Rc<RunningPool>>,
}

/// Forwards each request to the pool of its route. Requests that are open when the routing changes end at the pool at
/// which they began.
pub(super) struct Router {
    pub(super) routing: RefCell<Rc<Routing>>,
    /// The services that control machines have set; empty without a `[control]` section.
    pub(super) subscribed: RefCell<SubscribedServices>,
    /// Pools that are no longer in force and may have open requests.
    pub(super) ending_pools: RefCell<Vec<Rc<RunningPool>>>,
    /// This balancer's share of the fleet's capacity, once it is known.
    capacity_share: Cell<Option<Share>>,
    pub(super) clock: Clock,
}

impl Service for Router {
    fn call(
        self: Rc<Self>,
        context: RequestContext,
        message: Message,
    ) -> Result<LocalFuture<Reply>, RequestRejection> {
        let routing = self.routing.borrow().clone();
        if routing.site.control.is_some() {
            return self.call_subscribed(&routing.site, context, message);
        }
        let found = with_head(&context, &message, |head| routing.table.find(head));
        let target = found.map_or(routing.site.fallback, |route| routing.site.routes[route].target);
        match target {
            Target::Pool(pool) => routing.pools[pool].call(context, message),
            Target::Reject(status) => Err(RequestRejection::NoRoute(status)),
        }
    }
}

/// Reads a request as routes see it.
fn with_head<T>(
    context: &RequestContext,
    message: &Message,
    read: impl FnOnce(&RequestHead<'_>) -> T,
) -> T {
    let host = message.fields.get("host").unwrap_or_default();
    let end = message.target.iter().position(|b| *b == b'?');
    let has = |name: &str, value: Option<&str>| {
        let is = |v: &[u8]| value.is_none_or(|value| value.as_bytes() == v);
        message.fields.iter().any(|(n, v)| n == name.as_bytes() && is(&v))
    };
    read(&RequestHead {
        host: &host,
        path: &message.target[..end.unwrap_or(message.target.len())],
        method: &message.method,
        class: context.class,
        has_header: &has,
    })
}

impl Router {
    /// A router with the first configuration.
    pub(super) fn new(routing: Routing, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            routing: RefCell::new(Rc::new(routing)),
            subscribed: RefCell::default(),
            ending_pools: RefCell::default(),
            capacity_share: Cell::new(None),
            clock,
        })
    }

    /// Forwards a request by the routes and limits that control machines have set.
    fn call_subscribed(
        &self,
        site: &Site,
        context: RequestContext,
        message: Message,
    ) -> Result<LocalFuture<Reply>, RequestRejection> {
        let found = with_head(&context, &message, |head| self.subscribed.borrow().target(head));
        match (found, site.fallback) {
            (Some(SubscribedTarget::Pool(pool)), _) => {
                self.check_tenant_limit(site, &pool.name, &message)?;
                pool.call(context, message)
            }
            (Some(SubscribedTarget::Reject(status)), _) | (None, Target::Reject(status)) => {
                Err(RequestRejection::NoRoute(status))
            }
            // A site with control has no pools.
            (None, Target::Pool(_)) => Err(RequestRejection::NoRoute(NOT_FOUND)),
        }
    }

    fn check_tenant_limit(
        &self,
        site: &Site,
        service: &str,
        message: &Message,
    ) -> Result<(), RequestRejection> {
        let Some(tenants) = &site.tenants else { return Ok(()) };
        let limits = &mut self.subscribed.borrow_mut().tenants;
        if limits.is_empty() {
            return Ok(());
        }
        let now = self.clock.now();
        let share = self.tenant_share(site, now);
        tenants::check_limit(limits, &tenants.header, service, message, now, share)
    }

    fn tenant_share(&self, site: &Site, now: Time) -> LimitShare {
        tenants::share_of(site, self.capacity_share.get(), now)
    }

    /// The servers of a service that is in force or has open requests.
    pub(super) fn feed_of(&self, service: &ServiceName) -> Option<Rc<EndpointFeed>> {
        if let Some(pool) = self.subscribed.borrow().pools.get(service) {
            return Some(pool.feed.clone());
        }
        let ending = self.ending_pools.borrow();
        let mut feeds = ending.iter().filter(|pool| pool.name == service.as_str());
        feeds.find_map(|pool| match &pool.source {
            ServerSource::Feed(feed) => Some(feed.clone()),
            ServerSource::Files(_) => None,
        })
    }

    /// All pools that run, also those that are no longer in force.
    pub(super) fn pools(&self) -> Vec<Rc<RunningPool>> {
        let mut pools = self.routing.borrow().pools.clone();
        pools.extend(self.subscribed.borrow().running_pools().cloned());
        pools.extend(self.ending_pools.borrow().iter().cloned());
        pools
    }

    /// Sets this balancer's share of the fleet's capacity, for all pools.
    pub(super) fn set_capacity_share(&self, share: Share) {
        self.capacity_share.set(Some(share));
        self.pools().iter().for_each(|pool| self.apply_capacity_share(pool));
    }

    /// Gives a pool the capacity share that all others have.
    pub(super) fn apply_capacity_share(&self, pool: &RunningPool) {
        let Some(share) = self.capacity_share.get() else { return };
        let sharing = |balancers: u32| match balancers {
            0 => BALANCERS_WITHOUT_SHARE,
            _ => balancers,
        };
        let expires = share
            .until
            .map(|at| ShareExpiry { at, balancers_after: sharing(share.balancers_after) });
        pool.exchange.set_balancers(sharing(share.balancers), expires);
    }

    /// How many requests are open.
    pub(super) fn open_requests(&self) -> usize {
        self.pools().iter().map(|pool| pool.exchange.open_requests()).sum()
    }

    /// The status as JSON. Its keys are an interface: programs of operators read them.
    pub(super) fn status(&self, fleet: Option<&RunningMember>, control: Option<Value>) -> Value {
        let routing = self.routing.borrow().clone();
        let pool = |pool: &Rc<RunningPool>| {
            let list = pool.files()?.version();
            Some(
                json!({"name": pool.name, "open": pool.exchange.open_requests(), "list": list.revision,
                   "version": list.hash, "servers": list.servers}),
            )
        };
        let mut status = json!({
            "configuration": routing.number, "hash": routing.site.hash, "open": self.open_requests(),
            "pools": routing.pools.iter().filter_map(pool).collect::<Vec<_>>(),
            "fleet": fleet.map(RunningMember::status),
        });
        if let Some(control) = control {
            status["control"] = control;
            status["subscribed"] = self.subscribed.borrow().status();
            status["subscribed"]["tenants"] = tenants::status(
                &self.subscribed.borrow().tenants,
                &routing.site,
                self.tenant_share(&routing.site, self.clock.now()),
            );
        }
        status
    }

    /// A digest of the servers in force, equal at two balancers whose pools have the same lists.
    pub(super) fn servers_digest(&self) -> u32 {
        let routing = self.routing.borrow();
        let lists = routing.pools.iter().filter_map(|pool| {
            let list = pool.files()?.version();
            Some(stable_hash(&format!("{} {}", pool.name, list.hash)) as u32)
        });
        // 0 means that nothing is known.
        lists.fold(self.subscribed.borrow().digest(), |all, one| all ^ one).max(1)
    }

    /// Closes idle connections, and pools that are no longer in force and have no open request.
    pub(super) fn sweep(&self) {
        self.pools().iter().for_each(|pool| pool.transport.sweep());
        self.ending_pools.borrow_mut().retain(|pool| {
            let open = pool.exchange.open_requests() > 0;
            if !open {
                pool.exchange.close();
                eprintln!("sableloom: pool {}: ended", pool.name);
            }
            open
        });
    }
}

/// Passes the fleet's capacity shares on to the pools, and its log lines to the log.
pub(super) struct PoolUpdates(pub(super) Rc<Router>);

impl FleetObserver for PoolUpdates {
    fn share_changed(&self, share: Share) {
        self.0.set_capacity_share(share);
    }

    fn log(&self, line: &str) {
        eprintln!("sableloom: fleet: {line}");
    }
}
