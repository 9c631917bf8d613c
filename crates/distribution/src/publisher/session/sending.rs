//! The sending of a session: pending groups become transactions, and transactions become frames.

use super::Session;
use super::pending::{GroupId, GroupState};
use super::steps::NextStep;
use super::transaction::OpenTransaction;
use crate::name::ServiceName;
use crate::position::Position;
use crate::publisher::bandwidth::Priority;
use crate::publisher::options::PublisherOptions;
use crate::publisher::shared::{FrameSink, Shared};
use crate::publisher::snapshot_slots::SnapshotSlot;
use crate::resource::Change;
use crate::store::Store;

impl Session {
    /// Returns the next step of the session. Frames of the open transaction come first, then groups of deltas, then
    /// groups that need a snapshot; a group waits while one of its services is in flight.
    pub(in crate::publisher) fn next_step(&self, options: &PublisherOptions) -> NextStep {
        if let Some(open) = &self.open {
            let priority = if open.has_snapshot { Priority::Snapshot } else { Priority::Delta };
            return NextStep::SendFrame(priority);
        }
        let in_flight_bytes: usize = self.unacknowledged.values().map(|sent| sent.bytes).sum();
        if self.unacknowledged.len() >= options.max_unacknowledged
            || in_flight_bytes >= options.max_transaction_bytes
        {
            return NextStep::Nothing;
        }
        if let Some(group) = self.first_free_group(GroupState::Delta) {
            return NextStep::Open(group, Priority::Delta);
        }
        match (self.first_free_group(GroupState::Snapshot), self.snapshot_slot) {
            (Some(group), SnapshotSlot::Held) => NextStep::Open(group, Priority::Snapshot),
            (Some(_), SnapshotSlot::None) => NextStep::RequestSnapshotSlot,
            _ => NextStep::Nothing,
        }
    }

    /// Returns whether any pending group needs a snapshot.
    pub(in crate::publisher) fn has_pending_snapshot(&self) -> bool {
        self.pending.has_snapshots()
    }

    /// Returns whether the session still needs a snapshot slot: a snapshot is pending, being sent or unanswered.
    pub(in crate::publisher) fn needs_snapshot_slot(&self) -> bool {
        self.open.as_ref().is_some_and(|open| open.has_snapshot)
            || self.has_pending_snapshot()
            || self.unacknowledged.values().any(|sent| sent.has_snapshot)
    }

    /// Opens a transaction for a group. Instead, a group that needs a snapshot moves to [`GroupState::Snapshot`] if the
    /// session holds no snapshot slot, and a group that is too large for one transaction is split.
    pub(in crate::publisher) fn open_transaction(
        &mut self,
        group: GroupId,
        options: &PublisherOptions,
        store: &Store,
        shared: &mut Shared,
    ) {
        let services = self.pending.get(group).map_or(Vec::new(), |group| group.services.clone());
        let accepts_delta = |service: &ServiceName| {
            let subscription = self.subscriptions.get(service);
            subscription.is_some_and(|subscription| subscription.accepts_delta(service, store))
        };
        if !services.iter().all(accepts_delta) && self.snapshot_slot != SnapshotSlot::Held {
            self.pending.require_snapshot(group);
            return;
        }
        let transaction = self.make_transaction(&services, store, shared);
        let is_too_large = transaction.bytes > options.max_transaction_bytes
            || services.len() > options.max_transaction_services;
        if is_too_large && services.len() > 1 {
            shared.counters.split_groups += 1;
            self.split_group(group, store);
            return;
        }
        self.remove_group(group);
        for service in &services {
            if let Some(subscription) = self.subscriptions.get_mut(service) {
                subscription.transaction = Some(transaction.id);
            }
        }
        self.open = Some(transaction);
        shared.transaction_opened();
    }

    /// Queues the next frame of the open transaction, if there is one. After the last frame, the transaction is
    /// unacknowledged.
    pub(in crate::publisher) fn send_next_frame(
        &mut self,
        position: Position,
        options: &PublisherOptions,
        sink: &mut FrameSink<'_>,
    ) {
        let Some(mut open) = self.open.take() else {
            return;
        };
        if let Some(frame) = open.next_frame(self.scope_generation, options.chunk_bytes) {
            self.send(&frame, sink);
            self.open = Some(open);
            return;
        }
        self.send(&open.commit_frame(position), sink);
        sink.shared.counters.transactions += 1;
        sink.shared.counters.snapshots += u64::from(open.has_snapshot);
        self.unacknowledged.insert(open.id, open.into_unacknowledged(sink.now));
    }

    /// Adds the latest change, which touched `services`, to the open transaction if the transaction contains all of
    /// them, none of them is pending, and the size limit allows it. Returns whether it was added. If so, a server
    /// that the change removes is never applied by the subscriber, even if an earlier frame of the transaction sets it.
    pub(super) fn merge_into_open(
        &mut self,
        services: &[ServiceName],
        max_transaction_bytes: usize,
        store: &Store,
    ) -> bool {
        let Some(open) = &mut self.open else {
            return false;
        };
        let is_only_in_open = |service: &ServiceName| {
            self.subscriptions.get(service).is_some_and(|subscription| {
                subscription.group.is_none() && subscription.transaction == Some(open.id)
            })
        };
        if !services.iter().all(is_only_in_open) {
            return false;
        }
        let mut changes = Vec::new();
        for service in services {
            let latest = store.latest_changes(service);
            // A log whose limits do not allow even one change does not hold the latest one.
            if latest.is_empty() {
                return false;
            }
            changes.extend(latest);
        }
        let bytes: usize = changes.iter().map(Change::encoded_size).sum();
        if open.bytes + bytes > max_transaction_bytes {
            return false;
        }
        open.merge(services, changes, store);
        true
    }

    /// Returns the first group of a state that has no service in flight.
    fn first_free_group(&self, state: GroupState) -> Option<GroupId> {
        let is_in_flight = |service: &ServiceName| {
            let subscription = self.subscriptions.get(service);
            subscription.is_some_and(|subscription| subscription.transaction.is_some())
        };
        self.pending.first(state, |services| !services.iter().any(is_in_flight))
    }

    /// Builds a transaction of these services from their applied versions, or as snapshots, to their latest versions.
    fn make_transaction(
        &self,
        services: &[ServiceName],
        store: &Store,
        shared: &Shared,
    ) -> OpenTransaction {
        let mut transaction = OpenTransaction::new(shared.next_transaction());
        for service in services {
            let Some(subscription) = self.subscriptions.get(service) else {
                continue;
            };
            let delta_from =
                subscription.accepts_delta(service, store).then_some(subscription.version);
            transaction.add_service(service, subscription.generation, delta_from, store);
        }
        transaction
    }
}
