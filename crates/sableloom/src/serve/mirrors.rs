//! Mirrors: what copies the requests of a pool to a candidate, as a site's `[[shadow]]` says.

use std::path::Path;
use std::time::Duration;

use sableloom_shadow::CopyLimits;
use sableloom_site_config::{Pool, Shadow, Site};
use sableloom_toml_diagnostics::Problem;
use sableloom_traffic_mirror::{MirrorOptions, MirroredPool, PreparedMirror};
use sableloom_types::settings::{span_from_ms, stable_hash};

use super::pools::PoolContext;
use crate::site_file::files;

/// Prepares a mirror; [`PreparedMirror::start`] starts it.
///
/// # Errors
///
/// All problems of the candidate's files, or that there are too few descriptors for its copies.
pub(super) async fn prepare_mirror(
    context: &PoolContext,
    site: &Site,
    shadow: &Shadow,
) -> Result<PreparedMirror, Vec<Problem>> {
    let descriptors =
        MirrorOptions::descriptors(shadow.limits.max_in_flight, shadow.pools().count());
    let Some(reserved) = context.budget.reserve(descriptors) else {
        let name = context.path.display().to_string();
        return Err(vec![Problem {
            span: shadow.location.span.clone(),
            line: shadow.location.line,
            field: format!("{}.in_flight", shadow.location.field),
            help: Some("raise `limits.sockets`, or have fewer copies out at once".into()),
            ..Problem::of_file(&name, format!("{descriptors} descriptors are not free for it"))
        }]);
    };
    let mirrored = |pool: &Pool| MirroredPool {
        name: pool.name.clone(),
        settings: site.deployment_settings(pool),
        files: files(&context.path, site, pool),
    };
    let folder = context.path.parent().unwrap_or(Path::new(""));
    PreparedMirror::new(MirrorOptions {
        name: shadow.name.clone(),
        live_pool: site.pools[shadow.live_pool].name.clone(),
        candidate: mirrored(&shadow.candidate),
        control_group: shadow.control_group.as_ref().map(mirrored),
        limits: CopyLimits {
            sample_seed: stable_hash(&shadow.name),
            jitter_seed: u64::from(std::process::id()),
            ..shadow.limits.clone()
        },
        rules: shadow.rules.clone(),
        classes: site.classes.iter().map(|c| (c.name.clone(), c.latency_objective_ms)).collect(),
        copy_timeout: Duration::from_secs_f64(shadow.timeout_ms / 1e3),
        settle: span_from_ms(shadow.settle_ms),
        unknown_outcome_time: span_from_ms(site.longest_deadline_ms()),
        dropped_headers: shadow.dropped_headers.clone(),
        records_values: shadow.records_values,
        record_file: folder.join(&shadow.record_file),
        record_interval: Duration::from_secs_f64(shadow.record_interval_ms / 1e3),
        clock: context.clock,
        descriptors: reserved,
    })
    .await
}
