//! What a message of a subscriber does to its session.

use std::collections::BTreeSet;

use sableloom_types::Time;

use super::options::{CloseReason, PublisherOutput, SessionId};
use super::session::{Refused, Session, Target, Unacknowledged};
use super::{Publisher, SPARE_CONNECTIONS};
use crate::message::{
    MAX_SERVICES_PER_MESSAGE, NackReason, PublisherMessage, Refusal, SubscriberMessage,
};
use crate::name::{ServiceName, SubscriberName};
use crate::resource::{Position, Rejection, ServiceVersion};
use crate::store::Store;

type Taken = Result<(), CloseReason>;

/// One scope message.
struct Scope {
    generation: u32,
    add: Vec<ServiceVersion>,
    remove: Vec<ServiceName>,
    rejected: Vec<ServiceVersion>,
    last: bool,
}

impl Publisher {
    pub(super) fn take(
        &mut self,
        now: Time,
        session: SessionId,
        message: SubscriberMessage,
        out: &mut Vec<PublisherOutput>,
    ) -> Taken {
        match message {
            SubscriberMessage::Hello { subscriber, position } => {
                self.hello(now, session, subscriber, position, out)
            }
            SubscriberMessage::Scope { generation, add, remove, rejected, last } => {
                let scope = Scope { generation, add, remove, rejected, last };
                self.scope(now, session, scope, out)
            }
            SubscriberMessage::Ack { transfer } => self.acknowledged(now, session, transfer, out),
            SubscriberMessage::Nack { transfer, reason } => {
                self.not_acknowledged(now, session, transfer, reason, out)
            }
            SubscriberMessage::Ping { sequence } => {
                self.answer(now, session, &PublisherMessage::Pong { sequence }, out);
                self.bookmark_if_moved(now, session, out);
                Ok(())
            }
            SubscriberMessage::StatusRequest(query) => {
                let page = self.status_page(now, &query);
                self.answer(now, session, &PublisherMessage::Status(page), out);
                Ok(())
            }
        }
    }

    fn hello(
        &mut self,
        now: Time,
        session: SessionId,
        subscriber: SubscriberName,
        seen: Position,
        out: &mut Vec<PublisherOutput>,
    ) -> Taken {
        let greeted = self.session(session)?.subscriber.is_some();
        if greeted {
            return Err(CloseReason::Violation("a second hello"));
        }
        let judged = if self.sessions.len() > self.options.max_sessions + SPARE_CONNECTIONS {
            Err(Refusal::Full)
        } else {
            self.store.check_resume(seen)
        };
        if let Err(refusal) = judged {
            return self.refuse(now, session, refusal, out);
        }
        let position = self.store.position();
        self.session(session)?.subscriber = Some(subscriber);
        self.traffic.counters.sessions += 1;
        self.answer(now, session, &PublisherMessage::Welcome { position }, out);
        Ok(())
    }

    fn refuse(
        &mut self,
        now: Time,
        session: SessionId,
        refusal: Refusal,
        out: &mut Vec<PublisherOutput>,
    ) -> Taken {
        self.answer(now, session, &PublisherMessage::Refused(refusal), out);
        Err(CloseReason::Refused)
    }

    fn scope(
        &mut self,
        now: Time,
        session: SessionId,
        scope: Scope,
        out: &mut Vec<PublisherOutput>,
    ) -> Taken {
        let max = self.options.max_scope_services;
        let named = scope.add.len() + scope.remove.len() + scope.rejected.len();
        let known = self.greeted(session)?;
        if scope.generation != known.generation.wrapping_add(1) {
            return Err(CloseReason::Violation("scope messages out of order"));
        }
        if named > MAX_SERVICES_PER_MESSAGE {
            return Err(CloseReason::Violation("a scope message with too many services"));
        }
        let more =
            scope.add.iter().filter(|held| !known.services.contains_key(&held.service)).count();
        let named_before = known.new_services.len().max(known.told_refused.len());
        if known.services.len() + more > max || named_before + named > 2 * max {
            return self.refuse(now, session, Refusal::ScopeTooLarge { max: max as u32 }, out);
        }
        known.generation = scope.generation;
        known.told_refused.extend(scope.rejected);
        known.new_services.extend(scope.add.iter().map(|held| held.service.clone()));
        for held in scope.add {
            self.subscribers.entry(held.service.clone()).or_default().insert(session);
            self.session(session)?.subscribe(held);
        }
        for service in &scope.remove {
            if self.session(session)?.unsubscribe(service) {
                self.forget_subscriber(service, session);
            }
        }
        if scope.last {
            let store = &self.store;
            let known =
                self.sessions.get_mut(&session).ok_or(CloseReason::Violation("no session"))?;
            known.resume(now, store);
        }
        self.release_turn(now, session, out);
        self.pump(now, session, out);
        Ok(())
    }

    fn acknowledged(
        &mut self,
        now: Time,
        session: SessionId,
        transfer: u64,
        out: &mut Vec<PublisherOutput>,
    ) -> Taken {
        self.greeted(session)?;
        let Publisher { sessions, store, .. } = self;
        let known = sessions.get_mut(&session).ok_or(CloseReason::Violation("no session"))?;
        let sent = known.answered(transfer)?;
        known.mismatches = 0;
        known.owes_bookmark = true;
        for target in known.still_subscribed(sent.targets) {
            known.set_held(&target);
            known.caught_up(std::slice::from_ref(&target.service), store);
            if let Some(subscription) = known.services.get_mut(&target.service) {
                subscription.unusable = false;
                subscription.refused = None;
            }
        }
        self.traffic.counters.acks += 1;
        self.release_turn(now, session, out);
        self.pump(now, session, out);
        Ok(())
    }

    fn not_acknowledged(
        &mut self,
        now: Time,
        session: SessionId,
        transfer: u64,
        reason: NackReason,
        out: &mut Vec<PublisherOutput>,
    ) -> Taken {
        self.greeted(session)?;
        let store = &self.store;
        let known = self.sessions.get_mut(&session).ok_or(CloseReason::Violation("no session"))?;
        let sent = known.answered(transfer)?;
        known.owes_bookmark = true;
        let targets = known.still_subscribed(sent.targets);
        match reason {
            NackReason::Rejected(rejections) => {
                self.traffic.counters.rejections += 1;
                known.mismatches = 0;
                known.refused(&targets, rejections, store);
            }
            NackReason::Mismatch(helds) => {
                self.traffic.counters.mismatches += 1;
                known.mismatches += 1;
                if known.mismatches >= self.options.max_mismatches {
                    return Err(CloseReason::Mismatch);
                }
                known.mismatched(&targets, &helds, store);
            }
        }
        self.release_turn(now, session, out);
        self.pump(now, session, out);
        Ok(())
    }

    fn session(&mut self, session: SessionId) -> Result<&mut Session, CloseReason> {
        self.sessions.get_mut(&session).ok_or(CloseReason::Violation("no session"))
    }

    fn greeted(&mut self, session: SessionId) -> Result<&mut Session, CloseReason> {
        let known = self.session(session)?;
        if known.subscriber.is_none() {
            return Err(CloseReason::Violation("no hello"));
        }
        Ok(known)
    }
}

impl Session {
    /// Finds what is pending of the services that a whole scope has named: only those in which the subscriber lags,
    /// and together those that one change in the log has touched.
    fn resume(&mut self, now: Time, store: &Store) {
        self.scope_whole = true;
        self.owes_bookmark = true;
        let new_services = std::mem::take(&mut self.new_services);
        let lagging: Vec<ServiceName> =
            new_services.into_iter().filter(|service| self.lags(service, store)).collect();
        self.fell_behind(now, &lagging);
        let mut seen_changes = BTreeSet::new();
        for service in &lagging {
            self.mark(std::slice::from_ref(service), store);
            self.mark_connected(service, &mut seen_changes, store);
        }
        for held in self.told_refused.clone() {
            self.put_aside_if_refused(&held, store);
        }
        self.told_refused = Vec::new();
    }

    fn mark_connected(
        &mut self,
        service: &ServiceName,
        seen_changes: &mut BTreeSet<u64>,
        store: &Store,
    ) {
        let Some(subscription) = self.services.get(service) else {
            return;
        };
        if !subscription.has_base(service, store) {
            return;
        }
        for (number, touched) in store.changes_since(service, subscription.version) {
            if touched.len() < 2 || !seen_changes.insert(number) {
                continue;
            }
            let lacks = |service: &&ServiceName| {
                self.services
                    .get(*service)
                    .is_some_and(|s| s.version < number && s.has_base(service, store))
            };
            let together: Vec<ServiceName> = touched.iter().filter(lacks).cloned().collect();
            self.mark(&together, store);
        }
    }

    pub(super) fn lags(&self, service: &ServiceName, store: &Store) -> bool {
        let current = store.service_version(service);
        self.services
            .get(service)
            .is_some_and(|s| (s.version, s.digest) != (current.version, current.digest))
    }

    /// Takes a transaction as answered.
    fn answered(&mut self, transfer: u64) -> Result<Unacknowledged, CloseReason> {
        let sent = self.unacknowledged.remove(&transfer);
        let sent = sent.ok_or(CloseReason::Violation("an answer to no transaction"))?;
        for target in &sent.targets {
            if let Some(subscription) = self.services.get_mut(&target.held.service)
                && subscription.transfer == Some(transfer)
            {
                subscription.transfer = None;
            }
        }
        Ok(sent)
    }

    /// Of a transaction's services, those that have not been dropped from the scope or named anew since.
    fn still_subscribed(&self, targets: Vec<Target>) -> Vec<ServiceVersion> {
        let same = |target: &Target| {
            self.services
                .get(&target.held.service)
                .is_some_and(|s| s.generation == target.generation)
        };
        targets.into_iter().filter(same).map(|target| target.held).collect()
    }

    fn refused(&mut self, targets: &[ServiceVersion], rejections: Vec<Rejection>, store: &Store) {
        for target in targets {
            let own =
                rejections.iter().find(|rejection| rejection.resource.service == target.service);
            let problem = own.or(rejections.first()).cloned();
            if let Some(subscription) = self.services.get_mut(&target.service) {
                subscription.refused = Some(Refused { version: target.version, problem });
            }
        }
        self.put_aside(targets.iter().map(|target| target.service.clone()).collect(), store);
    }

    fn mismatched(&mut self, targets: &[ServiceVersion], helds: &[ServiceVersion], store: &Store) {
        for held in helds {
            if targets.iter().any(|target| target.service == held.service) {
                self.set_held(held);
                if let Some(subscription) = self.services.get_mut(&held.service) {
                    subscription.unusable = true;
                }
            }
        }
        let services: Vec<ServiceName> =
            targets.iter().map(|target| target.service.clone()).collect();
        self.mark(&services, store);
    }
}
