//! The task that serves one client connection, from its first byte to its end.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sableloom_admission::{Admission, Phase};
use sableloom_types::Span;

use super::client_handle::{ClientHandle, CloseMode};
use super::context::FrontContext;
use super::memory_charges::ClientReads;
use super::rejection::rejection;
use super::request::respond;
use crate::hyper_io::HyperIo;
use crate::limits::MAX_HEAD_BYTES;
use crate::memory::MemoryExhausted;

/// How long a closed connection is still read, so that its last answer arrives.
pub(super) const LINGER_TIME: Duration = Duration::from_millis(500);

/// A client connection's entry in the front; its slot is released when this is dropped.
pub(super) struct Registration {
    context: Rc<FrontContext>,
    client: Rc<ClientHandle>,
}

impl Registration {
    pub(super) fn new(context: Rc<FrontContext>, client: Rc<ClientHandle>) -> Self {
        context.clients.borrow_mut().insert(client.id, client.clone());
        Self { context, client }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.context.clients.borrow_mut().remove(&self.client.id);
        self.context.notify_admission(&self.client, Admission::closed);
        self.context.slot_signal.notify_one();
    }
}

/// What the task does when a close was asked for.
enum CloseStep {
    /// Closes without a word: both directions are shut already.
    Abort,
    /// Goes on serving: there is a reason against the close, or it was passed on.
    Continue,
    /// Finishes what is written, then closes.
    FinishAndClose,
    /// Stops serving and closes.
    Close,
}

/// Serves a connection to its end.
pub(super) async fn serve(registration: Registration) {
    let Registration { context, client } = &registration;
    let served = match context.charge_connection(client).await {
        Ok(()) => serve_requests(context, client).await,
        Err(MemoryExhausted) => {
            client.close_mode.set(Some(CloseMode::Reject));
            Ok(())
        }
    };
    context.release_memory(client);
    if served.is_err() {
        return;
    }
    if client.close_mode.get() == Some(CloseMode::Reject) {
        // hyper has written nothing since the last answer was sent, so that there is room for it.
        let _ = client.stream.write(rejection(Span(0)).as_bytes()).await;
    }
    if client.close_mode.get() != Some(CloseMode::Evict) {
        let by_client = client.close_mode.get().is_none();
        context.notify_admission(client, |admission, now, id| {
            admission.close_started(now, id, by_client);
        });
        context.slot_signal.notify_one();
        tokio::select! {
            () = client.stream.drain(LINGER_TIME) => {}
            // Room is needed.
            () = client.close_signal.notified() => {}
        }
    }
}

/// The connection was evicted.
struct Evicted;

/// Serves the requests of a connection until it ends or is to be closed.
async fn serve_requests(
    context: &Rc<FrontContext>,
    client: &Rc<ClientHandle>,
) -> Result<(), Evicted> {
    let observer = ClientReads { context: context.clone(), client: client.clone() };
    let io = HyperIo { stream: client.stream.clone(), observer };
    let service = service_fn(|request| {
        let (context, client) = (context.clone(), client.clone());
        async move { Ok::<_, Infallible>(respond(context, client, request).await) }
    });
    let mut server = http1::Builder::new();
    let server = server.max_buf_size(MAX_HEAD_BYTES);
    let mut connection = pin!(server.serve_connection(TokioIo::new(io), service));
    loop {
        tokio::select! {
            biased;
            _ = connection.as_mut() => return Ok(()),
            () = client.close_signal.notified() => match close_step(context, client) {
                CloseStep::Abort => return Err(Evicted),
                CloseStep::Continue => {}
                CloseStep::FinishAndClose => connection.as_mut().graceful_shutdown(),
                CloseStep::Close => return Ok(()),
            },
        }
    }
}

/// Decides on a close that was asked for. It is cancelled if there is a reason against it by now.
fn close_step(context: &FrontContext, client: &ClientHandle) -> CloseStep {
    let Some(mode) = client.close_mode.get() else { return CloseStep::Continue };
    let cancel = || {
        context.close_cancelled(client);
        CloseStep::Continue
    };
    match mode {
        CloseMode::Evict => CloseStep::Abort,
        // Bytes have come since the close was asked for: they are served first. hyper would drop what it has read of a
        // request, and the rest would find the connection closed.
        CloseMode::Graceful if context.has_partial_request(client) => cancel(),
        CloseMode::Drain
            if client.stream.has_input() && !context.is_in_phase(client, Phase::Reading) =>
        {
            cancel()
        }
        _ if !context.is_closable(client) => cancel(),
        // The handler is dropped with the part that has come.
        CloseMode::Shed if context.is_in_phase(client, Phase::Reading) => {
            client.close_mode.set(Some(CloseMode::Reject));
            CloseStep::Close
        }
        CloseMode::Shed if client.stream.has_input() => cancel(),
        CloseMode::Shed if context.is_in_phase(client, Phase::New) => CloseStep::Close,
        CloseMode::Shed => CloseStep::FinishAndClose,
        CloseMode::Graceful => CloseStep::FinishAndClose,
        // The handler of the request waits for its body, and rejects it.
        CloseMode::Reject if client.handling.get() => {
            client.reject_signal.notify_one();
            cancel()
        }
        CloseMode::Reject if !context.is_in_phase(client, Phase::Reading) => cancel(),
        CloseMode::Drain | CloseMode::Reject => CloseStep::Close,
    }
}
