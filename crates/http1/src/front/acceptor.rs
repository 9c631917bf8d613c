//! Accepts connections, and settles what becomes of each: admitted, kept waiting, or rejected.

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sableloom_admission::{Arrival, ConnectionId};
use sableloom_types::Span;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at};

use super::client_handle::ClientHandle;
use super::client_memory::ClientMemory;
use super::connection::{LINGER_TIME, Registration, serve};
use super::context::FrontContext;
use super::rejection::rejection;
use crate::count_guard::CountGuard;
use crate::tracked_stream::TrackedStream;

/// When there is no descriptor for a new connection, the next accept is tried after this time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The descriptors for rejected connections, until their clients have read why.
const MAX_REJECTIONS: usize = 8;

/// Accepts the connections of a front.
pub(super) struct Acceptor {
    context: Rc<FrontContext>,
    /// The descriptors of clients: a connection that makes room holds its own a little longer.
    descriptors: Arc<Semaphore>,
    /// The descriptors of rejected connections.
    rejection_descriptors: Arc<Semaphore>,
    /// Whether no more connections are wanted.
    stopping: Cell<bool>,
    stop_signal: Notify,
    /// Listeners that are not closed yet.
    listening: Rc<Cell<usize>>,
    /// Connections that were rejected and are not closed yet.
    rejected: Rc<Cell<usize>>,
}

impl Acceptor {
    pub(super) fn new(context: Rc<FrontContext>, max_connections: usize) -> Self {
        Self {
            context,
            descriptors: Arc::new(Semaphore::new(max_connections)),
            rejection_descriptors: Arc::new(Semaphore::new(MAX_REJECTIONS)),
            stopping: Cell::new(false),
            stop_signal: Notify::new(),
            listening: Rc::default(),
            rejected: Rc::default(),
        }
    }

    /// Stops accepting, once what has connected so far is accepted.
    pub(super) fn stop(&self) {
        self.stopping.set(true);
        self.stop_signal.notify_waiters();
    }

    /// Whether a listener is open.
    pub(super) fn is_listening(&self) -> bool {
        self.listening.get() > 0
    }

    /// The connections that were rejected and are not closed yet.
    pub(super) fn rejected(&self) -> usize {
        self.rejected.get()
    }

    /// Accepts until [`stop`](Self::stop), and then what the system has accepted already: closing a listener resets the
    /// connections that wait in it.
    pub(super) async fn accept(&self, listener: &TcpListener) {
        let _listening = CountGuard::new(&self.listening);
        loop {
            let accepted = match self.stopping.get() {
                false => tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = self.stop_signal.notified() => continue,
                },
                // Not by the runtime, which may not have been notified yet of one that waits.
                true => accept_now(listener),
            };
            match accepted {
                Ok((tcp, from)) => self.settle(tcp, from.ip()).await,
                Err(e) if is_shortage(&e) => {
                    let now = self.context.now();
                    let releases = self.context.admission.borrow_mut().out_of_descriptors(now);
                    releases.into_iter().for_each(|release| self.context.release(release));
                    // Accepting at once would spin.
                    let _ = timeout(ACCEPT_RETRY_DELAY, self.context.slot_signal.notified()).await;
                }
                Err(e) if self.stopping.get() && e.kind() == io::ErrorKind::WouldBlock => return,
                // That client has disconnected again.
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }

    /// Settles what becomes of a new connection. Those behind it wait in the kernel meanwhile.
    async fn settle(&self, tcp: TcpStream, source: IpAddr) {
        let slot_signal = &self.context.slot_signal;
        loop {
            let now = self.context.now();
            let arrival = self.context.admission.borrow_mut().arrive(now, source);
            match arrival {
                Arrival::Admitted(id) => return self.admit(tcp, id).await,
                Arrival::Evict(id) => self.context.make_room(id),
                // The process is about to end: there is no time to wait in.
                Arrival::Wait(_) | Arrival::Reject(_) if self.stopping.get() => {
                    return self.reject(tcp, Span(0), None).await;
                }
                Arrival::Wait(until) => {
                    let until = self.context.clock.instant_of(until);
                    tokio::select! {
                        _ = timeout_at(until, slot_signal.notified()) => {}
                        () = self.stop_signal.notified() => {}
                    }
                }
                // Earlier rejections may hold all descriptors: then a slot may be free first.
                Arrival::Reject(retry_after) => tokio::select! {
                    Ok(descriptor) = self.rejection_descriptors.clone().acquire_owned() => {
                        return self.reject(tcp, retry_after, Some(descriptor)).await;
                    }
                    () = slot_signal.notified() => {}
                    () = self.stop_signal.notified() => {}
                },
            }
        }
    }

    async fn admit(&self, tcp: TcpStream, id: ConnectionId) {
        // Free at once, but for a connection that makes room and is still closing.
        if let Ok(descriptor) = self.descriptors.clone().acquire_owned().await {
            let stream = TrackedStream::new(tcp, Some(descriptor));
            let budget = &self.context.memory;
            stream.charge_read_ahead(budget.charge());
            let client = ClientHandle::new(id, stream, ClientMemory::new(budget));
            spawn_local(serve(Registration::new(self.context.clone(), client)));
        }
    }

    /// Answers a client that is not admitted that it may come back, and when.
    async fn reject(
        &self,
        tcp: TcpStream,
        retry_after: Span,
        descriptor: Option<OwnedSemaphorePermit>,
    ) {
        let counted = CountGuard::new(&self.rejected);
        let stream = TrackedStream::new(tcp, descriptor);
        // The answer fits into the empty buffer of a new connection, or the client has disconnected.
        if stream.write(rejection(retry_after).as_bytes()).await.is_ok() {
            spawn_local(async move {
                stream.drain(LINGER_TIME).await;
                drop(counted);
            });
        }
    }
}

/// What the system has accepted, if there is anything.
fn accept_now(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let (socket, from) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    let from = from.as_socket().ok_or(io::ErrorKind::InvalidData)?;
    Ok((TcpStream::from_std(socket.into())?, from))
}

/// Whether an accept failed for lack of descriptors or memory.
fn is_shortage(e: &io::Error) -> bool {
    // ENOMEM, ENFILE, EMFILE, ENOBUFS (accept(2)).
    matches!(e.raw_os_error(), Some(12 | 23 | 24 | 105))
}
