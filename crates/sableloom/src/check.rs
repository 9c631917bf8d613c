//! `sableloom check`: the problems of a site's configuration, without running it.

use std::path::PathBuf;

use sableloom_site_config::Site;
use sableloom_toml_diagnostics::Problem;

use crate::diagnostics::ProblemReport;
use crate::site_file::{load, read_lists};

/// What to check.
#[derive(clap::Args)]
pub(crate) struct CheckOptions {
    /// The site's configuration, in TOML
    file: PathBuf,
}

/// The problems that a check found.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct CheckError(ProblemReport);

/// Checks a site's configuration and its files of servers, and prints a summary.
pub(crate) fn check(options: &CheckOptions) -> Result<(), CheckError> {
    let failed = |problems: &[Problem]| CheckError(ProblemReport::new(&options.file, problems));
    let (site, _) = load(&options.file).map_err(|problems| failed(&problems))?;
    let (mut problems, mut servers) = (Vec::new(), 0);
    for pool in site.every_pool() {
        match read_lists(&options.file, &site, pool) {
            Ok(lists) => servers += lists.server_count(),
            Err(wrong) => problems.extend(wrong),
        }
    }
    if !problems.is_empty() {
        return Err(failed(&problems));
    }
    print_summary(options, &site, servers);
    Ok(())
}

fn print_summary(options: &CheckOptions, site: &Site, servers: usize) {
    if let Some(fleet) = &site.fleet {
        let address = fleet.address().map(|a| a.to_string()).unwrap_or_default();
        println!(
            "fleet {}: {} of {} members, at {address}",
            fleet.name,
            fleet.own_name,
            fleet.members.len()
        );
    }
    if let Some(control) = &site.control {
        println!(
            "control: subscriber {}, {} control machines, {} services; pools and routes come from there",
            control.subscriber,
            control.machines.len(),
            control.services.len()
        );
    }
    println!(
        "{}: good; {} listeners, {} classes, {} pools with {servers} servers, {} routes, {} shadows; \
         hash {}",
        options.file.display(),
        site.listeners.len(),
        site.classes.len(),
        site.every_pool().count(),
        site.routes.len(),
        site.shadows.len(),
        site.hash
    );
}
