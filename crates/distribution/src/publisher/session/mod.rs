//! One subscriber's session: what it has applied, what is pending for it, what is in flight.
//!
//! What is pending is a set of services and not a queue of messages: a transaction is made when it can be sent, from
//! the version that the subscriber has applied to the latest one. However many changes come meanwhile, they take no
//! memory here.
//!
//! A service is idle, pending (in one group with the services that changed together with it), in flight (in one
//! transaction), or both of the last. A service that is in flight is not sent again before its transaction is answered.

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

#[derive(Debug)]
pub(super) struct Session {
    pub(super) id: SessionId,
    /// Set by the hello.
    pub(super) subscriber: Option<SubscriberName>,
    /// The last scope message.
    pub(super) scope_generation: u32,
    /// Whether the last message of a scope has come: nothing is sent before.
    pub(super) scope_complete: bool,
    /// Services added by a scope that is not complete yet.
    services_to_resume: BTreeSet<ServiceName>,
    /// Versions that the subscriber has rejected before, as the scope reports them.
    reported_rejections: Vec<ServiceVersion>,
    pub(super) subscriptions: BTreeMap<ServiceName, Subscription>,
    pending: PendingGroups,
    open: Option<OpenTransaction>,
    unacknowledged: BTreeMap<TransactionId, UnacknowledgedTransaction>,
    pub(super) snapshot_slot: SnapshotSlot,
    /// Whether the session is in a queue for bandwidth.
    pub(super) awaits_bandwidth: bool,
    /// Bytes queued and not yet written to the connection.
    queued_bytes: usize,
    /// Since when none of them has been written.
    stalled_since: Time,
    pub(super) last_heard: Time,
    /// The time for which the session's timer is set; never after its [`Self::deadline`].
    pub(super) timer: Option<Time>,
    /// Sum of [`scope_digest_term`] over the versions that the subscriber has applied.
    scope_digest: u64,
    pub(super) last_bookmark: Position,
    /// Whether a bookmark is to be sent once nothing is pending.
    pub(super) bookmark_due: bool,
    consecutive_mismatches: u32,
}

impl Session {
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
            stalled_since: now,
            last_heard: now,
            timer: None,
            scope_digest: 0,
            last_bookmark: Position::default(),
            bookmark_due: false,
            consecutive_mismatches: 0,
        }
    }

    /// Adds a service to the scope, or replaces what is known of it.
    pub(super) fn subscribe(&mut self, applied: ServiceVersion) {
        self.unsubscribe(&applied.service);
        self.scope_digest = self.scope_digest.wrapping_add(digest_term(&applied));
        let subscription = Subscription::new(self.scope_generation, &applied);
        self.subscriptions.insert(applied.service, subscription);
    }

    /// Removes a service from the scope; whether it was there.
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

    /// Notes the version that the subscriber has applied.
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

    /// Whether the subscriber has not applied the latest version of a service of its scope.
    pub(super) fn lags(&self, service: &ServiceName, store: &Store) -> bool {
        self.subscriptions
            .get(service)
            .is_some_and(|subscription| subscription.lags(service, store))
    }

    /// Notes since when the subscriber lags in these services.
    fn mark_lagging(&mut self, now: Time, services: &[ServiceName]) {
        for service in services {
            if let Some(subscription) = self.subscriptions.get_mut(service) {
                subscription.lagging_since.get_or_insert(now);
            }
        }
    }

    /// Whether nothing is to be sent and nothing is unanswered.
    pub(super) fn is_idle(&self) -> bool {
        self.scope_complete
            && self.open.is_none()
            && self.unacknowledged.is_empty()
            && self.pending.nothing_to_send()
    }

    /// Whether the subscriber has rejected something that is still pending.
    pub(super) fn is_rejecting(&self) -> bool {
        self.pending.has_rejected()
    }

    /// Bytes queued and not yet written to the connection.
    pub(super) fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Bytes of the queue have been written to the connection.
    pub(super) fn bytes_written(&mut self, now: Time, bytes: usize) {
        self.queued_bytes = self.queued_bytes.saturating_sub(bytes);
        if bytes > 0 {
            self.stalled_since = now;
        }
    }

    /// Queues a message.
    pub(super) fn send(&mut self, message: &PublisherMessage, sink: &mut FrameSink<'_>) {
        if self.queued_bytes == 0 {
            self.stalled_since = sink.now;
        }
        self.queued_bytes += sink.send(self.id, message);
    }

    /// Queues a bookmark.
    pub(super) fn send_bookmark(&mut self, position: Position, sink: &mut FrameSink<'_>) {
        self.bookmark_due = false;
        self.last_bookmark = position;
        let (generation, digest) = (self.scope_generation, self.scope_digest);
        self.send(&PublisherMessage::Current { position, generation, digest }, sink);
    }
}

fn digest_term(version: &ServiceVersion) -> u64 {
    scope_digest_term(&version.service, version.version, version.digest)
}
