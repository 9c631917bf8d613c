//! A site's file, read and checked, with the files that it names.

use std::path::Path;
use std::time::Duration;

use sableloom_routes::RouteTable;
use sableloom_server_files::{Files, read_file};
use sableloom_server_list::Spec;
use sableloom_site_config::{Pool, Site};
use sableloom_toml_diagnostics::Problem;
use sableloom_types::settings::span;

/// A site's text, read and checked; or all that is wrong.
pub fn load(path: &Path) -> Result<(Site, RouteTable), Vec<Problem>> {
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

/// A pool's files, their paths taken from the folder that the site's file lies in.
pub fn files(path: &Path, site: &Site, pool: &Pool) -> Files {
    let folder = path.parent().unwrap_or(Path::new(""));
    let spec = Spec {
        pool: pool.name.clone(),
        files: pool.files.clone(),
        zones: site.locality.zones.clone(),
        out_at_most: pool.max_removed_share,
        drain: span(pool.drain_ms),
    };
    let paths = pool.files.iter().map(|file| folder.join(file)).collect();
    Files { spec, paths, reread_interval: Duration::from_secs_f64(pool.reread_interval_ms / 1e3) }
}

/// Problems as text, one a line.
pub fn lines_of(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}
