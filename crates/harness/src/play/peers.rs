//! The network between balancers that are members of one fleet.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::datagrams::{DatagramNetwork, Pair};
use crate::site::FleetView;

/// The datagram network of a fleet, and the addresses of its members.
pub(super) struct PeerNetwork {
    pub(super) net: DatagramNetwork,
    /// The address at which each balancer receives datagrams.
    addresses: Vec<SocketAddr>,
}

impl PeerNetwork {
    /// Each balancer has a loopback address of its own, and so has the network. A port that is closed for a while
    /// stays free, because the system assigns ports of these addresses to nothing else.
    pub(super) async fn start(balancers: usize, seed: u64) -> std::io::Result<Self> {
        static PLAYS: AtomicU32 = AtomicU32::new(0);
        // 127.64.0.0/10, by process and play, because tests run in parallel.
        let play = std::process::id().wrapping_mul(16) + PLAYS.fetch_add(1, Ordering::Relaxed) % 16;
        let base = 0x7f40_0000 | (play % 0x2000) << 9;
        let ip = |i: usize| Ipv4Addr::from(base + i as u32 + 1);
        let held = (0..balancers).map(|b| UdpSocket::bind((ip(b), 0)));
        let held = held.collect::<std::io::Result<Vec<_>>>()?;
        let addresses: Vec<SocketAddr> =
            held.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        let net = DatagramNetwork::start(&addresses, ip(balancers).into(), seed).await?;
        Ok(Self { net, addresses })
    }

    /// The members, as this balancer reaches them.
    pub(super) fn view(&self, balancer: usize) -> FleetView {
        let member = |b: usize| {
            let at = match self.net.address(Pair { from: balancer, to: b }) {
                Some(at) => at,
                None => self.addresses[b],
            };
            (format!("b{}", b + 1), at)
        };
        FleetView { members: (0..self.addresses.len()).map(member).collect() }
    }
}
