//! The operators' logs of changes, with the resources of each service at each version.

use std::collections::{BTreeMap, HashMap, HashSet};

use oorandom::Rand64;
use sableloom_distribution::{
    Change, LogEntry, Origin, Resource, ResourceName, ServiceName, StoreLimits, next_chain_hash,
    resource_digest,
};

/// The first byte of a body that a validating balancer rejects.
pub(crate) const INVALID_BODY_MARKER: u8 = 0xBB;
/// The number of services in a schedule.
pub(crate) const SERVICE_COUNT: usize = 8;
/// The number of resources that a service can have.
const KEY_COUNT: u64 = 6;

/// The resources of one service.
pub(crate) type Contents = BTreeMap<ResourceName, Resource>;

/// Returns the name of the service with an index.
pub(crate) fn service(index: usize) -> ServiceName {
    ServiceName::try_from(format!("service-{index}").as_str()).expect("a valid name")
}

/// Returns the digest of a service with these resources.
pub(crate) fn digest(contents: &Contents) -> u64 {
    contents.values().fold(0, |sum, resource| sum.wrapping_add(resource_digest(resource)))
}

/// A log of changes, with the resources of each service at each of its versions.
#[derive(Clone, Default)]
pub(crate) struct History {
    pub(crate) epoch: u32,
    pub(crate) entries: Vec<LogEntry>,
    /// The chain hashes after all changes.
    pub(crate) chains: HashSet<u64>,
    /// The chain hash after the last change.
    chain: u64,
    /// The services that the last change touched, with their resources before it.
    before_last: Vec<(ServiceName, Contents)>,
    /// By service, its latest version and its resources.
    pub(crate) current: BTreeMap<ServiceName, (u64, Contents)>,
    /// By service and version, the resources of the service at that version.
    pub(crate) contents_by_version: HashMap<(ServiceName, u64), Contents>,
}

impl History {
    /// Returns an empty log of an epoch.
    pub(crate) fn with_epoch(epoch: u32) -> History {
        History { epoch, ..History::default() }
    }

    /// Returns the number of the last change; 0 if there is none.
    pub(crate) fn number(&self) -> u64 {
        self.entries.len() as u64
    }

    /// Returns a copy of the log up to a number, of which further changes have the given epoch.
    pub(crate) fn fork(&self, number: u64, epoch: u32) -> History {
        let mut fork = History::with_epoch(self.epoch);
        for entry in self.entries.iter().take(number as usize) {
            fork.epoch = entry.epoch;
            fork.push(entry.changes.clone());
        }
        fork.epoch = epoch;
        fork
    }

    /// Appends a change.
    pub(crate) fn push(&mut self, changes: Vec<Change>) {
        let number = self.number() + 1;
        let hash = changes.iter().fold(u64::from(self.epoch), |hash, change| match change {
            Change::Set(resource) => hash.wrapping_mul(31).wrapping_add(resource_digest(resource)),
            _ => hash.wrapping_mul(31).wrapping_add(7),
        });
        let mut touched = BTreeMap::new();
        for change in &changes {
            let (version, contents) = self.current.entry(change.service().clone()).or_default();
            *version = number;
            touched.entry(change.service().clone()).or_insert_with(|| contents.clone());
            match change {
                Change::Set(resource) => {
                    drop(contents.insert(resource.name.clone(), resource.clone()))
                }
                Change::Remove { name, .. } => drop(contents.remove(name)),
                Change::RemoveService { .. } => contents.clear(),
            }
        }
        for service in touched.keys() {
            let (version, contents) = self.current[service].clone();
            self.contents_by_version.insert((service.clone(), version), contents);
        }
        self.before_last = touched.into_iter().collect();
        self.chain = next_chain_hash(self.chain, self.epoch, number, hash);
        self.chains.insert(self.chain);
        self.entries.push(LogEntry { number, epoch: self.epoch, changes, hash });
    }

    /// Appends a random change of one to three services that sets and removes resources. A change that would be empty
    /// is not appended.
    pub(crate) fn push_random(&mut self, random: &mut Rand64) {
        let number = self.number() + 1;
        let services = if random.rand_range(0..4) == 0 { 3 } else { 1 };
        let mut changes: BTreeMap<ResourceName, Change> = BTreeMap::new();
        for _ in 0..services {
            let service = service(random.rand_range(0..SERVICE_COUNT as u64) as usize);
            let empty = (0, Contents::new());
            let (_, contents) = self.current.get(&service).unwrap_or(&empty);
            let removes_service = random.rand_range(0..25) == 0 && !contents.is_empty();
            if removes_service && changes.keys().all(|name| name.service != service) {
                let change = Change::RemoveService { service: service.clone(), version: number };
                changes.insert(ResourceName::pool(service), change);
                continue;
            }
            if matches!(
                changes.get(&ResourceName::pool(service.clone())),
                Some(Change::RemoveService { .. })
            ) {
                continue;
            }
            for _ in 0..=random.rand_range(0..3) {
                let name = match random.rand_range(0..KEY_COUNT) {
                    0 => ResourceName::pool(service.clone()),
                    1 => ResourceName::route(service.clone(), "route"),
                    2 => ResourceName::tenant(service.clone(), "tenant"),
                    key => ResourceName::server(service.clone(), &format!("server-{key}")),
                };
                let is_present = contents.contains_key(&name);
                let change = if is_present && random.rand_range(0..3) == 0 {
                    Change::Remove { name: name.clone(), version: number }
                } else {
                    Change::Set(random_resource(name.clone(), number, random))
                };
                changes.insert(name, change);
            }
        }
        if !changes.is_empty() {
            self.push(changes.into_values().collect());
        }
    }

    /// Appends a change that restores the resources before the last change, unless it would be empty.
    pub(crate) fn push_reversal(&mut self) {
        let number = self.number() + 1;
        let mut changes = Vec::new();
        for (service, before) in &self.before_last {
            let (_, after) = &self.current[service];
            for name in after.keys().filter(|name| !before.contains_key(*name)) {
                changes.push(Change::Remove { name: name.clone(), version: number });
            }
            for resource in before.values().filter(|resource| {
                after.get(&resource.name).map(|r| &r.body) != Some(&resource.body)
            }) {
                changes.push(Change::Set(Resource { version: number, ..resource.clone() }));
            }
        }
        changes.sort_by_key(|change| format!("{change:?}"));
        if !changes.is_empty() {
            self.push(changes);
        }
    }
}

/// Returns a resource with a random body, which a validating balancer rejects in one of twelve cases.
fn random_resource(name: ResourceName, version: u64, random: &mut Rand64) -> Resource {
    let mut body = vec![0u8; random.rand_range(1..60) as usize];
    body.iter_mut().for_each(|byte| *byte = random.rand_range(0..128) as u8);
    if random.rand_range(0..12) == 0 {
        body[0] = INVALID_BODY_MARKER;
    }
    let origin = Origin { file: "changes.toml".into(), line: version as u32 };
    Resource { name, version, origin, body: body.into() }
}

/// Returns limits of a store, with a log that holds all changes or at most 19.
pub(crate) fn random_limits(random: &mut Rand64) -> StoreLimits {
    let log_entries =
        if random.rand_range(0..2) == 0 { 10_000 } else { random.rand_range(0..20) as usize };
    StoreLimits { log_entries, service_bytes: 4_000, ..StoreLimits::default() }
}
