//! The resources of one service with their version, digest and size, which each change updates incrementally.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::digest::resource_digest;
use crate::name::{ResourceKind, ResourceName, ServiceName};
use crate::resource::{Change, Resource};

/// The name of a resource within its service. Its order is the order in which resources are listed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ResourceKey {
    kind: ResourceKind,
    key: Arc<str>,
}

impl ResourceKey {
    /// Returns the kind and the key of a resource's full name.
    pub(crate) fn of(name: &ResourceName) -> Self {
        ResourceKey { kind: name.kind, key: name.key.clone() }
    }

    /// Returns the full name of the resource in a service.
    pub(crate) fn in_service(&self, service: &ServiceName) -> ResourceName {
        ResourceName { service: service.clone(), kind: self.kind, key: self.key.clone() }
    }

    /// Returns the length of the key's text in bytes.
    pub(crate) fn text_bytes(&self) -> usize {
        self.key.len()
    }
}

/// The resources of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ServiceState {
    pub(crate) resources: BTreeMap<ResourceKey, Resource>,
    /// The number of the last change that touched the service; 0 for none.
    pub(crate) version: u64,
    /// The wrapping sum of the [`resource_digest`] of all resources.
    pub(crate) digest: u64,
    /// The sum of the [`Resource::encoded_size`] of all resources.
    pub(crate) bytes: usize,
    /// The number of resources that are limits of tenants.
    pub(crate) tenants: usize,
}

impl ServiceState {
    /// Applies a change to one resource. The cost depends on the size of this resource alone. The removal of a service
    /// has no effect, since the store has already expanded it into removals of single resources.
    pub(crate) fn apply(&mut self, change: Change) {
        match change {
            Change::Set(resource) => {
                self.digest = self.digest.wrapping_add(resource_digest(&resource));
                self.bytes += resource.encoded_size();
                self.tenants += usize::from(resource.name.kind == ResourceKind::Tenant);
                let replaced = self.resources.insert(ResourceKey::of(&resource.name), resource);
                self.subtract(replaced);
            }
            Change::Remove { name, .. } => {
                let removed = self.resources.remove(&ResourceKey::of(&name));
                self.subtract(removed);
            }
            Change::RemoveService { .. } => {}
        }
    }

    /// Returns the digest computed from the resources in memory. The cost grows with the size of the service.
    pub(crate) fn recomputed_digest(&self) -> u64 {
        self.resources.values().fold(0, |sum, resource| sum.wrapping_add(resource_digest(resource)))
    }

    /// Returns the removals of all resources, with `version` as the number of the change that removes them.
    pub(crate) fn removals(&self, version: u64) -> impl Iterator<Item = Change> + '_ {
        self.resources
            .values()
            .map(move |resource| Change::Remove { name: resource.name.clone(), version })
    }

    /// Subtracts a replaced or removed resource from the digest, the size and the number of tenants.
    fn subtract(&mut self, previous: Option<Resource>) {
        if let Some(resource) = previous {
            self.digest = self.digest.wrapping_sub(resource_digest(&resource));
            self.bytes -= resource.encoded_size();
            self.tenants -= usize::from(resource.name.kind == ResourceKind::Tenant);
        }
    }
}
