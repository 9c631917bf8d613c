//! Client connections: takes requests in whole, hands them to the exchange, writes the answers.

mod accept;
mod body;
mod connection;
mod head;
mod length_scan;
mod request;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use sableloom_admission::{Admission, Bounds, ConnectionId, Phase, Release, ReleaseReason};
use sableloom_exchange::{Clock, Service};
use sableloom_types::settings::{DeploymentSettings, span};
use sableloom_types::{Span, Time};
use tokio::sync::{Notify, Semaphore};

use connection::{Close, Connection};
pub use head::{Dialect, class_of};

/// A connection whose request was not whole by then and could not be answered is closed.
const TAKE_CLOSE: Span = Span(2_400_000);
/// A connection on which nothing is asked for so long is closed: a client that comes again opens
/// another, and those that never come again would hold descriptors and memory for good.
const IDLE: Span = Span(2_500_000);
/// A client that takes nothing of an answer for so long is cut off: longer than any line stalls on
/// which the rest could still come in time.
const BLOCKED: Span = Span(3_000_000);
/// A client that has not taken all of an answer for so long is cut off, though it takes a byte now and then:
/// one of 64 KiB leaves at 2.2 kB/s. Guards against those that hold places and answers for good; does harm to
/// an honest one only on a line slower than that, long after its time is over.
const TAKES_ALL: Duration = Duration::from_secs(30);
/// While all places are busy a new client waits for this share of the shortest aim.
const PATIENCE_OF_AIM: f64 = 0.25;
/// Descriptors for those that are turned away, until they have read why.
const REJECTIONS_MAX: usize = 8;

/// What clients may hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most connections.
    pub places: usize,
    /// Most of these that clients with requests can hold, where their own side is bounded lower:
    /// those past it are shut out where this balancer can't see them.
    pub asking: usize,
    /// Bytes for bodies of requests, past what each connection has of its own.
    pub bodies: usize,
}

/// The listening side of the balancer. Who holds a place is decided by [`Admission`].
pub struct Frontend {
    service: Rc<dyn Service>,
    settings: Rc<DeploymentSettings>,
    dialect: Dialect,
    /// Requests that were given an id here.
    named: Cell<u64>,
    clock: Clock,
    admission: RefCell<Admission>,
    clients: RefCell<FxHashMap<ConnectionId, Rc<Connection>>>,
    /// The descriptors of clients: a connection that makes room holds its own a little longer.
    slots: Arc<Semaphore>,
    /// The descriptors of those that are turned away, until they have read why.
    rejections: Arc<Semaphore>,
    /// A place may have become free.
    changed: Notify,
    /// Memory for request bodies past `BODY_FREE` of each connection; what is below is bounded by the number of
    /// connections.
    bodies: Arc<Semaphore>,
    draining: Cell<bool>,
    /// No more connections are wanted, and who accepts hears of it.
    shut: Cell<bool>,
    shuts: Notify,
    /// Listeners that are not closed yet.
    listening: Cell<usize>,
    /// Connections that were turned away and are not closed yet.
    turned_away: Cell<usize>,
}

/// Counts one more for as long as it lives.
struct CountGuard(Rc<Frontend>, fn(&Frontend) -> &Cell<usize>);

impl CountGuard {
    fn new(frontend: &Rc<Frontend>, which: fn(&Frontend) -> &Cell<usize>) -> Self {
        which(frontend).set(which(frontend).get() + 1);
        Self(frontend.clone(), which)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = (self.1)(&self.0);
        count.set(count.get() - 1);
    }
}

impl Frontend {
    /// A front that hands its requests to this service.
    pub fn new(
        service: Rc<dyn Service>,
        settings: Rc<DeploymentSettings>,
        dialect: Dialect,
        clock: Clock,
        limits: &Limits,
    ) -> Rc<Self> {
        let shortest =
            settings.services.iter().map(|s| s.latency_objective).fold(f64::INFINITY, f64::min);
        let advice = &settings.policy_limits;
        let bounds = Bounds {
            max_connections: limits.places,
            max_client_connections: limits.asking,
            request_timeout: TAKE_CLOSE,
            idle_timeout: IDLE,
            write_timeout: BLOCKED,
            max_wait: span(shortest * PATIENCE_OF_AIM),
            max_retry_after: span(if advice.retry_after { advice.max_retry_after } else { 0.0 }),
        };
        Rc::new(Self {
            admission: RefCell::new(Admission::new(bounds, clock.now())),
            service,
            settings,
            dialect,
            named: Cell::new(0),
            clock,
            clients: RefCell::default(),
            slots: Arc::new(Semaphore::new(limits.places)),
            rejections: Arc::new(Semaphore::new(REJECTIONS_MAX)),
            changed: Notify::new(),
            bodies: Arc::new(Semaphore::new(limits.bodies)),
            draining: Cell::new(false),
            shut: Cell::new(false),
            shuts: Notify::new(),
            listening: Cell::new(0),
            turned_away: Cell::new(0),
        })
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn client(&self, id: ConnectionId) -> Option<Rc<Connection>> {
        self.clients.borrow().get(&id).cloned()
    }

    /// Closes the one that was chosen to make room, unless something speaks against it that only
    /// its socket shows.
    fn make_room(&self, id: ConnectionId) {
        match self.client(id) {
            None => self.admission.borrow_mut().closed(self.now(), id),
            Some(client) if client.wire.blocked.get() => client.tell(Admission::write_blocked),
            Some(client) if !client.is(Phase::Closing) && client.wire.has_input() => {
                client.tell(Admission::bytes_waiting);
            }
            Some(client) => client.evict(),
        }
    }

    fn release(&self, release: Release) {
        let Some(client) = self.client(release.id) else { return };
        match release.reason {
            ReleaseReason::WriteTimeout => client.evict(),
            ReleaseReason::RequestTimeout => client.end(Close::Now),
            ReleaseReason::IdleTimeout | ReleaseReason::MakeRoom if client.wire.blocked.get() => {
                client.tell(Admission::write_blocked);
            }
            ReleaseReason::IdleTimeout | ReleaseReason::MakeRoom if client.wire.has_input() => {
                client.tell(Admission::bytes_waiting)
            }
            ReleaseReason::IdleTimeout | ReleaseReason::MakeRoom => {
                client.tell(|admission, now, id| admission.close_started(now, id, false));
                client.end(Close::Gracefully);
            }
        }
    }

    /// Ends connections whose time is over.
    pub fn sweep(&self) {
        for client in self.clients.borrow().values() {
            match client.wire.blocked.get() {
                true => client.tell(Admission::write_blocked),
                false => self.admission.borrow_mut().write_resumed(client.id),
            }
        }
        let slow = |client: &&Rc<Connection>| client.wire.owes_for(TAKES_ALL);
        let slow: Vec<_> = self.clients.borrow().values().filter(slow).cloned().collect();
        slow.iter().for_each(|client| client.evict());
        let releases = self.admission.borrow_mut().tick(self.now());
        releases.into_iter().for_each(|release| self.release(release));
    }

    /// No new work is wanted: answers say so, and connections between requests are closed.
    pub fn drain(&self) {
        self.draining.set(true);
        for client in self.clients.borrow().values() {
            // A request may just be on its way: then it is answered first.
            if client.is(Phase::Idle) && client.is_spare() && !client.wire.has_input() {
                client.end(Close::Gracefully);
            }
        }
    }

    /// Ends the connections that have no request under way, nor a part of one: its last byte may be on
    /// its way, and would count as taken.
    pub fn close_spare(&self) {
        for client in self.clients.borrow().values() {
            if client.is_spare() && !client.has_begun() {
                client.end(Close::Now);
            }
        }
    }

    /// Refuses the requests of which only a part is there, and ends their connections: there will be no later
    /// moment to answer them in, and their last bytes may be on their way.
    pub fn refuse_unfinished(&self) {
        for client in self.clients.borrow().values() {
            if client.is(Phase::Reading) {
                client.end(Close::Refuse);
            }
        }
    }

    /// Takes in what has connected so far and then closes the listeners.
    pub fn shut(&self) {
        self.shut.set(true);
        self.shuts.notify_waiters();
    }

    /// Client connections now open, those that were turned away included.
    pub fn connections(&self) -> usize {
        self.clients.borrow().len() + self.turned_away.get()
    }

    /// Whether connections are open, or may still come.
    pub fn is_used(&self) -> bool {
        self.listening.get() > 0 || self.connections() > 0
    }
}

#[cfg(test)]
mod tests;
