//! All resources of a control machine by service, with a bounded log of what changed when.
//!
//! The log keeps names, not bodies: a delta from any version within it is made of the present bodies of what was
//! touched since. So a delta collapses by resource by itself, and its cost follows what was touched and not the store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::digest::next_chain_hash;
use crate::message::Refusal;
use crate::name::{MAX_KEY_BYTES, ResourceName, ServiceName};
use crate::resource::{Change, LogEntry, MAX_BODY_BYTES, Position, Resource, ServiceVersion};
use crate::service::{Key, Service, key_of, name_of};

/// What a store may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Changes in the log. Default 8,192: more than a day at 6,200 a day.
    pub log_entries: usize,
    /// Bytes of the log, about. Default 32 MiB.
    pub log_bytes: usize,
    /// Numbers whose chain hash is kept, 8 bytes each. Default 1,048,576: 169 days at 6,200 a day.
    pub chain_entries: usize,
    /// Services, emptied ones included. Default 16,384: 6 times 2,500.
    pub services: usize,
    /// Bytes of one service. Default 3 MiB: within a transaction.
    pub service_bytes: usize,
    /// Bytes of one change. Default 128 MiB: the whole of a fleet's configuration in one change.
    pub change_bytes: usize,
}

impl Default for StoreLimits {
    fn default() -> Self {
        StoreLimits {
            log_entries: 8_192,
            log_bytes: 32 << 20,
            chain_entries: 1 << 20,
            services: 16_384,
            service_bytes: 3 << 20,
            change_bytes: 128 << 20,
        }
    }
}

/// Why a change was not taken. Nothing of it has been applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// Its number does not follow.
    #[error("change {found} does not follow, expected {expected}")]
    OutOfSequence {
        /// The number that follows.
        expected: u64,
        /// Its number.
        found: u64,
    },
    /// Its epoch is below the one of the change before.
    #[error("epoch {found} is below {current}")]
    EpochRegression {
        /// Of the change before.
        current: u32,
        /// Its own.
        found: u32,
    },
    /// A change within it has another number than the entry.
    #[error("version {found} in change {number}")]
    VersionMismatch {
        /// The entry's number.
        number: u64,
        /// The version found.
        found: u64,
    },
    /// It names a resource twice, or removes a service that it also changes.
    #[error("{0} is changed twice")]
    DuplicateChange(ResourceName),
    /// It removes a resource that is not there.
    #[error("{0} is removed and was not there")]
    UnknownResource(ResourceName),
    /// It removes a service that has nothing.
    #[error("service {0} is removed and was not there")]
    UnknownService(ServiceName),
    /// A body or key is too long.
    #[error("{0} is too large: a body has at most {MAX_BODY_BYTES} bytes, a key {MAX_KEY_BYTES}")]
    ResourceTooLarge(ResourceName),
    /// A service would be larger than a transaction may be.
    #[error("service {service} would have {bytes} bytes, at most {max}")]
    ServiceTooLarge {
        /// Which.
        service: ServiceName,
        /// Its bytes after the change.
        bytes: usize,
        /// The limit.
        max: usize,
    },
    /// There would be more services than a store may hold.
    #[error("more than {0} services")]
    TooManyServices(usize),
    /// The change has more bytes than it may.
    #[error("a change of {bytes} bytes, at most {max}")]
    ChangeTooLarge {
        /// Its bytes.
        bytes: usize,
        /// The limit.
        max: usize,
    },
}

/// What a change came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Appended {
    /// The position after it.
    pub position: Position,
    /// The services that it touched, in order.
    pub services: Vec<ServiceName>,
}

#[derive(Debug, Default)]
struct Entry {
    services: Box<[ServiceName]>,
    bytes: usize,
}

/// A service's part of one change in the log.
#[derive(Debug)]
struct Touched {
    version: u64,
    digest: u64,
    keys: Box<[Key]>,
}

#[derive(Debug, Default)]
struct Stored {
    service: Service,
    /// Version and digest before the first change that the log still has.
    log_base: (u64, u64),
    log: VecDeque<Touched>,
}

/// All resources by service, with a bounded log of changes.
#[derive(Debug)]
pub struct Store {
    limits: StoreLimits,
    position: Position,
    services: BTreeMap<ServiceName, Stored>,
    resources: usize,
    tenants: usize,
    log: VecDeque<Entry>,
    log_bytes: usize,
    /// Chain hashes of the last numbers, the newest last.
    chains: VecDeque<u64>,
}

impl Store {
    /// An empty store. The first change may have any number.
    pub fn new(limits: StoreLimits) -> Self {
        Store {
            limits,
            position: Position::default(),
            services: BTreeMap::new(),
            resources: 0,
            tenants: 0,
            log: VecDeque::new(),
            log_bytes: 0,
            chains: VecDeque::new(),
        }
    }

    /// Takes the next change, whole or not at all. Work by what it touches.
    pub fn append(&mut self, entry: LogEntry) -> Result<Appended, AppendError> {
        self.check_order(&entry)?;
        let by_service = self.check_changes(&entry)?;
        let mut logged = Entry::default();
        let names: Vec<ServiceName> = by_service.keys().cloned().collect();
        for (service, changes) in by_service {
            logged.bytes += self.apply(service, entry.number, changes);
        }
        logged.services = names.clone().into();
        logged.bytes += names.len() * size_of::<ServiceName>();
        self.advance(&entry, logged);
        Ok(Appended { position: self.position, services: names })
    }

    /// How far the log has been read.
    pub fn position(&self) -> Position {
        self.position
    }

    /// What is there of a service; version 0 and digest 0 if it has never been.
    pub fn service_version(&self, service: &ServiceName) -> ServiceVersion {
        let (version, digest) = self
            .services
            .get(service)
            .map_or((0, 0), |stored| (stored.service.version, stored.service.digest));
        ServiceVersion { service: service.clone(), version, digest }
    }

    /// What is there of the services after a name, in order.
    pub fn services_after(
        &self,
        after: Option<&ServiceName>,
    ) -> impl Iterator<Item = ServiceVersion> + '_ {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        self.services.range::<ServiceName, _>((from, Unbounded)).map(|(name, stored)| {
            ServiceVersion {
                service: name.clone(),
                version: stored.service.version,
                digest: stored.service.digest,
            }
        })
    }

    /// The resources of a service, in the order of kind and key.
    pub fn resources(&self, service: &ServiceName) -> impl Iterator<Item = &Resource> + '_ {
        self.services.get(service).into_iter().flat_map(|stored| stored.service.resources.values())
    }

    /// How many services it knows, emptied ones included.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// How many resources it has.
    pub fn resource_count(&self) -> usize {
        self.resources
    }

    /// How many of its resources are limits of tenants.
    pub fn tenant_count(&self) -> usize {
        self.tenants
    }

    /// How many changes the log holds.
    pub fn log_entries(&self) -> usize {
        self.log.len()
    }

    /// Bytes that the log takes, about.
    pub fn log_bytes(&self) -> usize {
        self.log_bytes
    }

    /// Whether a subscriber that has seen a position may be served from here. An unknown chain, older than all that
    /// is kept, is let pass: digests decide then.
    pub fn check_resume(&self, seen: Position) -> Result<(), Refusal> {
        if self.position.number == 0 || self.position.is_before(seen) {
            return Err(Refusal::Behind { position: self.position });
        }
        if seen.epoch != self.position.epoch {
            return Ok(());
        }
        match self.chain_at(seen.number) {
            Some(chain) if chain != seen.chain => {
                Err(Refusal::Diverged { position: Position { chain, ..seen } })
            }
            _ => Ok(()),
        }
    }

    /// Bytes of a service in messages, about.
    pub(crate) fn service_bytes(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, |stored| stored.service.bytes)
    }

    /// Whether the log has all changes of a service since that version, and the digest is the one it had then.
    pub(crate) fn has_base(&self, service: &ServiceName, version: u64, digest: u64) -> bool {
        let Some(stored) = self.services.get(service) else {
            return false;
        };
        if version == 0 {
            return false;
        }
        if (version, digest) == stored.log_base
            || (version, digest) == (stored.service.version, stored.service.digest)
        {
            return true;
        }
        match stored.log.binary_search_by_key(&version, |touched| touched.version) {
            Ok(index) => stored.log[index].digest == digest,
            Err(_) => false,
        }
    }

    /// The changes of a service since a version that [`Self::has_base`] knows, collapsed by resource.
    pub(crate) fn delta(&self, service: &ServiceName, from: u64) -> Vec<Change> {
        let Some(stored) = self.services.get(service) else {
            return Vec::new();
        };
        let mut last_touched: BTreeMap<&Key, u64> = BTreeMap::new();
        for touched in stored.log_since(from) {
            last_touched.extend(touched.keys.iter().map(|key| (key, touched.version)));
        }
        let present = |(key, version): (&Key, u64)| match stored.service.resources.get(key) {
            Some(resource) => Change::Set(resource.clone()),
            None => Change::Remove { name: name_of(service, key.0, &key.1), version },
        };
        last_touched.into_iter().map(present).collect()
    }

    /// The changes of a service by its latest change alone.
    pub(crate) fn latest(&self, service: &ServiceName) -> Vec<Change> {
        let Some(stored) = self.services.get(service) else {
            return Vec::new();
        };
        let before =
            stored.log.iter().rev().nth(1).map_or(stored.log_base.0, |touched| touched.version);
        self.delta(service, before)
    }

    /// All that a service has.
    pub(crate) fn snapshot(&self, service: &ServiceName) -> Vec<Change> {
        self.resources(service).cloned().map(Change::Set).collect()
    }

    /// For each change in the log since a version that touched the service: its number and all services that it
    /// touched.
    pub(crate) fn changes_since(
        &self,
        service: &ServiceName,
        from: u64,
    ) -> impl Iterator<Item = (u64, &[ServiceName])> + '_ {
        let log =
            self.services.get(service).into_iter().flat_map(move |stored| stored.log_since(from));
        log.map(|touched| {
            (touched.version, self.entry(touched.version).map_or(&[][..], |entry| &entry.services))
        })
    }

    fn entry(&self, number: u64) -> Option<&Entry> {
        let back = usize::try_from(self.position.number.checked_sub(number)?).ok()?;
        self.log.len().checked_sub(back + 1).and_then(|index| self.log.get(index))
    }

    fn chain_at(&self, number: u64) -> Option<u64> {
        let back = usize::try_from(self.position.number.checked_sub(number)?).ok()?;
        self.chains.len().checked_sub(back + 1).and_then(|index| self.chains.get(index)).copied()
    }

    fn check_order(&self, entry: &LogEntry) -> Result<(), AppendError> {
        let expected = self.position.number + 1;
        let first = self.position.number == 0 && entry.number > 0;
        if entry.number != expected && !first {
            return Err(AppendError::OutOfSequence { expected, found: entry.number });
        }
        if entry.epoch < self.position.epoch {
            return Err(AppendError::EpochRegression {
                current: self.position.epoch,
                found: entry.epoch,
            });
        }
        Ok(())
    }

    /// The changes by service, single removals in place of a service's, checked against all limits.
    fn check_changes(
        &self,
        entry: &LogEntry,
    ) -> Result<BTreeMap<ServiceName, Vec<Change>>, AppendError> {
        let mut by_service: BTreeMap<ServiceName, Vec<Change>> = BTreeMap::new();
        let mut seen = BTreeSet::new();
        for change in &entry.changes {
            if change.version() != entry.number {
                return Err(AppendError::VersionMismatch {
                    number: entry.number,
                    found: change.version(),
                });
            }
            for single in self.expand(change)? {
                self.check_change(&single, &mut seen)?;
                by_service.entry(single.service().clone()).or_default().push(single);
            }
        }
        self.check_sizes(&by_service)?;
        Ok(by_service)
    }

    fn expand(&self, change: &Change) -> Result<Vec<Change>, AppendError> {
        let Change::RemoveService { service, version } = change else {
            return Ok(vec![change.clone()]);
        };
        match self.services.get(service) {
            Some(stored) if !stored.service.resources.is_empty() => {
                Ok(stored.service.removals(*version).collect())
            }
            _ => Err(AppendError::UnknownService(service.clone())),
        }
    }

    fn check_change(
        &self,
        change: &Change,
        seen: &mut BTreeSet<ResourceName>,
    ) -> Result<(), AppendError> {
        let name = match change {
            Change::Set(resource) => {
                let too_large =
                    resource.body.len() > MAX_BODY_BYTES || resource.name.key.len() > MAX_KEY_BYTES;
                if too_large {
                    return Err(AppendError::ResourceTooLarge(resource.name.clone()));
                }
                &resource.name
            }
            Change::Remove { name, .. } => {
                let service = self.services.get(&name.service);
                if !service
                    .is_some_and(|stored| stored.service.resources.contains_key(&key_of(name)))
                {
                    return Err(AppendError::UnknownResource(name.clone()));
                }
                name
            }
            Change::RemoveService { .. } => return Ok(()),
        };
        if !seen.insert(name.clone()) {
            return Err(AppendError::DuplicateChange(name.clone()));
        }
        Ok(())
    }

    fn check_sizes(
        &self,
        by_service: &BTreeMap<ServiceName, Vec<Change>>,
    ) -> Result<(), AppendError> {
        let mut total = 0;
        let mut new_services = 0;
        for (service, changes) in by_service {
            let stored = self.services.get(service);
            new_services += usize::from(stored.is_none());
            let added: usize = changes.iter().map(Change::encoded_size).sum();
            total += added;
            let bytes = size_after(stored.map(|stored| &stored.service), changes);
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
        if total > self.limits.change_bytes {
            return Err(AppendError::ChangeTooLarge {
                bytes: total,
                max: self.limits.change_bytes,
            });
        }
        Ok(())
    }

    /// Applies checked changes to a service and gives the bytes that they take in the log.
    fn apply(&mut self, service: ServiceName, number: u64, changes: Vec<Change>) -> usize {
        let stored = self.services.entry(service).or_default();
        let (before, tenants_before) = (stored.service.resources.len(), stored.service.tenants);
        let keys: Box<[Key]> = changes.iter().filter_map(change_key).collect();
        for change in changes {
            stored.service.apply(change);
        }
        stored.service.version = number;
        let bytes = size_of::<Touched>()
            + keys.iter().map(|key| size_of::<Key>() + key.1.len()).sum::<usize>();
        stored.log.push_back(Touched { version: number, digest: stored.service.digest, keys });
        self.resources = self.resources + stored.service.resources.len() - before;
        self.tenants = self.tenants + stored.service.tenants - tenants_before;
        bytes
    }

    fn advance(&mut self, entry: &LogEntry, logged: Entry) {
        let chain = next_chain_hash(self.position.chain, entry.epoch, entry.number, entry.hash);
        self.position = Position { epoch: entry.epoch, number: entry.number, chain };
        self.chains.push_back(chain);
        if self.chains.len() > self.limits.chain_entries {
            self.chains.pop_front();
        }
        self.log_bytes += logged.bytes;
        self.log.push_back(logged);
        while self.log.len() > self.limits.log_entries || self.log_bytes > self.limits.log_bytes {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(entry) = self.log.pop_front() else {
            return;
        };
        self.log_bytes -= entry.bytes;
        for service in &entry.services {
            let Some(stored) = self.services.get_mut(service) else {
                continue;
            };
            if let Some(touched) = stored.log.pop_front() {
                stored.log_base = (touched.version, touched.digest);
            }
        }
    }
}

impl Stored {
    fn log_since(&self, from: u64) -> impl Iterator<Item = &Touched> + '_ {
        let start = self.log.partition_point(|touched| touched.version <= from);
        self.log.range(start..)
    }
}

fn change_key(change: &Change) -> Option<Key> {
    match change {
        Change::Set(resource) => Some(key_of(&resource.name)),
        Change::Remove { name, .. } => Some(key_of(name)),
        Change::RemoveService { .. } => None,
    }
}

fn size_after(service: Option<&Service>, changes: &[Change]) -> usize {
    let resource_bytes = |key: &Key| {
        service.and_then(|service| service.resources.get(key)).map_or(0, Resource::encoded_size)
    };
    let mut bytes = service.map_or(0, |service| service.bytes);
    for change in changes {
        if let Change::Set(resource) = change {
            bytes += resource.encoded_size();
        }
        if let Some(key) = change_key(change) {
            bytes -= resource_bytes(&key);
        }
    }
    bytes
}
