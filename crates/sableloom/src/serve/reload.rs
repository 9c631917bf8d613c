//! A site's configuration that is read again while it runs.

use std::rc::Rc;

use sableloom_server_files::{PreparedFiles, ServerFiles};
use sableloom_site_config::Shadow;
use sableloom_toml_diagnostics::Problem;

use super::pools::{PoolContext, RunningPool, ServerSource};
use super::routing::{Router, Routing};
use crate::site_file::{files, load};

impl PoolContext {
    /// Takes a new configuration over, whole or not at all.
    pub(super) async fn reload(&self, router: &Router) -> Result<String, Vec<Problem>> {
        let name = self.path.display().to_string();
        let (site, table) = load(&self.path)?;
        let old = router.routing.borrow().clone();
        let fixed = sableloom_site_config::changes_requiring_restart(&name, &old.site, &site);
        if !fixed.is_empty() {
            return Err(fixed);
        }
        if let Some(control) = &site.control
            && let Err(message) = self.room_for(control.services.len())
        {
            return Err(vec![Problem {
                line: control.location.line,
                ..Problem::of_file(&name, message)
            }]);
        }
        enum Next {
            Kept(Rc<RunningPool>, Box<PreparedFiles>),
            New(Rc<ServerFiles>),
        }
        let (mut next, mut problems) = (Vec::new(), Vec::new());
        for pool in &site.pools {
            let files = files(&self.path, &site, pool);
            let running = old.pools.iter().find(|running| running.name == pool.name);
            let held = running.and_then(|running| Some((running, running.files()?)));
            let ready = match held {
                Some((running, held)) => held
                    .prepare(files)
                    .await
                    .map(|prepared| Next::Kept(running.clone(), Box::new(prepared))),
                None => ServerFiles::open(files, self.clock).await.map(Next::New),
            };
            match ready {
                Ok(ready) => next.push(ready),
                Err(wrong) => problems.extend(wrong),
            }
        }
        // Shadows that are as they were go on; all others begin anew.
        let mut shadows = Vec::new();
        for shadow in &site.shadows {
            let live = &site.pools[shadow.live_pool].name;
            let same = old.site.shadows.iter().any(|before| {
                old.site.pools[before.live_pool].name == *live
                    && Shadow { live_pool: shadow.live_pool, ..before.clone() } == *shadow
            });
            if same {
                shadows.push(None);
                continue;
            }
            match self.shadow(&site, shadow).await {
                Ok(ready) => shadows.push(Some(ready)),
                Err(wrong) => problems.extend(wrong),
            }
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        // Nothing below can fail but for settings that the check has let pass.
        let mut pools = Vec::new();
        let mut kept = Vec::new();
        for (pool, next) in site.pools.iter().zip(next) {
            match next {
                Next::Kept(running, prepared) => {
                    kept.push((running.clone(), prepared));
                    pools.push(running);
                }
                Next::New(files) => {
                    let started = self.start(&site, pool, ServerSource::Files(files));
                    pools.push(Rc::new(started.map_err(|e| vec![Problem::of_file(&name, e)])?));
                }
            }
        }
        for (running, prepared) in kept {
            if let Some(files) = running.files() {
                files.commit(*prepared);
            }
        }
        let gone: Vec<_> =
            old.pools.iter().filter(|p| !pools.iter().any(|q| Rc::ptr_eq(p, q))).cloned().collect();
        gone.iter().filter_map(|pool| pool.files()).for_each(|files| files.stop());
        // Those that go, and those that have another in their place.
        let mut ending = Vec::new();
        for pool in &old.pools {
            let stays = site.shadows.iter().zip(&shadows).any(|(shadow, ready)| {
                ready.is_none() && site.pools[shadow.live_pool].name == pool.name
            });
            let ends = pool.mirror.borrow_mut().take_if(|_| !stays);
            ending.extend(ends.map(|mirror| mirror.stop()));
        }
        for (shadow, ready) in site.shadows.iter().zip(shadows) {
            let Some(ready) = ready else { continue };
            let names = || shadow.pools().map(|pool| pool.name.as_str());
            let before = ending.iter().filter(|e| e.copied_to_any_of(names())).cloned().collect();
            *pools[shadow.live_pool].mirror.borrow_mut() = Some(Rc::new(ready.start(before)));
        }
        let what = format!(
            "configuration {} ({}) in force: {} routes, {} pools{}{}",
            old.number + 1,
            site.hash,
            site.routes.len(),
            pools.len(),
            named(", without ", gone.iter().map(|p| p.name.as_str())),
            named(", shadows ", site.shadows.iter().map(|s| s.name.as_str())),
        );
        router.ending.borrow_mut().extend(gone);
        *router.routing.borrow_mut() =
            Rc::new(Routing { number: old.number + 1, site, table, pools });
        Ok(what)
    }
}

fn named<'n>(before: &str, names: impl Iterator<Item = &'n str>) -> String {
    let names: Vec<_> = names.collect();
    if names.is_empty() { String::new() } else { format!("{before}{}", names.join(", ")) }
}
