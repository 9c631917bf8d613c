//! The guard against a change that removes too many servers at once.

use std::sync::Arc;

use rustc_hash::FxHashSet;
use sableloom_toml_diagnostics::Problem;

use crate::list_spec::ListSpec;
use crate::server_record::ServerListing;
use crate::tracked_server::TrackedServer;

/// Rejects a list that removes more of the serving servers than the stated share at once, unless a changed file states
/// how many it removes. Guards against a mistake in one file that would empty a pool.
pub(crate) fn check(
    spec: &ListSpec,
    tracked: &[TrackedServer],
    next: &[TrackedServer],
    new: &[Arc<ServerListing>],
    accepted: &[Option<Arc<ServerListing>>],
) -> Result<(), Vec<Problem>> {
    let serving: FxHashSet<&str> = next.iter().filter(|h| h.serves()).map(|h| &*h.name).collect();
    let before = tracked.iter().filter(|h| h.serves()).count();
    let out = tracked.iter().filter(|h| h.serves() && !serving.contains(&*h.name)).count();
    if out as f64 <= spec.max_removed_share * before as f64 {
        return Ok(());
    }
    let changed = new.iter().zip(accepted).filter(|(new, accepted)| {
        accepted.as_ref().is_none_or(|accepted| accepted.digest != new.digest)
    });
    let (mut meant, mut position) = (0, None);
    for (listing, _) in changed {
        meant += listing.takes_out.unwrap_or(0);
        position = new.iter().position(|l| Arc::ptr_eq(l, listing)).or(position);
    }
    if meant == out {
        return Ok(());
    }
    let file = spec.files.get(position.unwrap_or(0)).map_or("", String::as_str);
    let share = spec.max_removed_share * 100.0;
    let mut problem = Problem::of_file(
        file,
        format!("it takes {out} of {before} serving servers out, over {share}% at once"),
    );
    problem.field = "takes_out".to_string();
    problem.help = Some(format!("if that is meant, write takes_out = {out}"));
    Err(vec![problem])
}
