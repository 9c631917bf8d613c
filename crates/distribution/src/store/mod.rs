//! All resources of a control machine by service, with a bounded log of what changed when.
//!
//! The log holds names and no bodies: a delta from any version within the log consists of the present bodies of the
//! resources that were touched since. So a delta holds each resource at most once, and its cost follows the resources
//! that were touched and not the size of the store.

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

/// The result of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Appended {
    /// The position after the change.
    pub position: Position,
    /// The services that the change touched, in the order of their names.
    pub services: Vec<ServiceName>,
}

/// All resources by service, with a bounded log of changes.
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
    /// An empty store. The first change may have any number.
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

    /// Appends the next change file, all of it or nothing. The cost follows the resources that the file touches.
    ///
    /// # Errors
    ///
    /// If the file is not the next one, or one of its changes can't be applied or exceeds a limit.
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

    /// The position up to which the log has been read.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The version of a service; version 0 and digest 0 if it has never had a resource.
    pub fn service_version(&self, service: &ServiceName) -> ServiceVersion {
        match self.services.get(service) {
            Some(stored) => stored.version(service),
            None => ServiceVersion { service: service.clone(), version: 0, digest: 0 },
        }
    }

    /// The versions of the services after a name, in the order of their names.
    pub fn services_after(
        &self,
        after: Option<&ServiceName>,
    ) -> impl Iterator<Item = ServiceVersion> + '_ {
        let from = after.map_or(Unbounded, Excluded);
        let services = self.services.range::<ServiceName, _>((from, Unbounded));
        services.map(|(name, stored)| stored.version(name))
    }

    /// The resources of a service, in the order of kind and key.
    pub fn resources(&self, service: &ServiceName) -> impl Iterator<Item = &Resource> + '_ {
        self.services.get(service).into_iter().flat_map(|stored| stored.state.resources.values())
    }

    /// The number of services, empty ones included.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// The number of resources.
    pub fn resource_count(&self) -> usize {
        self.resource_count
    }

    /// The number of resources that are limits of tenants.
    pub fn tenant_count(&self) -> usize {
        self.tenant_count
    }

    /// The number of changes in the log.
    pub fn log_entries(&self) -> usize {
        self.log.len()
    }

    /// An estimate of the bytes of the log.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Whether a subscriber that has seen a position may be served from this store. A position older than all chain
    /// hashes that are kept passes: the digests of its services then show what differs.
    ///
    /// # Errors
    ///
    /// If the store is behind that position, or has read another change under its number.
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

    /// An upper estimate of the bytes of a service in messages.
    pub(crate) fn service_bytes(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, |stored| stored.state.bytes)
    }

    /// Whether the log has all changes of a service since a version, and the service had this digest then.
    pub(crate) fn has_base(&self, service: &ServiceName, version: u64, digest: u64) -> bool {
        self.services.get(service).is_some_and(|stored| stored.has_base(version, digest))
    }

    /// The changes of a service since a version for which [`Self::has_base`] holds, at most one for each resource.
    pub(crate) fn delta(&self, service: &ServiceName, from: u64) -> Vec<Change> {
        self.services.get(service).map_or(Vec::new(), |stored| stored.delta(service, from))
    }

    /// The changes of a service by the latest change file that touched it; none if the log does not hold that file.
    pub(crate) fn latest_changes(&self, service: &ServiceName) -> Vec<Change> {
        self.services.get(service).map_or(Vec::new(), |stored| stored.latest_changes(service))
    }

    /// All resources of a service as changes.
    pub(crate) fn snapshot(&self, service: &ServiceName) -> Vec<Change> {
        self.resources(service).cloned().map(Change::Set).collect()
    }

    /// For each change in the log that touched a service since a version: its number, and all services that it
    /// touched.
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

    /// Applies valid changes to a service; returns the bytes that they take in the log.
    fn apply(&mut self, service: ServiceName, number: u64, changes: Vec<Change>) -> usize {
        let stored = self.services.entry(service).or_default();
        let (resources, tenants) = (stored.state.resources.len(), stored.state.tenants);
        let bytes = stored.apply(number, changes);
        self.resource_count = self.resource_count + stored.state.resources.len() - resources;
        self.tenant_count = self.tenant_count + stored.state.tenants - tenants;
        bytes
    }

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
