//! The part of a balancer that applies transactions and checks each result against the operators' log.

use std::collections::{BTreeMap, BTreeSet};

use sableloom_distribution::{
    Change, Position, Rejection, ResourceName, SavedState, ServiceName, ServiceUpdate, Transaction,
};

use super::history::{Contents, History, INVALID_BODY_MARKER, digest};

/// The state of a service that a balancer has applied.
pub(crate) struct AppliedService {
    pub(crate) epoch: u32,
    pub(crate) version: u64,
    pub(crate) contents: Contents,
}

/// The applied state of a balancer.
#[derive(Default)]
pub(crate) struct Applier {
    pub(crate) services: BTreeMap<ServiceName, AppliedService>,
    pub(crate) scope: BTreeSet<ServiceName>,
    /// Whether a body that begins with [`INVALID_BODY_MARKER`] is rejected.
    pub(crate) validates: bool,
}

impl Applier {
    /// Replaces the applied state by a saved state.
    pub(crate) fn restore(&mut self, saved: &SavedState) {
        self.services.clear();
        for service in &saved.services {
            let contents = service.resources.iter().map(|r| (r.name.clone(), r.clone())).collect();
            let applied =
                AppliedService { epoch: service.epoch, version: service.version, contents };
            self.services.insert(service.service.clone(), applied);
        }
    }

    /// Changes the scope, and drops the services that are no longer in it.
    pub(crate) fn set_scope(&mut self, scope: &BTreeSet<ServiceName>) {
        self.services.retain(|service, _| scope.contains(service));
        self.scope = scope.clone();
    }

    /// Applies a transaction to the services in the scope, or returns its rejections and applies nothing. Panics if the
    /// result differs from the operators' log or, with `checks_atomicity`, if [`Self::check_atomicity`] fails.
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
            // The scope may have changed after the publisher began the transaction.
            if self.scope.contains(&update.service) {
                self.apply_update(update, transaction.position, history);
            }
        }
        Ok(())
    }

    /// Applies the update of one service; panics if its version goes back, or its result differs from the log.
    fn apply_update(&mut self, update: &ServiceUpdate, position: Position, history: &History) {
        let before = self.services.remove(&update.service);
        let (epoch, version) =
            before.as_ref().map_or((0, 0), |applied| (applied.epoch, applied.version));
        assert!(
            (position.epoch, update.version) >= (epoch, version),
            "{} goes back from version {epoch}/{version} to {}/{}",
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
                    panic!("a transaction contains the removal of a whole service")
                }
            }
        }
        // The update of a snapshot also removes the applied resources that the snapshot does not contain.
        if update.snapshot {
            let snapshot_names: BTreeSet<&ResourceName> =
                update.changes.iter().filter_map(name_if_set).collect();
            assert_eq!(
                contents.keys().collect::<BTreeSet<_>>(),
                snapshot_names,
                "the resources after a snapshot differ from those in the snapshot"
            );
        }
        assert_eq!(
            digest(&contents),
            update.digest,
            "the digest of {} does not match its resources",
            update.service
        );
        // At version 0 the service has no resources, and the log has no change of it.
        let empty = Contents::new();
        let logged = history.contents_by_version.get(&(update.service.clone(), update.version));
        let expected = logged.or((update.version == 0).then_some(&empty));
        assert_eq!(
            Some(&contents),
            expected,
            "the resources of {} differ from those in the log at version {}",
            update.service,
            update.version
        );
        let applied = AppliedService { epoch: position.epoch, version: update.version, contents };
        self.services.insert(update.service.clone(), applied);
    }

    /// Checks that no change of a delta is applied to only some of the services that the change touched: the version of
    /// each of them after the transaction must be at least the number of the change. Services outside the scope and
    /// services of which no version has been applied are exempt. Snapshots are not checked.
    fn check_atomicity(&self, transaction: &Transaction, history: &History) {
        let version_after = |service: &ServiceName| {
            let updated = transaction.services.iter().find(|update| update.service == *service);
            let current = self.services.get(service).map_or(0, |applied| applied.version);
            updated.map_or(current, |update| update.version)
        };
        for update in transaction.services.iter().filter(|update| !update.snapshot) {
            let before = self.services.get(&update.service).map_or(0, |applied| applied.version);
            // The change with number n is at index n - 1: these are the changes after `before`.
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
                        "change {} is applied to {} but not to {other}",
                        entry.number,
                        update.service
                    );
                }
            }
        }
    }
}

/// Returns the history that contains a position. Panics if there is none.
pub(crate) fn history_at(histories: &[History], position: Position) -> &History {
    let found = histories.iter().find(|history| history.chains.contains(&position.chain));
    found.unwrap_or_else(|| panic!("no history contains position {position}"))
}

/// Returns the name of the resource that a change sets, or `None` for a removal.
fn name_if_set(change: &Change) -> Option<&ResourceName> {
    match change {
        Change::Set(resource) => Some(&resource.name),
        _ => None,
    }
}

/// Returns a rejection for each body that begins with [`INVALID_BODY_MARKER`].
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
