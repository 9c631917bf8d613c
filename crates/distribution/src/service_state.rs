//! The resources of one service with their version, digest and size, kept up to date with each change.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::digest::resource_digest;
use crate::name::{ResourceKind, ResourceName, ServiceName};
use crate::resource::{Change, Resource};

/// A resource's name within its service, in the order in which resources are listed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ResourceKey {
    kind: ResourceKind,
    key: Arc<str>,
}

impl ResourceKey {
    /// The key of a resource's full name.
    pub(crate) fn of(name: &ResourceName) -> Self {
        ResourceKey { kind: name.kind, key: name.key.clone() }
    }

    /// The full name of the resource in a service.
    pub(crate) fn in_service(&self, service: &ServiceName) -> ResourceName {
        ResourceName { service: service.clone(), kind: self.kind, key: self.key.clone() }
    }

    /// Bytes of the key's text.
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
    /// The sum of the digests of the resources.
    pub(crate) digest: u64,
    /// The sum of the resources' [`Resource::encoded_size`].
    pub(crate) bytes: usize,
    /// How many of the resources are limits of tenants.
    pub(crate) tenants: usize,
}

impl ServiceState {
    /// Applies a change to one resource; the cost is that of this resource alone. The removal of a whole service does
    /// nothing: the store expands it before.
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

    /// The digest of the resources as they are in memory. The cost is that of the whole service.
    pub(crate) fn recomputed_digest(&self) -> u64 {
        self.resources.values().fold(0, |sum, resource| sum.wrapping_add(resource_digest(resource)))
    }

    /// The removals of all resources, by the change of this number.
    pub(crate) fn removals(&self, version: u64) -> impl Iterator<Item = Change> + '_ {
        self.resources
            .values()
            .map(move |resource| Change::Remove { name: resource.name.clone(), version })
    }

    fn subtract(&mut self, previous: Option<Resource>) {
        if let Some(resource) = previous {
            self.digest = self.digest.wrapping_sub(resource_digest(&resource));
            self.bytes -= resource.encoded_size();
            self.tenants -= usize::from(resource.name.kind == ResourceKind::Tenant);
        }
    }
}
