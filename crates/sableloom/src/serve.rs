//! `sableloom serve`: a balancer as a site's configuration says, until SIGTERM.

mod applier;
mod control;
mod endpoint_feed;
mod error;
mod mirrors;
mod planner;
mod pools;
mod reload;
mod routing;
mod service_plan;
mod signals;
mod startup;
mod subscribed;
mod tenants;

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use sableloom_exchange::Clock;
use sableloom_fleet::RunningMember;
use sableloom_http1::{ConnectionBudget, Dialect, Frontend, MemoryBudget};
use sableloom_traffic_mirror::MirrorEnding;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::connection_limits::ConnectionLimits;
use crate::ingress::Ingress;
use crate::platform::SWEEP_INTERVAL;
use crate::site_file::load;
use control::ControlPlane;
use error::ServeError;
use pools::PoolContext;
use routing::{Router, Routing};
use signals::{Signals, log_status_on, reload_on};
use startup::{bind, connection_limits, join_fleet, methods_of, start_pools};

/// How long the end waits for mirrors to write their records: a candidate that hangs must not delay it.
const MIRROR_END_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the end looks whether the mirrors have ended.
const MIRROR_END_POLL: Duration = Duration::from_millis(5);

/// What to run.
#[derive(clap::Args)]
pub(crate) struct Options {
    /// The site's configuration, in TOML
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// How far the wall clock that it reads is ahead: for rehearsals, which can't move a machine's
    #[arg(long, hide = true, default_value_t = 0, allow_negative_numbers = true,
          value_parser = clap::value_parser!(i64).range(-86_400_000..=86_400_000))]
    wall_clock_ms: i64,
}

/// Runs a balancer until SIGTERM.
pub(crate) async fn run(options: Options) -> Result<(), ServeError> {
    let path = options.config;
    let mut signals = Signals::new()?;
    let (site, table) = load(&path).map_err(ServeError::Problems)?;
    let limits = connection_limits(&path, &site)?;
    let ConnectionLimits { clients, max_upstream_connections, connection_memory, .. } = limits;
    let mut listeners = Vec::new();
    if site.control.is_none() {
        listeners = bind(&path, &site)?;
    }
    let clock = Clock::with_offset_ms(options.wall_clock_ms);
    let memory = MemoryBudget::new(connection_memory);
    let budget = ConnectionBudget::new(max_upstream_connections, memory.clone());
    let context = Rc::new(PoolContext {
        path: path.clone(),
        clock,
        budget,
        upstreams: max_upstream_connections,
    });
    let pools = start_pools(&context, &site).await?;
    let settings = Rc::new(site.client_settings());
    let dialect = Dialect::Open(methods_of(&site)?);
    let longest = Duration::from_secs_f64(site.longest_deadline_ms() / 1e3);
    let hash = site.hash.clone();
    let (fleet_settings, control_settings) = (site.fleet.clone(), site.control.clone());
    let router = Router::new(Routing { number: 1, site, table, pools }, clock);
    let control = control_settings.map(|control| ControlPlane::start(&control, &router, &context));
    if let Some(control) = &control {
        if !signals.wait_for_state(control, &router).await {
            eprintln!("sableloom: SIGTERM; nothing was served yet");
            return Ok(());
        }
        // With control it listens once there is something to serve.
        listeners = bind(&path, &router.routing.borrow().site)?;
    }
    let frontend = Frontend::new(router.clone(), settings, dialect, clock, &clients, memory);
    let fleet = match &fleet_settings {
        Some(fleet) => Some(join_fleet(&path, fleet, clock, &router).await?),
        None => None,
    };
    log_start(&listeners, &hash)?;
    let ingress = Ingress::open(frontend.clone(), listeners, longest);
    spawn_local(sweep(frontend, router.clone(), fleet.clone()));
    let Signals { mut terminate, hangup, status } = signals;
    spawn_local(reload_on(hangup, context, router.clone(), fleet.clone(), control.clone()));
    spawn_local(log_status_on(status, router.clone(), fleet.clone(), control));
    terminate.recv().await;
    eprintln!("sableloom: SIGTERM; {} open", router.open_requests());
    shut_down(&router, ingress, fleet).await;
    Ok(())
}

fn log_start(listeners: &[TcpListener], hash: &str) -> Result<(), ServeError> {
    for listener in listeners {
        let address = listener.local_addr().map_err(ServeError::ListenerAddress)?;
        eprintln!("sableloom: listening on {address}");
    }
    eprintln!("sableloom: configuration 1 ({hash}) in force");
    Ok(())
}

/// Closes idle connections and ended pools from time to time, and tells the fleet which servers are in force.
async fn sweep(frontend: Rc<Frontend>, router: Rc<Router>, fleet: Option<Rc<RunningMember>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        frontend.sweep();
        router.sweep();
        if let Some(fleet) = &fleet {
            fleet.set_endpoints_digest(router.servers_digest());
        }
    }
}

/// Finishes the requests that are open, and ends. Mirrors end meanwhile, and write their records once more.
async fn shut_down(router: &Rc<Router>, ingress: Ingress, fleet: Option<Rc<RunningMember>>) {
    let mirrors: Vec<_> =
        router.pools().iter().filter_map(|pool| Some(pool.mirror.take()?.stop())).collect();
    let abort = || router.pools().iter().for_each(|pool| pool.exchange.abort_open_requests());
    ingress.shut_down(|| router.open_requests(), abort).await;
    if let Some(fleet) = fleet {
        fleet.leave();
    }
    let end = Instant::now() + MIRROR_END_TIMEOUT;
    while !mirrors.iter().all(MirrorEnding::has_ended) && Instant::now() < end {
        sleep(MIRROR_END_POLL).await;
    }
}
