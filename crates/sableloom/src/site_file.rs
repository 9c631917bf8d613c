//! A site's file, read and checked, with the files that it names.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use sableloom_exchange::Clock;
use sableloom_routes::RouteTable;
use sableloom_server_files::{Files, read_file};
use sableloom_server_list::{self as server_list, FileLists, ListSpec};
use sableloom_site_config::{Pool, Site};
use sableloom_toml_diagnostics::Problem;
use sableloom_types::settings::span_from_ms;

/// Reads and checks a site's file, and compiles its routes.
///
/// # Errors
///
/// All problems of the file and of the list of members that it names.
pub(crate) fn load(path: &Path) -> Result<(Site, RouteTable), Vec<Problem>> {
    let name = path.display().to_string();
    let path = path.to_path_buf();
    let text = read_file(&path).map_err(|e| vec![Problem::of_file(&name, e.to_string())])?;
    let site = sableloom_site_config::read(&name, &text)?;
    let table = site.table().map_err(|e| vec![Problem::of_file(&name, format!("routes: {e}"))])?;
    Ok((with_members(&path, site)?, table))
}

/// The site with the members of its fleet, where a file names them.
fn with_members(path: &Path, mut site: Site) -> Result<Site, Vec<Problem>> {
    let Some(fleet) = site.fleet.take() else { return Ok(site) };
    site.fleet = Some(match fleet.members_file.clone() {
        None => fleet,
        Some(file) => {
            let at = path.parent().unwrap_or(Path::new("")).join(&file);
            let text = read_file(&at).map_err(|e| vec![Problem::of_file(&file, e.to_string())])?;
            let members = sableloom_site_config::read_members(&file, &text)?;
            fleet.with_members(&file, members)?
        }
    });
    Ok(site)
}

/// A pool's files of servers; their paths are relative to the folder of the site's file.
pub(crate) fn files(path: &Path, site: &Site, pool: &Pool) -> Files {
    let folder = path.parent().unwrap_or(Path::new(""));
    let spec = ListSpec {
        pool: pool.name.clone(),
        files: pool.files.clone(),
        zones: site.locality.zones.clone(),
        max_removed_share: pool.max_removed_share,
        drain_time: span_from_ms(pool.drain_ms),
    };
    let paths = pool.files.iter().map(|file| folder.join(file)).collect();
    Files { spec, paths, reread_interval: Duration::from_secs_f64(pool.reread_interval_ms / 1e3) }
}

/// Reads a pool's files of servers as a balancer would at its start.
///
/// # Errors
///
/// All problems of the files, or why the list would not come into force.
pub(crate) fn read_lists(path: &Path, site: &Site, pool: &Pool) -> Result<FileLists, Vec<Problem>> {
    let files = files(path, site, pool);
    let mut lists = FileLists::new(files.spec.clone());
    let named = files.spec.files.iter().zip(&files.paths);
    let readings: Vec<_> = named
        .map(|(name, path)| {
            let bytes = read_file(path).map_err(|e| vec![Problem::of_file(name, e.to_string())])?;
            server_list::read(name, &bytes, &files.spec).map(Arc::new)
        })
        .collect();
    let offer = lists.offer(Clock::new().now(), &readings);
    match (offer.problems, offer.version_mismatch) {
        (problems, None) if problems.is_empty() => Ok(lists),
        (problems, Some(waits)) if problems.is_empty() => {
            Err(vec![Problem::of_file(&files.spec.files[0], waits)])
        }
        (problems, _) => Err(problems),
    }
}

/// Problems as text, one a line.
pub(crate) fn lines_of(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}
