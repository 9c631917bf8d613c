//! The resources of one service with their version, digest and size, kept as they change.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::digest::resource_digest;
use crate::name::{ResourceKind, ResourceName, ServiceName};
use crate::resource::{Change, Resource};

/// A resource's name within its service.
pub(crate) type Key = (ResourceKind, Arc<str>);

/// The key of a name.
pub(crate) fn key_of(name: &ResourceName) -> Key {
    (name.kind, name.key.clone())
}

/// The resources of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Service {
    pub(crate) resources: BTreeMap<Key, Resource>,
    /// The number of the last change that touched it; 0 for none.
    pub(crate) version: u64,
    /// The sum of its resources' digests.
    pub(crate) digest: u64,
    /// Bytes of its resources in messages, about.
    pub(crate) bytes: usize,
    /// How many of its resources are limits of tenants.
    pub(crate) tenants: usize,
}

impl Service {
    /// Applies a change to one resource; work by the size of that resource alone. A removal of the whole service is
    /// expanded before it comes here and does nothing.
    pub(crate) fn apply(&mut self, change: Change) {
        match change {
            Change::Set(resource) => {
                self.digest = self.digest.wrapping_add(resource_digest(&resource));
                self.bytes += resource.encoded_size();
                self.tenants += usize::from(resource.name.kind == ResourceKind::Tenant);
                let before = self.resources.insert(key_of(&resource.name), resource);
                self.forget(before);
            }
            Change::Remove { name, .. } => {
                let before = self.resources.remove(&key_of(&name));
                self.forget(before);
            }
            Change::RemoveService { .. } => {}
        }
    }

    /// The digest over what is really there. Work by the size of the service.
    pub(crate) fn counted_digest(&self) -> u64 {
        self.resources.values().fold(0, |sum, resource| sum.wrapping_add(resource_digest(resource)))
    }

    /// Removals of all that it has.
    pub(crate) fn removals(&self, version: u64) -> impl Iterator<Item = Change> + '_ {
        self.resources
            .values()
            .map(move |resource| Change::Remove { name: resource.name.clone(), version })
    }

    fn forget(&mut self, before: Option<Resource>) {
        if let Some(resource) = before {
            self.digest = self.digest.wrapping_sub(resource_digest(&resource));
            self.bytes -= resource.encoded_size();
            self.tenants -= usize::from(resource.name.kind == ResourceKind::Tenant);
        }
    }
}

/// What a service's name is in a map of services that has it or not.
pub(crate) fn name_of(name: &ServiceName, kind: ResourceKind, key: &Arc<str>) -> ResourceName {
    ResourceName { service: name.clone(), kind, key: key.clone() }
}
