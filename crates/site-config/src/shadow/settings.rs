//! The settings of a shadow: which requests are copied, and within which limits.

use sableloom_shadow::{ComparisonRules, CopyLimits, SampleBy};
use sableloom_toml_diagnostics::{Located, Table, suggestion};
use sableloom_types::Idempotency;
use sableloom_types::settings::span_from_ms;

use super::compare::{read_header_names, read_rules};
use crate::class::Class;
use crate::fields::{HOUR_MS, file_name, index_of};

/// Header fields that are not copied where nothing is set: a server that holds them may act for the client (RFC 9110,
/// section 11.6.2; RFC 6265).
const DEFAULT_DROPPED_HEADERS: [&str; 3] = ["authorization", "proxy-authorization", "cookie"];

/// The settings of a shadow; times in milliseconds.
pub(super) struct Settings {
    pub(super) limits: CopyLimits,
    pub(super) rules: ComparisonRules,
    pub(super) timeout_ms: Option<Located<f64>>,
    /// The longest deadline of the classes that are copied.
    pub(super) longest_deadline_ms: f64,
    /// The longest latency objective of the classes that are copied.
    pub(super) longest_objective_ms: f64,
    pub(super) settle_ms: f64,
    pub(super) dropped_headers: Vec<String>,
    pub(super) records_values: bool,
    pub(super) record_file: Option<String>,
    pub(super) record_interval_ms: f64,
}

pub(super) fn read_settings(table: &Table<'_>, classes: &[Class]) -> Settings {
    let copied = read_copied_classes(table, classes);
    let longest = |time: fn(&Class) -> f64| {
        let copied = classes.iter().zip(&copied).filter(|(_, copied)| **copied);
        copied.map(|(class, _)| time(class)).fold(1.0, f64::max)
    };
    let longest_deadline_ms = longest(|class| class.deadline_ms);
    let longest_objective_ms = longest(|class| class.latency_objective_ms);
    let limits = read_limits(table, copied);
    let record_file = file_name(table, "record");
    Settings {
        limits,
        rules: read_rules(table.table("compare")),
        timeout_ms: table.number("time_ms", 1.0..=HOUR_MS, " ms"),
        longest_deadline_ms,
        longest_objective_ms,
        settle_ms: ms(table, "settle_ms", 0.0, 1000.0),
        dropped_headers: read_header_names(table, "drop", &DEFAULT_DROPPED_HEADERS),
        records_values: table.boolean("values").is_some_and(|values| values.value),
        record_file,
        record_interval_ms: ms(table, "record_ms", 100.0, 10_000.0),
    }
}

fn ms(table: &Table<'_>, field: &'static str, min: f64, default: f64) -> f64 {
    table.number(field, min..=HOUR_MS, " ms").map_or(default, |time| time.value)
}

fn read_limits(table: &Table<'_>, classes: Vec<bool>) -> CopyLimits {
    let count = |field: &'static str, min: usize, max: usize, default: usize| {
        table.integer(field, min..=max, "").map_or(default, |count| count.value)
    };
    let kilobytes = |field: &'static str, default: usize| {
        table.integer(field, 1..=1_000_000, " kB").map_or(default, |size| size.value) << 10
    };
    let by = table.choice("by", &[("key", SampleBy::Key), ("request", SampleBy::Request)]);
    let (rest_ms, max_rest_ms) = read_rests(table);
    CopyLimits {
        classes,
        sample_share: table.number("share", 0.0..=1.0, " of the requests").map_or(0.1, |n| n.value),
        sample_by: by.map_or(SampleBy::Key, |by| by.value),
        max_per_second: table
            .number("per_second", 0.001..=1_000_000.0, " a second")
            .map_or(50.0, |rate| rate.value),
        max_in_flight: count("in_flight", 1, 10_000, 16),
        max_held_bytes: kilobytes("held_kb", 1 << 10),
        max_pair_bytes: kilobytes("each_kb", 64),
        quiet_time: span_from_ms(ms(table, "calm_ms", 0.0, 100.0)),
        max_live_open: count("live_open", 0, 1_000_000, 0),
        breaker_threshold: count("trip", 1, 10_000, 8) as u32,
        breaker_open_time: span_from_ms(rest_ms),
        max_breaker_open_time: span_from_ms(max_rest_ms),
        sample_seed: 0,
        jitter_seed: 0,
    }
}

/// The first and the longest rest of a candidate that fails, in milliseconds.
fn read_rests(table: &Table<'_>) -> (f64, f64) {
    let first_ms = ms(table, "rest_ms", 1.0, 1000.0);
    let longest = table.number("rest_most_ms", 1.0..=HOUR_MS, " ms");
    if let Some(longest) = longest.as_ref().filter(|longest| longest.value < first_ms) {
        let message = format!("{} ms is under the first rest of {first_ms} ms", longest.value);
        table.report(longest, message, None);
    }
    let longest_ms = longest.map_or(60_000.0, |longest| longest.value);
    (first_ms, longest_ms.max(first_ms))
}

/// Which classes are copied: those that are named, or all that are idempotent if none is.
fn read_copied_classes(table: &Table<'_>, classes: &[Class]) -> Vec<bool> {
    let idempotent = |class: &Class| class.idempotency == Idempotency::Idempotent;
    let names = classes.iter().map(|class| class.name.as_str());
    let mut copied = vec![false; classes.len()];
    for name in table.strings("classes") {
        let Some(i) = index_of(table, &name, names.clone(), "class") else { continue };
        if !idempotent(&classes[i]) {
            let message =
                format!("{:?} is not safe, and no such request is ever copied", name.value);
            let known = classes.iter().filter(|class| idempotent(class));
            let known: Vec<_> = known.map(|class| class.name.as_str()).collect();
            table.report(&name, message, Some(suggestion("", known)));
        }
        copied[i] = idempotent(&classes[i]);
    }
    if !table.has("classes") {
        copied = classes.iter().map(idempotent).collect();
        if !classes.is_empty() && !copied.contains(&true) {
            let message = "no class is safe, so there is nothing to copy";
            table.report(&table.location(), message, None);
        }
    }
    copied
}
