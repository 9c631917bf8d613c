//! Reads a site, and judges what no single field shows.

use sableloom_routes::Rule;
use sableloom_toml_diagnostics::{self as toml_diagnostics, Located, Problem, Table, suggestion};
use sableloom_types::Idempotency;
use sha2::{Digest, Sha256};

use crate::conditions::{methods, read_conditions, read_refusal};
use crate::field::{HOUR_MS, Named, index, new_name, place};
use crate::pool_settings::{ClassDefaults, PoolSettings, protocol};
use crate::{Class, Limits, Listener, Locality, Pool, Route, Site, Target};

/// Reads a site's text; `file` is what problems call it.
pub fn read(file: &str, text: &[u8]) -> Result<Site, Vec<Problem>> {
    let starts = line_starts(text);
    let mut site = toml_diagnostics::read(file, text, |root| site(root, &starts))?;
    let digest = Sha256::digest(text);
    site.hash = digest[..6].iter().map(|b| format!("{b:02x}")).collect();
    Ok(site)
}

fn line_starts(bytes: &[u8]) -> Vec<usize> {
    let breaks = bytes.iter().enumerate().filter(|(_, b)| **b == b'\n').map(|(i, _)| i + 1);
    std::iter::once(0).chain(breaks).collect()
}

fn site(root: &Table<'_>, starts: &[usize]) -> Option<Site> {
    let limits = limits(root.table("limits"));
    let locality = locality(root.table("locality"));
    let fleet = crate::fleet::fleet(root.table("fleet"), starts);
    let control = crate::control::control(root.table("control"), starts);
    let tenants = crate::tenants::tenants(root, starts);
    let listeners = listeners(root, starts);
    let classes = classes(root, starts);
    let mut pools = pools(root, starts, &classes);
    // Before the routes: a pool of a shadow is none that they can lead to.
    let (shadows, side) = crate::shadow::shadows(root, starts, &classes, &mut pools);
    let routes = routes(root, starts, &classes, &pools, &side);
    let otherwise = match root.table("otherwise") {
        None => Some(Target::Refuse(404)),
        Some(table) => {
            let target = target(&table, &pools, &side);
            table.finish();
            target
        }
    };
    Some(Site {
        limits,
        locality,
        fleet,
        control,
        tenants,
        listeners,
        classes: classes.into_iter().map(|(_, class)| class).collect(),
        pools: pools.into_iter().map(|(_, pool)| pool).collect(),
        shadows,
        routes,
        otherwise: otherwise?,
        hash: String::new(),
    })
}

fn limits(table: Option<Table<'_>>) -> Limits {
    let mut limits = Limits { sockets: 1024, memory_mb: 256 };
    if let Some(table) = table {
        if let Some(n) = table.integer("sockets", 64..=1_000_000, " descriptors") {
            limits.sockets = n.value;
        }
        if let Some(n) = table.integer("memory_mb", 24..=1_000_000, " MB") {
            limits.memory_mb = n.value;
        }
        table.finish();
    }
    limits
}

fn locality(table: Option<Table<'_>>) -> Locality {
    let mut locality = Locality { zones: Vec::new(), zone: 0, crossing: 0.0, balancers: 1 };
    let Some(table) = table else { return locality };
    for zone in table.strings("zones") {
        if locality.zones.contains(&zone.value) {
            table.report(&zone, format!("{:?} is named twice", zone.value), None);
        }
        locality.zones.push(zone.value);
    }
    if let Some(zone) = table.string("zone") {
        match locality.zones.iter().position(|name| *name == zone.value) {
            Some(i) => locality.zone = i as u32,
            None => {
                let help = suggestion(&zone.value, locality.zones.iter().map(String::as_str));
                table.report(&zone, format!("no zone {:?}", zone.value), Some(help));
            }
        }
    } else if !locality.zones.is_empty() {
        table.report_missing("zone", "which of the zones this balancer is in");
    }
    if let Some(price) = table.number("crossing", 0.0..=1.0, " of an answer's worth") {
        locality.crossing = price.value;
    }
    if let Some(n) = table.integer("balancers", 1..=10_000, "") {
        locality.balancers = n.value as u32;
    }
    table.finish();
    locality
}

fn listeners(root: &Table<'_>, starts: &[usize]) -> Vec<Listener> {
    let mut listeners: Vec<Listener> = Vec::new();
    let tables = root.tables("listener");
    for table in &tables {
        let protocol = protocol(table);
        if let Some(address) = table.required_address("address") {
            let taken = |l: &Listener| l.address == address.value && address.value.port() != 0;
            if listeners.iter().any(taken) {
                table.report(&address, format!("{} is another listener's", address.value), None);
            }
            let place = place(table, starts);
            listeners.push(Listener { address: address.value, protocol, place });
        }
        table.finish();
    }
    if tables.is_empty() && !root.has("listener") {
        root.report_missing("listener", "at least one [[listener]] with an address");
    }
    listeners
}

fn classes(root: &Table<'_>, starts: &[usize]) -> Named<Class> {
    let mut classes: Named<Class> = Vec::new();
    let tables = root.tables("class");
    for table in &tables {
        let name = new_name(table, &classes);
        let latency_objective = table.required_number("aim_ms", 1.0..=HOUR_MS, " ms");
        let deadline = table.required_number("deadline_ms", 1.0..=HOUR_MS, " ms");
        if let (Some(latency_objective), Some(deadline)) = (&latency_objective, &deadline)
            && deadline.value < latency_objective.value
        {
            let message =
                format!("{} ms is under the aim of {} ms", deadline.value, latency_objective.value);
            table.report(deadline, message, None);
        }
        let words = [
            ("safe", Idempotency::Idempotent),
            ("keyed", Idempotency::Keyed),
            ("unsafe", Idempotency::NonIdempotent),
        ];
        let idempotency = table.choice("effect", &words);
        if idempotency.is_none() && !table.has("effect") {
            table.report_missing("effect", "\"safe\", \"keyed\" or \"unsafe\"");
        }
        let keyed = idempotency.as_ref().is_some_and(|e| e.value == Idempotency::Keyed);
        let window = table.number("window_ms", 1.0..=24.0 * HOUR_MS, " ms");
        match &window {
            None if keyed && !table.has("window_ms") => {
                table.report_missing("window_ms", "for how long servers drop repeats");
            }
            Some(window) if !keyed && idempotency.is_some() => {
                table.report(window, "only a keyed class has it", None);
            }
            _ => {}
        }
        let methods = methods(table);
        if methods.is_empty() && !table.has("methods") {
            table.report_missing("methods", "at least one method");
        }
        let priority_weight = table.number("worth", 0.001..=1000.0, "").map_or(1.0, |w| w.value);
        let late_priority_weight =
            table.number("late_worth", 0.0..=1.0, "").map_or(0.0, |w| w.value);
        table.finish();
        let (Some(name), Some(latency_objective), Some(deadline), Some(idempotency)) =
            (name, latency_objective, deadline, idempotency)
        else {
            continue;
        };
        let class = Class {
            name: name.clone(),
            aim_ms: latency_objective.value,
            deadline_ms: deadline.value,
            idempotency: idempotency.value,
            window_ms: window.map_or(0.0, |w| w.value),
            methods,
            priority_weight,
            late_priority_weight,
            place: place(table, starts),
        };
        classes.push((name, class));
    }
    if tables.is_empty() && !root.has("class") {
        root.report_missing("class", "at least one [[class]]");
    }
    classes
}

fn pools(root: &Table<'_>, starts: &[usize], classes: &Named<Class>) -> Named<Pool> {
    let defaults = ClassDefaults::of(classes.iter().map(|(_, class)| class));
    let mut pools: Named<Pool> = Vec::new();
    let tables = root.tables("pool");
    for table in &tables {
        let name = new_name(table, &pools);
        let files = table.strings("files");
        for (i, file) in files.iter().enumerate() {
            if file.value.is_empty() {
                table.report(file, "a file has a name", None);
            } else if files[..i].iter().any(|f| f.value == file.value) {
                table.report(file, format!("{:?} is named twice", file.value), None);
            }
        }
        if files.is_empty() {
            let found =
                Located { field: format!("{}.files", table.location().field), ..table.location() };
            table.report(&found, "expected at least one file of servers", None);
        }
        let out_at_most = table.number("out_at_most", 0.0..=1.0, " of the servers");
        let reread = table.number("reread_ms", 10.0..=24.0 * HOUR_MS, " ms");
        let settings = PoolSettings::read(table);
        table.finish();
        let Some(name) = name else { continue };
        let pool = Pool {
            files: files.into_iter().map(|f| f.value).collect(),
            out_at_most: out_at_most.map_or(0.5, |n| n.value),
            reread_ms: reread.map_or(5000.0, |n| n.value),
            place: place(table, starts),
            ..settings.into_pool(&name, &defaults)
        };
        pools.push((name, pool));
    }
    if root.has("control") {
        let message = "pools, and routes to them, come from control machines: not beside [control]";
        for table in tables.iter().chain(&root.tables("route")) {
            table.report(&table.location(), message, None);
        }
    } else if tables.is_empty() && !root.has("pool") {
        root.report_missing("pool", "at least one [[pool]]");
    }
    pools
}

fn routes(
    root: &Table<'_>,
    starts: &[usize],
    classes: &Named<Class>,
    pools: &Named<Pool>,
    side: &[String],
) -> Vec<Route> {
    let mut routes = Vec::new();
    let mut names: Named<()> = Vec::new();
    for table in root.tables("route") {
        let name = new_name(&table, &names);
        names.extend(name.clone().map(|name| (name, ())));
        let classes = table
            .strings("class")
            .into_iter()
            .filter_map(|class| index(&table, &class, classes, "class"))
            .collect();
        let rule = Rule { classes, ..read_conditions(&table) };
        let target = target(&table, pools, side);
        table.finish();
        if let (Some(name), Some(target)) = (name, target) {
            routes.push(Route { name, rule, target, place: place(&table, starts) });
        }
    }
    routes
}

/// `side` are pools that routes don't lead to.
fn target(table: &Table<'_>, pools: &Named<Pool>, side: &[String]) -> Option<Target> {
    let (pool, refuse) = (table.string("pool"), read_refusal(table));
    match (pool, refuse) {
        (Some(_), Some(refuse)) => {
            table.report(&refuse, "a route has a pool or a refusal, not both", None);
            None
        }
        (Some(pool), None) if side.contains(&pool.value) => {
            let message = format!("pool {:?} gets copies of a shadow, and no requests", pool.value);
            table.report(&pool, message, None);
            None
        }
        (Some(pool), None) => index(table, &pool, pools, "pool").map(Target::Pool),
        (None, Some(refuse)) => Some(Target::Refuse(refuse.value)),
        (None, None) => {
            if !table.has("pool") && !table.has("refuse") {
                table.report_missing("pool", "a pool, or refuse = \"not-found\"");
            }
            None
        }
    }
}
