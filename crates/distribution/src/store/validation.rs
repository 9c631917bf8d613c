//! The checks of a change file before it is appended: its order, its changes and the resulting sizes.

use std::collections::{BTreeMap, BTreeSet};

use super::error::AppendError;
use super::limits::StoreLimits;
use super::stored_service::{StoredService, resource_key};
use crate::body::MAX_BODY_BYTES;
use crate::log_entry::LogEntry;
use crate::name::{MAX_KEY_BYTES, ResourceName, ServiceName};
use crate::position::Position;
use crate::resource::{Change, Resource};
use crate::service_state::{ResourceKey, ServiceState};

/// Changes to individual resources, by service.
pub(super) type ChangesByService = BTreeMap<ServiceName, Vec<Change>>;

/// Checks the number and the epoch of a change file against the position of the store.
pub(super) fn check_order(position: Position, entry: &LogEntry) -> Result<(), AppendError> {
    let expected = position.number + 1;
    // The log of an empty store may start at any number.
    let is_first = position.number == 0 && entry.number > 0;
    if entry.number != expected && !is_first {
        return Err(AppendError::OutOfSequence { expected, found: entry.number });
    }
    if entry.epoch < position.epoch {
        return Err(AppendError::EpochRegression { current: position.epoch, found: entry.epoch });
    }
    Ok(())
}

/// Checks the changes of a change file against the services of a store.
pub(super) struct Validation<'s> {
    services: &'s BTreeMap<ServiceName, StoredService>,
    limits: &'s StoreLimits,
    /// The resources that the checked changes touch; no resource may occur twice.
    changed_resources: BTreeSet<ResourceName>,
}

impl<'s> Validation<'s> {
    /// Creates a validation of one change file against these services and limits.
    pub(super) fn new(
        services: &'s BTreeMap<ServiceName, StoredService>,
        limits: &'s StoreLimits,
    ) -> Self {
        Validation { services, limits, changed_resources: BTreeSet::new() }
    }

    /// Checks all changes of a file and returns them by service, with the removal of a service expanded into removals
    /// of its resources.
    pub(super) fn check(mut self, entry: &LogEntry) -> Result<ChangesByService, AppendError> {
        let mut by_service = ChangesByService::new();
        for change in &entry.changes {
            if change.version() != entry.number {
                return Err(AppendError::VersionMismatch {
                    number: entry.number,
                    found: change.version(),
                });
            }
            for single in self.expand(change)? {
                self.check_change(&single)?;
                by_service.entry(single.service().clone()).or_default().push(single);
            }
        }
        self.check_sizes(&by_service)?;
        Ok(by_service)
    }

    /// Expands the removal of a service into removals of its resources; returns any other change as it is.
    fn expand(&self, change: &Change) -> Result<Vec<Change>, AppendError> {
        let Change::RemoveService { service, version } = change else {
            return Ok(vec![change.clone()]);
        };
        match self.services.get(service) {
            Some(stored) if !stored.state.resources.is_empty() => {
                Ok(stored.state.removals(*version).collect())
            }
            _ => Err(AppendError::UnknownService(service.clone())),
        }
    }

    /// Checks one change to a resource, and that no earlier change of the file touches the same resource.
    fn check_change(&mut self, change: &Change) -> Result<(), AppendError> {
        let name = match change {
            Change::Set(resource) => {
                check_resource_size(resource)?;
                &resource.name
            }
            Change::Remove { name, .. } => {
                self.check_exists(name)?;
                name
            }
            // Does not occur: `expand` has replaced the removal of a service.
            Change::RemoveService { .. } => return Ok(()),
        };
        if !self.changed_resources.insert(name.clone()) {
            return Err(AppendError::DuplicateChange(name.clone()));
        }
        Ok(())
    }

    /// Checks that a resource that is removed exists in the store.
    fn check_exists(&self, name: &ResourceName) -> Result<(), AppendError> {
        let key = ResourceKey::of(name);
        let stored = self.services.get(&name.service);
        if stored.is_some_and(|stored| stored.state.resources.contains_key(&key)) {
            Ok(())
        } else {
            Err(AppendError::UnknownResource(name.clone()))
        }
    }

    /// Checks the limits on the bytes of each service, the number of services and the bytes of the whole change.
    fn check_sizes(&self, by_service: &ChangesByService) -> Result<(), AppendError> {
        let mut change_bytes = 0;
        let mut new_services = 0;
        for (service, changes) in by_service {
            let stored = self.services.get(service);
            new_services += usize::from(stored.is_none());
            change_bytes += changes.iter().map(Change::encoded_size).sum::<usize>();
            let bytes = size_after(stored.map(|stored| &stored.state), changes);
            if bytes > self.limits.service_bytes {
                return Err(AppendError::ServiceTooLarge {
                    service: service.clone(),
                    bytes,
                    max: self.limits.service_bytes,
                });
            }
        }
        if self.services.len() + new_services > self.limits.services {
            return Err(AppendError::TooManyServices(self.limits.services));
        }
        if change_bytes > self.limits.change_bytes {
            let max = self.limits.change_bytes;
            return Err(AppendError::ChangeTooLarge { bytes: change_bytes, max });
        }
        Ok(())
    }
}

/// Checks the lengths of a resource's body and key.
fn check_resource_size(resource: &Resource) -> Result<(), AppendError> {
    if resource.body.len() > MAX_BODY_BYTES || resource.name.key.len() > MAX_KEY_BYTES {
        return Err(AppendError::ResourceTooLarge(resource.name.clone()));
    }
    Ok(())
}

/// Returns the estimated bytes of a service after the changes; `state` is its state before, if it exists.
fn size_after(state: Option<&ServiceState>, changes: &[Change]) -> usize {
    let size_before = |key: &ResourceKey| {
        state.and_then(|state| state.resources.get(key)).map_or(0, Resource::encoded_size)
    };
    let mut bytes = state.map_or(0, |state| state.bytes);
    for change in changes {
        if let Change::Set(resource) = change {
            bytes += resource.encoded_size();
        }
        if let Some(key) = resource_key(change) {
            bytes -= size_before(&key);
        }
    }
    bytes
}
