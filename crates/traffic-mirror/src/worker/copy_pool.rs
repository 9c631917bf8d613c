//! A pool that gets copies, and whether an attempt was made for a copy.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use sableloom_exchange::{
    AttemptContext, AttemptOutcome, EndpointSource, Exchange, ExchangeOptions, LocalFuture,
    Transport,
};
use sableloom_http1::{ConnectionBudget, Http1Transport, MemoryBudget};
use sableloom_server_files::ServerFiles;
use sableloom_toml_diagnostics::Problem;
use sableloom_types::{LoadReport, ServerId};

use crate::options::{MirrorOptions, MirroredPool};

/// What the messages of one copy may take, in bytes: the largest request and answer, each with a buffer.
const MEMORY_PER_COPY_BYTES: usize = 512 << 10;

/// A pool that gets copies.
pub(super) struct CopyPool {
    pub(super) exchange: Rc<Exchange>,
    transport: Rc<Http1Transport>,
    files: Rc<ServerFiles>,
}

impl CopyPool {
    pub(super) async fn open(
        options: &MirrorOptions,
        pool: &MirroredPool,
    ) -> Result<Self, Vec<Problem>> {
        let mut settings = pool.settings.clone();
        // A retry would hide the failure.
        settings.policy_limits.max_attempts = 1;
        let settings = Rc::new(settings);
        let files = ServerFiles::open(pool.files.clone(), options.clock).await?;
        let max_in_flight = options.limits.max_in_flight;
        let memory = MemoryBudget::new(max_in_flight * MEMORY_PER_COPY_BYTES);
        let transport =
            Http1Transport::new(ConnectionBudget::new(max_in_flight, memory), &settings);
        let source: Rc<dyn EndpointSource> = files.clone();
        let exchange = Exchange::start(ExchangeOptions {
            settings,
            seed: u64::from(std::process::id()),
            clock: options.clock,
            transport: Rc::new(ObservedTransport(transport.clone())),
            source,
        })
        .map_err(|e| vec![Problem::of_file(&pool.name, format!("pool: {e}"))])?;
        files.watch();
        Ok(Self { exchange, transport, files })
    }

    /// Closes connections that were idle for too long.
    pub(super) fn sweep(&self) {
        self.transport.sweep();
    }

    /// Stops its timers and watches.
    pub(super) fn close(&self) {
        self.files.stop();
        self.exchange.close();
    }
}

/// Whether any attempt was made for a copy. The policy rejects an idempotent request that it abandons, whether
/// or not an attempt was made, because it may be repeated; only the transport knows.
#[derive(Clone, Default)]
pub(super) struct AttemptMade(Rc<Cell<bool>>);

impl AttemptMade {
    pub(super) fn get(&self) -> bool {
        self.0.get()
    }
}

/// A transport that records the start of attempts in the [`AttemptMade`] that is attached to a message.
struct ObservedTransport(Rc<Http1Transport>);

impl Transport for ObservedTransport {
    fn attempt(self: Rc<Self>, context: Rc<AttemptContext>) -> LocalFuture<AttemptOutcome> {
        let attachment = context.message.attachment.as_ref();
        if let Some(made) = attachment.and_then(|a| a.downcast_ref::<AttemptMade>()) {
            made.0.set(true);
        }
        self.0.clone().attempt(context)
    }

    fn check_health(
        self: Rc<Self>,
        server: ServerId,
        to: SocketAddr,
    ) -> LocalFuture<Option<LoadReport>> {
        self.0.clone().check_health(server, to)
    }

    fn set_retired(&self, server: ServerId, retired: bool) {
        self.0.set_retired(server, retired);
    }

    fn address_changed(&self, server: ServerId) {
        self.0.address_changed(server);
    }

    fn forget(&self, server: ServerId) {
        self.0.forget(server);
    }
}
