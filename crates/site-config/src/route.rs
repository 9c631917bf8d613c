//! Routes: which requests go to which pool.

use sableloom_routes::Rule;
use sableloom_toml_diagnostics::Table;

use crate::class::Class;
use crate::conditions::{read_conditions, read_rejection};
use crate::fields::{index_of, new_name};
use crate::location::SourceLocation;
use crate::pool::Pool;

/// Status of a request that no route takes, where no fallback is set: not found (RFC 9110, section 15.5.5).
const DEFAULT_REJECTION: u16 = 404;

/// Where a route leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// To a pool, by index.
    Pool(usize),
    /// Nowhere: rejected with this status of HTTP.
    Reject(u16),
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for people.
    pub name: String,
    /// Its conditions on a request.
    pub rule: Rule,
    /// Where it leads.
    pub target: Target,
    /// Where it is written.
    pub location: SourceLocation,
}

/// What routes may name.
pub(crate) struct Targets<'s> {
    pub(crate) classes: &'s [Class],
    pub(crate) pools: &'s [Pool],
    /// Names of pools that get copies of requests, and no requests by a route.
    pub(crate) shadow_pools: &'s [String],
}

/// The sections `[[route]]`.
pub(crate) fn read_routes(root: &Table<'_>, targets: &Targets<'_>) -> Vec<Route> {
    let mut routes = Vec::new();
    let mut names: Vec<String> = Vec::new();
    for table in root.tables("route") {
        let name = new_name(&table, names.iter().map(String::as_str));
        names.extend(name.clone());
        let known = targets.classes.iter().map(|class| class.name.as_str());
        let classes = table
            .strings("class")
            .into_iter()
            .filter_map(|class| index_of(&table, &class, known.clone(), "class"))
            .collect();
        let rule = Rule { classes, ..read_conditions(&table) };
        let target = read_target(&table, targets);
        table.finish();
        if let (Some(name), Some(target)) = (name, target) {
            routes.push(Route { name, rule, target, location: SourceLocation::of(&table) });
        }
    }
    routes
}

/// The section `[otherwise]`: the target of requests that no route takes.
pub(crate) fn read_fallback(root: &Table<'_>, targets: &Targets<'_>) -> Option<Target> {
    let Some(table) = root.table("otherwise") else {
        return Some(Target::Reject(DEFAULT_REJECTION));
    };
    let target = read_target(&table, targets);
    table.finish();
    target
}

fn read_target(table: &Table<'_>, targets: &Targets<'_>) -> Option<Target> {
    let (pool, rejection) = (table.string("pool"), read_rejection(table));
    match (pool, rejection) {
        (Some(_), Some(rejection)) => {
            table.report(&rejection, "a route has a pool or a refusal, not both", None);
            None
        }
        (Some(pool), None) if targets.shadow_pools.contains(&pool.value) => {
            let message = format!("pool {:?} gets copies of a shadow, and no requests", pool.value);
            table.report(&pool, message, None);
            None
        }
        (Some(pool), None) => {
            let known = targets.pools.iter().map(|pool| pool.name.as_str());
            index_of(table, &pool, known, "pool").map(Target::Pool)
        }
        (None, Some(rejection)) => Some(Target::Reject(rejection.value)),
        (None, None) => {
            if !table.has("pool") && !table.has("refuse") {
                table.report_missing("pool", "a pool, or refuse = \"not-found\"");
            }
            None
        }
    }
}
