//! sableloom: one HTTP load balancer on real sockets. It moves bytes and tells time; every
//! decision is the module's.

mod config;
mod discovery;
mod frontend;
mod node;
mod upstream;
mod wire;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use config::Config;
use frontend::Frontend;
use node::Node;

/// Connections that the kernel holds until they are accepted: a crowd comes within a second.
const BACKLOG: i32 = 4096;
/// How often connections are looked over for what has gone stale.
const SWEEP: Duration = Duration::from_millis(250);
/// After SIGTERM connections may still come for 0.4 s; then only what is under way is finished.
const ACCEPT_ON: Duration = Duration::from_millis(600);
/// The balancer ends so long past the longest deadline, short of the 0.7 s that it is given.
const LAST_CALL: Duration = Duration::from_millis(600);

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = runtime
        .map_err(|e| format!("runtime: {e}"))
        .and_then(|runtime| LocalSet::new().block_on(&runtime, run()));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sableloom: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let config = Config::load()?;
    let longest = node::longest_deadline(&config.facts);
    let listener =
        listen(&config).map_err(|e| format!("field `listen`: {}: {e}", config.listen))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("field `listen`: {e}"))?;
    let (node, clients) = Node::start(config)?;
    eprintln!("sableloom: listening on {address}");
    let frontend = Frontend::new(node.clone(), &clients);
    let listener = Rc::new(listener);
    let accepting = wire::Task::spawn(frontend.clone().accept(listener.clone()));
    let (f, n) = (frontend.clone(), node.clone());
    spawn_local(async move {
        loop {
            sleep(SWEEP).await;
            f.sweep();
            n.pool.sweep();
        }
    });

    let n = node.clone();
    spawn_local(async move {
        // It comes while the file may be half replaced or wrong: then what was told before holds.
        while hangup.recv().await.is_some() {
            match Config::reread_discovery() {
                Ok(at) => {
                    eprintln!("sableloom: SIGHUP; discovery is at {at}");
                    n.move_discovery(at);
                }
                Err(e) => eprintln!("sableloom: SIGHUP; nothing is changed: {e}"),
            }
        }
    });

    term.recv().await;
    let told = Instant::now();
    eprintln!("sableloom: SIGTERM; {} connections, {} open", frontend.connections(), node.open());
    frontend.drain();
    sleep_until(told + ACCEPT_ON).await;
    // From here on new connections are refused, and none is left on which a request could come
    // that there is no time to answer.
    drop(accepting);
    drop(listener);
    frontend.close_spare();
    let end = told + longest + LAST_CALL;
    while frontend.connections() > 0 && Instant::now() < end {
        sleep(Duration::from_millis(5)).await;
        frontend.close_spare();
    }
    eprintln!("sableloom: ending; {} connections, {} open", frontend.connections(), node.open());
    Ok(())
}

fn listen(config: &Config) -> std::io::Result<TcpListener> {
    let socket =
        Socket::new(Domain::for_address(config.listen), Type::STREAM, Some(Protocol::TCP))?;
    // A restart finds the old process's connections still winding down.
    socket.set_reuse_address(true)?;
    socket.bind(&config.listen.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}
