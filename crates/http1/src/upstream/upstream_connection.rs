//! One connection to a server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sableloom_exchange::Task;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use super::connection_budget::ConnectionBudget;
use super::upstream_memory::{UpstreamMemory, UpstreamReads};
use crate::hyper_io::HyperIo;
use crate::limits::MAX_HEAD_BYTES;
use crate::reuse_guard::ReuseGuard;
use crate::tracked_stream::TrackedStream;

/// A connection to a server. A request's body is sent from the start by each attempt.
pub(super) struct UpstreamConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) stream: Rc<TrackedStream>,
    pub(super) memory: Rc<UpstreamMemory>,
    /// Where it leads to: its server's address may have changed since.
    pub(super) address: SocketAddr,
    pub(super) idle_since: Instant,
    _driver: Task,
}

impl UpstreamConnection {
    /// Opens a connection, within the time and the budget.
    pub(super) async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        budget: &ConnectionBudget,
        guard: &Rc<ReuseGuard>,
    ) -> Option<Self> {
        let end = Instant::now() + connect_timeout;
        let descriptor = timeout_at(end, budget.descriptor()).await.ok()??;
        let memory = UpstreamMemory::reserve(budget.memory().clone());
        let memory = timeout_at(end, memory).await.ok()?.ok()?;
        let tcp = timeout_at(end, TcpStream::connect(address)).await.ok()?.ok()?;
        let stream = TrackedStream::new(tcp, Some(descriptor));
        let observer =
            UpstreamReads { stream: stream.clone(), guard: guard.clone(), memory: memory.clone() };
        let io = TokioIo::new(HyperIo { stream: stream.clone(), observer });
        let (sender, connection) =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await.ok()?;
        let (idle_since, driver) = (Instant::now(), Task::spawn(connection));
        Some(Self { sender, stream, memory, address, idle_since, _driver: driver })
    }

    /// For how long it carries no request.
    pub(super) fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        // The driver's task is aborted only when it is polled next; until then no byte of a request that was given up
        // may be sent.
        self.stream.shut_down();
    }
}
