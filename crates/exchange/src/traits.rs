//! The traits between protocols and the exchange: services, transports and endpoint sources.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use sableloom_types::{ListKind, ListedEndpoint, LoadReport, ServerId, Time};

use crate::attempt_context::AttemptContext;
use crate::message::{Answer, Message, Reply, RequestContext, RequestRejection};
use crate::outcome::AttemptEnd;

/// A boxed future that runs on the current thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Accepts complete requests from a front end, which is the part of a protocol that serves clients, and returns one
/// final answer to each.
pub trait Service {
    /// Accepts a request and returns the future of its final answer. Dropping the future before it is ready means
    /// that the client has disconnected.
    ///
    /// # Errors
    ///
    /// Returns why the request is not accepted; in that case nothing was done for it.
    fn call(
        self: Rc<Self>,
        context: RequestContext,
        message: Message,
    ) -> Result<LocalFuture<Reply>, RequestRejection>;
}

/// The outcome of an attempt, as its transport reports it.
pub struct AttemptOutcome {
    /// How the attempt ended.
    pub ended: AttemptEnd,
    /// Whether the server stated that it did not execute the request.
    pub not_executed: bool,
    /// The server's load report.
    pub report: LoadReport,
    /// The answer, if there is one.
    pub answer: Option<Answer>,
}

impl AttemptOutcome {
    /// Returns the outcome of an attempt that ended without an answer.
    pub fn without_answer(ended: AttemptEnd) -> Self {
        Self { ended, not_executed: false, report: LoadReport::default(), answer: None }
    }
}

/// Sends single attempts to servers. A transport reports facts and decides nothing; in particular it never sends a
/// request again once its last byte was sent.
pub trait Transport {
    /// Runs one attempt. Once the future is dropped, no further byte of the request is sent.
    fn attempt(self: Rc<Self>, context: Rc<AttemptContext>) -> LocalFuture<AttemptOutcome>;

    /// Checks the health of a server and returns its load report, or `None` if the server does not answer.
    fn check_health(
        self: Rc<Self>,
        server: ServerId,
        address: SocketAddr,
    ) -> LocalFuture<Option<LoadReport>>;

    /// Sets whether a server is retired, that is, draining or gone. No idle connection to a retired server is kept.
    fn set_retired(&self, server: ServerId, retired: bool);

    /// Reports that the address of a server has changed. The transport must not use its idle connections to the
    /// previous address.
    fn address_changed(&self, server: ServerId);

    /// Drops all state of a server that has been removed. Its id is not used again.
    fn forget(&self, server: ServerId);
}

/// Receives changes of the endpoint list.
pub trait EndpointListener {
    /// Receives a full list or a part of one, depending on `kind`.
    fn endpoints_updated(self: Rc<Self>, kind: ListKind, entries: Vec<ListedEndpoint>);

    /// Receives the time from which the list may lack changes of which this balancer counts as notified; `None` once
    /// it lacks none. Sources whose lists are never outdated do not call it.
    fn list_outdated_from(&self, _time: Option<Time>) {}
}

/// Provides the endpoint list of a pool.
pub trait EndpointSource {
    /// Opens the subscription to the endpoint list, unless it is open already. `listener` receives the current list and
    /// its changes.
    fn subscribe(self: Rc<Self>, listener: Rc<dyn EndpointListener>);
}
