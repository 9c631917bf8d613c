//! The addresses of hosts.

use std::net::SocketAddr;

/// Hosts of one block of addresses.
const BLOCK: usize = 250;
const PORT: u16 = 7000;

/// The address of a host.
pub fn address_of(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (host / BLOCK) as u8, (host % BLOCK) as u8 + 1], PORT))
}

/// The host that has an address.
pub fn host_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [.., high, low] = address.ip().octets();
    Some(usize::from(high) * BLOCK + usize::from(low).checked_sub(1)?)
}
