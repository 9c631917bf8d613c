//! Accepts connections up to the configured limit and the file descriptor limit of the process.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::connection::run_connection;
use crate::sessions::{SessionHandle, Sessions};

/// Maximum number of connections that the system queues until they are accepted. It has room for all balancers of a
/// region that reconnect at once.
const ACCEPT_BACKLOG: u32 = 4096;
/// Size of the send buffer of a connection. It is small, so that the outbox of a subscriber that does not read fills up
/// and the publisher closes the session.
const SEND_BUFFER_BYTES: u32 = 128 << 10;
/// File descriptors that are not used for connections, but for files, the watch and timers, with a few to spare.
const RESERVED_DESCRIPTORS: usize = 32;
/// The pause after accepting a connection failed, for instance because the process has no free file descriptor. Without
/// the pause the thread would retry in a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Opens a listening socket on an address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the buffer size of the listening socket.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// The configured maximum of connections, reduced to the number of file descriptors that are available for connections.
/// A reduction is logged.
pub(crate) fn limit_to_descriptors(configured: usize) -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let available =
        limit.map_or(usize::MAX, |limit| (limit as usize).saturating_sub(RESERVED_DESCRIPTORS));
    if available < configured {
        eprintln!(
            "sableloom: {available} connections at most instead of {configured}: the limit of file \
             descriptors is too low (ulimit -n)"
        );
    }
    available.min(configured)
}

/// Accepts connections and runs a session for each. A connection beyond `max_connections` is closed at once. The
/// function never returns.
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
        // The session is opened here and not in the task, so that it is counted before the next connection is accepted.
        spawn_local(run_session(sessions.open(), stream));
    }
}

/// Runs the connection of a session until it ends, and logs the reason if the publisher has closed the session.
async fn run_session(session: SessionHandle, stream: TcpStream) {
    let peer = stream.peer_addr();
    run_connection(stream, session.outbox(), &session).await;
    if let (Some(reason), Ok(peer)) = (session.end(), peer) {
        eprintln!("sableloom: session {} of {peer} closed: {reason}", session.id().0);
    }
}
