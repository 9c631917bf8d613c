//! The operator's log: random changes to a few services.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use sableloom_distribution::{
    Change, LogEntry, Origin, Position, Rejection, Resource, ResourceName, ServiceName, hash_bytes,
};

/// Services that changes touch.
pub(super) const SERVICES: usize = 7;
/// Bodies that begin with this byte are rejected by balancers that validate.
const BAD_BODY: u8 = 0xBB;

pub(super) fn service(index: usize) -> ServiceName {
    ServiceName::try_from(format!("service-{index}").as_str()).expect("a sound name")
}

/// Why a change is rejected by a balancer that validates.
pub(super) fn rejection_of(change: &Change) -> Option<Rejection> {
    let Change::Set(resource) = change else {
        return None;
    };
    (resource.body.as_slice().first() == Some(&BAD_BODY)).then(|| Rejection {
        resource: resource.name.clone(),
        origin: resource.origin.clone(),
        field: "address".into(),
        problem: "cannot be used".into(),
    })
}

/// Writes changes; knows which resources there are.
pub(super) struct Operator {
    pub log: Vec<LogEntry>,
    epoch: u32,
    present: BTreeSet<ResourceName>,
}

impl Operator {
    pub(super) fn new(epoch: u32) -> Self {
        Operator { log: Vec::new(), epoch, present: BTreeSet::new() }
    }

    /// Rewrites the log from a change on, in the next epoch.
    pub(super) fn fork(&mut self, keep: usize) {
        let log = std::mem::take(&mut self.log);
        self.present.clear();
        for entry in log.into_iter().take(keep) {
            self.push(entry.epoch, entry.changes);
        }
        self.epoch += 1;
    }

    /// Sets and removes some resources of one service or of several.
    pub(super) fn append_random(&mut self, rng: &mut Rand64) {
        let number = self.log.len() as u64 + 1;
        let mut changes: BTreeMap<ResourceName, Change> = BTreeMap::new();
        let mut removed = BTreeSet::new();
        let services = if rng.rand_range(0..4) == 0 { 3 } else { 1 };
        for _ in 0..services {
            let service = service(rng.rand_range(0..SERVICES as u64) as usize);
            let touched = changes.keys().any(|name| name.service == service);
            let present = self.present.iter().any(|name| name.service == service);
            if rng.rand_range(0..25) == 0 && present && !touched {
                removed.insert(service);
                continue;
            }
            if removed.contains(&service) {
                continue;
            }
            for _ in 0..=rng.rand_range(0..3) {
                let name = random_name(&service, rng);
                let change = if self.present.contains(&name) && rng.rand_range(0..3) == 0 {
                    Change::Remove { name: name.clone(), version: number }
                } else {
                    Change::Set(random_resource(name.clone(), number, rng))
                };
                changes.insert(name, change);
            }
        }
        let removals =
            removed.into_iter().map(|service| Change::RemoveService { service, version: number });
        let changes: Vec<Change> = changes.into_values().chain(removals).collect();
        if !changes.is_empty() {
            self.push(self.epoch, changes);
        }
    }

    /// Removes what the last change has set.
    pub(super) fn append_reversal(&mut self) {
        let number = self.log.len() as u64 + 1;
        let set = |change: &Change| match change {
            Change::Set(resource) => {
                Some(Change::Remove { name: resource.name.clone(), version: number })
            }
            _ => None,
        };
        let changes: Vec<Change> = self
            .log
            .last()
            .map_or(Vec::new(), |last| last.changes.iter().filter_map(set).collect());
        if !changes.is_empty() {
            self.push(self.epoch, changes);
        }
    }

    /// A change that a store at this position may not take.
    pub(super) fn wrong_entry(&self, position: Position, kind: usize) -> LogEntry {
        let number = position.number + 1;
        let epoch = position.epoch.max(1);
        let server = |id: &str| ResourceName::server(service(0), id);
        let set = |id: &str, version: u64, body: Vec<u8>| {
            let origin = Origin { file: "wrong.toml".into(), line: 1 };
            Change::Set(Resource { name: server(id), version, origin, body: body.into() })
        };
        let (number, epoch, changes) = match kind {
            0 => (number + 1, epoch, vec![set("x", number + 1, vec![1])]),
            1 => (number, 0, vec![set("x", number, vec![1])]),
            2 => (number, epoch, vec![set("x", number + 1, vec![1])]),
            3 => (number, epoch, vec![set("x", number, vec![1]), set("x", number, vec![2])]),
            4 => (number, epoch, vec![Change::Remove { name: server("none"), version: number }]),
            5 => {
                let service = service(SERVICES);
                (number, epoch, vec![Change::RemoveService { service, version: number }])
            }
            _ => (number, epoch, vec![set("x", number, vec![7; 5_000])]),
        };
        // A store without a change takes any number as its first.
        let number = if position.number == 0 && kind == 0 { 0 } else { number };
        LogEntry { number, epoch, changes, hash: 1 }
    }

    fn push(&mut self, epoch: u32, changes: Vec<Change>) {
        let number = self.log.len() as u64 + 1;
        for change in &changes {
            match change {
                Change::Set(resource) => {
                    self.present.insert(resource.name.clone());
                }
                Change::Remove { name, .. } => {
                    self.present.remove(name);
                }
                Change::RemoveService { service, .. } => {
                    self.present.retain(|name| name.service != *service);
                }
            }
        }
        let hash = hash_bytes(&[epoch as u8, changes.len() as u8, number as u8]);
        self.log.push(LogEntry { number, epoch, changes, hash });
    }
}

fn random_name(service: &ServiceName, rng: &mut Rand64) -> ResourceName {
    let service = service.clone();
    match rng.rand_range(0..8) {
        0 => ResourceName::pool(service),
        1 => ResourceName::route(service, "route"),
        2 => ResourceName::tenant(service, "tenant"),
        server => ResourceName::server(service, &format!("server-{server}")),
    }
}

fn random_resource(name: ResourceName, version: u64, rng: &mut Rand64) -> Resource {
    let mut body: Vec<u8> =
        (0..rng.rand_range(1..70)).map(|_| rng.rand_range(0..128) as u8).collect();
    if rng.rand_range(0..12) == 0 {
        body[0] = BAD_BODY;
    }
    let origin = Origin { file: "changes.toml".into(), line: version as u32 };
    Resource { name, version, origin, body: body.into() }
}
