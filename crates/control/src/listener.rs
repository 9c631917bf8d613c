//! Accepts connections, at most as many as are allowed and as there are descriptors for.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::connection::run_connection;
use crate::sessions::{SessionHandle, Sessions};

/// Connections that the system holds until they are accepted: all balancers of a region that reconnect at once.
const ACCEPT_BACKLOG: u32 = 4096;
/// What the system buffers for a connection. It is small so that the queue of a subscriber that does not read grows
/// and the publisher closes it.
const SEND_BUFFER_BYTES: u32 = 128 << 10;
/// Descriptors for everything but connections: files, watch, timers, and a few to spare.
const RESERVED_DESCRIPTORS: usize = 32;
/// The pause after an accept that failed, as for want of descriptors. Without it the thread would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Listens on an address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// The configured number of connections, or fewer if the process has too few descriptors for them.
pub(crate) fn limit_to_descriptors(configured: usize) -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let available =
        limit.map_or(usize::MAX, |limit| (limit as usize).saturating_sub(RESERVED_DESCRIPTORS));
    if available < configured {
        eprintln!(
            "sableloom: {available} connections at most, for want of descriptors (ulimit -n)"
        );
    }
    available.min(configured)
}

/// Accepts connections without end, and runs each as a session.
pub(crate) async fn accept_connections(
    sessions: &Rc<Sessions>,
    listener: &TcpListener,
    max_connections: usize,
) {
    let mut full = false;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                eprintln!("sableloom: a connection can't be accepted: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let was_full = std::mem::replace(&mut full, sessions.open_count() >= max_connections);
        if full {
            if !was_full {
                eprintln!("sableloom: {max_connections} connections are open; more are closed");
            }
            continue;
        }
        // Opened here and not in the task, so that it is counted before the next connection is accepted.
        spawn_local(run_session(sessions.open(), stream));
    }
}

async fn run_session(session: SessionHandle, stream: TcpStream) {
    let peer = stream.peer_addr();
    run_connection(stream, session.outbox(), &session).await;
    if let (Some(reason), Ok(peer)) = (session.end(), peer) {
        eprintln!("sableloom: session {} of {peer} closed: {reason}", session.id().0);
    }
}
