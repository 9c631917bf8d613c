//! The datagram network between the members of a fleet. Each ordered pair of processes has a socket here,
//! which forwards datagrams as the quality of the link says, from the address by which the receiver knows the
//! sender. While a process does not run, the sockets in front of it are closed, so that the system reports
//! an unreachable port as it would for the process's own address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sableloom_rehearsal::{LinkDirection, LinkQuality};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep_until, timeout};

/// The largest datagram between balancers, in bytes.
pub(crate) const MAX_DATAGRAM: usize = 256;

/// How long a closed socket may stay in use before opening it again fails: as long as a datagram that was
/// sent from it is on its way.
const CLOSED_WITHIN: Duration = Duration::from_secs(5);

/// An ordered pair of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pair {
    /// The sender.
    pub from: usize,
    /// The receiver.
    pub to: usize,
}

/// A socket that tells when its address is free again.
struct LinkSocket {
    // Declared first, so that it is dropped before the sender below.
    socket: UdpSocket,
    _released: oneshot::Sender<()>,
}

struct PeerLink {
    address: SocketAddr,
    /// `None` while the receiver does not run.
    socket: RefCell<Option<Rc<LinkSocket>>>,
    /// Completes once nothing uses the present or last socket any more.
    released: RefCell<Option<oneshot::Receiver<()>>>,
    task: RefCell<Option<AbortHandle>>,
    quality: RefCell<LinkQuality>,
    direction: RefCell<LinkDirection>,
}

/// The datagram network of a set of processes; it lives on the `LocalSet` that it was made on.
///
/// Process A reaches process B at the [`DatagramNetwork::address`] of the pair from A to B. B receives the datagram
/// from the address of the pair from B to A, which is where B reaches A.
pub struct DatagramNetwork {
    processes: Vec<SocketAddr>,
    links: HashMap<Pair, Rc<PeerLink>>,
}

impl Drop for DatagramNetwork {
    fn drop(&mut self) {
        self.links.values().for_each(|link| link.close());
    }
}

impl PeerLink {
    fn new(socket: UdpSocket, seed: u64) -> io::Result<Self> {
        let link = Self {
            address: socket.local_addr()?,
            socket: RefCell::default(),
            released: RefCell::default(),
            task: RefCell::default(),
            quality: RefCell::new(LinkQuality::default()),
            direction: RefCell::new(LinkDirection::new(seed)),
        };
        link.open(socket);
        Ok(link)
    }

    fn open(&self, socket: UdpSocket) {
        let (_released, released) = oneshot::channel();
        *self.socket.borrow_mut() = Some(Rc::new(LinkSocket { socket, _released }));
        *self.released.borrow_mut() = Some(released);
    }

    /// Waits until the address of a closed socket is free again: an aborted task drops the socket when the
    /// runtime gets to it, and a delayed datagram when it has been sent.
    async fn released(&self) -> io::Result<()> {
        let Some(released) = self.released.take() else { return Ok(()) };
        match timeout(CLOSED_WITHIN, released).await {
            Ok(_) => Ok(()),
            Err(_) => Err(io::Error::new(io::ErrorKind::TimedOut, "its socket is still in use")),
        }
    }

    fn close(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.socket.take();
    }
}

impl DatagramNetwork {
    /// Links all processes, which listen at these addresses and all run, with one another. The network's own
    /// sockets are at ports of `ip`. Nothing else should bind there: a closed port has to be free again later.
    ///
    /// # Errors
    ///
    /// If a socket can't be bound.
    pub async fn start(processes: &[SocketAddr], ip: IpAddr, seed: u64) -> io::Result<Self> {
        let mut links = HashMap::new();
        let n = processes.len();
        let pairs = (0..n).flat_map(|from| (0..n).map(move |to| Pair { from, to }));
        for pair in pairs.filter(|pair| pair.from != pair.to) {
            let socket = UdpSocket::bind((ip, 0)).await?;
            let seed = seed.wrapping_mul(1_000_003).wrapping_add((pair.from * n + pair.to) as u64);
            links.insert(pair, Rc::new(PeerLink::new(socket, seed)?));
        }
        let net = Self { processes: processes.to_vec(), links };
        net.links.keys().for_each(|pair| net.carry(*pair));
        Ok(net)
    }

    fn carry(&self, pair: Pair) {
        let reverse = Pair { from: pair.to, to: pair.from };
        let (Some(link), Some(reverse)) = (self.links.get(&pair), self.links.get(&reverse)) else {
            return;
        };
        let Some(socket) = link.socket.borrow().clone() else { return };
        let (sender, target) = (self.processes[pair.from], self.processes[pair.to]);
        let task = spawn_local(forward(link.clone(), socket, reverse.clone(), sender, target));
        *link.task.borrow_mut() = Some(task.abort_handle());
    }

    /// Closes the sockets in front of a process that no longer runs.
    pub fn close(&self, process: usize) {
        let to_it = self.links.iter().filter(|(pair, _)| pair.to == process);
        to_it.for_each(|(_, link)| link.close());
    }

    /// Opens the sockets in front of a process again. It may be started once this has returned.
    ///
    /// # Errors
    ///
    /// If a port can't be bound again.
    pub async fn reopen(&self, process: usize) -> io::Result<()> {
        for (pair, link) in self.links.iter().filter(|(pair, _)| pair.to == process) {
            if link.socket.borrow().is_none() {
                link.released().await?;
                link.open(UdpSocket::bind(link.address).await?);
                self.carry(*pair);
            }
        }
        Ok(())
    }

    /// The address at which the sender of this pair reaches the receiver.
    pub fn address(&self, pair: Pair) -> Option<SocketAddr> {
        Some(self.links.get(&pair)?.address)
    }

    /// Changes the quality of a link.
    pub fn set(&self, pair: Pair, quality: LinkQuality) {
        if let Some(link) = self.links.get(&pair) {
            *link.quality.borrow_mut() = quality;
        }
    }
}

async fn forward(
    link: Rc<PeerLink>,
    socket: Rc<LinkSocket>,
    reverse: Rc<PeerLink>,
    sender: SocketAddr,
    target: SocketAddr,
) {
    let start = Instant::now();
    // One byte more than allowed, to detect datagrams that are too long.
    let mut buffer = [0; MAX_DATAGRAM + 1];
    loop {
        let Ok((n, from)) = socket.socket.recv_from(&mut buffer).await else { continue };
        // Drops datagrams of other senders and those longer than any between balancers.
        if from != sender || n > MAX_DATAGRAM {
            continue;
        }
        let now = start.elapsed().as_micros() as i64;
        let deliveries = {
            let quality = *link.quality.borrow();
            link.direction.borrow_mut().datagram(now, n, &quality)
        };
        for at in deliveries.0 {
            // The sender no longer runs: there is no address to forward from.
            let Some(out) = reverse.socket.borrow().clone() else { continue };
            let bytes = buffer[..n].to_vec();
            let due = start + Duration::from_micros(at.max(0) as u64);
            if at <= now {
                let _ = out.socket.try_send_to(&bytes, target);
                continue;
            }
            spawn_local(async move {
                sleep_until(due.into()).await;
                let _ = out.socket.send_to(&bytes, target).await;
            });
        }
    }
}

#[cfg(test)]
mod tests;
