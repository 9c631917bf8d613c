//! Which changes of a configuration need a restart.

use sableloom_toml_diagnostics::Problem;

use crate::control::Control;
use crate::fleet::Fleet;
use crate::location::SourceLocation;
use crate::pool::Pool;
use crate::pool_settings::UpstreamSettings;
use crate::site::Site;

/// The parts of a new configuration that a running balancer cannot take over.
///
/// Routes, pools that are added or removed, and what concerns a pool's files can change while it runs. The settings
/// of the policy of a pool cannot: a new policy would not know the requests that are in flight at
/// each server, and would forward as many on top.
pub fn changes_requiring_restart(file: &str, old: &Site, new: &Site) -> Vec<Problem> {
    let mut changes = Changes { file, problems: Vec::new() };
    let whole_file = SourceLocation::default();
    changes.add_if(old.limits != new.limits, &whole_file, "limits");
    changes.add_if(old.locality != new.locality, &whole_file, "locality");
    changes.add_fleet(old.fleet.as_ref(), new.fleet.as_ref());
    changes.add_control(old.control.as_ref(), new.control.as_ref());
    changes.add_first("listener", &old.listeners, &new.listeners, |l| &l.location);
    changes.add_first("class", &old.classes, &new.classes, |c| &c.location);
    for (i, pool) in new.pools.iter().enumerate() {
        if let Some(before) = old.pools.iter().find(|other| other.name == pool.name) {
            changes.add_pool(i, before, pool);
        }
    }
    changes.problems
}

/// The changes found so far.
struct Changes<'f> {
    file: &'f str,
    problems: Vec<Problem>,
}

impl Changes<'_> {
    fn add(&mut self, location: &SourceLocation, field: String) {
        self.problems.push(Problem {
            file: self.file.to_string(),
            span: location.span.clone(),
            line: location.line.max(1),
            column: 1,
            field,
            message: "it can't change without a restart".to_string(),
            help: None,
        });
    }

    fn add_if(&mut self, changed: bool, location: &SourceLocation, field: &str) {
        if changed {
            self.add(location, field.to_string());
        }
    }

    /// Members may be added and removed. The balancer's own name and address and the timing of all members may not
    /// change: its address is bound for as long as it runs, and other members know it by that.
    fn add_fleet(&mut self, old: Option<&Fleet>, new: Option<&Fleet>) {
        let fixed = |fleet: &Fleet| {
            let others = Fleet { members: Vec::new(), members_file: None, ..fleet.clone() };
            (fleet.address(), others)
        };
        let location = new.map(|fleet| fleet.location.clone()).unwrap_or_default();
        self.add_if(old.map(fixed) != new.map(fixed), &location, "fleet");
    }

    /// The services may change. The subscriber's name and the control machines may not.
    fn add_control(&mut self, old: Option<&Control>, new: Option<&Control>) {
        let fixed = |control: &Control| Control { services: Vec::new(), ..control.clone() };
        let location = new.map(|control| control.location.clone()).unwrap_or_default();
        self.add_if(old.map(fixed) != new.map(fixed), &location, "control");
    }

    /// Adds the first item of a list that differs.
    fn add_first<T: PartialEq>(
        &mut self,
        field: &str,
        old: &[T],
        new: &[T],
        location: impl Fn(&T) -> &SourceLocation,
    ) {
        let changed = |i: &usize| new.get(*i) != old.get(*i);
        if let Some(i) = (0..old.len().max(new.len())).find(changed) {
            // An item that was removed has no location: the list begins at its first one.
            let nearest = new.get(i).or(new.first());
            let location = nearest.map(|item| location(item).clone()).unwrap_or_default();
            self.add(&location, format!("{field}[{i}]"));
        }
    }

    fn add_pool(&mut self, index: usize, old: &Pool, new: &Pool) {
        // Every field is named here, so that a new one is not forgotten.
        let Pool {
            name: _,
            protocol,
            t_qos_ms,
            upstream,
            files: _,
            max_removed_share: _,
            drain_ms: _,
            reread_interval_ms: _,
            location,
        } = new;
        let UpstreamSettings {
            connect_timeout_ms,
            keepalive_ms,
            max_open,
            max_attempts,
            retry_after_ms,
            load_reports,
            slow_start,
        } = upstream;
        let before = &old.upstream;
        for (key, changed) in [
            ("protocol", *protocol != old.protocol),
            ("t_qos_ms", *t_qos_ms != old.t_qos_ms),
            ("connect_timeout_ms", *connect_timeout_ms != before.connect_timeout_ms),
            ("keepalive_ms", *keepalive_ms != before.keepalive_ms),
            ("max_open", *max_open != before.max_open),
            ("max_attempts", *max_attempts != before.max_attempts),
            ("retry_after_ms", *retry_after_ms != before.retry_after_ms),
            ("reports", *load_reports != before.load_reports),
            ("cold", *slow_start != before.slow_start),
        ] {
            self.add_if(changed, location, &format!("pool[{index}].{key}"));
        }
    }
}
