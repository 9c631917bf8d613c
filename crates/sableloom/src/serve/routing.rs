//! Which pool a request goes to, and the configuration in force.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use sableloom_capacity_share::Part;
use sableloom_distribution::ServiceName;
use sableloom_exchange::{
    Clock, LocalFuture, Message, Reply, RequestContext, RequestRejection, Service, ShareExpiry,
};
use sableloom_fleet::{Running as Fleet, Told};
use sableloom_routes::{RequestHead, RouteTable};
use sableloom_site_config::{Site, Target};
use sableloom_types::settings::stable_hash;
use serde_json::{Value, json};

use super::feed::ServerFeed;
use super::pools::{RunningPool, ServerSource};
use super::subscribed::{SubscribedServices, SubscribedTarget};

/// Balancers that one which has no part yet is told to share with.
const MULTITUDE: u32 = 10_000;

/// The status of HTTP for a request that no route takes.
const NOT_FOUND: u16 = 404;

/// The configuration in force.
pub(super) struct Routing {
    /// From 1, one more with each configuration that is taken over.
    pub(super) number: u64,
    pub(super) site: Site,
    pub(super) table: RouteTable,
    /// In the order of the site's pools.
    pub(super) pools: Vec<Rc<RunningPool>>,
}

/// Leads each request to the pool of its route. Those under way when the routing changes end as
/// they began.
pub(super) struct Router {
    pub(super) routing: RefCell<Rc<Routing>>,
    /// What control machines have set; nothing without a `[control]` section.
    pub(super) subscribed: RefCell<SubscribedServices>,
    /// Pools that are no longer in force and have requests open.
    pub(super) ending: RefCell<Vec<Rc<RunningPool>>>,
    /// The part of the servers that the pools have been told last.
    part: Cell<Option<Part>>,
    pub(super) clock: Clock,
}

impl Service for Router {
    fn call(
        self: Rc<Self>,
        asked: RequestContext,
        message: Message,
    ) -> Result<LocalFuture<Reply>, RequestRejection> {
        let routing = self.routing.borrow().clone();
        if routing.site.control.is_some() {
            let found = with_head(&asked, &message, |head| self.subscribed.borrow().target(head));
            return match (found, routing.site.fallback) {
                (Some(SubscribedTarget::Pool(pool)), _) => {
                    self.judge_tenant(&routing.site, &pool.name, &message)?;
                    pool.call(asked, message)
                }
                (Some(SubscribedTarget::Reject(status)), _) | (None, Target::Reject(status)) => {
                    Err(RequestRejection::NoRoute(status))
                }
                // A site with control has no pools.
                (None, Target::Pool(_)) => Err(RequestRejection::NoRoute(NOT_FOUND)),
            };
        }
        let found = with_head(&asked, &message, |head| routing.table.find(head));
        let target = found.map_or(routing.site.fallback, |route| routing.site.routes[route].target);
        match target {
            Target::Pool(pool) => routing.pools[pool].call(asked, message),
            Target::Reject(status) => Err(RequestRejection::NoRoute(status)),
        }
    }
}

/// Looks at a request as routes do.
fn with_head<T>(
    asked: &RequestContext,
    message: &Message,
    look: impl FnOnce(&RequestHead<'_>) -> T,
) -> T {
    let host = message.fields.get("host").unwrap_or_default();
    let end = message.target.iter().position(|b| *b == b'?');
    let has = |name: &str, value: Option<&str>| {
        let is = |v: &[u8]| value.is_none_or(|value| value.as_bytes() == v);
        message.fields.iter().any(|(n, v)| n == name.as_bytes() && is(&v))
    };
    look(&RequestHead {
        host: &host,
        path: &message.target[..end.unwrap_or(message.target.len())],
        method: &message.method,
        class: asked.class,
        header: &has,
    })
}

impl Router {
    /// A router with the first configuration.
    pub(super) fn new(routing: Routing, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            routing: RefCell::new(Rc::new(routing)),
            subscribed: RefCell::default(),
            ending: RefCell::default(),
            part: Cell::new(None),
            clock,
        })
    }

    /// The servers of a service, if it is in force or its last requests are under way.
    pub(super) fn feed_of(&self, service: &ServiceName) -> Option<Rc<ServerFeed>> {
        if let Some(pool) = self.subscribed.borrow().pools.get(service) {
            return Some(pool.feed.clone());
        }
        let ending = self.ending.borrow();
        let mut feeds = ending.iter().filter(|pool| pool.name == service.as_str());
        feeds.find_map(|pool| match &pool.source {
            ServerSource::Feed(feed) => Some(feed.clone()),
            ServerSource::Files(_) => None,
        })
    }

    pub(super) fn pools(&self) -> Vec<Rc<RunningPool>> {
        let mut pools = self.routing.borrow().pools.clone();
        pools.extend(self.subscribed.borrow().running().cloned());
        pools.extend(self.ending.borrow().iter().cloned());
        pools
    }

    /// This balancer's part of the fleet, once it has been told.
    pub(super) fn part(&self) -> Option<Part> {
        self.part.get()
    }

    /// All pools share their servers with so many.
    pub(super) fn shared_by(&self, part: Part) {
        self.part.set(Some(part));
        self.pools().iter().for_each(|pool| self.share_with(pool));
    }

    /// A pool shares its servers with so many as all others do.
    pub(super) fn share_with(&self, pool: &RunningPool) {
        let Some(part) = self.part.get() else { return };
        // A part of nothing is told as one of a multitude: the module keeps one lane whatever it is told.
        let told = |n: u32| if n == 0 { MULTITUDE } else { n };
        let expires = part.until.map(|at| ShareExpiry { at, balancers_after: told(part.after) });
        pool.exchange.set_balancers(told(part.balancers), expires);
    }

    pub(super) fn open(&self) -> usize {
        self.pools().iter().map(|pool| pool.exchange.open_requests()).sum()
    }

    /// What it does now, as one line of JSON.
    pub(super) fn status(&self, fleet: Option<&Fleet>, control: Option<Value>) -> Value {
        let routing = self.routing.borrow().clone();
        let pool = |pool: &Rc<RunningPool>| {
            let list = pool.files()?.version();
            Some(
                json!({"name": pool.name, "open": pool.exchange.open_requests(), "list": list.revision,
                   "version": list.hash, "servers": list.servers}),
            )
        };
        let mut status = json!({
            "configuration": routing.number, "hash": routing.site.hash, "open": self.open(),
            "pools": routing.pools.iter().filter_map(pool).collect::<Vec<_>>(),
            "fleet": fleet.map(Fleet::status),
        });
        if let Some(control) = control {
            status["control"] = control;
            status["subscribed"] = self.subscribed.borrow().status();
            status["subscribed"]["tenants"] = self.tenants_status(&routing.site);
        }
        status
    }

    /// Of the lists of servers in force: the same at two balancers whose pools have the same files.
    pub(super) fn servers(&self) -> u32 {
        let routing = self.routing.borrow();
        let lists = routing.pools.iter().filter_map(|pool| {
            let list = pool.files()?.version();
            Some(stable_hash(&format!("{} {}", pool.name, list.hash)) as u32)
        });
        // 0 says that nothing is known.
        lists.fold(self.subscribed.borrow().digest(), |all, one| all ^ one).max(1)
    }

    /// Closes idle connections, and lets go of pools that have ended.
    pub(super) fn sweep(&self) {
        self.pools().iter().for_each(|pool| pool.transport.sweep());
        self.ending.borrow_mut().retain(|pool| {
            let open = pool.exchange.open_requests() > 0;
            if !open {
                pool.exchange.close();
                eprintln!("sableloom: pool {}: ended", pool.name);
            }
            open
        });
    }
}

/// Tells the pools what their part is, and the log what happens.
pub(super) struct ToPools(pub(super) Rc<Router>);

impl Told for ToPools {
    fn part(&self, part: Part) {
        self.0.shared_by(part);
    }

    fn line(&self, line: &str) {
        eprintln!("sableloom: fleet: {line}");
    }
}
