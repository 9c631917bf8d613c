//! One balancer with its parts put together, and the platform's mode of running it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sableloom_discovery::{Discovery, DiscoveryOptions, dial_tcp};
use sableloom_discovery_schedule::{PollSchedule, PollTiming, ScheduleOptions};
use sableloom_exchange::{
    Clock, EndpointListener, Exchange, ExchangeOptions, Task, longest_deadline,
};
use sableloom_http1::{ConnectionBudget, Dialect, Frontend, Http1Transport};
use sableloom_types::ListKind;
use sableloom_types::settings::{RegistryMode, span};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::config::Config;

/// Connections that the kernel holds until they are accepted: a crowd comes within a second.
const BACKLOG: i32 = 4096;
/// How often connections are looked over for what has gone stale.
pub const SWEEP: Duration = Duration::from_millis(250);
/// After SIGTERM connections may still come for 0.4 s; then only what is under way is finished.
const ACCEPT_ON: Duration = Duration::from_millis(600);
/// The balancer ends so long past the longest deadline, short of the 0.7 s that it is given.
const LAST_CALL: Duration = Duration::from_millis(600);
/// How often the end is looked at while what was taken is finished.
const TURN: Duration = Duration::from_millis(5);
/// So many turns before that, nothing is sent on any more and all that is open gets its answer: a client may have
/// said that it waits for longer than its class allows, or have asked on a kept connection at the last moment.
/// Turns, and not a time: a process that was held up still takes them all.
const LAST_TURNS: u32 = 12;
/// In so many of these, requests of which only a part is there are refused as well: their last byte may be on
/// its way, and there is no later moment to answer it in.
const REFUSING_TURNS: u32 = 6;

/// Where requests come in, until no more are wanted.
pub struct Ingress {
    pub frontend: Rc<Frontend>,
    _accepting: Vec<Task>,
    longest: Duration,
}

impl Ingress {
    /// Accepts on these listeners. `longest` is the longest that a client waits.
    pub fn open(frontend: Rc<Frontend>, listeners: Vec<TcpListener>, longest: Duration) -> Self {
        let accept = |listener| Task::spawn(frontend.clone().accept(Rc::new(listener)));
        Self { _accepting: listeners.into_iter().map(accept).collect(), frontend, longest }
    }

    /// Takes no new work, finishes what was taken, and ends. `open` counts what is open; `abort_open_requests`
    /// answers it, and sends nothing on from then.
    pub async fn finish(self, open: impl Fn() -> usize, abort_open_requests: impl Fn()) {
        let notified = Instant::now();
        let frontend = &self.frontend;
        frontend.drain();
        sleep_until(notified + ACCEPT_ON).await;
        // From here on new connections are refused, and none is left on which a request could come
        // that there is no time to answer.
        frontend.stop_accepting();
        let last_call = notified + self.longest + LAST_CALL - TURN * LAST_TURNS;
        while frontend.is_in_use() && Instant::now() < last_call {
            frontend.close_unused();
            sleep(TURN).await;
        }
        if frontend.is_in_use() {
            eprintln!("sableloom: last call; {} open", open());
        }
        for turn in (0..LAST_TURNS).rev() {
            if !frontend.is_in_use() {
                break;
            }
            // At each turn: pools may have come since.
            abort_open_requests();
            if turn < REFUSING_TURNS {
                frontend.reject_partial_requests();
            }
            frontend.close_unused();
            sleep(TURN).await;
        }
        let (connections, open) = (frontend.connections(), open());
        eprintln!("sableloom: ending; {connections} connections, {open} open");
    }
}

/// A balancer that takes requests.
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    exchange: Rc<Exchange>,
    discovery: Rc<Discovery>,
    ingress: Ingress,
}

impl Running {
    /// Puts the parts together and begins to listen; to be called on a `LocalSet`.
    pub fn start(config: Config) -> Result<Self, String> {
        let listener =
            listen(config.listen).map_err(|e| format!("field `listen`: {}: {e}", config.listen))?;
        let address = listener.local_addr().map_err(|e| format!("field `listen`: {e}"))?;
        let Config { discovery, seed, known, settings, clients, upstreams, .. } = config;
        let (settings, clock) = (Rc::new(settings), Clock::new());
        let longest = longest_deadline(&settings);
        let transport = Http1Transport::new(ConnectionBudget::new(upstreams), &settings);
        let revision = known.as_ref().map(|known| known.revision);
        let timing = PollTiming::new(&ScheduleOptions {
            pushed: settings.registry_mode == RegistryMode::Automatic,
            poll_interval: span(settings.safety.poll_interval),
            drain_grace: span(settings.safety.drain_grace),
            position: settings.position,
            balancers: settings.balancers,
        });
        let discovery = Discovery::new(DiscoveryOptions {
            address: discovery,
            clock,
            dial: dial_tcp(),
            revision,
            schedule: PollSchedule::new(timing, seed, revision.is_none()),
        });
        let exchange = Exchange::start(ExchangeOptions {
            settings: settings.clone(),
            seed,
            clock,
            transport: transport.clone(),
            source: discovery.clone(),
        })
        .map_err(|e| format!("field `settings`: {e}"))?;
        discovery.attach(exchange.clone());
        if let Some(known) = known {
            exchange.clone().endpoints_updated(ListKind::Restored, known.into_endpoints());
        }
        let frontend =
            Frontend::new(exchange.clone(), settings, Dialect::Platform, clock, &clients);
        let ingress = Ingress::open(frontend.clone(), vec![listener], longest);
        spawn_local(async move {
            loop {
                sleep(SWEEP).await;
                frontend.sweep();
                transport.sweep();
            }
        });
        Ok(Self { address, exchange, discovery, ingress })
    }

    /// Takes no new work, finishes what was taken, and ends.
    pub async fn finish(self) {
        let Self { exchange, ingress, .. } = self;
        ingress.finish(|| exchange.open_requests(), || exchange.abort_open_requests()).await;
    }
}

/// Runs the balancer that `ROUTER_CONFIG` describes until SIGTERM.
pub async fn run() -> Result<(), String> {
    let config = Config::load()?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let running = Running::start(config)?;
    eprintln!("sableloom: listening on {}", running.address);
    let discovery = running.discovery.clone();
    spawn_local(async move {
        // It comes while the file may be half replaced or wrong: then what was told before holds.
        while hangup.recv().await.is_some() {
            match Config::reread_discovery() {
                Ok(at) => {
                    eprintln!("sableloom: SIGHUP; discovery is at {at}");
                    discovery.move_to(at);
                }
                Err(e) => eprintln!("sableloom: SIGHUP; nothing is changed: {e}"),
            }
        }
    });
    term.recv().await;
    let (connections, open) =
        (running.ingress.frontend.connections(), running.exchange.open_requests());
    eprintln!("sableloom: SIGTERM; {connections} connections, {open} open");
    running.finish().await;
    Ok(())
}

/// A listener at this address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A restart finds the old process's connections still winding down.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}
