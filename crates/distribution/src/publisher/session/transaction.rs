//! The transactions of a session: the one that is being sent, and those that have not been answered.

use std::collections::VecDeque;

use sableloom_types::Time;

use crate::message::{Base, MAX_CHANGES_PER_MESSAGE, PublisherMessage, ServiceBase};
use crate::name::ServiceName;
use crate::position::{Position, ServiceVersion};
use crate::resource::Change;
use crate::store::Store;

/// The id of a transaction; unique within a publisher.
pub(super) type TransactionId = u64;

/// A service of a transaction, with its target version.
#[derive(Clone, Debug)]
pub(super) struct TransactionTarget {
    /// The version and the digest of the service after the transaction is applied.
    pub(super) version: ServiceVersion,
    /// The generation of the scope message that had last added the service when the transaction was opened.
    pub(super) generation: u32,
}

/// A transaction that is being sent.
#[derive(Debug)]
pub(super) struct OpenTransaction {
    pub(super) id: TransactionId,
    /// The base of each service; empty after the first frame, which carries it.
    bases: Vec<ServiceBase>,
    /// The changes that have not been sent.
    changes: VecDeque<Change>,
    targets: Vec<TransactionTarget>,
    /// The estimated bytes of all changes, including those that have been sent.
    pub(super) bytes: usize,
    /// Whether any service is sent as a snapshot.
    pub(super) has_snapshot: bool,
}

/// A transaction that has been sent completely and not been answered.
#[derive(Debug)]
pub(super) struct UnacknowledgedTransaction {
    pub(super) targets: Vec<TransactionTarget>,
    /// The estimated bytes of its changes.
    pub(super) bytes: usize,
    pub(super) has_snapshot: bool,
    /// The time at which its last frame was queued.
    pub(super) sent_at: Time,
}

impl OpenTransaction {
    /// Creates a transaction without services.
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

    /// Adds a service with the changes to its latest version: a delta from `delta_from` if it is given and not larger
    /// than a snapshot, and a snapshot otherwise.
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

    /// Adds the latest changes of services that are already in the transaction.
    pub(super) fn merge(&mut self, services: &[ServiceName], changes: Vec<Change>, store: &Store) {
        self.add_changes(changes);
        for target in &mut self.targets {
            if services.contains(&target.version.service) {
                target.version = store.service_version(&target.version.service);
            }
        }
    }

    /// Returns the next frame, or `None` if only the commit is left to send.
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

    /// Returns the frame that completes the transaction.
    pub(super) fn commit_frame(&self, position: Position) -> PublisherMessage {
        let services = self.targets.iter().map(|target| target.version.clone()).collect();
        PublisherMessage::Commit { transaction: self.id, position, services }
    }

    /// Converts the transaction after its last frame has been queued at `sent_at`.
    pub(super) fn into_unacknowledged(self, sent_at: Time) -> UnacknowledgedTransaction {
        let OpenTransaction { targets, bytes, has_snapshot, .. } = self;
        UnacknowledgedTransaction { targets, bytes, has_snapshot, sent_at }
    }

    /// Appends changes and counts their bytes.
    fn add_changes(&mut self, changes: Vec<Change>) {
        self.bytes += changes.iter().map(Change::encoded_size).sum::<usize>();
        self.changes.extend(changes);
    }
}

/// Returns the changes to the latest version of a service: a delta if `delta_from` is given, unless it has several
/// changes and a snapshot is smaller.
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

/// Removes the changes of the next frame from the front: as many as the limits of a frame allow, but at least one.
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
