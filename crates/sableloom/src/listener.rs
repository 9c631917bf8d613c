//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;

/// How many connections the kernel holds until they are accepted: a crowd comes within a second.
const LISTEN_BACKLOG: i32 = 4096;

/// Listens on this address.
///
/// # Errors
///
/// The system's error, as for an address in use.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // After a restart connections of the old process may still be closing.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}
