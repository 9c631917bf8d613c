//! The control machine's side: sessions over one [`Store`].

mod answers;
mod options;
mod sending;
mod session;
mod status;
mod traffic;

pub use options::{CloseReason, PublisherCounters, PublisherOptions, PublisherOutput, SessionId};

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;
use sableloom_types::Time;

use crate::codec::{CodecError, PROTOCOL_VERSION};
use crate::message::{PublisherMessage, Refusal, SubscriberMessage};
use crate::name::ServiceName;
use crate::resource::LogEntry;
use crate::status::LogStatus;
use crate::store::{AppendError, Appended, Store};
use session::{Session, Turn};
use traffic::Traffic;

/// Connections beyond the most sessions that may be open before their hello, for tools that ask for the status.
const SPARE_CONNECTIONS: usize = 64;

/// The sessions of a control machine's subscribers over one store.
#[derive(Debug)]
pub struct Publisher {
    store: Store,
    options: PublisherOptions,
    sessions: FxHashMap<SessionId, Session>,
    /// Which sessions have a service in their scope.
    subscribers: FxHashMap<ServiceName, BTreeSet<SessionId>>,
    timers: BTreeSet<(Time, SessionId)>,
    traffic: Traffic,
    next_transfer: u64,
    log_status: LogStatus,
}

impl Publisher {
    /// Over a store, with no session.
    pub fn new(store: Store, options: PublisherOptions) -> Self {
        Publisher {
            store,
            options,
            sessions: FxHashMap::default(),
            subscribers: FxHashMap::default(),
            timers: BTreeSet::new(),
            traffic: Traffic::new(&options),
            next_transfer: 1,
            log_status: LogStatus::default(),
        }
    }

    /// The store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// How the shell gets on with reading the log, for the status.
    pub fn set_log_status(&mut self, status: LogStatus) {
        self.log_status = status;
    }

    /// A connection has been taken. Ids are never reused.
    pub fn connected(&mut self, now: Time, session: SessionId) {
        self.sessions.insert(session, Session::new(session, now));
        self.set_timer(session);
    }

    /// A message has come.
    pub fn message(
        &mut self,
        now: Time,
        session: SessionId,
        message: SubscriberMessage,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(known) = self.sessions.get_mut(&session) else {
            return;
        };
        known.heard = now;
        if let Err(reason) = self.take(now, session, message, out) {
            self.close(now, session, reason, out);
        }
    }

    /// What came is no message: the session is closed and counted. One of another version of the protocol is answered
    /// first, so that its log names the version and not just a connection that ended.
    pub fn malformed(
        &mut self,
        now: Time,
        session: SessionId,
        error: CodecError,
        out: &mut Vec<PublisherOutput>,
    ) {
        if let CodecError::Version(_) = error {
            let refusal = Refusal::Version { expected: PROTOCOL_VERSION };
            self.answer(now, session, &PublisherMessage::Refused(refusal), out);
        }
        self.close(now, session, CloseReason::Malformed(error), out);
    }

    /// The connection has ended. Not to be called after [`PublisherOutput::Close`].
    pub fn disconnected(&mut self, now: Time, session: SessionId, out: &mut Vec<PublisherOutput>) {
        self.forget(now, session, out);
    }

    /// Takes the next change into the store and sends it to whom it concerns. Work by what it touches and by the
    /// sessions that subscribe to that.
    pub fn append(
        &mut self,
        now: Time,
        entry: LogEntry,
        out: &mut Vec<PublisherOutput>,
    ) -> Result<Appended, AppendError> {
        let appended = self.store.append(entry)?;
        for (session, services) in self.concerned(&appended.services) {
            self.changed(now, session, &services, out);
        }
        Ok(appended)
    }

    /// Another history has been read (a raised epoch): every session is closed and resumes from what it has.
    pub fn replace_store(&mut self, now: Time, store: Store, out: &mut Vec<PublisherOutput>) {
        self.store = store;
        let mut sessions: Vec<SessionId> = self.sessions.keys().copied().collect();
        sessions.sort_unstable();
        for session in sessions {
            self.close(now, session, CloseReason::Replaced, out);
        }
    }

    /// So many bytes of what was handed out have been written to the connection.
    pub fn written(
        &mut self,
        now: Time,
        session: SessionId,
        bytes: usize,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(known) = self.sessions.get_mut(&session) else {
            return;
        };
        known.queued = known.queued.saturating_sub(bytes);
        if bytes > 0 {
            known.stalled_since = now;
        }
        self.pump(now, session, out);
    }

    /// Does what is due; gives when it is to be called next. To be asked again after every other call by [`Self::due`].
    pub fn tick(&mut self, now: Time, out: &mut Vec<PublisherOutput>) -> Option<Time> {
        while let Some((at, session)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, session));
            self.check_session(now, session, out);
        }
        self.serve_waiting(now, out);
        self.due()
    }

    /// When [`Self::tick`] is to be called.
    pub fn due(&self) -> Option<Time> {
        let timer = self.timers.first().map(|(at, _)| *at);
        [timer, self.traffic.due()].into_iter().flatten().min()
    }

    /// What was counted.
    pub fn counters(&self) -> PublisherCounters {
        self.traffic.counters
    }

    /// The sessions that have any of these services in their scope, with those that they have.
    fn concerned(&self, services: &[ServiceName]) -> BTreeMap<SessionId, Vec<ServiceName>> {
        let mut concerned: BTreeMap<SessionId, Vec<ServiceName>> = BTreeMap::new();
        for service in services {
            for session in self.subscribers.get(service).into_iter().flatten() {
                concerned.entry(*session).or_default().push(service.clone());
            }
        }
        concerned
    }

    fn check_session(&mut self, now: Time, session: SessionId, out: &mut Vec<PublisherOutput>) {
        let Some(known) = self.sessions.get_mut(&session) else {
            return;
        };
        known.timer = None;
        match known.overdue(now, &self.options) {
            Some(reason) => self.close(now, session, reason, out),
            None => self.set_timer(session),
        }
    }

    fn set_timer(&mut self, session: SessionId) {
        let Some(known) = self.sessions.get_mut(&session) else {
            return;
        };
        let at = known.deadline(&self.options);
        // An earlier timer looks again when it comes.
        if known.timer.is_none_or(|timer| at < timer) {
            if let Some(timer) = known.timer {
                self.timers.remove(&(timer, session));
            }
            known.timer = Some(at);
            self.timers.insert((at, session));
        }
    }

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
        let counters = &mut self.traffic.counters;
        match reason {
            CloseReason::Refused => counters.refused += 1,
            CloseReason::Stalled => counters.stalled += 1,
            CloseReason::Unacknowledged => counters.unacknowledged += 1,
            CloseReason::Silent => counters.silent += 1,
            CloseReason::Violation(_) | CloseReason::Malformed(_) => counters.violations += 1,
            CloseReason::Mismatch | CloseReason::Replaced => {}
        }
        counters.closed += 1;
        out.push(PublisherOutput::Close { session, reason });
        self.forget(now, session, out);
    }

    fn forget(&mut self, now: Time, session: SessionId, out: &mut Vec<PublisherOutput>) {
        let Some(known) = self.sessions.remove(&session) else {
            return;
        };
        for service in known.services.keys() {
            self.forget_subscriber(service, session);
        }
        if let Some(timer) = known.timer {
            self.timers.remove(&(timer, session));
        }
        if known.turn == Turn::Taken {
            self.give_turn(now, out);
        }
    }

    fn forget_subscriber(&mut self, service: &ServiceName, session: SessionId) {
        if let Some(sessions) = self.subscribers.get_mut(service) {
            sessions.remove(&session);
            if sessions.is_empty() {
                self.subscribers.remove(service);
            }
        }
    }

    /// Hands out a message that is an answer, unless the session reads nothing: then it is dropped.
    fn answer(
        &mut self,
        now: Time,
        session: SessionId,
        message: &PublisherMessage,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(known) = self.sessions.get_mut(&session) else {
            return;
        };
        if known.queued < self.options.max_queued_bytes {
            known.send(now, message, &mut self.traffic, out);
            self.set_timer(session);
        }
    }
}
