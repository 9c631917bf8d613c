//! The platform's mode: one balancer with its parts put together, which runs until SIGTERM.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sableloom_discovery::{Discovery, DiscoveryOptions, dial_tcp};
use sableloom_discovery_schedule::{PollSchedule, PollTiming, ScheduleOptions};
use sableloom_exchange::{Clock, EndpointListener, Exchange, ExchangeOptions, longest_deadline};
use sableloom_http1::{ConnectionBudget, Dialect, Frontend, Http1Transport, MemoryBudget};
use sableloom_types::settings::{DeploymentSettings, EndpointListDelivery, span_from_ms};
use sableloom_types::{ListKind, PolicySettingsError};
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::config::{Config, ConfigError};
use crate::connection_limits::{ConnectionLimits, server_memory};
use crate::ingress::Ingress;
use crate::listener::listen;

/// How often connections are checked against their timeouts.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Why the balancer does not run.
#[derive(Debug, Error)]
pub(crate) enum PlatformError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("field `listen`: {address}: {cause}")]
    Listen { address: SocketAddr, cause: io::Error },
    #[error("field `listen`: {0}")]
    ListenerAddress(io::Error),
    #[error("field `settings`: {0}")]
    Settings(PolicySettingsError),
    #[error("{name}: {cause}")]
    Signal { name: &'static str, cause: io::Error },
}

/// A balancer that accepts requests.
pub(crate) struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    exchange: Rc<Exchange>,
    discovery: Rc<Discovery>,
    ingress: Ingress,
}

impl Running {
    /// Puts the parts together and starts to listen; to be called on a `LocalSet`.
    ///
    /// # Errors
    ///
    /// The field that the balancer can't run with.
    pub(crate) fn start(config: Config) -> Result<Self, PlatformError> {
        let listener = listen(config.listen)
            .map_err(|cause| PlatformError::Listen { address: config.listen, cause })?;
        let address = listener.local_addr().map_err(PlatformError::ListenerAddress)?;
        let Config { discovery, seed, known, settings, limits, .. } = config;
        let ConnectionLimits {
            clients,
            max_upstream_connections,
            connection_memory,
            discovery_answer,
        } = limits;
        let (settings, clock) = (Rc::new(settings), Clock::new());
        let memory = MemoryBudget::new(connection_memory);
        let budget = ConnectionBudget::new(max_upstream_connections, memory.clone());
        let transport = Http1Transport::new(budget, &settings);
        let revision = known.as_ref().map(|known| known.revision);
        let discovery = Discovery::new(DiscoveryOptions {
            address: discovery,
            clock,
            dial: dial_tcp(),
            max_answer_bytes: discovery_answer,
            revision,
            schedule: PollSchedule::new(poll_timing(&settings), seed, revision.is_none()),
        });
        let exchange = Exchange::start(ExchangeOptions {
            settings: settings.clone(),
            seed,
            clock,
            transport: transport.clone(),
            source: discovery.clone(),
        })
        .map_err(PlatformError::Settings)?;
        discovery.attach(exchange.clone());
        if let Some(known) = known {
            exchange.clone().endpoints_updated(ListKind::Restored, known.into_endpoints());
        }
        let longest_deadline = longest_deadline(&settings);
        let dialect = Dialect::Platform;
        let frontend =
            Frontend::new(exchange.clone(), settings, dialect, clock, &clients, memory.clone());
        let ingress = Ingress::open(frontend.clone(), vec![listener], longest_deadline);
        let pool = exchange.clone();
        spawn_local(async move {
            loop {
                memory.set_other(server_memory(pool.servers()));
                sleep(SWEEP_INTERVAL).await;
                frontend.sweep();
                transport.sweep();
            }
        });
        Ok(Self { address, exchange, discovery, ingress })
    }

    /// Accepts no more requests, finishes the open ones, and ends.
    pub(crate) async fn shut_down(self) {
        let Self { exchange, ingress, .. } = self;
        ingress.shut_down(|| exchange.open_requests(), || exchange.abort_open_requests()).await;
    }
}

fn poll_timing(settings: &DeploymentSettings) -> PollTiming {
    PollTiming::new(&ScheduleOptions {
        local_agent: settings.endpoint_list_delivery == EndpointListDelivery::Push,
        poll_interval: span_from_ms(settings.safety.poll_interval),
        drain_grace: span_from_ms(settings.safety.drain_grace),
        position: settings.balancer_index,
        balancers: settings.balancers,
    })
}

/// Runs the balancer that `ROUTER_CONFIG` describes until SIGTERM.
///
/// # Errors
///
/// Why it can't start.
pub(crate) async fn run() -> Result<(), PlatformError> {
    let config = Config::load()?;
    let mut terminate = signal_stream("SIGTERM", SignalKind::terminate())?;
    let hangup = signal_stream("SIGHUP", SignalKind::hangup())?;
    let running = Running::start(config)?;
    eprintln!("sableloom: listening on {}", running.address);
    spawn_local(move_discovery_on(hangup, running.discovery.clone()));
    terminate.recv().await;
    let (connections, open) =
        (running.ingress.frontend.connections(), running.exchange.open_requests());
    eprintln!("sableloom: SIGTERM; {connections} connections, {open} open");
    running.shut_down().await;
    Ok(())
}

fn signal_stream(name: &'static str, kind: SignalKind) -> Result<Signal, PlatformError> {
    signal(kind).map_err(|cause| PlatformError::Signal { name, cause })
}

/// Reads the address of discovery again on each SIGHUP. The file may be half replaced or invalid then: the address
/// before stays in force.
async fn move_discovery_on(mut hangup: Signal, discovery: Rc<Discovery>) {
    while hangup.recv().await.is_some() {
        match Config::reload_discovery() {
            Ok(address) => {
                eprintln!("sableloom: SIGHUP; discovery is at {address}");
                discovery.move_to(address);
            }
            Err(error) => eprintln!("sableloom: SIGHUP; nothing is changed: {error}"),
        }
    }
}
