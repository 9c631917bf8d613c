//! A listening socket that can refuse connections, as a machine without the process does, or leave them
//! unanswered, as a machine behind a partition does. Needs no privileges and keeps its port.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

/// Length of the accept queue.
const BACKLOG: i32 = 1024;
/// Tries to bind a free port by its number before another process takes it.
const TRIES: usize = 20;

/// What happens to new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerState {
    /// They are accepted.
    Accepting,
    /// They are never established.
    Silent,
    /// They are refused.
    Refusing,
}

/// The listening socket and its state.
#[derive(Debug)]
pub(crate) struct ListenerGate {
    socket: Socket,
    address: SocketAddr,
    state: ListenerState,
    /// Connections that fill the accept queue of a silent gate; nothing serves their far ends.
    fillers: Vec<Socket>,
}

/// Reserves a free loopback port with a socket that is bound and does not listen. The system no longer assigns
/// the port to other sockets; a program that binds it by number with SO_REUSEADDR, as servers do, still can.
pub(crate) fn reserve_port() -> io::Result<(Socket, SocketAddr)> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..TRIES {
        // A port that the system chose is released when the socket stops listening; one that was bound by
        // number is kept.
        let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        match socket.bind(&free.into()) {
            Ok(()) => return Ok((socket, free)),
            Err(e) => last = e,
        }
    }
    Err(last)
}

impl ListenerGate {
    /// A gate on a free loopback port, which refuses connections.
    pub(crate) fn new() -> io::Result<Self> {
        let (socket, address) = reserve_port()?;
        Ok(Self { socket, address, state: ListenerState::Refusing, fillers: Vec::new() })
    }

    /// Its address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to new connections; returns a listener if they are accepted from now on.
    pub(crate) fn set(&mut self, state: ListenerState) -> io::Result<Option<TcpListener>> {
        if state == ListenerState::Refusing && self.state != ListenerState::Refusing {
            self.socket.shutdown(Shutdown::Both)?;
            self.fillers.clear();
        }
        if state == ListenerState::Silent && self.state != ListenerState::Silent {
            // Our connection fills the accept queue: the system then drops further connection requests
            // without an answer.
            self.socket.listen(0)?;
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            filler.set_nonblocking(true)?;
            // "In progress" if another client filled the queue first, which serves the same purpose.
            let _ = filler.connect(&self.address.into());
            self.fillers.push(filler);
        }
        self.state = state;
        if state != ListenerState::Accepting {
            return Ok(None);
        }
        self.socket.listen(BACKLOG)?;
        Ok(Some(self.socket.try_clone()?.into()))
    }

    /// Whether an accepted connection is one of its own fillers.
    pub(crate) fn is_filler(&self, peer: SocketAddr) -> bool {
        let at = |filler: &Socket| filler.local_addr().ok().and_then(|a| a.as_socket());
        self.fillers.iter().any(|filler| at(filler) == Some(peer))
    }
}

#[cfg(test)]
mod tests;
