//! What a subscriber has in force, by service.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

use super::options::{SavedService, SavedState};
use super::transfer::Part;
use crate::digest::scope_digest_term;
use crate::name::ServiceName;
use crate::resource::{Change, Resource, ResourceBody, ServiceVersion};
use crate::service::Service;

/// A service of the scope.
#[derive(Debug, Default)]
pub(super) struct HeldService {
    pub(super) service: Service,
    /// The epoch of its version.
    pub(super) epoch: u32,
    /// The scope message that named it last on this connection.
    pub(super) generation: u32,
    /// Version and digest that were refused.
    rejected: Option<(u64, u64)>,
}

/// The services of the scope with what is in force of them.
#[derive(Debug)]
pub(super) struct Holding {
    services: BTreeMap<ServiceName, HeldService>,
    /// Sum of [`scope_digest_term`].
    digest: u64,
    scrubbed: Option<ServiceName>,
}

impl Holding {
    pub(super) fn new(scope: Vec<ServiceName>) -> Self {
        let mut holding = Holding { services: BTreeMap::new(), digest: 0, scrubbed: None };
        holding.add_missing(&scope.into_iter().collect());
        holding
    }

    /// Takes what was saved of the services in scope; gives those whose digest does not fit, which are left empty.
    pub(super) fn restore(&mut self, saved: SavedState) -> Vec<ServiceName> {
        let mut damaged = Vec::new();
        for saved in saved.services {
            let Some(held) = self.services.get_mut(&saved.service) else {
                continue;
            };
            let mut service = Service { version: saved.version, ..Service::default() };
            let own = saved.resources.iter().all(|resource| resource.name.service == saved.service);
            for resource in saved.resources {
                service.apply(Change::Set(resource));
            }
            if !own || service.digest != saved.digest {
                damaged.push(saved.service);
                continue;
            }
            held.service = service;
            held.epoch = saved.epoch;
        }
        self.digest = self.held().fold(0, |sum, held| sum.wrapping_add(digest_part(&held)));
        damaged
    }

    pub(super) fn saved(&self) -> Vec<SavedService> {
        let save = |(name, held): (&ServiceName, &HeldService)| SavedService {
            service: name.clone(),
            epoch: held.epoch,
            version: held.service.version,
            digest: held.service.digest,
            resources: held.service.resources.values().cloned().collect(),
        };
        self.services.iter().filter(|(_, held)| held.service.version > 0).map(save).collect()
    }

    /// The sum over the scope that a bookmark is compared with.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    pub(super) fn len(&self) -> usize {
        self.services.len()
    }

    pub(super) fn resource_count(&self) -> usize {
        self.services.values().map(|held| held.service.resources.len()).sum()
    }

    pub(super) fn tenant_count(&self) -> usize {
        self.services.values().map(|held| held.service.tenants).sum()
    }

    pub(super) fn bytes(&self) -> usize {
        self.services.values().map(|held| held.service.bytes).sum()
    }

    pub(super) fn get(&self, service: &ServiceName) -> Option<&HeldService> {
        self.services.get(service)
    }

    pub(super) fn held(&self) -> impl Iterator<Item = ServiceVersion> + '_ {
        self.services.iter().map(|(name, held)| held.held(name))
    }

    pub(super) fn resources(&self, service: &ServiceName) -> impl Iterator<Item = &Resource> + '_ {
        self.services.get(service).into_iter().flat_map(|held| held.service.resources.values())
    }

    pub(super) fn rejected(&self) -> impl Iterator<Item = ServiceVersion> + '_ {
        self.services.keys().filter_map(|service| self.rejected_of(service))
    }

    pub(super) fn rejected_of(&self, service: &ServiceName) -> Option<ServiceVersion> {
        let (version, digest) = self.services.get(service)?.rejected?;
        Some(ServiceVersion { service: service.clone(), version, digest })
    }

    /// What is held of a service that is named to the control machine by a scope message.
    pub(super) fn name(
        &mut self,
        service: &ServiceName,
        generation: u32,
    ) -> Option<ServiceVersion> {
        let held = self.services.get_mut(service)?;
        held.generation = generation;
        Some(held.held(service))
    }

    pub(super) fn remove_all_but(&mut self, scope: &BTreeSet<ServiceName>) -> Vec<ServiceName> {
        let removed: Vec<ServiceName> =
            self.services.keys().filter(|name| !scope.contains(*name)).cloned().collect();
        for service in &removed {
            if let Some(held) = self.services.remove(service) {
                self.digest = self.digest.wrapping_sub(digest_part(&held.held(service)));
            }
        }
        removed
    }

    pub(super) fn add_missing(&mut self, scope: &BTreeSet<ServiceName>) -> Vec<ServiceName> {
        let added: Vec<ServiceName> =
            scope.iter().filter(|name| !self.services.contains_key(*name)).cloned().collect();
        for service in &added {
            let held = HeldService::default();
            self.digest = self.digest.wrapping_add(digest_part(&held.held(service)));
            self.services.insert(service.clone(), held);
        }
        added
    }

    /// Puts a part of a transaction in force, unless its service has left the scope or been named anew since.
    pub(super) fn put_in_force(&mut self, part: Part) {
        let target = part.target.service.clone();
        let Some(held) = self.services.get_mut(&target) else {
            return;
        };
        if held.generation > part.generation {
            return;
        }
        let before = digest_part(&held.held(&target));
        held.epoch = part.epoch;
        held.rejected = None;
        part.apply_to(&mut held.service);
        let after = digest_part(&held.held(&target));
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
    }

    pub(super) fn note_rejected(&mut self, part: &Part) {
        if let Some(held) = self.services.get_mut(&part.target.service)
            && held.generation <= part.generation
        {
            held.rejected = Some((part.target.version, part.target.digest));
        }
    }

    /// Counts a service's digest anew and corrects it; whether it was wrong.
    pub(super) fn recount(&mut self, service: &ServiceName) -> bool {
        let Some(held) = self.services.get_mut(service) else {
            return false;
        };
        let counted = held.service.counted_digest();
        if counted == held.service.digest {
            return false;
        }
        let before = digest_part(&held.held(service));
        held.service.digest = counted;
        let after = digest_part(&held.held(service));
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
        true
    }

    /// Recounts the next service in turn that is not busy; gives it if it was wrong.
    pub(super) fn scrub_next(
        &mut self,
        busy: impl Fn(&ServiceName) -> bool,
    ) -> Option<ServiceName> {
        let from = self.scrubbed.as_ref().map_or(Unbounded, Excluded);
        let next = self.services.range::<ServiceName, _>((from, Unbounded)).next();
        let service =
            next.or_else(|| self.services.first_key_value()).map(|(name, _)| name.clone())?;
        self.scrubbed = Some(service.clone());
        (!busy(&service) && self.recount(&service)).then_some(service)
    }

    pub(super) fn corrupt(&mut self, service: &ServiceName, index: usize, body: ResourceBody) {
        let resource = self
            .services
            .get_mut(service)
            .and_then(|held| held.service.resources.values_mut().nth(index));
        if let Some(resource) = resource {
            resource.body = body;
        }
    }
}

impl HeldService {
    pub(super) fn held(&self, name: &ServiceName) -> ServiceVersion {
        ServiceVersion {
            service: name.clone(),
            version: self.service.version,
            digest: self.service.digest,
        }
    }
}

fn digest_part(held: &ServiceVersion) -> u64 {
    scope_digest_term(&held.service, held.version, held.digest)
}
