//! One client connection, from its first byte to its end.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sableloom_admission::{Admission, ConnectionId, KeepAlive, Phase, Release, ReleaseReason};
use sableloom_types::{Span, Time};
use tokio::sync::Notify;

use super::Frontend;
use super::accept::refusal;
use super::length_scan::LengthScan;
use super::request::respond;
use crate::wire::{HEAD_MAX, Io, Wire};

/// How long a closed connection is still read, so that its last answer arrives.
pub(super) const LINGER: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Close {
    /// Once what was written has left.
    Gracefully,
    /// Whatever has come, with a drain.
    Now,
    /// The same, behind a refusal of the request that has begun to come.
    Refuse,
    /// At once, to make room.
    Evict,
}

pub(super) struct Connection {
    pub(super) frontend: Rc<Frontend>,
    pub(super) id: ConnectionId,
    pub(super) wire: Rc<Wire>,
    pub(super) lengths: LengthScan,
    pub(super) close: Cell<Option<Close>>,
    pub(super) wake: Notify,
    /// The head of its present request is read, and no answer is made yet.
    pub(super) handling: Cell<bool>,
    /// Its present request is not waited for any more.
    pub(super) refused: Notify,
}

impl Connection {
    fn heard(&self, bytes: &[u8]) {
        if self.is(Phase::Busy) {
            self.lengths.ahead.set(true);
        } else {
            self.lengths.begin();
            self.tell(Admission::bytes_read);
        }
        self.lengths.scan(bytes);
    }

    pub(super) fn tell<T>(&self, event: impl FnOnce(&mut Admission, Time, ConnectionId) -> T) -> T {
        event(&mut self.frontend.admission.borrow_mut(), self.frontend.now(), self.id)
    }

    pub(super) fn is(&self, phase: Phase) -> bool {
        self.frontend.admission.borrow().phase(self.id) == Some(phase)
    }

    pub(super) fn end(&self, how: Close) {
        if self.close.get().is_none() || how == Close::Evict {
            self.close.set(Some(how));
            self.wake.notify_one();
        }
    }

    /// Whether closing it ends no request that was taken and cuts no answer.
    pub(super) fn is_spare(&self) -> bool {
        !self.is(Phase::Busy) && !self.wire.blocked.get()
    }

    /// Whether a request has begun to come on it, or is about to be read.
    pub(super) fn has_begun(&self) -> bool {
        self.is(Phase::Reading) || self.wire.has_input()
    }

    /// Ends it at once. Both directions are shut first, so that no request can be read of which
    /// nobody would hear.
    pub(super) fn evict(&self) {
        self.wire.cut();
        self.end(Close::Evict);
        self.tell(Admission::closed);
    }

    /// The answer to its request is about to be written: whether the connection ends with it.
    pub(super) fn answering(&self, must_end: bool) -> bool {
        if !self.is(Phase::Busy) {
            self.tell(Admission::request_complete);
        }
        if must_end {
            return true;
        }
        match self.tell(Admission::before_answer) {
            KeepAlive::Keep => false,
            KeepAlive::Close => true,
            KeepAlive::CloseOther(other) => {
                self.frontend.release(Release { id: other, reason: ReleaseReason::MakeRoom });
                false
            }
        }
    }
}

/// A connection's place in the register.
pub(super) struct Registration(pub(super) Rc<Connection>);

impl Drop for Registration {
    fn drop(&mut self) {
        let frontend = &self.0.frontend;
        frontend.clients.borrow_mut().remove(&self.0.id);
        self.0.tell(Admission::closed);
        frontend.changed.notify_one();
    }
}

pub(super) async fn serve(registration: Registration) {
    let client = &registration.0;
    let hears = client.clone();
    let io = Io { wire: client.wire.clone(), on_read: move |bytes: &[u8]| hears.heard(bytes) };
    let service = service_fn(|request| {
        let client = client.clone();
        async move { Ok::<_, Infallible>(respond(client, request).await) }
    });
    {
        let mut http = pin!(
            http1::Builder::new()
                .max_buf_size(HEAD_MAX)
                .serve_connection(TokioIo::new(io), service)
        );
        loop {
            tokio::select! {
                biased;
                _ = http.as_mut() => break,
                () = client.wake.notified() => match client.close.get() {
                    Some(Close::Evict) => return,
                    // Something has come since it was told to close: that is served first. hyper would
                    // drop what it has read of a request, and the rest would find the connection shut.
                    Some(Close::Gracefully) if client.has_begun() => client.close.set(None),
                    Some(Close::Now) if client.wire.has_input() && !client.is(Phase::Reading) => {
                        client.close.set(None);
                    }
                    _ if !client.is_spare() => client.close.set(None),
                    Some(Close::Gracefully) => http.as_mut().graceful_shutdown(),
                    // Its body is waited for, by whoever answers.
                    Some(Close::Refuse) if client.handling.get() => {
                        client.close.set(None);
                        client.refused.notify_one();
                    }
                    Some(Close::Refuse) if !client.is(Phase::Reading) => client.close.set(None),
                    Some(Close::Now | Close::Refuse) => break,
                    None => {}
                },
            }
        }
    }
    if client.close.get() == Some(Close::Refuse) {
        // hyper has written nothing since the last answer left, so that there is room for it.
        let _ = client.wire.write(refusal(Span(0)).as_bytes()).await;
    }
    if client.close.get() != Some(Close::Evict) {
        let by_client = client.close.get().is_none();
        client.tell(|admission, now, id| admission.close_started(now, id, by_client));
        client.frontend.changed.notify_one();
        tokio::select! {
            () = client.wire.drain(LINGER) => {}
            // Room is needed.
            () = client.wake.notified() => {}
        }
    }
}
