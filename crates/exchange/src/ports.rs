//! Where protocols meet the exchange: fronts, transports and sources of servers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use sableloom_types::{ListKind, ListedEndpoint, LoadReport, ServerId};
use tokio::time::Instant;

use crate::fate::Ended;
use crate::message::{Answer, Message, Reply, RequestContext, RequestRejection};

/// Work on this thread.
pub type Work<T> = Pin<Box<dyn Future<Output = T>>>;

/// What a front hands requests to: a whole request in, one final answer out.
pub trait Service {
    /// Takes a request. Dropping the work before it is done tells that the client is gone.
    fn call(
        self: Rc<Self>,
        asked: RequestContext,
        message: Message,
    ) -> Result<Work<Reply>, RequestRejection>;
}

/// Where new attempts at a server may go now: its address, and none while it drains or is gone. All
/// attempts at a server share it, so that what changes after one was decided is seen at its first byte.
pub type DispatchAddress = Rc<Cell<Option<SocketAddr>>>;

/// A connection that an attempt's bytes go out on.
pub trait AttemptConnection {
    /// Whether the last byte of the present request has left.
    fn all_written(&self) -> bool;
}

/// One attempt, as a transport is given it.
pub struct AttemptContext {
    /// The request.
    pub message: Rc<Message>,
    /// The server, and where it is.
    pub server: ServerId,
    /// Its address when the attempt was decided.
    pub to: SocketAddr,
    /// When nobody waits for an answer any more.
    pub until: Instant,
    /// A repeat whose last byte leaves later than this may not be known for one.
    whole_by: Option<Instant>,
    place: DispatchAddress,
    over: Rc<Cell<bool>>,
    line: RefCell<Option<Rc<dyn AttemptConnection>>>,
}

impl AttemptContext {
    /// An attempt at this server, of a request that is over once the cell says so. `None` if nothing new
    /// may be sent there.
    pub fn new(
        message: Rc<Message>,
        (server, place): (ServerId, &DispatchAddress),
        until: Instant,
        over: Rc<Cell<bool>>,
    ) -> Option<Self> {
        let (to, place) = (place.get()?, place.clone());
        let line = RefCell::new(None);
        Some(Self { message, server, to, until, whole_by: None, place, over, line })
    }

    /// The same, of which no last byte may leave after this, as its server would not know it for a repeat.
    pub fn whole_by(mut self, by: Option<Instant>) -> Self {
        self.whole_by = by;
        self
    }

    /// Whether its first byte may leave now: somebody waits for the answer, and the server is where it was
    /// when the attempt was decided and wants it. The one place that says so, to be asked right before
    /// that byte, whatever was waited for until then.
    pub fn may_begin(&self) -> bool {
        self.is_wanted() && !self.message.client_is_gone()
    }

    /// The same, short of the look at the client, which costs a call of the system.
    pub fn is_wanted(&self) -> bool {
        self.may_go_on() && self.place.get() == Some(self.to)
    }

    /// Whether more of it may leave: the request has no final answer and its client was not seen to go,
    /// and what must be known for a repeat still is.
    pub fn may_go_on(&self) -> bool {
        !self.over.get() && self.whole_by.is_none_or(|by| Instant::now() < by)
    }

    /// From here on the request's bytes go out on this connection. To be said before the first one.
    pub fn goes_out_on(&self, line: Rc<dyn AttemptConnection>) {
        *self.line.borrow_mut() = Some(line);
    }

    /// Whether the request's last byte has left.
    pub fn left_whole(&self) -> bool {
        self.line.borrow().as_ref().is_some_and(|line| line.all_written())
    }
}

/// The outcome of an attempt.
pub struct AttemptOutcome {
    /// How it ended.
    pub ended: Ended,
    /// The server said that it never ran it.
    pub not_executed: bool,
    /// What the server reported of itself.
    pub report: LoadReport,
    /// The answer, where it was served.
    pub answer: Option<Answer>,
}

impl AttemptOutcome {
    /// An end without an answer.
    pub fn nothing(ended: Ended) -> Self {
        Self { ended, not_executed: false, report: LoadReport::default(), answer: None }
    }
}

/// Carries single attempts to servers. It reports facts and decides nothing; above all it sends
/// nothing again of which a byte more than the last has left.
pub trait Transport {
    /// Carries out one attempt. When the work is dropped, nothing more of the request goes out.
    fn attempt(self: Rc<Self>, call: Rc<AttemptContext>) -> Work<AttemptOutcome>;

    /// Examines a server: whether it is alive, and what it reports.
    fn probe(self: Rc<Self>, server: ServerId, to: SocketAddr) -> Work<Option<LoadReport>>;

    /// Whether a server is to be kept no connections to: it drains or is gone.
    fn retire(&self, server: ServerId, retired: bool);

    /// A server has another address: what is open goes to the old one.
    fn moved(&self, server: ServerId);

    /// A server is forgotten; nothing is kept of it.
    fn forget(&self, server: ServerId);
}

/// What a source tells.
pub trait EndpointListener {
    /// A list has come, or part of one.
    fn listed(self: Rc<Self>, kind: ListKind, entries: Vec<ListedEndpoint>);
}

/// Names the servers.
pub trait EndpointSource {
    /// Opens the standing subscription to the list, unless there is one.
    fn subscribe(self: Rc<Self>, sink: Rc<dyn EndpointListener>);
}
