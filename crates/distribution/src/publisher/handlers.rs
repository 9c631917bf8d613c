//! The handlers of a subscriber's messages.

use rustc_hash::FxHashMap;
use sableloom_types::Time;

use super::Publisher;
use super::output::{CloseReason, PublisherOutput, SessionId};
use super::session::Session;
use crate::message::{
    MAX_SERVICES_PER_MESSAGE, NackReason, PublisherMessage, Refusal, SubscriberMessage,
};
use crate::name::{ServiceName, SubscriberName};
use crate::position::{Position, ServiceVersion};
use crate::violation::SubscriberViolation;

/// Connections without a session that may be open in addition to [`crate::PublisherOptions::max_sessions`]: those that
/// have not sent their hello, and those of tools that request the status.
const SPARE_CONNECTIONS: usize = 64;

/// The result of handling a message; an error is the reason for which the session has to be closed.
type HandlerResult = Result<(), CloseReason>;

/// The close reason for a message on a connection that has no session.
const NO_SESSION: CloseReason = CloseReason::Violation(SubscriberViolation::NoSession);

/// The content of [`SubscriberMessage::Scope`].
struct ScopeChange {
    generation: u32,
    add: Vec<ServiceVersion>,
    remove: Vec<ServiceName>,
    rejected: Vec<ServiceVersion>,
    is_last: bool,
}

/// The subscriber's answer to a transaction.
enum Answer {
    Applied,
    NotApplied(NackReason),
}

impl Publisher {
    /// Handles a message of a subscriber.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the session has to be closed.
    pub(super) fn handle(
        &mut self,
        now: Time,
        session: SessionId,
        message: SubscriberMessage,
        out: &mut Vec<PublisherOutput>,
    ) -> HandlerResult {
        match message {
            SubscriberMessage::Hello { subscriber, position } => {
                self.handle_hello(now, session, subscriber, position, out)
            }
            SubscriberMessage::Scope { generation, add, remove, rejected, last } => {
                let scope = ScopeChange { generation, add, remove, rejected, is_last: last };
                self.handle_scope(now, session, scope, out)
            }
            SubscriberMessage::Ack { transaction } => {
                self.handle_answer(now, session, transaction, Answer::Applied, out)
            }
            SubscriberMessage::Nack { transaction, reason } => {
                self.handle_answer(now, session, transaction, Answer::NotApplied(reason), out)
            }
            SubscriberMessage::Ping { sequence } => {
                self.reply(now, session, &PublisherMessage::Pong { sequence }, out);
                self.send_bookmark_if_moved(now, session, out);
                Ok(())
            }
            SubscriberMessage::StatusRequest(query) => {
                let page = self.status_page(now, &query);
                self.reply(now, session, &PublisherMessage::Status(page), out);
                Ok(())
            }
        }
    }

    /// Starts the session of a subscriber whose furthest seen position is `seen`, or refuses it.
    fn handle_hello(
        &mut self,
        now: Time,
        session: SessionId,
        subscriber: SubscriberName,
        seen: Position,
        out: &mut Vec<PublisherOutput>,
    ) -> HandlerResult {
        let state = self.sessions.get_mut(&session).ok_or(NO_SESSION)?;
        if state.subscriber.is_some() {
            return Err(SubscriberViolation::SecondHello.into());
        }
        if self.sessions.len() > self.options.max_sessions + SPARE_CONNECTIONS {
            return self.refuse(now, session, Refusal::Full, out);
        }
        if let Err(refusal) = self.store.check_resume(seen) {
            return self.refuse(now, session, refusal, out);
        }
        let state = self.sessions.get_mut(&session).ok_or(NO_SESSION)?;
        state.subscriber = Some(subscriber);
        self.shared.counters.sessions += 1;
        let position = self.store.position();
        self.reply(now, session, &PublisherMessage::Welcome { position }, out);
        Ok(())
    }

    /// Queues a refusal and closes the session.
    fn refuse(
        &mut self,
        now: Time,
        session: SessionId,
        refusal: Refusal,
        out: &mut Vec<PublisherOutput>,
    ) -> HandlerResult {
        self.reply(now, session, &PublisherMessage::Refused(refusal), out);
        Err(CloseReason::Refused)
    }

    /// Checks a scope message, applies it, and sends the services that become pending.
    fn handle_scope(
        &mut self,
        now: Time,
        session: SessionId,
        scope: ScopeChange,
        out: &mut Vec<PublisherOutput>,
    ) -> HandlerResult {
        let max = self.options.max_scope_services;
        let service_count = scope.add.len() + scope.remove.len() + scope.rejected.len();
        let state = welcomed_session(&mut self.sessions, session)?;
        if scope.generation != state.scope_generation.wrapping_add(1) {
            return Err(SubscriberViolation::ScopeOutOfOrder.into());
        }
        if service_count > MAX_SERVICES_PER_MESSAGE {
            return Err(SubscriberViolation::ScopeMessageTooLarge.into());
        }
        if state.exceeds_scope(&scope.add, service_count, max) {
            return self.refuse(now, session, Refusal::ScopeTooLarge { max: max as u32 }, out);
        }
        let removed = self.apply_scope(now, session, scope)?;
        for service in &removed {
            self.remove_subscriber(service, session);
        }
        self.release_snapshot_slot(now, session, out);
        self.flush(now, session, out);
        Ok(())
    }

    /// Changes the scope of a session and returns the services that were removed from it.
    fn apply_scope(
        &mut self,
        now: Time,
        session: SessionId,
        scope: ScopeChange,
    ) -> Result<Vec<ServiceName>, CloseReason> {
        let state = self.sessions.get_mut(&session).ok_or(NO_SESSION)?;
        state.scope_generation = scope.generation;
        for added in &scope.add {
            self.subscribers.entry(added.service.clone()).or_default().insert(session);
        }
        state.add_to_scope(scope.add, scope.rejected);
        let removed: Vec<ServiceName> =
            scope.remove.into_iter().filter(|service| state.unsubscribe(service)).collect();
        if scope.is_last {
            state.resume(now, &self.store);
        }
        Ok(removed)
    }

    /// Records the answer to a transaction, and sends the frames that can be sent as a result.
    fn handle_answer(
        &mut self,
        now: Time,
        session: SessionId,
        transaction: u64,
        answer: Answer,
        out: &mut Vec<PublisherOutput>,
    ) -> HandlerResult {
        let Publisher { sessions, store, shared, options, .. } = self;
        let state = welcomed_session(sessions, session)?;
        let targets =
            state.remove_answered(transaction).ok_or(SubscriberViolation::UnknownTransaction)?;
        match answer {
            Answer::Applied => {
                shared.counters.acks += 1;
                state.record_ack(&targets, store);
            }
            Answer::NotApplied(NackReason::Rejected(rejections)) => {
                shared.counters.rejections += 1;
                state.record_rejection(&targets, &rejections, store);
            }
            Answer::NotApplied(NackReason::Mismatch(applied)) => {
                shared.counters.mismatches += 1;
                if state.record_mismatch(&targets, &applied, store) >= options.max_mismatches {
                    return Err(CloseReason::Mismatch);
                }
            }
        }
        self.release_snapshot_slot(now, session, out);
        self.flush(now, session, out);
        Ok(())
    }
}

/// Returns a session whose hello was accepted.
///
/// # Errors
///
/// Returns the reason for which the session has to be closed: it does not exist, or it has sent no hello.
fn welcomed_session(
    sessions: &mut FxHashMap<SessionId, Session>,
    session: SessionId,
) -> Result<&mut Session, CloseReason> {
    let state = sessions.get_mut(&session).ok_or(NO_SESSION)?;
    if state.subscriber.is_none() {
        return Err(SubscriberViolation::NoHello.into());
    }
    Ok(state)
}
