//! Settings of a pool that do not depend on where its servers come from.

use sableloom_toml_diagnostics::{Table, suggestion};
use sableloom_types::settings::LoadReportSource;
use serde::{Deserialize, Serialize};

use crate::fields::{DAY_MS, HOUR_MS};
use crate::protocol::{Protocol, read_protocol};

/// Values of load reports that the policy knows.
const LOAD_REPORT_VALUES: [&str; 4] = ["inflight", "queue", "util", "latency_ms"];
/// Largest value of `max_open`.
const MAX_OPEN_REQUESTS: usize = 1_000_000;
/// Largest value of `max_attempts`.
const MAX_ATTEMPTS: usize = 16;

/// How new servers warm up; times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Share of its capacity that a server has at least when it starts.
    pub initial_share: f64,
    /// Time after which a server is warm at the latest.
    pub duration_ms: f64,
    /// A server fails when it gets more than this many times its present capacity
    pub overload_factor: f64,
    /// for this long.
    pub overload_window_ms: f64,
}

/// Load reports of a pool's servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReports {
    /// How they arrive.
    pub source: LoadReportSource,
    /// Names of the values that they carry.
    pub values: Vec<String>,
}

/// How requests are forwarded to the servers of a pool, whatever its classes are; times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSettings {
    /// A connection that is not up by then has failed.
    pub connect_timeout_ms: f64,
    /// When the servers close idle connections.
    pub keepalive_ms: f64,
    /// Maximum number of requests open at once.
    pub max_open: usize,
    /// Maximum number of attempts of a request.
    pub max_attempts: usize,
    /// Longest Retry-After of a rejected request; 0 for no such header.
    pub retry_after_ms: f64,
    /// Load reports of the servers.
    pub load_reports: LoadReports,
    /// How new servers warm up.
    pub slow_start: SlowStart,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 250.0,
            keepalive_ms: 15_000.0,
            max_open: 1000,
            max_attempts: 4,
            retry_after_ms: 1000.0,
            load_reports: LoadReports { source: LoadReportSource::Silent, values: Vec::new() },
            slow_start: SlowStart {
                initial_share: 0.2,
                duration_ms: 30_000.0,
                overload_factor: 2.0,
                overload_window_ms: 1500.0,
            },
        }
    }
}

/// A pool's settings without its name and the source of its servers; times in milliseconds.
///
/// Control machines distribute them in a positional encoding: the order of fields, also in [`UpstreamSettings`] and
/// its parts, is part of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolSettings {
    /// Protocol of its servers.
    pub protocol: Protocol,
    /// T_QoS; the mean latency objective of the site's classes if none is set.
    pub t_qos_ms: Option<f64>,
    /// How requests are forwarded.
    pub upstream: UpstreamSettings,
    /// How long a removed server drains; the longest deadline of the site's classes if none is set.
    pub drain_ms: Option<f64>,
}

impl Default for PoolSettings {
    fn default() -> Self {
        let upstream = UpstreamSettings::default();
        Self { protocol: Protocol::Http1, t_qos_ms: None, upstream, drain_ms: None }
    }
}

impl PoolSettings {
    /// Reads the settings from a table; it asks for no other field.
    pub fn read(table: &Table<'_>) -> Self {
        Self {
            protocol: read_protocol(table),
            t_qos_ms: optional_ms(table, "t_qos_ms", 1.0),
            upstream: read_upstream(table),
            drain_ms: optional_ms(table, "drain_ms", 0.0),
        }
    }
}

fn optional_ms(table: &Table<'_>, field: &'static str, min: f64) -> Option<f64> {
    table.number(field, min..=DAY_MS, " ms").map(|time| time.value)
}

fn read_upstream(table: &Table<'_>) -> UpstreamSettings {
    let ms = |field: &'static str, min: f64, default: f64| {
        optional_ms(table, field, min).unwrap_or(default)
    };
    let count = |field: &'static str, max: usize, default: usize| {
        table.integer(field, 1..=max, "").map_or(default, |count| count.value)
    };
    let default = UpstreamSettings::default();
    UpstreamSettings {
        connect_timeout_ms: ms("connect_timeout_ms", 1.0, default.connect_timeout_ms),
        keepalive_ms: ms("keepalive_ms", 1.0, default.keepalive_ms),
        max_open: count("max_open", MAX_OPEN_REQUESTS, default.max_open),
        max_attempts: count("max_attempts", MAX_ATTEMPTS, default.max_attempts),
        retry_after_ms: ms("retry_after_ms", 0.0, default.retry_after_ms),
        load_reports: read_load_reports(table.table("reports"), default.load_reports),
        slow_start: read_slow_start(table.table("cold"), default.slow_start),
    }
}

fn read_load_reports(table: Option<Table<'_>>, default: LoadReports) -> LoadReports {
    let Some(table) = table else { return default };
    let words = [
        ("none", LoadReportSource::Silent),
        ("answers", LoadReportSource::Piggyback),
        ("probes", LoadReportSource::Pull),
    ];
    let source = table.choice("how", &words).map_or(default.source, |source| source.value);
    let mut values = Vec::new();
    for name in table.strings("names") {
        if !LOAD_REPORT_VALUES.contains(&name.value.as_str()) {
            let help = suggestion(&name.value, LOAD_REPORT_VALUES);
            table.report(&name, format!("{:?} is no known value", name.value), Some(help));
        }
        values.push(name.value);
    }
    if source != LoadReportSource::Silent && values.is_empty() && !table.has("names") {
        table.report_missing("names", "the values that reports carry");
    }
    table.finish();
    LoadReports { source, values }
}

fn read_slow_start(table: Option<Table<'_>>, default: SlowStart) -> SlowStart {
    let Some(table) = table else { return default };
    let number = |field: &'static str, min: f64, max: f64, unit: &str, default: f64| {
        table.number(field, min..=max, unit).map_or(default, |number| number.value)
    };
    let slow_start = SlowStart {
        initial_share: number("from", 0.01, 1.0, " of its capacity", default.initial_share),
        duration_ms: number("time_ms", 0.0, HOUR_MS, " ms", default.duration_ms),
        overload_factor: number(
            "multiple",
            1.0,
            100.0,
            " times its capacity",
            default.overload_factor,
        ),
        overload_window_ms: number("window_ms", 1.0, HOUR_MS, " ms", default.overload_window_ms),
    };
    table.finish();
    slow_start
}
