//! Reads a site: each section by its own module, then what no single field shows.

use sableloom_toml_diagnostics::{self as toml_diagnostics, Problem, Table, suggestion};
use sha2::{Digest, Sha256};

use crate::class::{ClassDefaults, read_classes};
use crate::control::read_control;
use crate::fleet::read_fleet;
use crate::location::SourceLocation;
use crate::pool::read_pools;
use crate::protocol::read_protocol;
use crate::route::{Targets, read_fallback, read_routes};
use crate::shadow::{ShadowSections, read_shadows};
use crate::site::{Limits, Listener, Locality, Site};
use crate::tenants::read_tenants;

/// Number of bytes of the digest that a site's hash shows.
const HASH_BYTES: usize = 6;
/// What a process may use where nothing is set.
const DEFAULT_LIMITS: Limits = Limits { sockets: 1024, memory_mb: 256 };

/// Reads a site's text; `file` is what problems call it.
///
/// # Errors
///
/// Everything that is wrong with it.
pub fn read(file: &str, text: &[u8]) -> Result<Site, Vec<Problem>> {
    let mut site = toml_diagnostics::read(file, text, read_site)?;
    let digest = Sha256::digest(text);
    site.hash = digest[..HASH_BYTES].iter().map(|b| format!("{b:02x}")).collect();
    Ok(site)
}

fn read_site(root: &Table<'_>) -> Option<Site> {
    let limits = read_limits(root.table("limits"));
    let locality = read_locality(root.table("locality"));
    let fleet = read_fleet(root.table("fleet"));
    let control = read_control(root.table("control"));
    let tenants = read_tenants(root);
    let listeners = read_listeners(root);
    let classes = read_classes(root);
    let pools = read_pools(root, &ClassDefaults::of(&classes));
    // Before the routes: they cannot lead to a pool of a shadow.
    let ShadowSections { shadows, serving_pools, shadow_pools } =
        read_shadows(root, &classes, pools);
    let targets = Targets { classes: &classes, pools: &serving_pools, shadow_pools: &shadow_pools };
    let routes = read_routes(root, &targets);
    let fallback = read_fallback(root, &targets);
    Some(Site {
        limits,
        locality,
        fleet,
        control,
        tenants,
        listeners,
        classes,
        pools: serving_pools,
        shadows,
        routes,
        fallback: fallback?,
        hash: String::new(),
    })
}

fn read_limits(table: Option<Table<'_>>) -> Limits {
    let Some(table) = table else { return DEFAULT_LIMITS };
    let sockets = table.integer("sockets", 64..=1_000_000, " descriptors");
    let memory = table.integer("memory_mb", 24..=1_000_000, " MB");
    table.finish();
    Limits {
        sockets: sockets.map_or(DEFAULT_LIMITS.sockets, |sockets| sockets.value),
        memory_mb: memory.map_or(DEFAULT_LIMITS.memory_mb, |memory| memory.value),
    }
}

fn read_locality(table: Option<Table<'_>>) -> Locality {
    let mut locality = Locality { zones: Vec::new(), zone: 0, cross_zone_cost: 0.0, balancers: 1 };
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
    if let Some(cost) = table.number("crossing", 0.0..=1.0, " of an answer's worth") {
        locality.cross_zone_cost = cost.value;
    }
    if let Some(balancers) = table.integer("balancers", 1..=10_000, "") {
        locality.balancers = balancers.value as u32;
    }
    table.finish();
    locality
}

fn read_listeners(root: &Table<'_>) -> Vec<Listener> {
    let mut listeners: Vec<Listener> = Vec::new();
    let tables = root.tables("listener");
    for table in &tables {
        let protocol = read_protocol(table);
        if let Some(address) = table.required_address("address") {
            // Port 0 stands for any free port, so that two listeners may have it.
            let taken =
                |other: &Listener| other.address == address.value && address.value.port() != 0;
            if listeners.iter().any(taken) {
                let message = format!("{} is another listener's", address.value);
                table.report(&address, message, None);
            }
            let location = SourceLocation::of(table);
            listeners.push(Listener { address: address.value, protocol, location });
        }
        table.finish();
    }
    if tables.is_empty() && !root.has("listener") {
        root.report_missing("listener", "at least one [[listener]] with an address");
    }
    listeners
}
