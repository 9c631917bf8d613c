//! Takes over a configuration that is read again while the balancer runs: all of it or nothing.
//!
//! Everything that can fail is prepared first, while the old configuration is in force. Then the new one is put in force
//! in one go, with no request served in between.

use std::rc::Rc;

use sableloom_server_files::{PreparedFiles, ServerFiles};
use sableloom_site_config::{Shadow, Site};
use sableloom_toml_diagnostics::Problem;
use sableloom_traffic_mirror::PreparedMirror;

use super::mirrors::prepare_mirror;
use super::pools::{PoolContext, RunningPool, ServerSource};
use super::routing::{Router, Routing};
use crate::site_file::{files, load};

/// A pool whose files of servers have been read.
enum PreparedPool {
    /// It runs already, and its files change.
    Running(Rc<RunningPool>, Box<PreparedFiles>),
    /// It is to be started.
    New(Rc<ServerFiles>),
}

/// The pools of the new configuration.
#[derive(Default)]
struct NewPools {
    /// All of them, in the site's order.
    pools: Vec<Rc<RunningPool>>,
    /// Those that were running already, and go on with new files.
    kept: Vec<KeptPool>,
}

/// A pool that goes on running, with its new files.
struct KeptPool {
    running: Rc<RunningPool>,
    files: Box<PreparedFiles>,
}

/// Reads the site again and puts it in force. Returns a summary for the log.
///
/// # Errors
///
/// All problems of the site and of the files that it names; the old configuration stays in force.
pub(super) async fn reload(context: &PoolContext, router: &Router) -> Result<String, Vec<Problem>> {
    let (site, table) = load(&context.path)?;
    let old = router.routing.borrow().clone();
    check_changeable(context, &old.site, &site)?;
    let mut problems = Vec::new();
    let prepared = prepare_pools(context, &old, &site, &mut problems).await;
    let mirrors = prepare_mirrors(context, &old, &site, &mut problems).await;
    if !problems.is_empty() {
        return Err(problems);
    }
    // Nothing below can fail, but for settings that the check has let pass.
    let NewPools { pools, kept } = start_pools(context, &site, prepared)?;
    for KeptPool { running, files } in kept {
        if let Some(current) = running.files() {
            current.commit(*files);
        }
    }
    let removed: Vec<_> =
        old.pools.iter().filter(|p| !pools.iter().any(|q| Rc::ptr_eq(p, q))).cloned().collect();
    removed.iter().filter_map(|pool| pool.files()).for_each(|files| files.stop());
    replace_mirrors(&old, &site, &pools, mirrors);
    let number = old.number + 1;
    let summary = summarize(number, &site, &removed);
    router.ending_pools.borrow_mut().extend(removed);
    *router.routing.borrow_mut() = Rc::new(Routing { number, site, table, pools });
    Ok(summary)
}

/// Checks that the new site changes nothing that only a restart can change, and that there are connections for its
/// services.
fn check_changeable(context: &PoolContext, old: &Site, new: &Site) -> Result<(), Vec<Problem>> {
    let name = context.path.display().to_string();
    let fixed = sableloom_site_config::changes_requiring_restart(&name, old, new);
    if !fixed.is_empty() {
        return Err(fixed);
    }
    let Some(control) = &new.control else { return Ok(()) };
    context.check_pool_count(control.services.len()).map_err(|error| {
        vec![Problem { line: control.location.line, ..Problem::of_file(&name, error.to_string()) }]
    })
}

/// Reads the files of all pools.
async fn prepare_pools(
    context: &PoolContext,
    old: &Routing,
    site: &Site,
    problems: &mut Vec<Problem>,
) -> Vec<PreparedPool> {
    let mut prepared = Vec::new();
    for pool in &site.pools {
        let files = files(&context.path, site, pool);
        let running = old.pools.iter().find(|running| running.name == pool.name);
        let current = running.and_then(|running| Some((running, running.files()?)));
        let result = match current {
            Some((running, current)) => current
                .prepare(files)
                .await
                .map(|files| PreparedPool::Running(running.clone(), Box::new(files))),
            None => ServerFiles::open(files, context.clock).await.map(PreparedPool::New),
        };
        match result {
            Ok(pool) => prepared.push(pool),
            Err(wrong) => problems.extend(wrong),
        }
    }
    prepared
}

/// Prepares the mirror of each shadow; `None` for a shadow that is as it was, whose mirror goes on.
async fn prepare_mirrors(
    context: &PoolContext,
    old: &Routing,
    site: &Site,
    problems: &mut Vec<Problem>,
) -> Vec<Option<PreparedMirror>> {
    let mut mirrors = Vec::new();
    for shadow in &site.shadows {
        if is_unchanged(&old.site, site, shadow) {
            mirrors.push(None);
            continue;
        }
        match prepare_mirror(context, site, shadow).await {
            Ok(ready) => mirrors.push(Some(ready)),
            Err(wrong) => problems.extend(wrong),
        }
    }
    mirrors
}

/// Whether the old site has the same shadow of the same pool.
fn is_unchanged(old: &Site, new: &Site, shadow: &Shadow) -> bool {
    let live = &new.pools[shadow.live_pool].name;
    old.shadows.iter().any(|before| {
        old.pools[before.live_pool].name == *live
            && Shadow { live_pool: shadow.live_pool, ..before.clone() } == *shadow
    })
}

/// Starts the pools that do not run yet.
fn start_pools(
    context: &PoolContext,
    site: &Site,
    prepared: Vec<PreparedPool>,
) -> Result<NewPools, Vec<Problem>> {
    let mut new = NewPools::default();
    for (pool, prepared) in site.pools.iter().zip(prepared) {
        match prepared {
            PreparedPool::Running(running, files) => {
                new.kept.push(KeptPool { running: running.clone(), files });
                new.pools.push(running);
            }
            PreparedPool::New(files) => {
                let started = context.start(site, pool, ServerSource::Files(files));
                let name = context.path.display().to_string();
                new.pools.push(Rc::new(
                    started.map_err(|error| vec![Problem::of_file(&name, error.to_string())])?,
                ));
            }
        }
    }
    Ok(new)
}

/// Stops the mirrors that are removed or replaced, and starts the new ones.
fn replace_mirrors(
    old: &Routing,
    site: &Site,
    pools: &[Rc<RunningPool>],
    mirrors: Vec<Option<PreparedMirror>>,
) {
    let mut ending = Vec::new();
    for pool in &old.pools {
        let stays = site.shadows.iter().zip(&mirrors).any(|(shadow, ready)| {
            ready.is_none() && site.pools[shadow.live_pool].name == pool.name
        });
        let ends = pool.mirror.borrow_mut().take_if(|_| !stays);
        ending.extend(ends.map(|mirror| mirror.stop()));
    }
    for (shadow, ready) in site.shadows.iter().zip(mirrors) {
        let Some(ready) = ready else { continue };
        let names = || shadow.pools().map(|pool| pool.name.as_str());
        let before = ending.iter().filter(|e| e.copied_to_any_of(names())).cloned().collect();
        *pools[shadow.live_pool].mirror.borrow_mut() = Some(Rc::new(ready.start(before)));
    }
}

fn summarize(number: u64, site: &Site, removed: &[Rc<RunningPool>]) -> String {
    format!(
        "configuration {number} ({}) in force: {} routes, {} pools{}{}",
        site.hash,
        site.routes.len(),
        site.pools.len(),
        list_names(", without ", removed.iter().map(|p| p.name.as_str())),
        list_names(", shadows ", site.shadows.iter().map(|s| s.name.as_str())),
    )
}

fn list_names<'n>(before: &str, names: impl Iterator<Item = &'n str>) -> String {
    let names: Vec<_> = names.collect();
    if names.is_empty() { String::new() } else { format!("{before}{}", names.join(", ")) }
}
