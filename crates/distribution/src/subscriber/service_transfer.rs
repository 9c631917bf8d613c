//! The changes of one service in a complete transaction, and their effect on the applied state.

use std::collections::BTreeMap;

use super::output::ServiceUpdate;
use crate::digest::resource_digest;
use crate::message::Base;
use crate::position::ServiceVersion;
use crate::resource::{Change, Resource};
use crate::service_state::{ResourceKey, ServiceState};

/// The last change of each resource: its new state, or none if the resource is removed.
pub(super) type ResourceChanges = BTreeMap<ResourceKey, Option<Resource>>;

/// The changes of one service, with the state that they apply to and the version that they lead to.
#[derive(Debug)]
pub(super) struct ServiceTransfer {
    /// The version and the digest of the service once the changes are applied.
    pub(super) target: ServiceVersion,
    /// The epoch of the log to which the version belongs.
    pub(super) epoch: u32,
    /// The number of the last scope message that the control machine had processed when it began the transaction.
    pub(super) generation: u32,
    pub(super) base: Base,
    pub(super) changes: ResourceChanges,
}

impl ServiceTransfer {
    pub(super) fn is_snapshot(&self) -> bool {
        self.base == Base::Snapshot
    }

    /// Returns whether the changes apply to the state, whose version belongs to `epoch`, do not lead to an older
    /// version, and result in the digest of the target.
    pub(super) fn matches(&self, state: &ServiceState, epoch: u32) -> bool {
        let is_older =
            self.epoch < epoch || (self.epoch == epoch && self.target.version < state.version);
        let base_matches = match self.base {
            Base::Delta { from } => from == state.version,
            Base::Snapshot => true,
        };
        !is_older && base_matches && self.digest_after(state) == self.target.digest
    }

    /// Returns the changes for the caller. For a snapshot they include the removals of resources in the applied state
    /// that the snapshot does not have.
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

    /// Applies the changes to the state of the service.
    pub(super) fn apply_to(self, state: &mut ServiceState) {
        if self.is_snapshot() {
            *state = ServiceState::default();
        }
        state.version = self.target.version;
        for (key, resource) in self.changes {
            state.apply(change(&self.target, &key, resource));
        }
    }

    /// Returns the digest of the state after the changes. The cost grows with the changes and not with the state.
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

/// Returns the change that sets a resource, or that removes it if it is none.
fn change(target: &ServiceVersion, key: &ResourceKey, resource: Option<Resource>) -> Change {
    match resource {
        Some(resource) => Change::Set(resource),
        None => Change::Remove { name: key.in_service(&target.service), version: target.version },
    }
}
