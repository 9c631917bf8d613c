//! Pools that run: starting one, with the copies that a shadow sends of its requests.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use sableloom_exchange::{
    Clock, Exchange, LocalFuture, Message, Reply, RequestContext, RequestRejection, Service,
};
use sableloom_exchange::{EndpointSource, ExchangeOptions};
use sableloom_http1::{Budget, Upstreams};
use sableloom_server_files::ServerFiles;
use sableloom_shadow::CopyLimits;
use sableloom_site_config::{Pool, Shadow, Site};
use sableloom_toml_diagnostics::Problem;
use sableloom_traffic_mirror::{Mirror, MirrorOptions, MirroredPool, PreparedMirror};
use sableloom_types::settings::{span, stable_hash};

use super::feed::ServerFeed;
use crate::site_file::files;

/// Where a pool's servers come from.
pub(super) enum ServerSource {
    /// From files that are watched.
    Files(Rc<ServerFiles>),
    /// From control machines.
    Feed(Rc<ServerFeed>),
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
    pub(super) transport: Rc<Upstreams>,
    /// What copies its requests, if anything does.
    pub(super) mirror: RefCell<Option<Rc<Mirror>>>,
}

impl RunningPool {
    /// Its files of servers, if they come from files.
    pub(super) fn files(&self) -> Option<&Rc<ServerFiles>> {
        match &self.source {
            ServerSource::Files(files) => Some(files),
            ServerSource::Feed(_) => None,
        }
    }

    pub(super) fn call(
        &self,
        asked: RequestContext,
        message: Message,
    ) -> Result<LocalFuture<Reply>, RequestRejection> {
        let mirror = self.mirror.borrow().clone();
        match mirror {
            Some(mirror) => mirror.call(&self.exchange, asked, message),
            None => self.exchange.clone().call(asked, message),
        }
    }
}

/// What all pools share.
pub(super) struct PoolContext {
    pub(super) path: PathBuf,
    pub(super) clock: Clock,
    pub(super) budget: Rc<Budget>,
    /// Connections to servers that the budget has at most.
    pub(super) upstreams: usize,
}

impl PoolContext {
    /// Whether there is a connection for each of so many pools.
    pub(super) fn room_for(&self, pools: usize) -> Result<(), String> {
        if pools <= self.upstreams {
            return Ok(());
        }
        let upstreams = self.upstreams;
        Err(format!(
            "{pools} pools are more than the {upstreams} connections to servers that `limits.sockets` leaves"
        ))
    }

    pub(super) fn start(
        &self,
        site: &Site,
        pool: &Pool,
        source: ServerSource,
    ) -> Result<RunningPool, String> {
        let settings = Rc::new(site.deployment_settings(pool));
        let transport = Upstreams::new(self.budget.clone(), &settings);
        let exchange = Exchange::start(ExchangeOptions {
            settings,
            seed: u64::from(std::process::id()),
            clock: self.clock,
            transport: transport.clone(),
            source: source.as_source(),
        })
        .map_err(|e| format!("pool {}: {e}", pool.name))?;
        if let ServerSource::Files(files) = &source {
            files.watch();
        }
        let name = pool.name.clone();
        Ok(RunningPool { name, source, exchange, transport, mirror: RefCell::default() })
    }

    /// Makes a shadow ready, or says what is wrong.
    pub(super) async fn shadow(
        &self,
        site: &Site,
        shadow: &Shadow,
    ) -> Result<PreparedMirror, Vec<Problem>> {
        let descriptors =
            MirrorOptions::descriptors(shadow.limits.max_in_flight, shadow.pools().count());
        let Some(sockets) = self.budget.lend(descriptors) else {
            let name = self.path.display().to_string();
            return Err(vec![Problem {
                span: shadow.location.span.clone(),
                line: shadow.location.line,
                field: format!("{}.in_flight", shadow.location.field),
                help: Some("raise `limits.sockets`, or have fewer copies out at once".into()),
                ..Problem::of_file(&name, format!("{descriptors} descriptors are not free for it"))
            }]);
        };
        let group = |pool: &Pool| MirroredPool {
            name: pool.name.clone(),
            settings: site.deployment_settings(pool),
            files: files(&self.path, site, pool),
        };
        let folder = self.path.parent().unwrap_or(Path::new(""));
        PreparedMirror::new(MirrorOptions {
            name: shadow.name.clone(),
            live_pool: site.pools[shadow.live_pool].name.clone(),
            candidate: group(&shadow.candidate),
            control_group: shadow.control_group.as_ref().map(group),
            limits: CopyLimits {
                sample_seed: stable_hash(&shadow.name),
                jitter_seed: u64::from(std::process::id()),
                ..shadow.limits.clone()
            },
            rules: shadow.rules.clone(),
            classes: site
                .classes
                .iter()
                .map(|c| (c.name.clone(), c.latency_objective_ms))
                .collect(),
            copy_timeout: Duration::from_secs_f64(shadow.timeout_ms / 1e3),
            settle: span(shadow.settle_ms),
            unknown_outcome_time: span(site.longest_deadline_ms()),
            dropped_headers: shadow.dropped_headers.clone(),
            records_values: shadow.records_values,
            record_file: folder.join(&shadow.record_file),
            record_interval: Duration::from_secs_f64(shadow.record_interval_ms / 1e3),
            clock: self.clock,
            descriptors: sockets,
        })
        .await
    }
}
