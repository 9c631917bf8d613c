//! The transactions of a subscriber: the one that is being received, and those that the caller applies.

use std::collections::BTreeMap;

use super::disconnect_reason::DisconnectReason;
use super::service_transfer::{ResourceChanges, ServiceTransfer};
use crate::message::{Base, ServiceBase};
use crate::name::ServiceName;
use crate::position::{Position, ServiceVersion};
use crate::resource::Change;
use crate::service_state::ResourceKey;
use crate::violation::PublisherViolation;

/// A transaction whose commit has not been received.
#[derive(Debug)]
pub(super) struct IncomingTransaction {
    id: u64,
    /// The number of the last scope message that the control machine had processed when it began the transaction.
    generation: u32,
    services: BTreeMap<ServiceName, IncomingService>,
    /// An estimate of the bytes that are buffered for the transaction.
    pub(super) bytes: usize,
}

#[derive(Debug)]
struct IncomingService {
    base: Base,
    changes: ResourceChanges,
}

/// A transaction that was handed to the caller, which has not answered it.
#[derive(Debug)]
pub(super) struct PendingTransaction {
    pub(super) id: u64,
    pub(super) transfers: Vec<ServiceTransfer>,
    pub(super) bytes: usize,
}

impl PendingTransaction {
    pub(super) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.transfers.iter().map(|transfer| &transfer.target.service)
    }
}

impl IncomingTransaction {
    pub(super) fn new(id: u64, generation: u32) -> Self {
        IncomingTransaction { id, generation, services: BTreeMap::new(), bytes: 0 }
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Adds services, at the start or in a further message of the same transaction.
    ///
    /// Fails if the message belongs to another transaction.
    pub(super) fn begin(
        &mut self,
        id: u64,
        generation: u32,
        services: Vec<ServiceBase>,
    ) -> Result<(), DisconnectReason> {
        if self.id != id || self.generation != generation {
            return Err(PublisherViolation::NestedTransaction.into());
        }
        for ServiceBase { service, base } in services {
            self.bytes += service.as_str().len() + size_of::<IncomingService>();
            let incoming = IncomingService { base, changes: ResourceChanges::new() };
            self.services.insert(service, incoming);
        }
        Ok(())
    }

    /// Adds changes. A later change of a resource replaces an earlier one.
    ///
    /// Fails if a change is of a service that is not in the transaction, or is the removal of a service.
    pub(super) fn add_changes(&mut self, changes: Vec<Change>) -> Result<(), DisconnectReason> {
        for change in changes {
            self.bytes += change.encoded_size();
            let Some(incoming) = self.services.get_mut(change.service()) else {
                return Err(PublisherViolation::ServiceNotInTransaction.into());
            };
            let (key, resource) = match change {
                Change::Set(resource) => (ResourceKey::of(&resource.name), Some(resource)),
                Change::Remove { name, .. } => (ResourceKey::of(&name), None),
                Change::RemoveService { .. } => {
                    return Err(PublisherViolation::ServiceRemoval.into());
                }
            };
            incoming.changes.insert(key, resource);
        }
        Ok(())
    }

    /// Completes the transaction. Returns the changes of its services with their targets.
    ///
    /// Fails if the targets are not exactly the services of the transaction.
    pub(super) fn commit(
        mut self,
        position: Position,
        targets: Vec<ServiceVersion>,
    ) -> Result<Vec<ServiceTransfer>, DisconnectReason> {
        let mut transfers = Vec::with_capacity(targets.len());
        for target in targets {
            let Some(incoming) = self.services.remove(&target.service) else {
                return Err(PublisherViolation::CommittedServiceNotInTransaction.into());
            };
            let IncomingService { base, changes } = incoming;
            let (epoch, generation) = (position.epoch, self.generation);
            transfers.push(ServiceTransfer { target, epoch, generation, base, changes });
        }
        if !self.services.is_empty() {
            return Err(PublisherViolation::UncommittedService.into());
        }
        Ok(transfers)
    }
}
