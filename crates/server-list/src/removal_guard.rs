//! Guard against a change that takes too many serving servers out at once.

use std::sync::Arc;

use rustc_hash::FxHashSet;
use sableloom_toml_diagnostics::Problem;

use crate::list_spec::ListSpec;
use crate::server_record::ServerListing;
use crate::tracked_server::TrackedServer;

/// Rejects a list that takes more than `max_removed_share` of the serving servers out, unless the changed files state
/// the exact number in `takes_out`. A server is taken out if the list does not name the server, or sets it to draining
/// or to weight 0. The check guards against a mistake in one file that would empty a pool.
///
/// `before` and `after` are the servers without and with the new listings. `new` and `accepted` are the new and the
/// accepted listings, in the order of the files.
pub(crate) fn check(
    spec: &ListSpec,
    before: &[TrackedServer],
    after: &[TrackedServer],
    new: &[Arc<ServerListing>],
    accepted: &[Option<Arc<ServerListing>>],
) -> Result<(), Vec<Problem>> {
    let still_serving: FxHashSet<&str> =
        after.iter().filter(|server| server.serves()).map(|server| &*server.name).collect();
    let serving = before.iter().filter(|server| server.serves()).count();
    let removed = before
        .iter()
        .filter(|server| server.serves() && !still_serving.contains(&*server.name))
        .count();
    if removed as f64 <= spec.max_removed_share * serving as f64 {
        return Ok(());
    }
    let changed_files = new.iter().zip(accepted).filter(|(new, accepted)| {
        accepted.as_ref().is_none_or(|accepted| accepted.digest != new.digest)
    });
    let (mut stated, mut file_index) = (0, None);
    for (listing, _) in changed_files {
        stated += listing.takes_out.unwrap_or(0);
        file_index = new.iter().position(|other| Arc::ptr_eq(other, listing)).or(file_index);
    }
    if stated == removed {
        return Ok(());
    }
    let file = spec.files.get(file_index.unwrap_or(0)).map_or("", String::as_str);
    let max_percent = spec.max_removed_share * 100.0;
    let mut problem = Problem::of_file(
        file,
        format!(
            "the change takes {removed} of {serving} serving servers out, over {max_percent}% at once"
        ),
    );
    problem.field = "takes_out".to_string();
    problem.help = Some(format!("if this is intended, write takes_out = {removed}"));
    Err(vec![problem])
}
