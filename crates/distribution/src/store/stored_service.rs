//! A service in a store, with the log of the changes that touched it.

use std::collections::{BTreeMap, VecDeque};

use crate::name::ServiceName;
use crate::position::ServiceVersion;
use crate::resource::Change;
use crate::service_state::{ResourceKey, ServiceState};

/// The resources of the service that one change touched.
#[derive(Debug)]
struct TouchedKeys {
    /// The version of the service after the change.
    version: u64,
    /// The digest of the service after the change.
    digest: u64,
    keys: Box<[ResourceKey]>,
}

/// The current state of a service, and the part of the log that concerns it.
#[derive(Debug, Default)]
pub(super) struct StoredService {
    pub(super) state: ServiceState,
    /// The version of the service before the oldest change in its log.
    base_version: u64,
    /// The digest of the service before the oldest change in its log.
    base_digest: u64,
    /// The changes that touched the service, the newest at the back.
    log: VecDeque<TouchedKeys>,
}

impl StoredService {
    /// Returns the current version and digest under the service's name.
    pub(super) fn version(&self, name: &ServiceName) -> ServiceVersion {
        ServiceVersion {
            service: name.clone(),
            version: self.state.version,
            digest: self.state.digest,
        }
    }

    /// Applies the changes of one change file and returns the estimated bytes that they take in the log.
    pub(super) fn apply(&mut self, number: u64, changes: Vec<Change>) -> usize {
        let keys: Box<[ResourceKey]> = changes.iter().filter_map(resource_key).collect();
        for change in changes {
            self.state.apply(change);
        }
        self.state.version = number;
        let key_bytes = |key: &ResourceKey| size_of::<ResourceKey>() + key.text_bytes();
        let bytes = size_of::<TouchedKeys>() + keys.iter().map(key_bytes).sum::<usize>();
        self.log.push_back(TouchedKeys { version: number, digest: self.state.digest, keys });
        bytes
    }

    /// Drops the oldest change from the service's log.
    pub(super) fn drop_oldest(&mut self) {
        if let Some(touched) = self.log.pop_front() {
            self.base_version = touched.version;
            self.base_digest = touched.digest;
        }
    }

    /// Returns whether the log holds all changes since a version at which the service had this digest. Returns `false`
    /// for version 0, which means that a subscriber has applied nothing.
    pub(super) fn has_base(&self, version: u64, digest: u64) -> bool {
        if version == 0 {
            return false;
        }
        if (version, digest) == (self.base_version, self.base_digest)
            || (version, digest) == (self.state.version, self.state.digest)
        {
            return true;
        }
        match self.log.binary_search_by_key(&version, |touched| touched.version) {
            Ok(index) => self.log[index].digest == digest,
            Err(_) => false,
        }
    }

    /// Returns the versions of the changes after version `from`, the oldest first.
    pub(super) fn versions_since(&self, from: u64) -> impl Iterator<Item = u64> + '_ {
        self.log_since(from).map(|touched| touched.version)
    }

    /// Returns the changes after version `from`, at most one for each resource: its current state or its removal.
    pub(super) fn delta(&self, name: &ServiceName, from: u64) -> Vec<Change> {
        let mut last_touched: BTreeMap<&ResourceKey, u64> = BTreeMap::new();
        for touched in self.log_since(from) {
            last_touched.extend(touched.keys.iter().map(|key| (key, touched.version)));
        }
        let to_change = |(key, version): (&ResourceKey, u64)| match self.state.resources.get(key) {
            Some(resource) => Change::Set(resource.clone()),
            None => Change::Remove { name: key.in_service(name), version },
        };
        last_touched.into_iter().map(to_change).collect()
    }

    /// Returns the changes of the latest change file that touched the service; empty if the log no longer holds it.
    pub(super) fn latest_changes(&self, name: &ServiceName) -> Vec<Change> {
        let before_latest =
            self.log.iter().rev().nth(1).map_or(self.base_version, |touched| touched.version);
        self.delta(name, before_latest)
    }

    /// Returns the logged changes after version `from`, the oldest first.
    fn log_since(&self, from: u64) -> impl Iterator<Item = &TouchedKeys> + '_ {
        let start = self.log.partition_point(|touched| touched.version <= from);
        self.log.range(start..)
    }
}

/// Returns the key of the resource that a change touches, or `None` for the removal of a service.
pub(super) fn resource_key(change: &Change) -> Option<ResourceKey> {
    match change {
        Change::Set(resource) => Some(ResourceKey::of(&resource.name)),
        Change::Remove { name, .. } => Some(ResourceKey::of(name)),
        Change::RemoveService { .. } => None,
    }
}
