//! The transactions of a session: the one that is being sent, and those that wait for their answer.

use std::collections::VecDeque;

use sableloom_types::Time;

use crate::message::{Base, MAX_CHANGES_PER_MESSAGE, PublisherMessage, ServiceBase};
use crate::name::ServiceName;
use crate::position::{Position, ServiceVersion};
use crate::resource::Change;
use crate::store::Store;

/// The id of a transaction; unique while the publisher runs.
pub(super) type TransactionId = u64;

/// A service of a transaction.
#[derive(Clone, Debug)]
pub(super) struct TransactionTarget {
    /// The version that the transaction leads to.
    pub(super) version: ServiceVersion,
    /// The scope message that had last added the service when the transaction was opened.
    pub(super) generation: u32,
}

/// A transaction that is being sent.
#[derive(Debug)]
pub(super) struct OpenTransaction {
    pub(super) id: TransactionId,
    /// Sent with the first frame, and empty afterwards.
    bases: Vec<ServiceBase>,
    /// Changes that have not been sent.
    changes: VecDeque<Change>,
    targets: Vec<TransactionTarget>,
    pub(super) bytes: usize,
    /// Whether any service comes as a snapshot.
    pub(super) has_snapshot: bool,
}

/// A transaction that has been sent completely.
#[derive(Debug)]
pub(super) struct UnacknowledgedTransaction {
    pub(super) targets: Vec<TransactionTarget>,
    pub(super) bytes: usize,
    pub(super) has_snapshot: bool,
    pub(super) sent_at: Time,
}

impl OpenTransaction {
    pub(super) fn new(id: TransactionId) -> Self {
        OpenTransaction {
            id,
            bases: Vec::new(),
            changes: VecDeque::new(),
            targets: Vec::new(),
            bytes: 0,
            has_snapshot: false,
        }
    }

    /// Adds a service with the changes from its base to its latest version.
    pub(super) fn add_service(
        &mut self,
        service: &ServiceName,
        generation: u32,
        delta_from: Option<u64>,
        store: &Store,
    ) {
        let (base, changes) = changes_to_latest(service, delta_from, store);
        self.has_snapshot |= base == Base::Snapshot;
        self.bases.push(ServiceBase { service: service.clone(), base });
        self.add_changes(changes);
        let version = store.service_version(service);
        self.targets.push(TransactionTarget { version, generation });
    }

    /// Adds the latest changes of services that are in the transaction already.
    pub(super) fn merge(&mut self, services: &[ServiceName], changes: Vec<Change>, store: &Store) {
        self.add_changes(changes);
        for target in &mut self.targets {
            if services.contains(&target.version.service) {
                target.version = store.service_version(&target.version.service);
            }
        }
    }

    /// The next frame, or none if only the commit is left.
    pub(super) fn next_frame(
        &mut self,
        generation: u32,
        max_chunk_bytes: usize,
    ) -> Option<PublisherMessage> {
        let transaction = self.id;
        if !self.bases.is_empty() {
            let services = std::mem::take(&mut self.bases);
            return Some(PublisherMessage::Begin { transaction, generation, services });
        }
        if !self.changes.is_empty() {
            let changes = take_chunk(&mut self.changes, max_chunk_bytes);
            return Some(PublisherMessage::Changes { transaction, changes });
        }
        None
    }

    /// The frame that completes the transaction.
    pub(super) fn commit_frame(&self, position: Position) -> PublisherMessage {
        let services = self.targets.iter().map(|target| target.version.clone()).collect();
        PublisherMessage::Commit { transaction: self.id, position, services }
    }

    /// The transaction has been sent completely.
    pub(super) fn into_unacknowledged(self, sent_at: Time) -> UnacknowledgedTransaction {
        let OpenTransaction { targets, bytes, has_snapshot, .. } = self;
        UnacknowledgedTransaction { targets, bytes, has_snapshot, sent_at }
    }

    fn add_changes(&mut self, changes: Vec<Change>) {
        self.bytes += changes.iter().map(Change::encoded_size).sum::<usize>();
        self.changes.extend(changes);
    }
}

/// The changes to the latest version of a service: a delta if there is a base for it, unless a snapshot is smaller.
fn changes_to_latest(
    service: &ServiceName,
    delta_from: Option<u64>,
    store: &Store,
) -> (Base, Vec<Change>) {
    if let Some(from) = delta_from {
        let changes = store.delta(service, from);
        let bytes: usize = changes.iter().map(Change::encoded_size).sum();
        if bytes <= store.service_bytes(service) || changes.len() <= 1 {
            return (Base::Delta { from }, changes);
        }
    }
    (Base::Snapshot, store.snapshot(service))
}

/// Takes as many changes as one frame may hold; at least one.
fn take_chunk(changes: &mut VecDeque<Change>, max_bytes: usize) -> Vec<Change> {
    let mut chunk = Vec::new();
    let mut bytes = 0;
    while let Some(change) = changes.front() {
        bytes += change.encoded_size();
        if !chunk.is_empty() && (bytes > max_bytes || chunk.len() >= MAX_CHANGES_PER_MESSAGE) {
            break;
        }
        chunk.extend(changes.pop_front());
    }
    chunk
}
