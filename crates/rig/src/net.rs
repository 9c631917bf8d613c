//! The net between balancers and nodes: a gate for each pair, and what the link does to what passes.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use sableloom_emulator::Phase;
use sableloom_rehearsal::{Passage, Quality, Way};
use sableloom_standin::Shell;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, duplex, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::gate::{Door, Gate};

/// Bytes that may be on their way in the node's end of a connection.
const DUPLEX: usize = 64 * 1024;
/// Pieces that may be on a link one way.
const PIECES: usize = 256;
/// Bytes of a piece.
const PIECE: usize = 16 * 1024;

/// One way of a link.
struct Direction {
    quality: watch::Sender<Quality>,
    passage: RefCell<Passage>,
    start: Instant,
}

impl Direction {
    fn new(seed: u64) -> Self {
        Self {
            quality: watch::Sender::new(Quality::default()),
            passage: RefCell::new(Passage::new(seed)),
            start: Instant::now(),
        }
    }

    fn breaks(&self) -> bool {
        let quality = *self.quality.borrow();
        self.passage.borrow_mut().breaks(&quality)
    }

    fn due(&self, bytes: usize) -> Instant {
        let now = self.start.elapsed().as_micros() as i64;
        let quality = *self.quality.borrow();
        let at = self.passage.borrow_mut().piece(now, bytes, &quality);
        self.start + Duration::from_micros(at.max(0) as u64)
    }

    async fn becomes(&self, way: Way) {
        let mut quality = self.quality.subscribe();
        // The sender is ours: it is there as long as we are.
        let _ = quality.wait_for(|quality| quality.way == way).await;
    }
}

/// The link between a balancer and a node.
pub struct Link {
    there: Direction,
    back: Direction,
    gate: RefCell<Gate>,
    door: watch::Sender<Door>,
    node: Rc<Shell>,
    balancer: usize,
}

impl Link {
    /// An open one. To be called on a `LocalSet`.
    pub fn start(balancer: usize, node: Rc<Shell>, seed: u64) -> io::Result<Rc<Self>> {
        let link = Rc::new(Self {
            there: Direction::new(seed.wrapping_mul(2)),
            back: Direction::new(seed.wrapping_mul(2) + 1),
            gate: RefCell::new(Gate::new()?),
            door: watch::Sender::new(Door::Refused),
            node,
            balancer,
        });
        link.refresh();
        // It is kept as long as the `LocalSet` runs.
        let own = link.clone();
        spawn_local(async move {
            loop {
                if let Err(e) = own.keep().await {
                    // For want of descriptors, say: the run will tell of it as of a node that refuses.
                    eprintln!("sableloom: rehearse: a link's gate: {e}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        });
        Ok(link)
    }

    /// Where the balancer finds the node.
    pub fn address(&self) -> SocketAddr {
        self.gate.borrow().address()
    }

    /// Changes the link.
    pub fn set(&self, there: Option<Quality>, back: Option<Quality>) {
        if let Some(there) = there {
            self.there.quality.send_replace(there);
        }
        if let Some(back) = back {
            self.back.quality.send_replace(back);
        }
        self.refresh();
    }

    /// Looks at the link and the node again: what do new connections meet?
    pub fn refresh(&self) {
        let ways = [self.there.quality.borrow().way, self.back.quality.borrow().way];
        // A link that lets nothing pass hides that the process behind it is gone.
        let door = if ways.contains(&Way::Silent) {
            Door::Silent
        } else if ways.contains(&Way::Cut) || self.node.look(|node| node.phase()) != Phase::Up {
            Door::Refused
        } else {
            Door::Open
        };
        self.door.send_if_modified(|before| std::mem::replace(before, door) != door);
    }

    /// Keeps the gate as it has to be until that changes.
    async fn keep(self: &Rc<Self>) -> io::Result<()> {
        let mut door = self.door.subscribe();
        let now = *door.borrow_and_update();
        let listener = self.gate.borrow_mut().set(now)?;
        let changed = async {
            let _ = door.changed().await;
        };
        let Some(listener) = listener else {
            changed.await;
            return Ok(());
        };
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let accept = async {
            loop {
                let (stream, peer) = listener.accept().await?;
                if self.gate.borrow().is_filler(peer) {
                    continue;
                }
                // Small answers must not wait for an acknowledgement.
                let _ = stream.set_nodelay(true);
                let link = self.clone();
                spawn_local(async move { link.carry(stream).await });
            }
        };
        tokio::select! {
            () = changed => Ok(()),
            ended = accept => ended,
        }
    }

    async fn carry(self: Rc<Self>, stream: TcpStream) {
        let (near, far) = duplex(DUPLEX);
        let sent = Rc::new(Cell::new(Instant::now()));
        let link = self.clone();
        let shell_sent = sent.clone();
        let served = spawn_local(async move {
            let taken = link.node.serve(far, link.balancer, shell_sent).await;
            taken && link.node.look(|node| node.phase()) == Phase::Up
        });
        let (from_node, to_node) = split(near);
        let mut stream = stream;
        let (from_balancer, to_balancer) = stream.split();
        let broken = Notify::new();
        let there = pump(&self.there, from_balancer, to_node, Some(&sent), &broken);
        let back = pump(&self.back, from_node, to_balancer, None, &broken);
        let there = async {
            let _ = there.await;
            // The balancer's close is told to the node, whose end then ends the connection.
            std::future::pending::<()>().await;
        };
        let reset = tokio::select! {
            (_, taken) = async { tokio::join!(back, served) } => !taken.unwrap_or(false),
            () = there => false,
            () = broken.notified() => true,
            () = self.there.becomes(Way::Cut) => true,
            () = self.back.becomes(Way::Cut) => true,
        };
        if reset {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Carries one way of a connection until it ends.
async fn pump<R, W>(
    direction: &Direction,
    mut from: R,
    mut to: W,
    sent: Option<&Cell<Instant>>,
    broken: &Notify,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    // A piece, and whether the connection breaks behind it.
    let (put, mut pieces) = mpsc::channel::<(Instant, Bytes, bool)>(PIECES);
    let read = async move {
        loop {
            let mut buffer = BytesMut::with_capacity(PIECE);
            // A connection that breaks ends here as one that was closed.
            let n = from.read_buf(&mut buffer).await.unwrap_or(0);
            if let Some(sent) = sent.filter(|_| n > 0) {
                sent.set(Instant::now());
            }
            let due = direction.due(n);
            let breaks = n > 1 && direction.breaks();
            if breaks {
                buffer.truncate(n / 2);
            }
            if put.send((due, buffer.freeze(), breaks)).await.is_err() || n == 0 || breaks {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, piece, breaks)) = pieces.recv().await {
            if due > Instant::now() {
                sleep_until(due.into()).await;
            }
            // Whoever was cut off learns what was sent, and what ended, once the link is back.
            direction.becomes(Way::Open).await;
            if piece.is_empty() {
                break;
            }
            to.write_all(&piece).await?;
            if breaks {
                broken.notify_one();
            }
        }
        // To the balancer it ends as the whole connection does: closed, or reset.
        if sent.is_some() { to.shutdown().await } else { Ok(()) }
    };
    // Once the far end takes no more there is nothing to read for.
    tokio::pin!(read);
    tokio::pin!(write);
    tokio::select! {
        ended = &mut write => ended,
        () = &mut read => write.await,
    }
}
