//! Pools that run.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;

use sableloom_exchange::{
    Clock, Exchange, LocalFuture, Message, Reply, RequestContext, RequestRejection, Service,
};
use sableloom_exchange::{EndpointSource, ExchangeOptions};
use sableloom_http1::{ConnectionBudget, Http1Transport};
use sableloom_server_files::ServerFiles;
use sableloom_site_config::{Pool, Site};
use sableloom_traffic_mirror::Mirror;

use super::endpoint_feed::EndpointFeed;
use super::error::{PoolError, TooManyPools};

/// Where a pool's servers come from.
pub(super) enum ServerSource {
    /// From files that are watched.
    Files(Rc<ServerFiles>),
    /// From control machines.
    Feed(Rc<EndpointFeed>),
}

impl ServerSource {
    fn as_source(&self) -> Rc<dyn EndpointSource> {
        match self {
            ServerSource::Files(files) => files.clone(),
            ServerSource::Feed(feed) => feed.clone(),
        }
    }
}

/// A pool that runs.
pub(super) struct RunningPool {
    pub(super) name: String,
    pub(super) source: ServerSource,
    pub(super) exchange: Rc<Exchange>,
    pub(super) transport: Rc<Http1Transport>,
    /// Copies its requests to a candidate, if the site has a shadow of it.
    pub(super) mirror: RefCell<Option<Rc<Mirror>>>,
}

impl RunningPool {
    /// Its files of servers, if its servers come from files.
    pub(super) fn files(&self) -> Option<&Rc<ServerFiles>> {
        match &self.source {
            ServerSource::Files(files) => Some(files),
            ServerSource::Feed(_) => None,
        }
    }

    /// Forwards a request, and a copy of it if it is mirrored.
    pub(super) fn call(
        &self,
        context: RequestContext,
        message: Message,
    ) -> Result<LocalFuture<Reply>, RequestRejection> {
        let mirror = self.mirror.borrow().clone();
        match mirror {
            Some(mirror) => mirror.call(&self.exchange, context, message),
            None => self.exchange.clone().call(context, message),
        }
    }
}

/// What the pools of a balancer share.
pub(super) struct PoolContext {
    /// The site's file.
    pub(super) path: PathBuf,
    pub(super) clock: Clock,
    pub(super) budget: Rc<ConnectionBudget>,
    /// Most connections to servers.
    pub(super) upstreams: usize,
}

impl PoolContext {
    /// Checks that there is a connection for each pool.
    pub(super) fn check_pool_count(&self, pools: usize) -> Result<(), TooManyPools> {
        let upstreams = self.upstreams;
        if pools <= upstreams { Ok(()) } else { Err(TooManyPools { pools, upstreams }) }
    }

    /// Starts a pool. It gets requests once the router has it.
    pub(super) fn start(
        &self,
        site: &Site,
        pool: &Pool,
        source: ServerSource,
    ) -> Result<RunningPool, PoolError> {
        let settings = Rc::new(site.deployment_settings(pool));
        let transport = Http1Transport::new(self.budget.clone(), &settings);
        let exchange = Exchange::start(ExchangeOptions {
            settings,
            seed: u64::from(std::process::id()),
            clock: self.clock,
            transport: transport.clone(),
            source: source.as_source(),
        })
        .map_err(|cause| PoolError { pool: pool.name.clone(), cause })?;
        if let ServerSource::Files(files) = &source {
            files.watch();
        }
        let name = pool.name.clone();
        Ok(RunningPool { name, source, exchange, transport, mirror: RefCell::default() })
    }
}
