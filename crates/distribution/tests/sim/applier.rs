//! The part of a balancer that applies transactions, and checks each against the operators' log.

use std::collections::{BTreeMap, BTreeSet};

use sableloom_distribution::{
    Change, Position, Rejection, ResourceName, SavedState, ServiceName, ServiceUpdate, Transaction,
};

use super::history::{Contents, History, INVALID_BODY_MARKER, digest};

pub(crate) struct Applied {
    pub(crate) epoch: u32,
    pub(crate) version: u64,
    pub(crate) contents: Contents,
}

#[derive(Default)]
pub(crate) struct Applier {
    pub(crate) services: BTreeMap<ServiceName, Applied>,
    pub(crate) scope: BTreeSet<ServiceName>,
    /// Rejects bodies that begin with [`BAD_BODY`].
    pub(crate) validates: bool,
}

impl Applier {
    pub(crate) fn restore(&mut self, saved: &SavedState) {
        self.services.clear();
        for service in &saved.services {
            let contents = service.resources.iter().map(|r| (r.name.clone(), r.clone())).collect();
            let applied = Applied { epoch: service.epoch, version: service.version, contents };
            self.services.insert(service.service.clone(), applied);
        }
    }

    pub(crate) fn set_scope(&mut self, scope: &BTreeSet<ServiceName>) {
        self.services.retain(|service, _| scope.contains(service));
        self.scope = scope.clone();
    }

    /// Applies all of a transaction or nothing, and panics if the result differs from the operators' log.
    pub(crate) fn apply(
        &mut self,
        transaction: &Transaction,
        histories: &[History],
        checks_atomicity: bool,
    ) -> Result<(), Vec<Rejection>> {
        if self.validates {
            let problems = find_rejections(transaction);
            if !problems.is_empty() {
                return Err(problems);
            }
        }
        let history = history_at(histories, transaction.position);
        if checks_atomicity {
            self.check_atomicity(transaction, history);
        }
        for update in &transaction.services {
            if self.scope.contains(&update.service) {
                self.apply_update(update, transaction.position, history);
            }
        }
        Ok(())
    }

    fn apply_update(&mut self, update: &ServiceUpdate, position: Position, history: &History) {
        let before = self.services.remove(&update.service);
        let (epoch, version) =
            before.as_ref().map_or((0, 0), |applied| (applied.epoch, applied.version));
        assert!(
            (position.epoch, update.version) >= (epoch, version),
            "{} goes back from {epoch}/{version} to {}/{}",
            update.service,
            position.epoch,
            update.version
        );
        let mut contents = before.map_or_else(Contents::new, |applied| applied.contents);
        for change in &update.changes {
            match change {
                Change::Set(resource) => {
                    drop(contents.insert(resource.name.clone(), resource.clone()))
                }
                Change::Remove { name, .. } => drop(contents.remove(name)),
                Change::RemoveService { .. } => {
                    panic!("the removal of a service is handed out")
                }
            }
        }
        if update.snapshot {
            let snapshot_names: BTreeSet<&ResourceName> =
                update.changes.iter().filter_map(name_if_set).collect();
            assert_eq!(
                contents.keys().collect::<BTreeSet<_>>(),
                snapshot_names,
                "a snapshot leaves something behind"
            );
        }
        assert_eq!(
            digest(&contents),
            update.digest,
            "the digest of {} does not fit",
            update.service
        );
        // Version 0: the log has no change of the service.
        let empty = Contents::new();
        let known = history.contents_by_version.get(&(update.service.clone(), update.version));
        let expected = known.or((update.version == 0).then_some(&empty));
        assert_eq!(
            Some(&contents),
            expected,
            "{} is not what it was at {}",
            update.service,
            update.version
        );
        let applied = Applied { epoch: position.epoch, version: update.version, contents };
        self.services.insert(update.service.clone(), applied);
    }

    /// A change that touched several services is applied to all of them at once, where all had been current.
    fn check_atomicity(&self, transaction: &Transaction, history: &History) {
        let version_after = |service: &ServiceName| {
            let updated = transaction.services.iter().find(|update| update.service == *service);
            let current = self.services.get(service).map_or(0, |applied| applied.version);
            updated.map_or(current, |update| update.version)
        };
        for update in transaction.services.iter().filter(|update| !update.snapshot) {
            let before = self.services.get(&update.service).map_or(0, |applied| applied.version);
            for entry in &history.entries[before as usize..update.version as usize] {
                if entry.changes.iter().all(|change| *change.service() != update.service) {
                    continue;
                }
                for other in entry
                    .changes
                    .iter()
                    .map(Change::service)
                    .filter(|other| self.scope.contains(*other))
                {
                    let was_never_applied = !self.services.contains_key(other);
                    assert!(
                        was_never_applied || version_after(other) >= entry.number,
                        "change {} is in force for {} and not for {other}",
                        entry.number,
                        update.service
                    );
                }
            }
        }
    }
}

/// The log that has been read up to a position.
pub(crate) fn history_at(histories: &[History], position: Position) -> &History {
    let found = histories.iter().find(|history| history.chains.contains(&position.chain));
    found.unwrap_or_else(|| panic!("no history has {position}"))
}

fn name_if_set(change: &Change) -> Option<&ResourceName> {
    match change {
        Change::Set(resource) => Some(&resource.name),
        _ => None,
    }
}

fn find_rejections(transaction: &Transaction) -> Vec<Rejection> {
    let changes = transaction.services.iter().flat_map(|update| &update.changes);
    let to_rejection = |change: &Change| match change {
        Change::Set(resource) if resource.body.as_slice().first() == Some(&INVALID_BODY_MARKER) => {
            Some(Rejection {
                resource: resource.name.clone(),
                origin: resource.origin.clone(),
                field: "address".into(),
                problem: "cannot be used here".into(),
            })
        }
        _ => None,
    };
    changes.filter_map(to_rejection).collect()
}
