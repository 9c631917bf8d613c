//! Readers for common kinds of fields: times in milliseconds, ranges of times, shares, counts.

use sableloom_toml_diagnostics::Table;

use crate::script::MS;

/// The longest time in a script.
pub(super) const HOUR_MS: f64 = 3_600_000.0;

pub(super) fn us(ms: f64) -> i64 {
    (ms * MS as f64).round() as i64
}

/// A time in milliseconds.
pub(super) fn time(table: &Table<'_>, name: &'static str) -> Option<i64> {
    table.number(name, 0.0..=HOUR_MS, " ms").map(|n| us(n.value))
}

pub(super) fn need_time(table: &Table<'_>, name: &'static str) -> Option<i64> {
    table.required_number(name, 0.0..=HOUR_MS, " ms").map(|n| us(n.value))
}

/// A share.
pub(super) fn share(table: &Table<'_>, name: &'static str) -> Option<f64> {
    table.number(name, 0.0..=1.0, "").map(|n| n.value)
}

/// A range of times: a table with `least_ms` and `most_ms`.
pub(super) fn span(table: &Table<'_>, name: &'static str) -> Option<(i64, i64)> {
    let inner = table.table(name)?;
    let (least, most) = (need_time(&inner, "least_ms"), need_time(&inner, "most_ms"));
    inner.finish();
    let (least, most) = (least?, most?);
    if least > most {
        inner.report(&inner.location(), "`least_ms` is over `most_ms`", None);
    }
    Some((least, most.max(least)))
}

pub(super) fn count(
    table: &Table<'_>,
    name: &'static str,
    most: usize,
    unit: &str,
) -> Option<usize> {
    table.integer(name, 0..=most, unit).map(|n| n.value)
}
