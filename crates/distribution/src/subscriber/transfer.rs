//! Transactions on their way in: collected within a bound, checked by digest, handed to the shell whole.

use std::collections::BTreeMap;

use super::Subscriber;
use super::holding::HeldService;
use super::options::{
    DisconnectReason, ServiceUpdate, SubscriberEvent, SubscriberOutput, Transaction,
};
use crate::digest::resource_digest;
use crate::message::{Base, NackReason, ServiceBase, SubscriberMessage};
use crate::name::ServiceName;
use crate::resource::{Change, Position, Resource, ServiceVersion};
use crate::service::{Key, Service, key_of, name_of};

/// A transaction of which not all has come.
#[derive(Debug)]
pub(super) struct Staging {
    transfer: u64,
    /// The last scope message that the control machine had taken in.
    generation: u32,
    parts: BTreeMap<ServiceName, Staged>,
    pub(super) bytes: usize,
}

#[derive(Debug)]
struct Staged {
    base: Base,
    /// The last word on each resource: set, or removed.
    changes: BTreeMap<Key, Option<Resource>>,
}

/// One service of a transaction that is whole and checked.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) target: ServiceVersion,
    pub(super) epoch: u32,
    pub(super) generation: u32,
    base: Base,
    changes: BTreeMap<Key, Option<Resource>>,
}

/// A transaction that the shell has and has not answered.
#[derive(Debug)]
pub(super) struct Applying {
    pub(super) transfer: u64,
    pub(super) parts: Vec<Part>,
    pub(super) bytes: usize,
}

impl Applying {
    pub(super) fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.parts.iter().map(|part| &part.target.service)
    }
}

fn violation(what: &str) -> DisconnectReason {
    DisconnectReason::Violation(what.into())
}

impl Subscriber {
    pub(super) fn begin(
        &mut self,
        transfer: u64,
        generation: u32,
        services: Vec<ServiceBase>,
    ) -> Result<(), DisconnectReason> {
        let fresh = || Staging { transfer, generation, parts: BTreeMap::new(), bytes: 0 };
        let staging = self.staging.get_or_insert_with(fresh);
        if staging.transfer != transfer || staging.generation != generation {
            return Err(violation("a transaction begins within another"));
        }
        for ServiceBase { service, base } in services {
            staging.bytes += service.as_str().len() + size_of::<Staged>();
            staging.parts.insert(service, Staged { base, changes: BTreeMap::new() });
        }
        self.check_buffer()
    }

    pub(super) fn changes(
        &mut self,
        transfer: u64,
        changes: Vec<Change>,
    ) -> Result<(), DisconnectReason> {
        let staging = self.staging.as_mut().filter(|staging| staging.transfer == transfer);
        let staging = staging.ok_or_else(|| violation("changes of no transaction"))?;
        for change in changes {
            staging.bytes += change.encoded_size();
            let part = staging.parts.get_mut(change.service());
            let part = part
                .ok_or_else(|| violation("a change of a service that is not in the transaction"))?;
            match change {
                Change::Set(resource) => {
                    part.changes.insert(key_of(&resource.name), Some(resource));
                }
                Change::Remove { name, .. } => {
                    part.changes.insert(key_of(&name), None);
                }
                Change::RemoveService { .. } => return Err(violation("the removal of a service")),
            }
        }
        self.check_buffer()
    }

    pub(super) fn commit(
        &mut self,
        transfer: u64,
        position: Position,
        services: Vec<ServiceVersion>,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<(), DisconnectReason> {
        let staging = self.staging.take().filter(|staging| staging.transfer == transfer);
        let staging = staging.ok_or_else(|| violation("the end of no transaction"))?;
        let bytes = staging.bytes;
        let parts = self.wanted_parts(staging, position, services)?;
        let wrong: Vec<ServiceName> = parts
            .iter()
            .filter(|part| !self.fits(part))
            .map(|part| part.target.service.clone())
            .collect();
        if !wrong.is_empty() {
            out.push(SubscriberOutput::Send(self.mismatch(transfer, &wrong)));
            out.push(SubscriberOutput::Event(SubscriberEvent::Mismatch { services: wrong }));
            return Ok(());
        }
        if parts.is_empty() {
            out.push(SubscriberOutput::Send(SubscriberMessage::Ack { transfer }));
            return Ok(());
        }
        let services =
            parts.iter().map(|part| part.update(self.holding.get(&part.target.service))).collect();
        self.applying.push_back(Applying { transfer, parts, bytes });
        out.push(SubscriberOutput::Apply(Transaction { transfer, position, services }));
        Ok(())
    }

    /// The parts of services that are in scope and have not been named anew since the control machine began.
    fn wanted_parts(
        &self,
        mut staging: Staging,
        position: Position,
        services: Vec<ServiceVersion>,
    ) -> Result<Vec<Part>, DisconnectReason> {
        let mut parts = Vec::with_capacity(services.len());
        let generation = staging.generation;
        for target in services {
            let staged = staging.parts.remove(&target.service);
            let Staged { base, changes } =
                staged.ok_or_else(|| violation("a transaction without one of its services"))?;
            let held = self.holding.get(&target.service);
            if held.is_some_and(|held| held.generation <= generation) {
                parts.push(Part { target, epoch: position.epoch, generation, base, changes });
            }
        }
        if !staging.parts.is_empty() {
            return Err(violation("a transaction that does not end all of its services"));
        }
        Ok(parts)
    }

    /// Whether a part is based on what is held, does not go back, and comes to the digest that it claims.
    fn fits(&self, part: &Part) -> bool {
        let Some(held) = self.holding.get(&part.target.service) else {
            return false;
        };
        let back = part.epoch < held.epoch
            || (part.epoch == held.epoch && part.target.version < held.service.version);
        let based = match part.base {
            Base::Delta { from } => from == held.service.version,
            Base::Snapshot => true,
        };
        !back && based && part.digest_on(&held.service) == part.target.digest
    }

    /// Says what is held of the services that did not fit: a snapshot of them comes.
    fn mismatch(&mut self, transfer: u64, wrong: &[ServiceName]) -> SubscriberMessage {
        self.counters.mismatches += 1;
        let held = wrong
            .iter()
            .filter_map(|service| self.holding.get(service).map(|held| held.held(service)));
        SubscriberMessage::Nack { transfer, reason: NackReason::Mismatch(held.collect()) }
    }

    fn check_buffer(&self) -> Result<(), DisconnectReason> {
        let staging = self.staging.as_ref().map_or(0, |staging| staging.bytes);
        // One transaction on its way in, and as much again that the shell has not answered.
        if staging > self.max_transaction_bytes
            || self.buffered_bytes() > 2 * self.max_transaction_bytes
        {
            return Err(DisconnectReason::TooLarge);
        }
        Ok(())
    }
}

impl Part {
    pub(super) fn is_snapshot(&self) -> bool {
        self.base == Base::Snapshot
    }

    /// The digest of a service once this part is applied to it. Work by the size of the part.
    fn digest_on(&self, service: &Service) -> u64 {
        let mut digest = if self.is_snapshot() { 0 } else { service.digest };
        for (key, change) in &self.changes {
            if !self.is_snapshot()
                && let Some(before) = service.resources.get(key)
            {
                digest = digest.wrapping_sub(resource_digest(before));
            }
            if let Some(resource) = change {
                digest = digest.wrapping_add(resource_digest(resource));
            }
        }
        digest
    }

    /// What the shell is to do, given what is in force.
    fn update(&self, held: Option<&HeldService>) -> ServiceUpdate {
        let ServiceVersion { service, version, digest } = self.target.clone();
        let remove = |key: &Key| Change::Remove { name: name_of(&service, key.0, &key.1), version };
        let mut changes = Vec::with_capacity(self.changes.len());
        if self.is_snapshot() {
            let present = held.into_iter().flat_map(|held| held.service.resources.keys());
            let gone = present.filter(|key| !matches!(self.changes.get(*key), Some(Some(_))));
            changes.extend(gone.map(remove));
            changes.extend(self.changes.values().flatten().cloned().map(Change::Set));
        } else {
            let change = |(key, change): (&Key, &Option<Resource>)| match change {
                Some(resource) => Change::Set(resource.clone()),
                None => remove(key),
            };
            changes.extend(self.changes.iter().map(change));
        }
        ServiceUpdate { service, version, digest, snapshot: self.is_snapshot(), changes }
    }

    /// Puts it in force.
    pub(super) fn apply_to(self, service: &mut Service) {
        if self.is_snapshot() {
            *service = Service::default();
        }
        service.version = self.target.version;
        for (key, change) in self.changes {
            match change {
                Some(resource) => service.apply(Change::Set(resource)),
                None => {
                    let name = name_of(&self.target.service, key.0, &key.1);
                    service.apply(Change::Remove { name, version: self.target.version });
                }
            }
        }
    }
}
