//! Datagrams between processes that know each other: for each ordered pair a socket of the rig, which
//! hands on what it gets as the link says, from an address that the receiver knows the sender by. Where no
//! process runs its sockets are closed, so that the system answers as it would of the process's own address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sableloom_rehearsal::{Passage, Quality};
use tokio::net::UdpSocket;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep_until;

/// The most that a datagram between balancers holds.
pub const MOST: usize = 256;

/// How long a socket that was let go of may still be held.
const CLOSED_WITHIN: Duration = Duration::from_secs(5);

/// One way from one process to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pair {
    /// Who sends.
    pub from: usize,
    /// Who is meant.
    pub to: usize,
}

struct Way {
    address: SocketAddr,
    /// None while the one that is meant does not run.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    task: RefCell<Option<AbortHandle>>,
    quality: RefCell<Quality>,
    passage: RefCell<Passage>,
}

/// The net of datagrams of some processes; it lives on the `LocalSet` that it was made on.
///
/// To process A, process B is the address [`Datagrams::address`] of the pair from A to B: what A sends
/// there comes to B from the address of the pair from B to A, which is where B finds A.
pub struct Datagrams {
    processes: Vec<SocketAddr>,
    ways: HashMap<Pair, Rc<Way>>,
}

impl Drop for Datagrams {
    fn drop(&mut self) {
        self.ways.values().for_each(|way| way.close());
    }
}

impl Way {
    fn close(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.socket.take();
    }
}

impl Datagrams {
    /// Links all of these, which listen at these addresses, with one another. All run. The net's own sockets
    /// are at ports of `ip`, which is best nobody else's: one that is closed for a while has to be free again.
    pub async fn start(processes: &[SocketAddr], ip: IpAddr, seed: u64) -> io::Result<Self> {
        let mut ways = HashMap::new();
        let n = processes.len();
        let pairs = (0..n).flat_map(|from| (0..n).map(move |to| Pair { from, to }));
        for pair in pairs.filter(|pair| pair.from != pair.to) {
            let socket = UdpSocket::bind((ip, 0)).await?;
            let address = socket.local_addr()?;
            let socket = RefCell::new(Some(Rc::new(socket)));
            let seed = seed.wrapping_mul(1_000_003).wrapping_add((pair.from * n + pair.to) as u64);
            let passage = RefCell::new(Passage::new(seed));
            let quality = RefCell::new(Quality::default());
            let task = RefCell::default();
            ways.insert(pair, Rc::new(Way { address, socket, task, quality, passage }));
        }
        let net = Self { processes: processes.to_vec(), ways };
        net.ways.keys().for_each(|pair| net.carry(*pair));
        Ok(net)
    }

    fn carry(&self, pair: Pair) {
        let back = Pair { from: pair.to, to: pair.from };
        let (Some(way), Some(back)) = (self.ways.get(&pair), self.ways.get(&back)) else { return };
        let Some(socket) = way.socket.borrow().clone() else { return };
        let (sender, target) = (self.processes[pair.from], self.processes[pair.to]);
        let task = spawn_local(hand_on(way.clone(), socket, back.clone(), sender, target));
        *way.task.borrow_mut() = Some(task.abort_handle());
    }

    /// A process no longer runs.
    pub fn ended(&self, process: usize) {
        let to_it = self.ways.iter().filter(|(pair, _)| pair.to == process);
        to_it.for_each(|(_, way)| way.close());
    }

    /// A process is to run: it may be started once this is done.
    pub async fn starts(&self, process: usize) -> io::Result<()> {
        for (pair, way) in self.ways.iter().filter(|(pair, _)| pair.to == process) {
            let until = Instant::now() + CLOSED_WITHIN;
            while way.socket.borrow().is_none() {
                match UdpSocket::bind(way.address).await {
                    Ok(socket) => {
                        *way.socket.borrow_mut() = Some(Rc::new(socket));
                        self.carry(*pair);
                    }
                    // A task that was ended lets go of its socket when its turn comes.
                    Err(e) if e.kind() != io::ErrorKind::AddrInUse || Instant::now() > until => {
                        return Err(e);
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
                }
            }
        }
        Ok(())
    }

    /// Where the sender of this pair finds the receiver.
    pub fn address(&self, pair: Pair) -> Option<SocketAddr> {
        Some(self.ways.get(&pair)?.address)
    }

    /// Changes a way.
    pub fn set(&self, pair: Pair, quality: Quality) {
        if let Some(way) = self.ways.get(&pair) {
            *way.quality.borrow_mut() = quality;
        }
    }
}

async fn hand_on(
    way: Rc<Way>,
    socket: Rc<UdpSocket>,
    back: Rc<Way>,
    sender: SocketAddr,
    target: SocketAddr,
) {
    let start = Instant::now();
    // One byte more than is allowed shows what is too long.
    let mut buffer = [0; MOST + 1];
    loop {
        let Ok((n, from)) = socket.recv_from(&mut buffer).await else { continue };
        // What a stranger sends, and what is too long for the wire between balancers, is not theirs.
        if from != sender || n > MOST {
            continue;
        }
        let now = start.elapsed().as_micros() as i64;
        let fate = {
            let quality = *way.quality.borrow();
            way.passage.borrow_mut().datagram(now, n, &quality)
        };
        for at in fate.0 {
            // Who sends no longer runs: what it left on the way has no address to come from.
            let Some(out) = back.socket.borrow().clone() else { continue };
            let bytes = buffer[..n].to_vec();
            let due = start + Duration::from_micros(at.max(0) as u64);
            if at <= now {
                let _ = out.try_send_to(&bytes, target);
                continue;
            }
            spawn_local(async move {
                sleep_until(due.into()).await;
                let _ = out.send_to(&bytes, target).await;
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use sableloom_rehearsal::Way;
    use tokio::task::LocalSet;
    use tokio::time::timeout;

    use super::*;

    const LONG: Duration = Duration::from_secs(20);
    const LOCALHOST: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

    async fn with_two<F: Future>(what: impl FnOnce(Vec<UdpSocket>, Datagrams) -> F) -> F::Output {
        let local = LocalSet::new();
        local
            .run_until(async {
                let mut sockets = Vec::new();
                for _ in 0..2 {
                    sockets.push(UdpSocket::bind((LOCALHOST, 0)).await.expect("a socket"));
                }
                let at: Vec<_> = sockets.iter().map(|s| s.local_addr().expect("bound")).collect();
                let net = Datagrams::start(&at, LOCALHOST, 3).await.expect("a net");
                what(sockets, net).await
            })
            .await
    }

    async fn next(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
        let mut buffer = [0; 512];
        let (n, from) =
            timeout(LONG, socket.recv_from(&mut buffer)).await.expect("in time").expect("read");
        (buffer[..n].to_vec(), from)
    }

    const THERE: Pair = Pair { from: 0, to: 1 };
    const BACK: Pair = Pair { from: 1, to: 0 };

    #[tokio::test]
    async fn each_knows_the_other_by_one_address_both_ways() {
        with_two(async |sockets, net| {
            sockets[0].send_to(b"hello", net.address(THERE).expect("a way")).await.expect("sent");
            let (text, from) = next(&sockets[1]).await;
            assert_eq!((text.as_slice(), Some(from)), (&b"hello"[..], net.address(BACK)));
            // An answer to where it came from arrives.
            sockets[1].send_to(b"good day", from).await.expect("sent");
            let (text, from) = next(&sockets[0]).await;
            assert_eq!((text.as_slice(), Some(from)), (&b"good day"[..], net.address(THERE)));
        })
        .await;
    }

    #[tokio::test]
    async fn one_way_may_be_cut_while_the_other_is_open() {
        with_two(async |sockets, net| {
            net.set(THERE, Quality { way: Way::Silent, ..Quality::default() });
            let (there, back) =
                (net.address(THERE).expect("a way"), net.address(BACK).expect("a way"));
            sockets[0].send_to(b"lost", there).await.expect("sent");
            sockets[1].send_to(b"back", back).await.expect("sent");
            assert_eq!(next(&sockets[0]).await.0, b"back");
            // A stranger's and one that is too long are dropped as well; what comes after shows it.
            let stranger = UdpSocket::bind((LOCALHOST, 0)).await.expect("a socket");
            net.set(THERE, Quality::default());
            stranger.send_to(b"stranger", there).await.expect("sent");
            sockets[0].send_to(&[7; MOST + 1], there).await.expect("sent");
            sockets[0].send_to(&[8; MOST], there).await.expect("sent");
            assert_eq!(next(&sockets[1]).await.0, [8; MOST]);
        })
        .await;
    }

    #[tokio::test]
    async fn datagrams_come_twice_and_out_of_order_where_that_is_said() {
        with_two(async |sockets, net| {
            net.set(THERE, Quality { doubled: 1.0, reordered: 0.5, ..Quality::default() });
            let there = net.address(THERE).expect("a way");
            for i in 0..40u8 {
                sockets[0].send_to(&[i], there).await.expect("sent");
            }
            let mut came = Vec::new();
            while came.len() < 80 {
                came.push(next(&sockets[1]).await.0[0]);
            }
            assert!(came.windows(2).any(|w| w[0] > w[1]), "none was overtaken: {came:?}");
            came.sort_unstable();
            assert!((0..40).all(|i| came.iter().filter(|c| **c == i).count() == 2), "{came:?}");
        })
        .await;
    }

    /// Where nobody runs the system says so to whoever asks from a connected socket; a silent way does not.
    #[tokio::test]
    async fn a_process_that_is_gone_is_told_from_one_that_is_cut_off() {
        with_two(async |_, net| {
            let there = net.address(THERE).expect("a way");
            let knock = async || {
                let socket = UdpSocket::bind((LOCALHOST, 0)).await.expect("a socket");
                socket.connect(there).await.expect("connected");
                socket.send(&[0]).await.expect("sent");
                let mut buffer = [0; 1];
                timeout(Duration::from_millis(300), socket.recv(&mut buffer)).await
            };
            net.set(THERE, Quality { way: Way::Silent, ..Quality::default() });
            assert!(knock().await.is_err(), "nothing is said of one that is cut off");
            net.ended(1);
            tokio::task::yield_now().await;
            let refused = knock().await.expect("an answer").expect_err("nobody is there");
            assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
            net.starts(1).await.expect("open again");
            assert!(knock().await.is_err(), "it is back, and cut off as before");
        })
        .await;
    }
}
