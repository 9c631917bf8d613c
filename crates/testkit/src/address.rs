//! Loopback addresses that stay with a test while no process listens on them.

use std::net::{Ipv4Addr, SocketAddr};

use socket2::{Domain, Socket, Type};

/// An address that the system gives to no other socket as long as this is kept. A process under test that allows its
/// address to be reused can listen on it; while none does, connections to it are refused.
///
/// Without it a process that is killed and started again at its address now and then finds the port in use: the system
/// had given it to another test's socket meanwhile.
pub struct ReservedAddress {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedAddress {
    /// Reserves a port that the system chooses.
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        // It is bound and never listens: then another socket that allows it may listen on the same port.
        socket.set_reuse_address(true).expect("an option");
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
        let address = socket.local_addr().expect("an address").as_socket().expect("an IP address");
        Self { address, _socket: socket }
    }

    /// The address.
    pub fn get(&self) -> SocketAddr {
        self.address
    }
}

impl Default for ReservedAddress {
    fn default() -> Self {
        Self::new()
    }
}
