//! The restoration of the last good state that an earlier process saved.

use std::path::Path;

use sableloom_distribution::{
    Change, Position, SavedService, SavedState, ServiceUpdate, Transaction,
};

use crate::applier::Applier;
use crate::options::SubscriptionOptions;
use crate::state_file::read_state;

/// Reads the state file and puts its services in force one by one. A service that the applier rejects is left out of
/// the returned state, so that it is requested from a control machine. A service outside the scope is left out as well.
/// Returns `None` if no service was restored.
pub(crate) fn restore(options: &SubscriptionOptions, applier: &dyn Applier) -> Option<SavedState> {
    let path = options.state_file.as_ref()?;
    let saved = match read_state(path, &options.name) {
        Ok(saved) => saved?,
        Err(error) => {
            applier.log(&format!("state file {}: not used: {error}", path.display()));
            return None;
        }
    };
    let position = saved.position;
    let services = saved
        .services
        .into_iter()
        .filter(|saved| options.scope.contains(&saved.service))
        .filter(|saved| apply_saved(applier, path, saved, position))
        .collect();
    let restored = SavedState { position, services };
    if restored.services.is_empty() {
        return None;
    }
    let count = restored.services.len();
    applier.log(&format!("{count} services at {position} in force from {}", path.display()));
    Some(restored)
}

/// Puts one saved service in force. Returns whether the applier accepted the service, and logs the problems if not.
fn apply_saved(
    applier: &dyn Applier,
    path: &Path,
    saved: &SavedService,
    position: Position,
) -> bool {
    let Err(rejections) = applier.apply(&snapshot_of(saved, position)) else { return true };
    let problems: Vec<String> = rejections.iter().map(ToString::to_string).collect();
    let (path, problems) = (path.display(), problems.join("; "));
    applier.log(&format!("state file {path}: {} not used: {problems}", saved.service));
    false
}

/// Returns a transaction that replaces all resources of a service by the saved ones.
fn snapshot_of(saved: &SavedService, position: Position) -> Transaction {
    let update = ServiceUpdate {
        service: saved.service.clone(),
        version: saved.version,
        digest: saved.digest,
        snapshot: true,
        changes: saved.resources.iter().cloned().map(Change::Set).collect(),
    };
    Transaction { id: 0, position, services: vec![update] }
}
