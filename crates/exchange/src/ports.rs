//! The traits at which protocols meet the exchange: services, transports and sources of endpoints.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use sableloom_types::{ListKind, ListedEndpoint, LoadReport, ServerId};

use crate::attempt_context::AttemptContext;
use crate::message::{Answer, Message, Reply, RequestContext, RequestRejection};
use crate::outcome::AttemptEnd;

/// A future that runs on this thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Takes complete requests from a front, and gives one final answer to each.
pub trait Service {
    /// Accepts a request. Dropping the future before it is ready says that the client has disconnected.
    ///
    /// # Errors
    ///
    /// Why the request is not accepted; nothing was done for it.
    fn call(
        self: Rc<Self>,
        context: RequestContext,
        message: Message,
    ) -> Result<LocalFuture<Reply>, RequestRejection>;
}

/// The outcome of an attempt, as its transport reports it.
pub struct AttemptOutcome {
    /// How it ended.
    pub ended: AttemptEnd,
    /// The server stated that it did not execute the request.
    pub not_executed: bool,
    /// The server's load report.
    pub report: LoadReport,
    /// The answer, if there is one.
    pub answer: Option<Answer>,
}

impl AttemptOutcome {
    /// An end without an answer.
    pub fn without_answer(ended: AttemptEnd) -> Self {
        Self { ended, not_executed: false, report: LoadReport::default(), answer: None }
    }
}

/// Carries single attempts to servers. It reports facts and decides nothing; above all it never sends a request
/// again of which more than all but the last byte was sent.
pub trait Transport {
    /// Runs one attempt. Once the future is dropped, no further byte of the request is sent.
    fn attempt(self: Rc<Self>, context: Rc<AttemptContext>) -> LocalFuture<AttemptOutcome>;

    /// Checks the health of a server: its load report, or `None` if it does not answer.
    fn check_health(
        self: Rc<Self>,
        server: ServerId,
        address: SocketAddr,
    ) -> LocalFuture<Option<LoadReport>>;

    /// Says whether a server is retired, which is to say draining or gone. No idle connection to such a server
    /// is kept.
    fn set_retired(&self, server: ServerId, retired: bool);

    /// The server has another address: the open connections lead to the old one.
    fn address_changed(&self, server: ServerId);

    /// Drops everything that is kept of a server.
    fn forget(&self, server: ServerId);
}

/// Hears of changes of the endpoint list.
pub trait EndpointListener {
    /// A list has come, or a part of one.
    fn endpoints_updated(self: Rc<Self>, kind: ListKind, entries: Vec<ListedEndpoint>);
}

/// Names the servers of a pool.
pub trait EndpointSource {
    /// Opens the standing subscription to the endpoint list, unless there is one.
    fn subscribe(self: Rc<Self>, listener: Rc<dyn EndpointListener>);
}
