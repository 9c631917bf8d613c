//! The network between balancers and nodes: for each pair a listener gate, and a proxy that applies the
//! quality of the link to the bytes in both directions.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use sableloom_emulator::Phase;
use sableloom_rehearsal::{LinkDirection, LinkQuality, LinkState};
use sableloom_stand_ins::Shell;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, duplex, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::listener_gate::{ListenerGate, ListenerState};

/// Buffer of the node's end of a connection, in bytes.
const DUPLEX: usize = 64 * 1024;
/// Chunks that may be on a link in one direction.
const PIECES: usize = 256;
/// Largest chunk, in bytes.
const PIECE: usize = 16 * 1024;

/// One direction of a link, driven by the clock.
struct ClockedDirection {
    quality: watch::Sender<LinkQuality>,
    model: RefCell<LinkDirection>,
    start: Instant,
}

impl ClockedDirection {
    fn new(seed: u64) -> Self {
        Self {
            quality: watch::Sender::new(LinkQuality::default()),
            model: RefCell::new(LinkDirection::new(seed)),
            start: Instant::now(),
        }
    }

    fn breaks(&self) -> bool {
        let quality = *self.quality.borrow();
        self.model.borrow_mut().breaks(&quality)
    }

    fn due(&self, bytes: usize) -> Instant {
        let now = self.start.elapsed().as_micros() as i64;
        let quality = *self.quality.borrow();
        let at = self.model.borrow_mut().piece(now, bytes, &quality);
        self.start + Duration::from_micros(at.max(0) as u64)
    }

    async fn becomes(&self, state: LinkState) {
        let mut quality = self.quality.subscribe();
        // `self` owns the sender, so the channel stays open.
        let _ = quality.wait_for(|quality| quality.state == state).await;
    }
}

/// The link between a balancer and a node.
pub struct Link {
    there: ClockedDirection,
    back: ClockedDirection,
    gate: RefCell<ListenerGate>,
    state: watch::Sender<ListenerState>,
    node: Rc<Shell>,
    balancer: usize,
}

impl Link {
    /// Starts an open link. To be called on a `LocalSet`.
    ///
    /// # Errors
    ///
    /// If its socket can't be bound.
    pub fn start(balancer: usize, node: Rc<Shell>, seed: u64) -> io::Result<Rc<Self>> {
        let link = Rc::new(Self {
            there: ClockedDirection::new(seed.wrapping_mul(2)),
            back: ClockedDirection::new(seed.wrapping_mul(2) + 1),
            gate: RefCell::new(ListenerGate::new()?),
            state: watch::Sender::new(ListenerState::Refusing),
            node,
            balancer,
        });
        link.refresh();
        // The task runs as long as the `LocalSet` does.
        let own = link.clone();
        spawn_local(async move {
            loop {
                if let Err(e) = own.keep().await {
                    // Out of descriptors, for example: clients meet a node that refuses.
                    eprintln!("sableloom: rehearse: a link's gate: {e}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        });
        Ok(link)
    }

    /// The address at which the balancer reaches the node.
    pub fn address(&self) -> SocketAddr {
        self.gate.borrow().address()
    }

    /// Changes the quality of the link, in the directions that are given.
    pub fn set(&self, there: Option<LinkQuality>, back: Option<LinkQuality>) {
        if let Some(there) = there {
            self.there.quality.send_replace(there);
        }
        if let Some(back) = back {
            self.back.quality.send_replace(back);
        }
        self.refresh();
    }

    /// Updates the gate from the states of the link and the node.
    pub fn refresh(&self) {
        let ways = [self.there.quality.borrow().state, self.back.quality.borrow().state];
        // A partition hides whether the process behind it is gone.
        let state = if ways.contains(&LinkState::Silent) {
            ListenerState::Silent
        } else if ways.contains(&LinkState::Cut) || self.node.look(|node| node.phase()) != Phase::Up
        {
            ListenerState::Refusing
        } else {
            ListenerState::Accepting
        };
        self.state.send_if_modified(|before| std::mem::replace(before, state) != state);
    }

    /// Holds the gate in its present state until that changes.
    async fn keep(self: &Rc<Self>) -> io::Result<()> {
        let mut state = self.state.subscribe();
        let now = *state.borrow_and_update();
        let listener = self.gate.borrow_mut().set(now)?;
        let changed = async {
            let _ = state.changed().await;
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
                // Without this, small answers wait for an acknowledgement.
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
            // When the balancer closes, the node closes as well, and that ends the connection.
            std::future::pending::<()>().await;
        };
        let reset = tokio::select! {
            (_, taken) = async { tokio::join!(back, served) } => !taken.unwrap_or(false),
            () = there => false,
            () = broken.notified() => true,
            () = self.there.becomes(LinkState::Cut) => true,
            () = self.back.becomes(LinkState::Cut) => true,
        };
        if reset {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Copies one direction of a connection until it ends.
async fn pump<R, W>(
    direction: &ClockedDirection,
    mut from: R,
    mut to: W,
    sent: Option<&Cell<Instant>>,
    broken: &Notify,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    // When a chunk is due, its bytes, and whether the connection breaks after it.
    let (put, mut pieces) = mpsc::channel::<(Instant, Bytes, bool)>(PIECES);
    let read = async move {
        loop {
            let mut buffer = BytesMut::with_capacity(PIECE);
            // A broken connection is treated as a closed one.
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
            // While the link is partitioned, data and closes are held back; they are delivered afterwards.
            direction.becomes(LinkState::Open).await;
            if piece.is_empty() {
                break;
            }
            to.write_all(&piece).await?;
            if breaks {
                broken.notify_one();
            }
        }
        // Towards the balancer, `carry` ends the whole connection: closed, or reset.
        if sent.is_some() { to.shutdown().await } else { Ok(()) }
    };
    // Once the far end takes no more, reading is pointless.
    tokio::pin!(read);
    tokio::pin!(write);
    tokio::select! {
        ended = &mut write => ended,
        () = &mut read => write.await,
    }
}
