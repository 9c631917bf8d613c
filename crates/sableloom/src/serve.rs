//! `sableloom serve`: a balancer as a site's configuration says, until SIGTERM.

mod apply;
mod control;
mod feed;
mod plan;
mod pools;
mod reload;
mod routing;
mod subscribed;
mod tenants;

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use sableloom_exchange::Clock;
use sableloom_fleet::{QUESTIONS_OUT, Running as Fleet};
use sableloom_http1::{Budget, Dialect, Frontend, Limits as ClientLimits};
use sableloom_server_files::ServerFiles;
use sableloom_site_config::Site;
use sableloom_traffic_mirror::MirrorEnding;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::config::{SOCKETS_OTHER, split};
use crate::fleet;
use crate::platform::{Ingress, SWEEP, listen};
use crate::site_file::{files, lines_of, load};
use control::ControlPlane;
use pools::{PoolContext, RunningPool, ServerSource};
use routing::{Router, Routing, ToPools};

/// Descriptors that each pool may use to watch and read its files.
const SOCKETS_POOL: usize = 4;

/// Descriptors of a subscription: its connection, and the last good state in its file.
const SOCKETS_CONTROL: usize = 4;

/// How long the end waits for the records of shadows.
const SHADOW_LAST: Duration = Duration::from_millis(500);

/// What to run.
#[derive(clap::Args)]
pub struct Options {
    /// The site's configuration, in TOML
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// How far the wall clock that it reads is ahead: for rehearsals, which can't move a machine's
    #[arg(long, hide = true, default_value_t = 0, allow_negative_numbers = true,
          value_parser = clap::value_parser!(i64).range(-86_400_000..=86_400_000))]
    wall_clock_ms: i64,
}

/// Runs it.
pub async fn run(options: Options) -> Result<(), String> {
    let path = options.config;
    let mut signals = Signals::new()?;
    let (site, table) = load(&path).map_err(|wrong| lines_of(&wrong))?;
    let (clients, upstreams) = limits(&path, &site)?;
    // With control it listens once there is something to serve.
    let mut listeners = Vec::new();
    if site.control.is_none() {
        listeners = bind(&path, &site)?;
    }
    let clock = Clock::with_offset_ms(options.wall_clock_ms);
    let budget = Budget::new(upstreams);
    let context = Rc::new(PoolContext { path: path.clone(), clock, budget, upstreams });
    let pools = start_pools(&context, &site).await?;
    let settings = Rc::new(site.client_settings());
    let method = |m: &String| m.parse().map_err(|_| format!("no method {m:?}"));
    let methods = site
        .classes
        .iter()
        .map(|class| class.methods.iter().map(method).collect::<Result<Vec<_>, _>>())
        .collect::<Result<Vec<_>, _>>()?;
    let longest = Duration::from_secs_f64(site.longest_deadline_ms() / 1e3);
    let hash = site.hash.clone();
    let (named, subscribes) = (site.fleet.clone(), site.control.clone());
    let router = Router::new(Routing { number: 1, site, table, pools }, clock);
    let control = subscribes.map(|control| ControlPlane::start(&control, &router, &context));
    if let Some(control) = &control {
        if !signals.wait_for_state(control, &router).await {
            eprintln!("sableloom: SIGTERM; nothing was served yet");
            return Ok(());
        }
        listeners = bind(&path, &router.routing.borrow().site)?;
    }
    let frontend = Frontend::new(router.clone(), settings, Dialect::Open(methods), clock, &clients);
    // Before the first request: from when it acts to its end it holds its address among the others.
    let fleet = match &named {
        Some(fleet) => {
            let told = Rc::new(ToPools(router.clone()));
            let running = fleet::start(fleet, clock, told).await;
            let running =
                running.map_err(|e| format!("{}:{}: {e}", path.display(), fleet.location.line))?;
            // Without this it told others until the first sweep that it has no list of servers, and two that
            // had told so were taken to agree.
            running.serves(router.servers());
            Some(running)
        }
        None => None,
    };
    for listener in &listeners {
        let address = listener.local_addr().map_err(|e| format!("a listener: {e}"))?;
        eprintln!("sableloom: listening on {address}");
    }
    eprintln!("sableloom: configuration 1 ({hash}) in force");
    let ingress = Ingress::open(frontend.clone(), listeners, longest);
    let (sweeps, tells) = (router.clone(), fleet.clone());
    spawn_local(async move {
        loop {
            sleep(SWEEP).await;
            frontend.sweep();
            sweeps.sweep();
            if let Some(fleet) = &tells {
                fleet.serves(sweeps.servers());
            }
        }
    });
    let Signals { mut term, hangup, status } = signals;
    spawn_local(reload_on(hangup, context, router.clone(), fleet.clone(), control.clone()));
    spawn_local(say_status_on(status, router.clone(), fleet.clone(), control));
    term.recv().await;
    eprintln!("sableloom: SIGTERM; {} open", router.open());
    // Copies end while what was taken is finished, and the records are written once more.
    let shadows: Vec<_> =
        router.pools().iter().filter_map(|p| Some(p.mirror.take()?.stop())).collect();
    let abort = || router.pools().iter().for_each(|pool| pool.exchange.abort_open_requests());
    ingress.finish(|| router.open(), abort).await;
    if let Some(fleet) = fleet {
        fleet.leave();
    }
    // A candidate that hangs holds up no end.
    let last = Instant::now() + SHADOW_LAST;
    while !shadows.iter().all(MirrorEnding::has_ended) && Instant::now() < last {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// The signals that it takes.
struct Signals {
    term: Signal,
    hangup: Signal,
    status: Signal,
}

impl Signals {
    fn new() -> Result<Self, String> {
        let on = |kind, name: &str| signal(kind).map_err(|e| format!("{name}: {e}"));
        Ok(Self {
            term: on(SignalKind::terminate(), "SIGTERM")?,
            hangup: on(SignalKind::hangup(), "SIGHUP")?,
            status: on(SignalKind::user_defined1(), "SIGUSR1")?,
        })
    }

    /// Waits until the subscription has a first state. Whether it has, or is to end before.
    async fn wait_for_state(&mut self, control: &ControlPlane, router: &Router) -> bool {
        if !control.has_state() {
            eprintln!(
                "sableloom: control: no state yet; listening once a control machine has given it"
            );
        }
        loop {
            tokio::select! {
                origin = control.state() => {
                    eprintln!("sableloom: control: serving with the state from {origin}");
                    return true;
                }
                _ = self.term.recv() => return false,
                _ = self.hangup.recv() => {
                    eprintln!("sableloom: SIGHUP; nothing is changed: nothing is served yet");
                }
                _ = self.status.recv() => {
                    eprintln!("sableloom: status {}", router.status(None, Some(control.status())));
                }
            }
        }
    }
}

/// What clients may hold, and the most connections to servers.
fn limits(path: &Path, site: &Site) -> Result<(ClientLimits, usize), String> {
    let fleet = if site.fleet.is_some() { 1 + QUESTIONS_OUT } else { 0 };
    let control = if site.control.is_some() { SOCKETS_CONTROL } else { 0 };
    let other =
        SOCKETS_OTHER + site.listeners.len() + SOCKETS_POOL * site.pools.len() + fleet + control;
    let (mut clients, upstreams) = split(site.limits.memory_mb, site.limits.sockets, other);
    // Nothing bounds clients on their side, as the platform does.
    clients.asking = clients.places;
    let pools = site.control.as_ref().map_or(site.pools.len(), |control| control.services.len());
    if upstreams < pools {
        let least = other + pools * 5 / 2;
        let sockets = site.limits.sockets;
        return Err(format!(
            "{}: field `limits.sockets`: {sockets} is under {least}, for so many pools",
            path.display()
        ));
    }
    Ok((clients, upstreams))
}

fn bind(path: &Path, site: &Site) -> Result<Vec<TcpListener>, String> {
    let mut listeners = Vec::new();
    for (i, listener) in site.listeners.iter().enumerate() {
        let place =
            format!("{}:{}: field `listener[{i}].address`", path.display(), listener.location.line);
        let listener =
            listen(listener.address).map_err(|e| format!("{place}: {}: {e}", listener.address))?;
        listeners.push(listener);
    }
    Ok(listeners)
}

/// Starts the pools that the site names, with their files of servers and shadows.
async fn start_pools(context: &PoolContext, site: &Site) -> Result<Vec<Rc<RunningPool>>, String> {
    let (mut opened, mut problems) = (Vec::new(), Vec::new());
    for pool in &site.pools {
        match ServerFiles::open(files(&context.path, site, pool), context.clock).await {
            Ok(files) => opened.push(files),
            Err(wrong) => problems.extend(wrong),
        }
    }
    if !problems.is_empty() {
        return Err(lines_of(&problems));
    }
    let started = site
        .pools
        .iter()
        .zip(opened)
        .map(|(pool, files)| context.start(site, pool, ServerSource::Files(files)));
    let pools = started.map(|pool| pool.map(Rc::new)).collect::<Result<Vec<_>, String>>()?;
    for shadow in &site.shadows {
        let ready = context.shadow(site, shadow).await.map_err(|wrong| lines_of(&wrong))?;
        *pools[shadow.live_pool].mirror.borrow_mut() = Some(Rc::new(ready.start(Vec::new())));
    }
    Ok(pools)
}

/// Reads the site again with each signal.
async fn reload_on(
    mut hangup: Signal,
    context: Rc<PoolContext>,
    router: Rc<Router>,
    fleet: Option<Rc<Fleet>>,
    control: Option<ControlPlane>,
) {
    while hangup.recv().await.is_some() {
        let what = match context.reload(&router).await {
            Ok(what) => what,
            Err(wrong) => {
                eprintln!("sableloom: SIGHUP; nothing is changed: {}", lines_of(&wrong));
                continue;
            }
        };
        eprintln!("sableloom: SIGHUP; {what}");
        let routing = router.routing.borrow().clone();
        if let (Some(running), Some(fleet)) = (&fleet, &routing.site.fleet) {
            running.list(&fleet::others(fleet));
            // Pools that are new have not been told.
            router.shared_by(running.part());
        }
        if let (Some(running), Some(control)) = (&control, &routing.site.control) {
            running.set_scope(control);
        }
    }
}

/// Says what it does with each signal.
async fn say_status_on(
    mut status: Signal,
    router: Rc<Router>,
    fleet: Option<Rc<Fleet>>,
    control: Option<ControlPlane>,
) {
    while status.recv().await.is_some() {
        let control = control.as_ref().map(ControlPlane::status);
        eprintln!("sableloom: status {}", router.status(fleet.as_deref(), control));
    }
}
