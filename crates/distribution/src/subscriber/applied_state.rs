//! The state that a subscriber has applied, for each service of its scope.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

use super::saved_state::SavedService;
use super::service_transfer::ServiceTransfer;
use crate::body::ResourceBody;
use crate::digest::scope_digest_term;
use crate::name::ServiceName;
use crate::position::ServiceVersion;
use crate::resource::{Change, Resource};
use crate::service_state::ServiceState;

/// A service of the scope.
#[derive(Debug, Default)]
struct AppliedService {
    state: ServiceState,
    /// The epoch of the log to which the version belongs.
    epoch: u32,
    /// The number of the scope message that last added the service on this connection.
    generation: u32,
    /// The version and the digest that the caller rejected last, unless a version has been applied since.
    rejected: Option<(u64, u64)>,
}

/// The services of the scope with the state that has been applied.
#[derive(Debug)]
pub(super) struct AppliedState {
    services: BTreeMap<ServiceName, AppliedService>,
    /// The wrapping sum of [`scope_digest_term`] over all services.
    scope_digest: u64,
    /// The service whose digest was recomputed last.
    last_scrubbed: Option<ServiceName>,
}

impl AppliedState {
    pub(super) fn new(scope: Vec<ServiceName>) -> Self {
        let mut applied =
            AppliedState { services: BTreeMap::new(), scope_digest: 0, last_scrubbed: None };
        applied.add_missing(&scope.into_iter().collect());
        applied
    }

    /// Restores the saved services that are in scope. Returns those whose resources do not match the saved digest or
    /// belong to another service; they stay empty.
    pub(super) fn restore(&mut self, saved: Vec<SavedService>) -> Vec<ServiceName> {
        let mut damaged = Vec::new();
        for saved in saved {
            let Some(applied) = self.services.get_mut(&saved.service) else {
                continue;
            };
            let mut state = ServiceState { version: saved.version, ..ServiceState::default() };
            let is_own = |resource: &Resource| resource.name.service == saved.service;
            let all_own = saved.resources.iter().all(is_own);
            for resource in saved.resources {
                state.apply(Change::Set(resource));
            }
            if !all_own || state.digest != saved.digest {
                damaged.push(saved.service);
                continue;
            }
            applied.state = state;
            applied.epoch = saved.epoch;
        }
        self.scope_digest =
            self.versions().fold(0, |sum, version| sum.wrapping_add(digest_term(&version)));
        damaged
    }

    /// Returns the services of which a version has been applied, in the form in which they are saved.
    pub(super) fn saved(&self) -> Vec<SavedService> {
        let save = |(name, applied): (&ServiceName, &AppliedService)| SavedService {
            service: name.clone(),
            epoch: applied.epoch,
            version: applied.state.version,
            digest: applied.state.digest,
            resources: applied.state.resources.values().cloned().collect(),
        };
        self.services.iter().filter(|(_, applied)| applied.state.version > 0).map(save).collect()
    }

    /// Returns the digest of the scope, which must equal the digest of a bookmark.
    pub(super) fn scope_digest(&self) -> u64 {
        self.scope_digest
    }

    pub(super) fn service_count(&self) -> usize {
        self.services.len()
    }

    pub(super) fn resource_count(&self) -> usize {
        self.services.values().map(|applied| applied.state.resources.len()).sum()
    }

    pub(super) fn tenant_count(&self) -> usize {
        self.services.values().map(|applied| applied.state.tenants).sum()
    }

    pub(super) fn bytes(&self) -> usize {
        self.services.values().map(|applied| applied.state.bytes).sum()
    }

    pub(super) fn state(&self, service: &ServiceName) -> Option<&ServiceState> {
        self.services.get(service).map(|applied| &applied.state)
    }

    pub(super) fn version(&self, service: &ServiceName) -> Option<ServiceVersion> {
        self.services.get(service).map(|applied| applied.version(service))
    }

    pub(super) fn versions(&self) -> impl Iterator<Item = ServiceVersion> + '_ {
        self.services.iter().map(|(name, applied)| applied.version(name))
    }

    pub(super) fn resources(&self, service: &ServiceName) -> impl Iterator<Item = &Resource> + '_ {
        self.state(service).into_iter().flat_map(|state| state.resources.values())
    }

    /// Returns the rejected versions of services of which no version has been applied since.
    pub(super) fn rejected_versions(&self) -> impl Iterator<Item = ServiceVersion> + '_ {
        self.services.keys().filter_map(|service| self.rejected_version(service))
    }

    pub(super) fn rejected_version(&self, service: &ServiceName) -> Option<ServiceVersion> {
        let (version, digest) = self.services.get(service)?.rejected?;
        Some(ServiceVersion { service: service.clone(), version, digest })
    }

    /// Records the number of the scope message that adds a service. Returns the version that has been applied, or none
    /// if the service is not in scope.
    pub(super) fn record_scope_generation(
        &mut self,
        service: &ServiceName,
        generation: u32,
    ) -> Option<ServiceVersion> {
        let applied = self.services.get_mut(service)?;
        applied.generation = generation;
        Some(applied.version(service))
    }

    /// Removes the services that are not in the new scope. Returns their names.
    pub(super) fn retain_scope(&mut self, scope: &BTreeSet<ServiceName>) -> Vec<ServiceName> {
        let removed: Vec<ServiceName> =
            self.services.keys().filter(|name| !scope.contains(*name)).cloned().collect();
        for service in &removed {
            if let Some(applied) = self.services.remove(service) {
                let term = digest_term(&applied.version(service));
                self.scope_digest = self.scope_digest.wrapping_sub(term);
            }
        }
        removed
    }

    /// Adds the services of the new scope that are missing, as empty services. Returns their names.
    pub(super) fn add_missing(&mut self, scope: &BTreeSet<ServiceName>) -> Vec<ServiceName> {
        let added: Vec<ServiceName> =
            scope.iter().filter(|name| !self.services.contains_key(*name)).cloned().collect();
        for service in &added {
            let applied = AppliedService::default();
            let term = digest_term(&applied.version(service));
            self.scope_digest = self.scope_digest.wrapping_add(term);
            self.services.insert(service.clone(), applied);
        }
        added
    }

    /// Returns whether the service is in scope and the control machine had processed the scope message that last added
    /// it when it began the transaction. Otherwise the changes apply to a state that the subscriber has dropped or has
    /// requested again.
    pub(super) fn expects(&self, transfer: &ServiceTransfer) -> bool {
        self.services
            .get(&transfer.target.service)
            .is_some_and(|applied| applied.generation <= transfer.generation)
    }

    /// Returns whether the changes of a service apply to its state and lead to the expected digest.
    pub(super) fn matches(&self, transfer: &ServiceTransfer) -> bool {
        self.services
            .get(&transfer.target.service)
            .is_some_and(|applied| transfer.matches(&applied.state, applied.epoch))
    }

    /// Applies the changes of a service, unless they are no longer expected (see [`Self::expects`]).
    pub(super) fn apply(&mut self, transfer: ServiceTransfer) {
        if !self.expects(&transfer) {
            return;
        }
        let service = transfer.target.service.clone();
        self.update(&service, |applied| {
            applied.epoch = transfer.epoch;
            applied.rejected = None;
            transfer.apply_to(&mut applied.state);
        });
    }

    /// Records that the caller has rejected the changes of a service, unless they are no longer expected.
    pub(super) fn record_rejection(&mut self, transfer: &ServiceTransfer) {
        if !self.expects(transfer) {
            return;
        }
        if let Some(applied) = self.services.get_mut(&transfer.target.service) {
            applied.rejected = Some((transfer.target.version, transfer.target.digest));
        }
    }

    /// Recomputes the digest of the next service in the order of names, unless a pending transaction changes that
    /// service. If the digest was wrong, corrects it and returns the service. This detects memory errors, which no
    /// other comparison would detect.
    pub(super) fn scrub_next(
        &mut self,
        has_pending_changes: impl Fn(&ServiceName) -> bool,
    ) -> Option<ServiceName> {
        let from = self.last_scrubbed.as_ref().map_or(Unbounded, Excluded);
        let next = self.services.range::<ServiceName, _>((from, Unbounded)).next();
        let service =
            next.or_else(|| self.services.first_key_value()).map(|(name, _)| name.clone())?;
        self.last_scrubbed = Some(service.clone());
        (!has_pending_changes(&service) && self.correct_digest(&service)).then_some(service)
    }

    /// Replaces the body of a resource and leaves the digest as it is, like a memory error.
    pub(super) fn corrupt(&mut self, service: &ServiceName, index: usize, body: ResourceBody) {
        let resource = self
            .services
            .get_mut(service)
            .and_then(|applied| applied.state.resources.values_mut().nth(index));
        if let Some(resource) = resource {
            resource.body = body;
        }
    }

    /// Recomputes and corrects the digest of a service. Returns whether it was wrong.
    fn correct_digest(&mut self, service: &ServiceName) -> bool {
        let Some(state) = self.state(service) else {
            return false;
        };
        let digest = state.recomputed_digest();
        if digest == state.digest {
            return false;
        }
        self.update(service, |applied| applied.state.digest = digest);
        true
    }

    /// Changes a service and updates the digest of the scope.
    fn update(&mut self, service: &ServiceName, change: impl FnOnce(&mut AppliedService)) {
        let Some(applied) = self.services.get_mut(service) else {
            return;
        };
        let before = digest_term(&applied.version(service));
        change(applied);
        let after = digest_term(&applied.version(service));
        self.scope_digest = self.scope_digest.wrapping_sub(before).wrapping_add(after);
    }
}

impl AppliedService {
    fn version(&self, name: &ServiceName) -> ServiceVersion {
        ServiceVersion {
            service: name.clone(),
            version: self.state.version,
            digest: self.state.digest,
        }
    }
}

fn digest_term(version: &ServiceVersion) -> u64 {
    scope_digest_term(&version.service, version.version, version.digest)
}
