//! The facade: it receives the events of connections and returns decisions.

use std::net::IpAddr;

use sableloom_types::{Span, Time};

use crate::bounds::Bounds;
use crate::connection::{Connection, ConnectionId, Phase, Stage, WaitKind};
use crate::connection_table::ConnectionTable;
use crate::decisions::{Arrival, KeepAlive, Release, ReleaseReason};
use crate::evictable::HazardEstimates;
use crate::hazard_estimate::WaitOutcome;
use crate::headroom::Headroom;
use crate::memory::{self, MemoryDecision, MemoryDemand, MemoryRequester};

/// The interval at which [`Admission::tick`] is to be called.
pub const TICK_INTERVAL: Span = Span(250_000);
/// A lack of descriptors lowers the limit to no fewer slots than this.
const MIN_LIMIT: usize = 8;
/// A lack of descriptors lowers the limit by the slots in use divided by this, by one slot at least.
const SHED_DIVISOR: usize = 16;
/// While other connections are closing, a new connection is not closed for this long, so that its client can send
/// something. Closing a connection may take this long.
const NEW_CONNECTION_GRACE: Span = Span(500_000);
/// The least Retry-After of a rejected client.
const MIN_RETRY_AFTER: Span = Span(50_000);
/// The time constant with which observations decay, in seconds. It is long enough to learn rare kinds of connections,
/// and short enough to learn a new set of clients within some seconds.
const OBSERVATION_DECAY_S: f64 = 10.0;
/// The connection that is being answered is closed if its value is at most this many times the least value of an idle
/// connection. A close that an answer announces does not coincide with a new request, whereas the client may send a
/// request while the close of its idle connection is under way.
const MAX_ANSWERED_VALUE_RATIO: f64 = 1.25;
/// The weight of each new busy time in the moving mean of busy times.
const BUSY_TIME_GAIN: f64 = 0.05;

/// Decides which client connections hold a slot and which of them are closed.
///
/// ```
/// use std::net::{IpAddr, Ipv4Addr};
///
/// use sableloom_admission::{Admission, Arrival, Bounds, KeepAlive};
/// use sableloom_types::{Span, Time};
///
/// let bounds = Bounds {
///     max_connections: 64,
///     max_client_connections: 64,
///     request_timeout: Span(2_400_000),
///     idle_timeout: Span(2_500_000),
///     write_timeout: Span(3_000_000),
///     max_wait: Span(100_000),
///     max_retry_after: Span(1_000_000),
/// };
/// let now = Time(0);
/// let mut admission = Admission::new(bounds, now);
/// let client = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// let Arrival::Admitted(id) = admission.arrive(now, client) else { panic!("slots are free") };
/// admission.bytes_read(now, id);
/// admission.request_complete(now, id);
/// assert_eq!(admission.before_answer(now, id), KeepAlive::Keep);
/// admission.answer_handed_over(now, id, false);
/// ```
#[derive(Clone, Debug)]
pub struct Admission {
    bounds: Bounds,
    /// The number of slots that may be used now: fewer than [`Bounds::max_connections`] after a lack of descriptors.
    limit: usize,
    table: ConnectionTable,
    estimates: HazardEstimates,
    headroom: Headroom,
    last_tick: Time,
    /// Since when all slots have been busy and a client has waited.
    full_since: Option<Time>,
    /// The mean time for which a request keeps its connection busy, in microseconds.
    mean_busy_time: f64,
}

impl Admission {
    /// Creates an admission without any connections.
    pub fn new(bounds: Bounds, now: Time) -> Self {
        let mut estimates = HazardEstimates::default();
        estimates.iter_mut().for_each(|estimate| estimate.update_values(std::iter::empty()));
        Self {
            limit: bounds.max_connections,
            bounds,
            table: ConnectionTable::default(),
            estimates,
            headroom: Headroom::default(),
            last_tick: now,
            full_since: None,
            mean_busy_time: 0.0,
        }
    }

    /// Whether no state of any connection is kept.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// The number of connections that hold a slot.
    pub fn connections(&self) -> usize {
        self.table.len()
    }

    /// The number of slots that may be used now.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The phase of a connection; `None` once it is closed.
    pub fn phase(&self, id: ConnectionId) -> Option<Phase> {
        self.table.get(id).map(|connection| connection.stage.into())
    }

    /// When the current request of a connection began to arrive; `None` once the connection is closed.
    pub fn request_started(&self, id: ConnectionId) -> Option<Time> {
        self.table.get(id).map(|connection| connection.request_started)
    }

    /// Decides on a client that has connected from `source` and asks for a slot.
    pub fn arrive(&mut self, now: Time, source: IpAddr) -> Arrival {
        if self.table.len() < self.limit {
            self.full_since = None;
            return Arrival::Admitted(self.table.insert(now, source));
        }
        if let Some(id) = self.table.eviction_candidate(now, source, self.limit, &self.estimates) {
            return Arrival::Evict(id);
        }
        let since = *self.full_since.get_or_insert(now);
        let until = since.plus(self.bounds.max_wait);
        if now < until { Arrival::Wait(until) } else { Arrival::Reject(self.retry_after()) }
    }

    fn retry_after(&self) -> Span {
        let mean = Span::from_micros_f64(self.mean_busy_time).max(MIN_RETRY_AFTER);
        mean.min(self.bounds.max_retry_after)
    }

    /// Reports that bytes have arrived and are not read yet. Until they are read, the connection is not evicted.
    pub fn bytes_waiting(&mut self, now: Time, id: ConnectionId) {
        self.cancel_close(now, id);
        self.table.update(id, |connection| connection.has_unread_bytes = true);
    }

    /// Reports that bytes of a request were read.
    pub fn bytes_read(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.table.get(id).copied() else { return };
        if connection.has_unread_bytes {
            self.table.update(id, |connection| connection.has_unread_bytes = false);
        }
        match connection.stage {
            Stage::Waiting(WaitKind::Reading) | Stage::Busy => return,
            Stage::Waiting(kind) => self.observe(kind, connection, now, WaitOutcome::Completed),
            // The request was sent before the client saw the close.
            Stage::Closing => {}
        }
        if connection.stage != Stage::Waiting(WaitKind::New) {
            self.table.update(id, |connection| connection.request_started = now);
        }
        self.table.set_stage(now, id, Stage::Waiting(WaitKind::Reading));
    }

    /// Reports that a pipelined request begins now, whose bytes arrived before the last answer was written.
    pub fn pipelined_request(&mut self, now: Time, id: ConnectionId) {
        let reading = Stage::Waiting(WaitKind::Reading);
        if self.table.get(id).is_some_and(|connection| connection.stage != reading) {
            self.bytes_read(now, id);
        }
    }

    /// Reports that the request of a connection is complete and is passed to the service.
    pub fn request_complete(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.table.get(id).copied() else { return };
        if let Stage::Waiting(kind) = connection.stage {
            self.observe(kind, connection, now, WaitOutcome::Completed);
        }
        if connection.answers == 0 && connection.stage != Stage::Busy {
            self.headroom.count_first_request();
        }
        self.table.update(id, |connection| connection.has_unread_bytes = false);
        self.table.set_stage(now, id, Stage::Busy);
    }

    /// Decides whether a connection is kept alive after the answer that is about to be written.
    pub fn before_answer(&mut self, now: Time, id: ConnectionId) -> KeepAlive {
        let Some(connection) = self.table.get(id) else { return KeepAlive::Close };
        let kind = WaitKind::idle_after(connection.answers + 1);
        // This connection is not counted as busy, because it is about to be idle.
        let busy = self.table.busy() - usize::from(connection.stage == Stage::Busy);
        if self.table.idle() < self.max_idle(busy) {
            return KeepAlive::Keep;
        }
        let own_value = self.estimates[kind as usize].value(0);
        let evictable = self.table.evictable();
        match evictable.least_valuable(now, &self.estimates, &WaitKind::IDLE) {
            Some(least) if own_value > least.value * MAX_ANSWERED_VALUE_RATIO => {
                self.close_started(now, least.id, false);
                KeepAlive::CloseOther(least.id)
            }
            _ => KeepAlive::Close,
        }
    }

    /// Reports that the answer was handed over to be written. From now on the connection is closing if `closes`, and
    /// idle otherwise.
    pub fn answer_handed_over(&mut self, now: Time, id: ConnectionId, closes: bool) {
        let Some(connection) = self.table.get(id).copied() else { return };
        if connection.stage != Stage::Busy {
            return;
        }
        let answers = connection.answers.saturating_add(1);
        self.table.update(id, |connection| connection.answers = answers);
        let busy_time = now.since(connection.since).as_micros_f64();
        self.mean_busy_time += (busy_time - self.mean_busy_time) * BUSY_TIME_GAIN;
        let idle = Stage::Waiting(WaitKind::idle_after(answers));
        self.table.set_stage(now, id, if closes { Stage::Closing } else { idle });
    }

    /// Reports that the client accepts none of the written bytes. A close that was decided is cancelled, because it
    /// was not announced.
    pub fn write_blocked(&mut self, now: Time, id: ConnectionId) {
        self.cancel_close(now, id);
        if self.table.get(id).is_some_and(|connection| connection.blocked_since.is_none()) {
            self.table.update(id, |connection| connection.blocked_since = Some(now));
        }
    }

    /// Reports that the client accepts written bytes again.
    pub fn write_resumed(&mut self, id: ConnectionId) {
        if self.table.get(id).is_some_and(|connection| connection.blocked_since.is_some()) {
            self.table.update(id, |connection| connection.blocked_since = None);
        }
    }

    fn cancel_close(&mut self, now: Time, id: ConnectionId) {
        if let Some(connection) = self.table.get(id).copied()
            && connection.stage == Stage::Closing
        {
            let idle = Stage::Waiting(WaitKind::idle_after(connection.answers));
            self.table.set_stage(now, id, idle);
        }
    }

    /// Reports that the balancer has begun to close a connection, or the client if `by_client`.
    pub fn close_started(&mut self, now: Time, id: ConnectionId, by_client: bool) {
        let Some(connection) = self.table.get(id).copied() else { return };
        if let Stage::Waiting(kind) = connection.stage {
            let outcome = if by_client { WaitOutcome::Abandoned } else { WaitOutcome::Censored };
            self.observe(kind, connection, now, outcome);
        }
        self.table.set_stage(now, id, Stage::Closing);
    }

    /// Reports that the connection is closed, which frees its slot.
    pub fn closed(&mut self, now: Time, id: ConnectionId) {
        self.close_started(now, id, false);
        self.table.remove(id);
    }

    /// Reports that the system has no descriptor for a new connection, so that fewer slots are used for a while.
    /// Returns the connections to close, so that their descriptors become free.
    pub fn out_of_descriptors(&mut self, now: Time) -> Vec<Release> {
        let connections = self.table.len();
        let fewer = connections - (connections / SHED_DIVISOR).max(1).min(connections);
        self.limit = self.limit.min(fewer.max(MIN_LIMIT));
        let mut releases = Vec::new();
        let any_closing =
            self.table.iter().any(|(_, connection)| connection.stage == Stage::Closing);
        for _ in self.limit..connections {
            let evictable = self.table.evictable();
            let least = evictable.least_valuable(now, &self.estimates, &WaitKind::ALL);
            let Some(least) = least else { break };
            // A closing connection releases its descriptor only once it is closed, and until then this method is
            // called again and again. Without this check, all idle connections were closed within that time, and
            // after them the one that had just been opened and had not sent anything yet.
            if any_closing && self.is_within_grace(now, least.id) {
                break;
            }
            self.close_started(now, least.id, false);
            releases.push(Release { id: least.id, reason: ReleaseReason::MakeRoom });
        }
        releases
    }

    fn is_within_grace(&self, now: Time, id: ConnectionId) -> bool {
        self.table.get(id).is_some_and(|connection| {
            connection.stage == Stage::Waiting(WaitKind::New)
                && now.since(connection.since) < NEW_CONNECTION_GRACE
        })
    }

    /// Reports the memory that closing a connection frees, in bytes: its buffers, the part of a request that has
    /// arrived, an answer that is being written.
    pub fn memory_changed(&mut self, now: Time, id: ConnectionId, bytes: usize) {
        self.table.update(id, |connection| {
            if bytes > connection.memory {
                connection.memory_grew_at = now;
            }
            connection.memory = bytes;
        });
    }

    /// Decides on a demand for memory that is not free. The caller sheds the connections that are
    /// returned: it rejects their partial requests, closes them, and reports that as usual; or it reports with
    /// [`shed_cancelled`](Self::shed_cancelled) that there is a reason against it. It asks again when memory becomes
    /// free.
    pub fn make_memory_room(
        &mut self,
        demand: MemoryDemand,
        requester: MemoryRequester,
    ) -> MemoryDecision {
        let being_freed = self.table.shed_memory();
        let decision = memory::decide(self.table.iter(), being_freed, demand, requester);
        if let MemoryDecision::Shed(ids) = &decision {
            for id in ids {
                self.table.update(*id, |connection| connection.is_shed = true);
            }
        }
        decision
    }

    /// Reports that a connection is not shed.
    pub fn shed_cancelled(&mut self, id: ConnectionId) {
        self.table.update(id, |connection| connection.is_shed = false);
    }

    /// Updates the estimates and checks the timeouts; to be called about every [`TICK_INTERVAL`]. Returns the
    /// connections to close. The caller closes each, or reports why it can't with
    /// [`bytes_waiting`](Self::bytes_waiting) or [`write_blocked`](Self::write_blocked).
    pub fn tick(&mut self, now: Time) -> Vec<Release> {
        let passed_s = (now.since(self.last_tick).as_micros_f64() / 1e6).max(0.0);
        self.last_tick = now;
        self.headroom.update(passed_s);
        for (kind, estimate) in WaitKind::ALL.iter().zip(&mut self.estimates) {
            estimate.decay((-passed_s / OBSERVATION_DECAY_S).exp());
            let waiting = self.table.evictable().waiting(*kind);
            estimate.update_values(waiting.iter().map(|(since, _)| now.since(*since)));
        }
        self.limit = (self.limit + 1).min(self.bounds.max_connections);
        let mut releases: Vec<_> = self
            .table
            .iter()
            .filter_map(|(id, connection)| {
                Some(Release { id, reason: self.timeout_of(now, connection)? })
            })
            .collect();
        self.close_idle_for_headroom(now, &mut releases);
        releases.sort_by_key(|release| release.id);
        releases.dedup_by_key(|release| release.id);
        releases
    }

    /// The timeout that a connection has exceeded, if any.
    fn timeout_of(&self, now: Time, connection: &Connection) -> Option<ReleaseReason> {
        if let Some(since) = connection.blocked_since {
            // This timeout also applies to a busy connection, because its answer could not be written.
            let exceeded = now.since(since) > self.bounds.write_timeout;
            return exceeded.then_some(ReleaseReason::WriteTimeout);
        }
        match connection.stage {
            Stage::Waiting(WaitKind::New | WaitKind::Reading) => {
                let exceeded = now.since(connection.request_started) > self.bounds.request_timeout;
                exceeded.then_some(ReleaseReason::RequestTimeout)
            }
            // The next request is about to be read.
            Stage::Waiting(_) if connection.has_unread_bytes => None,
            Stage::Waiting(_) => {
                let exceeded = now.since(connection.since) > self.bounds.idle_timeout;
                exceeded.then_some(ReleaseReason::IdleTimeout)
            }
            Stage::Busy | Stage::Closing => None,
        }
    }

    /// Closes idle connections to free slots for the new clients that are expected.
    fn close_idle_for_headroom(&mut self, now: Time, releases: &mut Vec<Release>) {
        for _ in self.max_idle(self.table.busy())..self.table.idle() {
            let evictable = self.table.evictable();
            let least = evictable.least_valuable(now, &self.estimates, &WaitKind::IDLE);
            let Some(least) = least else { break };
            self.close_started(now, least.id, false);
            releases.push(Release { id: least.id, reason: ReleaseReason::MakeRoom });
        }
    }

    fn max_idle(&self, busy: usize) -> usize {
        self.headroom.max_idle(self.bounds.max_client_connections.min(self.limit), busy)
    }

    /// Adds the end of a connection's wait to the estimate of its kind.
    fn observe(&mut self, kind: WaitKind, connection: Connection, now: Time, outcome: WaitOutcome) {
        self.estimates[kind as usize].observe(now.since(connection.since), outcome);
    }
}
