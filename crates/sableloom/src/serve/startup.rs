//! The steps of a start: bounds of connections, listeners, pools, and the place in the fleet.

use std::path::Path;
use std::rc::Rc;

use hyper::Method;
use sableloom_exchange::Clock;
use sableloom_fleet::{MAX_CONCURRENT_ABSENCE_QUERIES, RunningMember};
use sableloom_server_files::ServerFiles;
use sableloom_site_config::{Fleet as FleetSettings, Site};
use tokio::net::TcpListener;

use super::error::{PoolError, ServeError};
use super::mirrors::prepare_mirror;
use super::pools::{PoolContext, RunningPool, ServerSource};
use super::routing::{PoolUpdates, Router};
use crate::config::OTHER_SOCKETS;
use crate::connection_limits::ConnectionLimits;
use crate::fleet;
use crate::listener::listen;
use crate::site_file::files;

/// Descriptors that each pool may use to watch and read its files.
const SOCKETS_PER_POOL: usize = 4;
/// Descriptors of a subscription: its connection, and the last good state in its file.
const SOCKETS_OF_CONTROL: usize = 4;

/// Divides the site's descriptors and memory.
pub(super) fn connection_limits(path: &Path, site: &Site) -> Result<ConnectionLimits, ServeError> {
    let fleet = if site.fleet.is_some() { 1 + MAX_CONCURRENT_ABSENCE_QUERIES } else { 0 };
    let control = if site.control.is_some() { SOCKETS_OF_CONTROL } else { 0 };
    let other = OTHER_SOCKETS
        + site.listeners.len()
        + SOCKETS_PER_POOL * site.pools.len()
        + fleet
        + control;
    let mut limits = ConnectionLimits::new(site.limits.memory_mb, site.limits.sockets, other);
    // The platform bounds the clients that wait for an answer; here nothing does.
    limits.clients.max_client_connections = limits.clients.max_connections;
    let pools = site.control.as_ref().map_or(site.pools.len(), |control| control.services.len());
    if limits.max_upstream_connections < pools {
        return Err(ServeError::TooFewSockets {
            file: path.display().to_string(),
            sockets: site.limits.sockets,
            least: other + pools * 5 / 2,
        });
    }
    Ok(limits)
}

/// Listens on all addresses of the site.
pub(super) fn bind(path: &Path, site: &Site) -> Result<Vec<TcpListener>, ServeError> {
    let listeners = site.listeners.iter().enumerate();
    listeners
        .map(|(index, listener)| {
            listen(listener.address).map_err(|cause| ServeError::Listen {
                file: path.display().to_string(),
                line: listener.location.line,
                index,
                address: listener.address,
                cause,
            })
        })
        .collect()
}

/// The methods of each class.
pub(super) fn methods_of(site: &Site) -> Result<Vec<Vec<Method>>, ServeError> {
    let parse = |name: &String| name.parse().map_err(|_| ServeError::Method(name.clone()));
    site.classes.iter().map(|class| class.methods.iter().map(parse).collect()).collect()
}

/// Starts the pools that the site names, with their files of servers and their mirrors.
pub(super) async fn start_pools(
    context: &PoolContext,
    site: &Site,
) -> Result<Vec<Rc<RunningPool>>, ServeError> {
    let (mut opened, mut problems) = (Vec::new(), Vec::new());
    for pool in &site.pools {
        match ServerFiles::open(files(&context.path, site, pool), context.clock).await {
            Ok(files) => opened.push(files),
            Err(wrong) => problems.extend(wrong),
        }
    }
    if !problems.is_empty() {
        return Err(ServeError::Problems(problems));
    }
    let started =
        site.pools.iter().zip(opened).map(|(pool, files)| {
            context.start(site, pool, ServerSource::Files(files)).map(Rc::new)
        });
    let pools = started.collect::<Result<Vec<_>, PoolError>>()?;
    for shadow in &site.shadows {
        let ready = prepare_mirror(context, site, shadow).await.map_err(ServeError::Problems)?;
        *pools[shadow.live_pool].mirror.borrow_mut() = Some(Rc::new(ready.start(Vec::new())));
    }
    Ok(pools)
}

/// Takes this balancer's place in the fleet. It holds the address among the others until it ends.
pub(super) async fn join_fleet(
    path: &Path,
    settings: &FleetSettings,
    clock: Clock,
    router: &Rc<Router>,
) -> Result<Rc<RunningMember>, ServeError> {
    let updates = Rc::new(PoolUpdates(router.clone()));
    let running =
        fleet::start(settings, clock, updates).await.map_err(|cause| ServeError::Fleet {
            file: path.display().to_string(),
            line: settings.location.line,
            cause: cause.into(),
        })?;
    // Without this it would send until the first sweep that it has no list of servers, and two members that had sent
    // so were taken to agree.
    running.set_endpoints_digest(router.servers_digest());
    Ok(running)
}
