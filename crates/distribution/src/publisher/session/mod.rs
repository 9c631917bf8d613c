//! The session of one subscriber: the versions that it has applied, and the services that are pending or in flight.
//!
//! Pending changes are stored as a set of services and not as a queue of messages: a transaction is built when it can
//! be sent, from the version that the subscriber has applied to the latest one. Further changes of a pending service
//! therefore take no memory in the session.
//!
//! A service is idle, pending (in one group with the services that changed together with it), in flight (in one
//! transaction), or both pending and in flight. A service that is in flight is not sent again before its transaction
//! is answered.
//!
//! An idle session is sent a bookmark ([`PublisherMessage::Current`]): the position up to which the subscriber has
//! answered all changes of its scope, with the digest of the scope.

mod answers;
mod grouping;
mod pending;
mod resume;
mod sending;
mod steps;
mod subscription;
mod timeouts;
mod transaction;

pub(super) use steps::{ChangeEffect, NextStep};
pub(super) use subscription::Subscription;

use std::collections::{BTreeMap, BTreeSet};

use sableloom_types::Time;

use super::output::SessionId;
use super::shared::FrameSink;
use super::snapshot_slots::SnapshotSlot;
use crate::digest::scope_digest_term;
use crate::message::PublisherMessage;
use crate::name::{ServiceName, SubscriberName};
use crate::position::{Position, ServiceVersion};
use crate::store::Store;
use pending::PendingGroups;
use transaction::{OpenTransaction, TransactionId, UnacknowledgedTransaction};

/// The state of one subscriber's connection.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) id: SessionId,
    /// The subscriber's name; none before its hello.
    pub(super) subscriber: Option<SubscriberName>,
    /// The generation of the last scope message; 0 before the first.
    pub(super) scope_generation: u32,
    /// Whether the last message of the first scope has been received; nothing but replies is sent before.
    pub(super) scope_complete: bool,
    /// The services that were added by a scope whose last message has not been received.
    services_to_resume: BTreeSet<ServiceName>,
    /// The rejected versions that the messages of an incomplete scope report.
    reported_rejections: Vec<ServiceVersion>,
    /// The services in the scope, with their state at the subscriber.
    pub(super) subscriptions: BTreeMap<ServiceName, Subscription>,
    pending: PendingGroups,
    /// The transaction of which frames are being sent.
    open: Option<OpenTransaction>,
    /// The transactions that have been sent completely and not been answered.
    unacknowledged: BTreeMap<TransactionId, UnacknowledgedTransaction>,
    pub(super) snapshot_slot: SnapshotSlot,
    /// Whether the session is in one of the queues for bandwidth.
    pub(super) awaits_bandwidth: bool,
    /// The bytes queued and not yet written to the connection.
    queued_bytes: usize,
    /// The start of the period in which no queued byte has been written to the connection: the time of the last write,
    /// or a later time at which a byte was added to the empty queue. Without meaning while nothing is queued.
    no_write_since: Time,
    /// The time at which the last message was received, or before the first, the time at which the connection was
    /// accepted.
    pub(super) last_received: Time,
    /// The time for which the session's timer is set; it is never later than [`Self::deadline`].
    pub(super) timer: Option<Time>,
    /// The wrapping sum of [`scope_digest_term`] over the versions that the subscriber has applied.
    scope_digest: u64,
    /// The position of the last bookmark that was queued.
    pub(super) last_bookmark: Position,
    /// Whether to send a bookmark once the session is idle.
    pub(super) bookmark_due: bool,
    /// The number of mismatches since the last transaction that was applied or rejected.
    consecutive_mismatches: u32,
}

impl Session {
    /// Creates the session of a connection that was accepted at `now`.
    pub(super) fn new(id: SessionId, now: Time) -> Self {
        Session {
            id,
            subscriber: None,
            scope_generation: 0,
            scope_complete: false,
            services_to_resume: BTreeSet::new(),
            reported_rejections: Vec::new(),
            subscriptions: BTreeMap::new(),
            pending: PendingGroups::default(),
            open: None,
            unacknowledged: BTreeMap::new(),
            snapshot_slot: SnapshotSlot::None,
            awaits_bandwidth: false,
            queued_bytes: 0,
            no_write_since: now,
            last_received: now,
            timer: None,
            scope_digest: 0,
            last_bookmark: Position::default(),
            bookmark_due: false,
            consecutive_mismatches: 0,
        }
    }

    /// Adds a service to the scope with the version that the subscriber has applied. The subscription of a service that
    /// is already in the scope is replaced.
    pub(super) fn subscribe(&mut self, applied: ServiceVersion) {
        self.unsubscribe(&applied.service);
        self.scope_digest = self.scope_digest.wrapping_add(digest_term(&applied));
        let subscription = Subscription::new(self.scope_generation, &applied);
        self.subscriptions.insert(applied.service, subscription);
    }

    /// Removes a service from the scope and returns whether it was in the scope.
    pub(super) fn unsubscribe(&mut self, service: &ServiceName) -> bool {
        let Some(subscription) = self.subscriptions.remove(service) else {
            return false;
        };
        let term = scope_digest_term(service, subscription.version, subscription.digest);
        self.scope_digest = self.scope_digest.wrapping_sub(term);
        if let Some(group) = subscription.group {
            self.pending.remove_service(group, service);
        }
        true
    }

    /// Records the version of a service that the subscriber has applied.
    fn set_applied(&mut self, applied: &ServiceVersion) {
        let Some(subscription) = self.subscriptions.get_mut(&applied.service) else {
            return;
        };
        let before = scope_digest_term(&applied.service, subscription.version, subscription.digest);
        self.scope_digest =
            self.scope_digest.wrapping_sub(before).wrapping_add(digest_term(applied));
        subscription.version = applied.version;
        subscription.digest = applied.digest;
    }

    /// Returns whether the service is in the scope and the subscriber has not applied its latest version.
    pub(super) fn lags(&self, service: &ServiceName, store: &Store) -> bool {
        self.subscriptions
            .get(service)
            .is_some_and(|subscription| subscription.lags(service, store))
    }

    /// Records that the subscriber lags in these services from now on. A lag that has already been recorded keeps its
    /// start.
    fn mark_lagging(&mut self, now: Time, services: &[ServiceName]) {
        for service in services {
            if let Some(subscription) = self.subscriptions.get_mut(service) {
                subscription.lagging_since.get_or_insert(now);
            }
        }
    }

    /// Returns whether the scope is complete, nothing is to be sent, and no transaction is unanswered. Groups that the
    /// subscriber has rejected may be pending.
    pub(super) fn is_idle(&self) -> bool {
        self.scope_complete
            && self.open.is_none()
            && self.unacknowledged.is_empty()
            && self.pending.nothing_to_send()
    }

    /// Returns whether the subscriber has rejected a group that is still pending.
    pub(super) fn is_rejecting(&self) -> bool {
        self.pending.has_rejected()
    }

    /// Returns the bytes queued and not yet written to the connection.
    pub(super) fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Records that queued bytes have been written to the connection.
    pub(super) fn bytes_written(&mut self, now: Time, bytes: usize) {
        self.queued_bytes = self.queued_bytes.saturating_sub(bytes);
        if bytes > 0 {
            self.no_write_since = now;
        }
    }

    /// Queues a message for the subscriber.
    pub(super) fn send(&mut self, message: &PublisherMessage, sink: &mut FrameSink<'_>) {
        if self.queued_bytes == 0 {
            self.no_write_since = sink.now;
        }
        self.queued_bytes += sink.send(self.id, message);
    }

    /// Queues a bookmark at a position.
    pub(super) fn send_bookmark(&mut self, position: Position, sink: &mut FrameSink<'_>) {
        self.bookmark_due = false;
        self.last_bookmark = position;
        let (generation, digest) = (self.scope_generation, self.scope_digest);
        self.send(&PublisherMessage::Current { position, generation, digest }, sink);
    }
}

/// Returns the term of a service's applied version in the scope digest.
fn digest_term(version: &ServiceVersion) -> u64 {
    scope_digest_term(&version.service, version.version, version.digest)
}
