//! What all connections of a front share: the service, the settings, and the admission of clients.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use sableloom_admission::{
    Admission, Bounds, ConnectionId, KeepAlive, Phase, Release, ReleaseReason,
};
use sableloom_exchange::{Clock, Service};
use sableloom_types::settings::{DeploymentSettings, span_from_ms};
use sableloom_types::{Span, Time};
use tokio::sync::Notify;

use super::client_handle::{ClientHandle, CloseMode};
use super::dialect::Dialect;
use crate::memory::MemoryBudget;

/// A connection whose request was not complete by then, and could not be answered, is closed.
const REQUEST_CLOSE_TIMEOUT: Span = Span(2_400_000);
/// A connection that is idle for this time is closed: a client that comes again opens another, and those that never come
/// again would hold descriptors and memory for good.
const IDLE_TIMEOUT: Span = Span(2_500_000);
/// A client that accepts none of an answer for this time is cut off: longer than the stall of any line on which the rest
/// could still come in time.
const WRITE_TIMEOUT: Span = Span(3_000_000);
/// A client that has not accepted all of an answer for this time is cut off, though it accepts a byte now and then: an
/// answer of 64 KiB is sent at 2.2 kB/s. Guards against clients that hold slots and answers for good; could do harm to
/// an honest one only on a line slower than that, long after its deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// While all slots are busy a new client waits for this fraction of the shortest latency objective.
const MAX_WAIT_FRACTION_OF_OBJECTIVE: f64 = 0.25;

/// What clients may hold.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// The largest number of connections.
    pub max_connections: usize,
    /// The largest number that clients with requests can hold, where it is bounded lower on their side: clients past it
    /// are shut out where this balancer can't see them.
    pub max_client_connections: usize,
}

/// What all connections of a front share. Which client holds a slot is decided by [`Admission`].
pub(super) struct FrontContext {
    pub(super) service: Rc<dyn Service>,
    pub(super) settings: Rc<DeploymentSettings>,
    pub(super) dialect: Dialect,
    pub(super) clock: Clock,
    pub(super) admission: RefCell<Admission>,
    pub(super) clients: RefCell<FxHashMap<ConnectionId, Rc<ClientHandle>>>,
    /// Signals that a slot may have become free.
    pub(super) slot_signal: Notify,
    /// Memory for messages, beyond what each connection has of its own; that is bounded by the number of connections.
    pub(super) memory: Rc<MemoryBudget>,
    /// Whether the process shuts down gracefully: answers close their connections.
    pub(super) draining: Cell<bool>,
    /// How many requests were given an id here.
    generated_ids: Cell<u64>,
}

impl FrontContext {
    pub(super) fn new(
        service: Rc<dyn Service>,
        settings: Rc<DeploymentSettings>,
        dialect: Dialect,
        clock: Clock,
        limits: &ClientLimits,
        memory: Rc<MemoryBudget>,
    ) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.fold(f64::INFINITY, f64::min);
        let policy = &settings.policy_limits;
        let bounds = Bounds {
            max_connections: limits.max_connections,
            max_client_connections: limits.max_client_connections,
            request_timeout: REQUEST_CLOSE_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            max_wait: span_from_ms(shortest_objective * MAX_WAIT_FRACTION_OF_OBJECTIVE),
            max_retry_after: span_from_ms(if policy.retry_after {
                policy.max_retry_after
            } else {
                0.0
            }),
        };
        Self {
            admission: RefCell::new(Admission::new(bounds, clock.now())),
            service,
            settings,
            dialect,
            clock,
            clients: RefCell::default(),
            slot_signal: Notify::new(),
            memory,
            draining: Cell::new(false),
            generated_ids: Cell::new(0),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(super) fn next_generated_id(&self) -> u64 {
        self.generated_ids.set(self.generated_ids.get() + 1);
        self.generated_ids.get()
    }

    /// Tells the admission of an event of this client.
    pub(super) fn notify_admission<T>(
        &self,
        client: &ClientHandle,
        event: impl FnOnce(&mut Admission, Time, ConnectionId) -> T,
    ) -> T {
        event(&mut self.admission.borrow_mut(), self.now(), client.id)
    }

    pub(super) fn is_in_phase(&self, client: &ClientHandle, phase: Phase) -> bool {
        self.admission.borrow().phase(client.id) == Some(phase)
    }

    /// Whether closing the connection ends no request that was accepted and cuts off no answer.
    pub(super) fn is_closable(&self, client: &ClientHandle) -> bool {
        !self.is_in_phase(client, Phase::Busy) && !client.stream.is_write_blocked()
    }

    /// Whether a part of a request has come on the connection, or is about to be read.
    pub(super) fn has_partial_request(&self, client: &ClientHandle) -> bool {
        self.is_in_phase(client, Phase::Reading) || client.stream.has_input()
    }

    /// Bytes of a client were read.
    pub(super) fn bytes_read(&self, client: &ClientHandle, bytes: &[u8]) {
        if self.is_in_phase(client, Phase::Busy) {
            client.length_scan.set_pipelined();
        } else {
            client.length_scan.begin();
            self.notify_admission(client, Admission::bytes_read);
        }
        client.length_scan.scan(bytes);
    }

    /// The answer to a request is about to be written: whether its connection is closed with it.
    pub(super) fn closes_with_answer(&self, client: &ClientHandle, must_close: bool) -> bool {
        if !self.is_in_phase(client, Phase::Busy) {
            self.notify_admission(client, Admission::request_complete);
        }
        if must_close {
            return true;
        }
        match self.notify_admission(client, Admission::before_answer) {
            KeepAlive::Keep => false,
            KeepAlive::Close => true,
            KeepAlive::CloseOther(other) => {
                self.release(Release { id: other, reason: ReleaseReason::MakeRoom });
                false
            }
        }
    }

    /// Evicts the connection that was chosen to make room, unless its socket shows a reason against it.
    pub(super) fn make_room(&self, id: ConnectionId) {
        match self.client(id) {
            None => self.admission.borrow_mut().closed(self.now(), id),
            Some(client) if client.stream.is_write_blocked() => {
                self.notify_admission(&client, Admission::write_blocked);
            }
            Some(client)
                if !self.is_in_phase(&client, Phase::Closing) && client.stream.has_input() =>
            {
                self.notify_admission(&client, Admission::bytes_waiting);
            }
            Some(client) => self.evict(&client),
        }
    }

    /// Closes a connection, unless its socket shows a reason against it.
    pub(super) fn release(&self, release: Release) {
        let Some(client) = self.client(release.id) else { return };
        match release.reason {
            ReleaseReason::WriteTimeout => self.evict(&client),
            ReleaseReason::RequestTimeout => client.close(CloseMode::Drain),
            ReleaseReason::IdleTimeout | ReleaseReason::MakeRoom => {
                if client.stream.is_write_blocked() {
                    self.notify_admission(&client, Admission::write_blocked);
                } else if client.stream.has_input() {
                    self.notify_admission(&client, Admission::bytes_waiting);
                } else {
                    self.notify_admission(&client, |admission, now, id| {
                        admission.close_started(now, id, false);
                    });
                    client.close(CloseMode::Graceful);
                }
            }
        }
    }

    /// Closes a connection at once. Both directions are shut first, so that no request can be read whose answer would
    /// be lost.
    fn evict(&self, client: &ClientHandle) {
        client.stream.shut_down();
        client.close(CloseMode::Evict);
        self.notify_admission(client, Admission::closed);
    }

    /// Closes the connections that have exceeded a timeout, or that make room.
    pub(super) fn sweep(&self) {
        for client in self.clients.borrow().values() {
            match client.stream.is_write_blocked() {
                true => self.notify_admission(client, Admission::write_blocked),
                false => self.admission.borrow_mut().write_resumed(client.id),
            }
        }
        let slow: Vec<_> = {
            let clients = self.clients.borrow();
            let slow = clients
                .values()
                .filter(|client| client.stream.has_output_pending_for(ANSWER_TIMEOUT));
            slow.cloned().collect()
        };
        slow.iter().for_each(|client| self.evict(client));
        let releases = self.admission.borrow_mut().tick(self.now());
        releases.into_iter().for_each(|release| self.release(release));
        self.memory.wake_waiting();
    }

    pub(super) fn client(&self, id: ConnectionId) -> Option<Rc<ClientHandle>> {
        self.clients.borrow().get(&id).cloned()
    }
}
