//! Reads the shadows, and takes the pools that get copies out of the list of pools.

use sableloom_toml_diagnostics::{Located, Table};

use super::Shadow;
use super::settings::{Settings, read_settings};
use crate::class::Class;
use crate::fields::{index_of, new_name};
use crate::location::SourceLocation;
use crate::pool::Pool;

/// What the shadows of a site make of its pools.
pub(crate) struct ShadowSections {
    /// The shadows, in their order.
    pub(crate) shadows: Vec<Shadow>,
    /// The pools that get no copies, in their order.
    pub(crate) serving_pools: Vec<Pool>,
    /// Names of the pools that get copies.
    pub(crate) shadow_pools: Vec<String>,
}

/// A shadow whose pools are still indices of the list of all pools.
struct Draft {
    /// Its name and its live pool, if both are valid.
    name_and_live: Option<(String, usize)>,
    candidate: Option<usize>,
    control_group: Option<usize>,
    settings: Settings,
    location: SourceLocation,
}

/// The sections `[[shadow]]`.
pub(crate) fn read_shadows(
    root: &Table<'_>,
    classes: &[Class],
    pools: Vec<Pool>,
) -> ShadowSections {
    let drafts = read_drafts(root, classes, &pools);
    let mut separated = SeparatedPools::new(pools, &drafts);
    let shadow_pools = separated.copy_pools.iter().flatten().map(|p| p.name.clone()).collect();
    let mut shadows: Vec<Shadow> = Vec::new();
    for draft in drafts {
        let shadow = complete(root, draft, &mut separated, &shadows);
        shadows.extend(shadow);
    }
    ShadowSections { shadows, serving_pools: separated.serving, shadow_pools }
}

fn read_drafts(root: &Table<'_>, classes: &[Class], pools: &[Pool]) -> Vec<Draft> {
    let mut drafts = Vec::new();
    let mut names: Vec<String> = Vec::new();
    let mut roles = PoolRoles { pools, taken: Vec::new() };
    for table in root.tables("shadow") {
        let name = new_name(&table, names.iter().map(String::as_str));
        if name.as_ref().is_some_and(|name| name.contains('/')) {
            let message = "its name is part of a file's, and has no \"/\"";
            table.report(&table.location(), message, None);
        }
        names.extend(name.clone());
        let expected = "a pool's name";
        let live = table.required_string("of", expected).and_then(|n| roles.take(&table, n));
        let candidate = table.required_string("to", expected).and_then(|n| roles.take(&table, n));
        let control_group = table.string("control").and_then(|n| roles.take(&table, n));
        let settings = read_settings(&table, classes);
        table.finish();
        drafts.push(Draft {
            name_and_live: name.zip(live),
            candidate,
            control_group,
            settings,
            location: SourceLocation::of(&table),
        });
    }
    drafts
}

/// Which pools have a role in a shadow already.
///
/// A pool has one role in one shadow: clients use the live one, and a candidate of two shadows would be judged by the
/// load of both.
struct PoolRoles<'p> {
    pools: &'p [Pool],
    /// Indices of pools, and the field that names each.
    taken: Vec<(usize, String)>,
}

impl PoolRoles<'_> {
    fn take(&mut self, table: &Table<'_>, name: Located<String>) -> Option<usize> {
        let known = self.pools.iter().map(|pool| pool.name.as_str());
        let index = index_of(table, &name, known, "pool")?;
        if let Some((_, role)) = self.taken.iter().find(|(pool, _)| *pool == index) {
            let message = format!("pool {:?} is {role} already", name.value);
            table.report(&name, message, None);
            return None;
        }
        self.taken.push((index, format!("`{}`", name.field)));
        Some(index)
    }
}

/// The pools of a site, those that get copies apart from the others.
struct SeparatedPools {
    serving: Vec<Pool>,
    /// By the index in the list of all pools; none if it serves or is taken.
    copy_pools: Vec<Option<Pool>>,
    /// Index in `serving`, by the index in the list of all pools.
    serving_index: Vec<usize>,
}

impl SeparatedPools {
    fn new(pools: Vec<Pool>, drafts: &[Draft]) -> Self {
        let gets_copies =
            |i: usize| drafts.iter().any(|d| [d.candidate, d.control_group].contains(&Some(i)));
        let mut separated =
            Self { serving: Vec::new(), copy_pools: Vec::new(), serving_index: Vec::new() };
        for (i, pool) in pools.into_iter().enumerate() {
            separated.serving_index.push(separated.serving.len());
            if gets_copies(i) {
                separated.copy_pools.push(Some(pool));
            } else {
                separated.serving.push(pool);
                separated.copy_pools.push(None);
            }
        }
        separated
    }

    fn take(&mut self, index: Option<usize>) -> Option<Pool> {
        self.copy_pools[index?].take()
    }
}

/// Gives a shadow its pools, and checks what no field of it shows alone.
fn complete(
    root: &Table<'_>,
    draft: Draft,
    pools: &mut SeparatedPools,
    others: &[Shadow],
) -> Option<Shadow> {
    let Draft { name_and_live, candidate, control_group, settings, location } = draft;
    let (candidate, control_group) = (pools.take(candidate), pools.take(control_group));
    let (name, live) = name_and_live?;
    let candidate = candidate?;
    let timeout_ms = timeout_ms(root, &settings, &candidate, control_group.as_ref());
    let record_file = settings.record_file.unwrap_or(format!("shadow-{name}.json"));
    if others.iter().any(|other| other.record_file == record_file) {
        let field = format!("shadow[{}].record", others.len());
        let record = Located { value: (), span: location.span.clone(), field };
        root.report(&record, format!("{record_file:?} is another shadow's"), None);
    }
    Some(Shadow {
        name,
        live_pool: pools.serving_index[live],
        candidate,
        control_group,
        limits: settings.limits,
        rules: settings.rules,
        timeout_ms,
        settle_ms: settings.settle_ms,
        dropped_headers: settings.dropped_headers,
        records_values: settings.records_values,
        record_file,
        record_interval_ms: settings.record_interval_ms,
        location,
    })
}

/// The timeout of copies; one that is too short is reported.
///
/// The policy rejects a request that can't be served in the time that is left, which it estimates by the
/// latency objective and T_QoS until it has measured servers. Failure: with less time than a latency objective, it
/// rejected every copy, and the candidate never got one.
fn timeout_ms(
    root: &Table<'_>,
    settings: &Settings,
    candidate: &Pool,
    control_group: Option<&Pool>,
) -> f64 {
    let t_qos = std::iter::once(candidate).chain(control_group).map(|pool| pool.t_qos_ms);
    let min = t_qos.fold(settings.longest_objective_ms, f64::max);
    let Some(timeout) = &settings.timeout_ms else {
        return settings.longest_deadline_ms.max(min);
    };
    if timeout.value < min {
        let message = format!(
            "{} ms is under {min} ms, the longest aim of its classes and T_QoS of its pools",
            timeout.value
        );
        root.report(timeout, message, None);
    }
    timeout.value
}
