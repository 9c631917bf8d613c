//! All resources of a control machine by service, with a bounded log of the changes.
//!
//! The log holds names and no bodies: a delta from any version within the log consists of the current bodies of the
//! resources that later changes touched. A delta therefore holds each resource at most once, and its cost is
//! proportional to the number of touched resources, independent of the size of the store.

mod change_log;
mod error;
mod limits;
mod stored_service;
mod validation;

pub use error::AppendError;
pub use limits::StoreLimits;

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use crate::digest::next_chain_hash;
use crate::log_entry::LogEntry;
use crate::message::Refusal;
use crate::name::ServiceName;
use crate::position::{Position, ServiceVersion};
use crate::resource::{Change, Resource};
use change_log::{ChangeLog, LoggedChange};
use stored_service::StoredService;
use validation::{Validation, check_order};

/// The result of appending a change file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Appended {
    /// The position of the store after the change.
    pub position: Position,
    /// The services that the change touched, sorted by name.
    pub services: Vec<ServiceName>,
}

/// All resources of a control machine by service, with a bounded log of changes.
#[derive(Debug)]
pub struct Store {
    limits: StoreLimits,
    position: Position,
    services: BTreeMap<ServiceName, StoredService>,
    resource_count: usize,
    tenant_count: usize,
    log: ChangeLog,
}

impl Store {
    /// Creates an empty store. The first change may have any number above 0.
    pub fn new(limits: StoreLimits) -> Self {
        Store {
            limits,
            position: Position::default(),
            services: BTreeMap::new(),
            resource_count: 0,
            tenant_count: 0,
            log: ChangeLog::default(),
        }
    }

    /// Appends the next change file completely, or leaves the store unchanged if there is an error. The cost is
    /// proportional to the number of resources that the file touches.
    ///
    /// # Errors
    ///
    /// Returns an error if the file's number or epoch is out of order, if one of its changes is invalid, or if a limit
    /// of [`StoreLimits`] would be exceeded.
    pub fn append(&mut self, entry: LogEntry) -> Result<Appended, AppendError> {
        check_order(self.position, &entry)?;
        let by_service = Validation::new(&self.services, &self.limits).check(&entry)?;
        let names: Vec<ServiceName> = by_service.keys().cloned().collect();
        let mut bytes = names.len() * size_of::<ServiceName>();
        for (service, changes) in by_service {
            bytes += self.apply(service, entry.number, changes);
        }
        self.advance(&entry, LoggedChange { services: names.clone().into(), bytes });
        Ok(Appended { position: self.position, services: names })
    }

    /// Returns the position of the last change that was appended.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the version and the digest of a service, both 0 if the service has never had a resource.
    pub fn service_version(&self, service: &ServiceName) -> ServiceVersion {
        match self.services.get(service) {
            Some(stored) => stored.version(service),
            None => ServiceVersion { service: service.clone(), version: 0, digest: 0 },
        }
    }

    /// Returns the versions of all services whose names sort after `after`, or of all services for `None`, sorted by
    /// name.
    pub fn services_after(
        &self,
        after: Option<&ServiceName>,
    ) -> impl Iterator<Item = ServiceVersion> + '_ {
        let from = after.map_or(Unbounded, Excluded);
        let services = self.services.range::<ServiceName, _>((from, Unbounded));
        services.map(|(name, stored)| stored.version(name))
    }

    /// Returns the resources of a service, sorted by kind and key.
    pub fn resources(&self, service: &ServiceName) -> impl Iterator<Item = &Resource> + '_ {
        self.services.get(service).into_iter().flat_map(|stored| stored.state.resources.values())
    }

    /// Returns the number of services, including those that have no resources any more.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Returns the number of resources in all services.
    pub fn resource_count(&self) -> usize {
        self.resource_count
    }

    /// Returns the number of resources that are limits of tenants.
    pub fn tenant_count(&self) -> usize {
        self.tenant_count
    }

    /// Returns the number of changes in the log.
    pub fn log_entries(&self) -> usize {
        self.log.len()
    }

    /// Returns the estimated bytes of the log.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Checks whether this store can serve a subscriber whose furthest seen position is `seen`. A position whose chain
    /// hash can't be compared is accepted: one that is older than all chain hashes kept, or that has a lower epoch
    /// because the operators have restored or rewritten the log since. The digests of the subscriber's services then
    /// show what differs.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Behind`] if the store is empty or behind that position, and [`Refusal::Diverged`] if the
    /// store has read different changes up to the same number.
    pub fn check_resume(&self, seen: Position) -> Result<(), Refusal> {
        if self.position.number == 0 || self.position.is_before(seen) {
            return Err(Refusal::Behind { position: self.position });
        }
        if seen.epoch != self.position.epoch {
            return Ok(());
        }
        let numbers_after = self.position.number.checked_sub(seen.number);
        match numbers_after.and_then(|after| self.log.chain(after)) {
            Some(chain) if chain != seen.chain => {
                Err(Refusal::Diverged { position: Position { chain, ..seen } })
            }
            _ => Ok(()),
        }
    }

    /// Returns an upper estimate of the bytes that a snapshot of a service takes in messages.
    pub(crate) fn service_bytes(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, |stored| stored.state.bytes)
    }

    /// Returns whether the log holds all changes of a service since a version at which the service had this digest.
    pub(crate) fn has_base(&self, service: &ServiceName, version: u64, digest: u64) -> bool {
        self.services.get(service).is_some_and(|stored| stored.has_base(version, digest))
    }

    /// Returns the changes of a service since a version for which [`Self::has_base`] holds, at most one for each
    /// resource.
    pub(crate) fn delta(&self, service: &ServiceName, from: u64) -> Vec<Change> {
        self.services.get(service).map_or(Vec::new(), |stored| stored.delta(service, from))
    }

    /// Returns the changes to a service by the latest change file that touched it; empty if that file is no longer in
    /// the log.
    pub(crate) fn latest_changes(&self, service: &ServiceName) -> Vec<Change> {
        self.services.get(service).map_or(Vec::new(), |stored| stored.latest_changes(service))
    }

    /// Returns all resources of a service as changes.
    pub(crate) fn snapshot(&self, service: &ServiceName) -> Vec<Change> {
        self.resources(service).cloned().map(Change::Set).collect()
    }

    /// Returns the changes in the log that touched a service after version `from`: for each its number and all services
    /// that it touched.
    pub(crate) fn changes_since(
        &self,
        service: &ServiceName,
        from: u64,
    ) -> impl Iterator<Item = (u64, &[ServiceName])> + '_ {
        let stored = self.services.get(service).into_iter();
        let numbers = stored.flat_map(move |stored| stored.versions_since(from));
        numbers.map(|number| {
            let changes_after = self.position.number.checked_sub(number);
            (number, changes_after.map_or(&[][..], |after| self.log.services(after)))
        })
    }

    /// Applies valid changes to a service and returns the estimated bytes that they take in the log.
    fn apply(&mut self, service: ServiceName, number: u64, changes: Vec<Change>) -> usize {
        let stored = self.services.entry(service).or_default();
        let (resources, tenants) = (stored.state.resources.len(), stored.state.tenants);
        let bytes = stored.apply(number, changes);
        self.resource_count = self.resource_count + stored.state.resources.len() - resources;
        self.tenant_count = self.tenant_count + stored.state.tenants - tenants;
        bytes
    }

    /// Moves the position to a change file that has been applied, logs it, and drops changes beyond the log's bounds.
    fn advance(&mut self, entry: &LogEntry, logged: LoggedChange) {
        let chain = next_chain_hash(self.position.chain, entry.epoch, entry.number, entry.hash);
        self.position = Position { epoch: entry.epoch, number: entry.number, chain };
        self.log.push(logged, chain, &self.limits);
        while let Some(dropped) = self.log.pop_excess(&self.limits) {
            for service in &dropped.services {
                if let Some(stored) = self.services.get_mut(service) {
                    stored.drop_oldest();
                }
            }
        }
    }
}
