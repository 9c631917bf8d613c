//! The control machine's side of the protocol: the sessions of its subscribers over one [`Store`].

mod bandwidth;
mod counters;
mod flush;
mod handlers;
mod options;
mod output;
mod session;
mod shared;
mod snapshot_slots;
mod status_page;
mod token_bucket;

pub use counters::PublisherCounters;
pub use options::PublisherOptions;
pub use output::{CloseReason, PublisherOutput, SessionId};

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;
use sableloom_types::Time;

use crate::codec::{CodecError, PROTOCOL_VERSION};
use crate::log_entry::LogEntry;
use crate::message::{PublisherMessage, Refusal, SubscriberMessage};
use crate::name::ServiceName;
use crate::status::LogStatus;
use crate::store::{AppendError, Appended, Store};
use session::Session;
use shared::{FrameSink, Shared};
use snapshot_slots::SnapshotSlot;

/// The sessions of a control machine's subscribers over one store.
///
/// The caller owns the connections, the clock and the log. It calls a method for each event, carries out the
/// [`PublisherOutput`]s that the method appends to `out` in their order, and calls [`Self::tick`] at the time that
/// [`Self::due`] returns.
#[derive(Debug)]
pub struct Publisher {
    store: Store,
    options: PublisherOptions,
    sessions: FxHashMap<SessionId, Session>,
    /// The sessions that have a service in their scope, by service.
    subscribers: FxHashMap<ServiceName, BTreeSet<SessionId>>,
    /// The timers of all sessions, each also stored in its session.
    timers: BTreeSet<(Time, SessionId)>,
    shared: Shared,
    log_status: LogStatus,
}

impl Publisher {
    /// Creates a publisher over a store, with no session.
    pub fn new(store: Store, options: PublisherOptions) -> Self {
        Publisher {
            store,
            options,
            sessions: FxHashMap::default(),
            subscribers: FxHashMap::default(),
            timers: BTreeSet::new(),
            shared: Shared::new(&options),
            log_status: LogStatus::default(),
        }
    }

    /// Returns the store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Sets the caller's progress in reading the log, which the status reports.
    pub fn set_log_status(&mut self, status: LogStatus) {
        self.log_status = status;
    }

    /// Adds a session for an accepted connection. The id must not have been used before.
    pub fn connected(&mut self, now: Time, session: SessionId) {
        self.sessions.insert(session, Session::new(session, now));
        self.reschedule(session);
    }

    /// Handles a message that was received on a connection.
    pub fn message(
        &mut self,
        now: Time,
        session: SessionId,
        message: SubscriberMessage,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        state.last_received = now;
        if let Err(reason) = self.handle(now, session, message, out) {
            self.close(now, session, reason, out);
        }
    }

    /// Closes and counts a session on which a malformed frame was received. A subscriber of another protocol version
    /// first receives a refusal, so that it can log the expected version and not just a closed connection.
    pub fn malformed(
        &mut self,
        now: Time,
        session: SessionId,
        error: CodecError,
        out: &mut Vec<PublisherOutput>,
    ) {
        if let CodecError::UnsupportedVersion(_) = error {
            let refusal = Refusal::Version { expected: PROTOCOL_VERSION };
            self.reply(now, session, &PublisherMessage::Refused(refusal), out);
        }
        self.close(now, session, CloseReason::Malformed(error), out);
    }

    /// Removes the session of a connection that the subscriber closed or that was lost. Must not be called after
    /// [`PublisherOutput::Close`].
    pub fn disconnected(&mut self, now: Time, session: SessionId, out: &mut Vec<PublisherOutput>) {
        self.remove_session(now, session, out);
    }

    /// Appends the next change to the store and sends it to the sessions that subscribe to the services it touches. The
    /// cost is proportional to the number of touched resources and of these sessions.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't append the change; nothing is changed or sent then.
    pub fn append(
        &mut self,
        now: Time,
        entry: LogEntry,
        out: &mut Vec<PublisherOutput>,
    ) -> Result<Appended, AppendError> {
        let appended = self.store.append(entry)?;
        for (session, services) in self.subscribed_sessions(&appended.services) {
            self.services_changed(now, session, &services, out);
        }
        Ok(appended)
    }

    /// Replaces the store after a log of a higher epoch has been read. Every session is closed; each subscriber
    /// reconnects and resumes from the state that it has applied.
    pub fn replace_store(&mut self, now: Time, store: Store, out: &mut Vec<PublisherOutput>) {
        self.store = store;
        let mut sessions: Vec<SessionId> = self.sessions.keys().copied().collect();
        sessions.sort_unstable();
        for session in sessions {
            self.close(now, session, CloseReason::StoreReplaced, out);
        }
    }

    /// Reports that this number of bytes of the queued frames has been written to the connection.
    pub fn written(
        &mut self,
        now: Time,
        session: SessionId,
        bytes: usize,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        state.bytes_written(now, bytes);
        self.flush(now, session, out);
    }

    /// Closes the sessions of which a timeout has expired, and sends the frames that have waited for bandwidth. Returns
    /// [`Self::due`].
    pub fn tick(&mut self, now: Time, out: &mut Vec<PublisherOutput>) -> Option<Time> {
        while let Some((at, session)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, session));
            self.timer_fired(now, session, out);
        }
        self.serve_waiting(now, out);
        self.due()
    }

    /// Returns the time at which [`Self::tick`] is to be called, or `None` if there is nothing to wait for. Every call
    /// that takes `&mut self` may change it.
    pub fn due(&self) -> Option<Time> {
        let timer = self.timers.first().map(|(at, _)| *at);
        [timer, self.shared.bandwidth.due()].into_iter().flatten().min()
    }

    /// Returns the counters since the publisher was created.
    pub fn counters(&self) -> PublisherCounters {
        self.shared.counters
    }

    /// Returns the sessions that have any of these services in their scope, each with the services that it has.
    fn subscribed_sessions(
        &self,
        services: &[ServiceName],
    ) -> BTreeMap<SessionId, Vec<ServiceName>> {
        let mut subscribed: BTreeMap<SessionId, Vec<ServiceName>> = BTreeMap::new();
        for service in services {
            for session in self.subscribers.get(service).into_iter().flatten() {
                subscribed.entry(*session).or_default().push(service.clone());
            }
        }
        subscribed
    }

    /// Closes a session if one of its timeouts has expired, and otherwise sets its timer again.
    fn timer_fired(&mut self, now: Time, session: SessionId, out: &mut Vec<PublisherOutput>) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        state.timer = None;
        match state.expired_timeout(now, &self.options) {
            Some(reason) => self.close(now, session, reason, out),
            None => self.reschedule(session),
        }
    }

    /// Sets the timer of a session to its deadline. A timer that is set for an earlier time is kept, because it is set
    /// again when it fires.
    fn reschedule(&mut self, session: SessionId) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        let deadline = state.deadline(&self.options);
        if state.timer.is_some_and(|timer| timer <= deadline) {
            return;
        }
        if let Some(timer) = state.timer.replace(deadline) {
            self.timers.remove(&(timer, session));
        }
        self.timers.insert((deadline, session));
    }

    /// Counts and removes a session, and requests that the caller close its connection.
    fn close(
        &mut self,
        now: Time,
        session: SessionId,
        reason: CloseReason,
        out: &mut Vec<PublisherOutput>,
    ) {
        if !self.sessions.contains_key(&session) {
            return;
        }
        self.shared.counters.count_close(reason);
        out.push(PublisherOutput::Close { session, reason });
        self.remove_session(now, session, out);
    }

    /// Removes a session with its subscriptions, its timer and its snapshot slot.
    fn remove_session(&mut self, now: Time, session: SessionId, out: &mut Vec<PublisherOutput>) {
        let Some(state) = self.sessions.remove(&session) else {
            return;
        };
        for service in state.subscriptions.keys() {
            self.remove_subscriber(service, session);
        }
        if let Some(timer) = state.timer {
            self.timers.remove(&(timer, session));
        }
        if state.snapshot_slot == SnapshotSlot::Held {
            self.reassign_snapshot_slot(now, out);
        }
    }

    /// Removes a session from the subscribers of a service.
    fn remove_subscriber(&mut self, service: &ServiceName, session: SessionId) {
        if let Some(sessions) = self.subscribers.get_mut(service) {
            sessions.remove(&session);
            if sessions.is_empty() {
                self.subscribers.remove(service);
            }
        }
    }

    /// Queues a reply to a message. The reply is dropped if the queue is full, so that a subscriber that sends requests
    /// without reading the replies can't grow the queue without bound.
    fn reply(
        &mut self,
        now: Time,
        session: SessionId,
        message: &PublisherMessage,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        if state.queued_bytes() < self.options.max_queued_bytes {
            state.send(message, &mut FrameSink { now, shared: &mut self.shared, out });
            self.reschedule(session);
        }
    }
}
