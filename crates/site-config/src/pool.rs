//! Pools of servers.

use sableloom_toml_diagnostics::{Located, Table};

use crate::class::ClassDefaults;
use crate::fields::{DAY_MS, new_name, report_empty_file_name};
use crate::location::SourceLocation;
use crate::pool_settings::{PoolSettings, UpstreamSettings};
use crate::protocol::Protocol;

/// Largest share of a pool's servers that one change takes out where nothing is set.
const DEFAULT_MAX_REMOVED_SHARE: f64 = 0.5;
/// How often servers' files are read again without a notification where nothing is set, in milliseconds.
const DEFAULT_REREAD_INTERVAL_MS: f64 = 5000.0;
/// Shortest interval at which servers' files are read again, in milliseconds.
const MIN_REREAD_INTERVAL_MS: f64 = 10.0;

/// A pool of servers; times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Protocol of its servers.
    pub protocol: Protocol,
    /// The time within which its requests are to be answered: T_QoS.
    pub t_qos_ms: f64,
    /// How requests are forwarded to its servers.
    pub upstream: UpstreamSettings,
    /// Servers' files, as written.
    pub files: Vec<String>,
    /// The largest share of its servers that one change takes out unless it says so.
    pub max_removed_share: f64,
    /// How long a server that its lists leave out drains.
    pub drain_ms: f64,
    /// How often the files are read again without a notification of a change.
    pub reread_interval_ms: f64,
    /// Where it is written.
    pub location: SourceLocation,
}

impl Pool {
    /// The pool of this name that the settings make, without servers' files.
    pub fn new(name: &str, settings: PoolSettings, defaults: &ClassDefaults) -> Self {
        let PoolSettings { protocol, t_qos_ms, upstream, drain_ms } = settings;
        Self {
            name: name.to_string(),
            protocol,
            t_qos_ms: t_qos_ms.unwrap_or(defaults.mean_latency_objective_ms),
            upstream,
            files: Vec::new(),
            max_removed_share: 1.0,
            drain_ms: drain_ms.unwrap_or(defaults.longest_deadline_ms),
            reread_interval_ms: 0.0,
            location: SourceLocation::default(),
        }
    }
}

/// The sections `[[pool]]`.
pub(crate) fn read_pools(root: &Table<'_>, defaults: &ClassDefaults) -> Vec<Pool> {
    let mut pools: Vec<Pool> = Vec::new();
    let tables = root.tables("pool");
    for table in &tables {
        let name = new_name(table, pools.iter().map(|pool| pool.name.as_str()));
        let pool = read_pool(table, name, defaults);
        pools.extend(pool);
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

fn read_pool(table: &Table<'_>, name: Option<String>, defaults: &ClassDefaults) -> Option<Pool> {
    let files = read_files(table);
    let max_removed_share = table.number("out_at_most", 0.0..=1.0, " of the servers");
    let reread_interval = table.number("reread_ms", MIN_REREAD_INTERVAL_MS..=DAY_MS, " ms");
    let settings = PoolSettings::read(table);
    table.finish();
    Some(Pool {
        files,
        max_removed_share: max_removed_share.map_or(DEFAULT_MAX_REMOVED_SHARE, |share| share.value),
        reread_interval_ms: reread_interval.map_or(DEFAULT_REREAD_INTERVAL_MS, |time| time.value),
        location: SourceLocation::of(table),
        ..Pool::new(&name?, settings, defaults)
    })
}

fn read_files(table: &Table<'_>) -> Vec<String> {
    let files = table.strings("files");
    for (i, file) in files.iter().enumerate() {
        if !report_empty_file_name(table, file) && files[..i].iter().any(|f| f.value == file.value)
        {
            table.report(file, format!("{:?} is named twice", file.value), None);
        }
    }
    if files.is_empty() {
        let location = table.location();
        let field = Located { field: format!("{}.files", location.field), ..location };
        table.report(&field, "expected at least one file of servers", None);
    }
    files.into_iter().map(|file| file.value).collect()
}
