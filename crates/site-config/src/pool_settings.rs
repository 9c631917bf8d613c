//! Settings of a pool that do not depend on where its servers come from.

use sableloom_toml_diagnostics::{Table, suggestion};
use sableloom_types::settings::LoadReportSource;
use serde::{Deserialize, Serialize};

use crate::field::HOUR_MS;
use crate::{Class, ColdStart, Place, Pool, Protocol};

/// Values of load reports that the decision module knows.
const REPORTS: [&str; 4] = ["inflight", "queue", "util", "latency_ms"];

/// What a pool takes from the classes of a site where it says nothing itself; times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassDefaults {
    mean_aim_ms: f64,
    longest_deadline_ms: f64,
}

impl ClassDefaults {
    /// The defaults that these classes give.
    pub fn of<'c>(classes: impl IntoIterator<Item = &'c Class>) -> Self {
        let (mut aims, mut count, mut longest_deadline_ms) = (0.0, 0usize, 1000.0f64);
        for class in classes {
            aims += class.aim_ms;
            count += 1;
            longest_deadline_ms = longest_deadline_ms.max(class.deadline_ms);
        }
        Self { mean_aim_ms: aims / count.max(1) as f64, longest_deadline_ms }
    }
}

/// A pool's settings without its name and the source of its servers; times in milliseconds. See
/// [`Pool`] for each field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolSettings {
    /// What its servers speak.
    pub protocol: Protocol,
    /// T_QoS; the mean latency objective of the site's classes if none is set.
    pub t_qos_ms: Option<f64>,
    /// A connection that is not up by then has failed.
    pub connect_timeout_ms: f64,
    /// When its servers close idle connections.
    pub keepalive_ms: f64,
    /// Most requests open at once.
    pub max_open: usize,
    /// Most attempts of a request.
    pub max_attempts: usize,
    /// The longest that a refused client is asked to stay away; 0 to say nothing.
    pub retry_after_ms: f64,
    /// Load reports: where they come, and the values they carry.
    pub reports: (LoadReportSource, Vec<String>),
    /// Cold starts.
    pub cold: ColdStart,
    /// How long a removed server drains; the longest deadline of the site's classes if none is set.
    pub drain_ms: Option<f64>,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            protocol: Protocol::Http1,
            t_qos_ms: None,
            connect_timeout_ms: 250.0,
            keepalive_ms: 15_000.0,
            max_open: 1000,
            max_attempts: 4,
            retry_after_ms: 1000.0,
            reports: (LoadReportSource::Silent, Vec::new()),
            cold: ColdStart { from: 0.2, time_ms: 30_000.0, multiple: 2.0, window_ms: 1500.0 },
            drain_ms: None,
        }
    }
}

impl PoolSettings {
    /// Reads the settings from a table; it asks for no other field.
    pub fn read(table: &Table<'_>) -> Self {
        let optional_ms = |field: &'static str, least: f64| {
            table.number(field, least..=24.0 * HOUR_MS, " ms").map(|n| n.value)
        };
        let ms = |field: &'static str, least: f64, otherwise: f64| {
            optional_ms(field, least).unwrap_or(otherwise)
        };
        let whole = |field: &'static str, most: usize, otherwise: usize| {
            table.integer(field, 1..=most, "").map_or(otherwise, |n| n.value)
        };
        let default = Self::default();
        Self {
            protocol: protocol(table),
            t_qos_ms: optional_ms("t_qos_ms", 1.0),
            connect_timeout_ms: ms("connect_timeout_ms", 1.0, default.connect_timeout_ms),
            keepalive_ms: ms("keepalive_ms", 1.0, default.keepalive_ms),
            max_open: whole("max_open", 1_000_000, default.max_open),
            max_attempts: whole("max_attempts", 16, default.max_attempts),
            retry_after_ms: ms("retry_after_ms", 0.0, default.retry_after_ms),
            reports: reports(table.table("reports")),
            cold: cold(table.table("cold")),
            drain_ms: optional_ms("drain_ms", 0.0),
        }
    }

    /// The pool of this name that the settings make, with no files of servers.
    pub fn into_pool(self, name: &str, defaults: &ClassDefaults) -> Pool {
        Pool {
            name: name.to_string(),
            protocol: self.protocol,
            t_qos_ms: self.t_qos_ms.unwrap_or(defaults.mean_aim_ms),
            connect_timeout_ms: self.connect_timeout_ms,
            keepalive_ms: self.keepalive_ms,
            max_open: self.max_open,
            max_attempts: self.max_attempts,
            retry_after_ms: self.retry_after_ms,
            reports: self.reports,
            cold: self.cold,
            files: Vec::new(),
            out_at_most: 1.0,
            drain_ms: self.drain_ms.unwrap_or(defaults.longest_deadline_ms),
            reread_ms: 0.0,
            place: Place::default(),
        }
    }
}

pub(crate) fn protocol(table: &Table<'_>) -> Protocol {
    let words = [("http/1.1", Protocol::Http1)];
    table.choice("protocol", &words).map_or(Protocol::Http1, |p| p.value)
}

fn reports(table: Option<Table<'_>>) -> (LoadReportSource, Vec<String>) {
    let Some(table) = table else { return (LoadReportSource::Silent, Vec::new()) };
    let words = [
        ("none", LoadReportSource::Silent),
        ("answers", LoadReportSource::Piggyback),
        ("probes", LoadReportSource::Pull),
    ];
    let how = table.choice("how", &words).map_or(LoadReportSource::Silent, |how| how.value);
    let mut names = Vec::new();
    for name in table.strings("names") {
        if !REPORTS.contains(&name.value.as_str()) {
            let help = suggestion(&name.value, REPORTS);
            table.report(&name, format!("{:?} is no known value", name.value), Some(help));
        }
        names.push(name.value);
    }
    if how != LoadReportSource::Silent && names.is_empty() && !table.has("names") {
        table.report_missing("names", "the values that reports carry");
    }
    table.finish();
    (how, names)
}

fn cold(table: Option<Table<'_>>) -> ColdStart {
    let mut cold = PoolSettings::default().cold;
    let Some(table) = table else { return cold };
    if let Some(from) = table.number("from", 0.01..=1.0, " of its capacity") {
        cold.from = from.value;
    }
    if let Some(time) = table.number("time_ms", 0.0..=HOUR_MS, " ms") {
        cold.time_ms = time.value;
    }
    if let Some(multiple) = table.number("multiple", 1.0..=100.0, " times its capacity") {
        cold.multiple = multiple.value;
    }
    if let Some(window) = table.number("window_ms", 1.0..=HOUR_MS, " ms") {
        cold.window_ms = window.value;
    }
    table.finish();
    cold
}
