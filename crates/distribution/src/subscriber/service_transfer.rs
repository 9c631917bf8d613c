//! One service of a complete transaction: its changes, and what they make of the applied state.

use std::collections::BTreeMap;

use super::output::ServiceUpdate;
use crate::digest::resource_digest;
use crate::message::Base;
use crate::position::ServiceVersion;
use crate::resource::{Change, Resource};
use crate::service_state::{ResourceKey, ServiceState};

/// The last change of each resource: its new state, or none if it is removed.
pub(super) type ResourceChanges = BTreeMap<ResourceKey, Option<Resource>>;

#[derive(Debug)]
pub(super) struct ServiceTransfer {
    /// The version that the changes lead to.
    pub(super) target: ServiceVersion,
    pub(super) epoch: u32,
    /// The last scope message that the control machine had processed when it began the transaction.
    pub(super) generation: u32,
    pub(super) base: Base,
    pub(super) changes: ResourceChanges,
}

impl ServiceTransfer {
    pub(super) fn is_snapshot(&self) -> bool {
        self.base == Base::Snapshot
    }

    /// Whether the changes apply to a state of an epoch, don't lead back, and come to the digest of the target.
    pub(super) fn matches(&self, state: &ServiceState, epoch: u32) -> bool {
        let is_older =
            self.epoch < epoch || (self.epoch == epoch && self.target.version < state.version);
        let base_matches = match self.base {
            Base::Delta { from } => from == state.version,
            Base::Snapshot => true,
        };
        !is_older && base_matches && self.digest_after(state) == self.target.digest
    }

    /// The changes for the caller, given the applied state.
    pub(super) fn service_update(&self, state: Option<&ServiceState>) -> ServiceUpdate {
        let changes = if self.is_snapshot() {
            let present = state.into_iter().flat_map(|state| state.resources.keys());
            let is_removed = |key: &&ResourceKey| !matches!(self.changes.get(*key), Some(Some(_)));
            let removals = present.filter(is_removed).map(|key| change(&self.target, key, None));
            let sets = self.changes.values().flatten().cloned().map(Change::Set);
            removals.chain(sets).collect()
        } else {
            let changes = self.changes.iter();
            changes.map(|(key, resource)| change(&self.target, key, resource.clone())).collect()
        };
        let ServiceVersion { service, version, digest } = self.target.clone();
        ServiceUpdate { service, version, digest, snapshot: self.is_snapshot(), changes }
    }

    /// Applies the changes.
    pub(super) fn apply_to(self, state: &mut ServiceState) {
        if self.is_snapshot() {
            *state = ServiceState::default();
        }
        state.version = self.target.version;
        for (key, resource) in self.changes {
            state.apply(change(&self.target, &key, resource));
        }
    }

    /// The digest of a state after the changes. The cost follows the changes and not the state.
    fn digest_after(&self, state: &ServiceState) -> u64 {
        let mut digest = if self.is_snapshot() { 0 } else { state.digest };
        for (key, change) in &self.changes {
            if !self.is_snapshot()
                && let Some(replaced) = state.resources.get(key)
            {
                digest = digest.wrapping_sub(resource_digest(replaced));
            }
            if let Some(resource) = change {
                digest = digest.wrapping_add(resource_digest(resource));
            }
        }
        digest
    }
}

/// The change that sets a resource, or removes it.
fn change(target: &ServiceVersion, key: &ResourceKey, resource: Option<Resource>) -> Change {
    match resource {
        Some(resource) => Change::Set(resource),
        None => Change::Remove { name: key.in_service(&target.service), version: target.version },
    }
}
