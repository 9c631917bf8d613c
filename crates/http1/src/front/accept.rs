//! Accepting connections, and what becomes of each: let in, kept waiting, or turned away.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use sableloom_admission::{Arrival, ConnectionId};
use sableloom_types::Span;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at};

use super::connection::{Connection, LINGER, Registration, serve};
use super::length_scan::LengthScan;
use super::{CountGuard, Frontend};
use crate::wire::Wire;

/// When there is no descriptor for a new connection, how soon another look is taken.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);

impl Frontend {
    /// Accepts until [`Frontend::shut`], and then what the system has accepted already: to close a
    /// listener resets what waits there.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let _listens = CountGuard::new(&self, |frontend| &frontend.listening);
        loop {
            let accepted = match self.shut.get() {
                false => tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = self.shuts.notified() => continue,
                },
                // Not by the runtime, which may not have heard yet of one that is there.
                true => accept_now(&listener),
            };
            match accepted {
                Ok((stream, from)) => self.arrived(stream, from.ip()).await,
                Err(e) if is_shortage(&e) => {
                    let releases = self.admission.borrow_mut().out_of_descriptors(self.now());
                    releases.into_iter().for_each(|release| self.release(release));
                    // Accepting at once would spin.
                    let _ = timeout(ACCEPT_AGAIN, self.changed.notified()).await;
                }
                Err(e) if self.shut.get() && e.kind() == std::io::ErrorKind::WouldBlock => return,
                // That client has gone again.
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }

    /// Settles what becomes of a new connection. Those behind it wait in the kernel meanwhile.
    async fn arrived(self: &Rc<Self>, stream: TcpStream, source: IpAddr) {
        loop {
            let arrival = self.admission.borrow_mut().arrive(self.now(), source);
            match arrival {
                Arrival::Admitted(id) => {
                    // At once, but for what a connection that made room has to wind down.
                    if let Ok(slot) = self.slots.clone().acquire_owned().await {
                        self.open(stream, slot, id);
                    }
                    return;
                }
                Arrival::Evict(id) => self.make_room(id),
                // This process is about to end: there is no time to wait in.
                Arrival::Wait(_) | Arrival::Reject(_) if self.shut.get() => {
                    return self.turn_away(stream, Span(0), None).await;
                }
                Arrival::Wait(until) => {
                    let until = self.clock.instant_of(until);
                    tokio::select! {
                        _ = timeout_at(until, self.changed.notified()) => {}
                        () = self.shuts.notified() => {}
                    }
                }
                // Those turned away before it may hold all permits: then a place may come first.
                Arrival::Reject(advice) => tokio::select! {
                    Ok(permit) = self.rejections.clone().acquire_owned() => {
                        return self.turn_away(stream, advice, Some(permit)).await;
                    }
                    () = self.changed.notified() => {}
                    () = self.shuts.notified() => {}
                },
            }
        }
    }

    /// Tells a client that was not let in that it is harmless to come back, and when.
    async fn turn_away(
        self: &Rc<Self>,
        stream: TcpStream,
        advice: Span,
        permit: Option<OwnedSemaphorePermit>,
    ) {
        let counted = CountGuard::new(self, |frontend| &frontend.turned_away);
        let wire = Wire::new(stream, permit);
        // It fits into the empty buffer of a new connection, or the client is gone.
        if wire.write(refusal(advice).as_bytes()).await.is_ok() {
            spawn_local(async move {
                wire.drain(LINGER).await;
                drop(counted);
            });
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream, slot: OwnedSemaphorePermit, id: ConnectionId) {
        let client = Rc::new(Connection {
            frontend: self.clone(),
            id,
            wire: Wire::new(stream, Some(slot)),
            lengths: LengthScan::new(),
            close: Cell::new(None),
            wake: Notify::new(),
            handling: Cell::new(false),
            refused: Notify::new(),
        });
        self.clients.borrow_mut().insert(id, client.clone());
        spawn_local(serve(Registration(client)));
    }
}

/// An answer for a client that is not served: it is harmless to come back, after this time if it isn't 0.
pub(super) fn refusal(advice: Span) -> String {
    let advice = match advice.0 {
        0 => String::new(),
        us => format!("Retry-After: {:.3}\r\n", us as f64 / 1e6),
    };
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n{advice}Content-Length: 0\r\n\
         Connection: close\r\n\r\n"
    )
}

/// What the system has accepted, if there is anything.
fn accept_now(listener: &TcpListener) -> std::io::Result<(TcpStream, SocketAddr)> {
    let (socket, from) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    let from = from.as_socket().ok_or(std::io::ErrorKind::InvalidData)?;
    Ok((TcpStream::from_std(socket.into())?, from))
}

/// Whether an accept failed for want of descriptors or memory.
fn is_shortage(e: &std::io::Error) -> bool {
    // ENOMEM, ENFILE, EMFILE, ENOBUFS (accept(2)).
    matches!(e.raw_os_error(), Some(12 | 23 | 24 | 105))
}
