//! Load reports in text form.

use sableloom_types::LoadReport;
use sableloom_types::settings::LoadReportSettings;

/// Parses a load report of the form `TEXT inflight=7, util=0.61`; what can't be parsed of it is skipped.
pub fn parse_load_report(stats: &LoadReportSettings, text: &str) -> LoadReport {
    let pairs = text.trim().strip_prefix("TEXT").unwrap_or_default().split(',');
    let value = |pair: &str| -> Option<(usize, f64)> {
        let (name, value) = pair.split_once('=')?;
        let index = stats.values.iter().position(|n| n == name.trim())?;
        Some((index, value.trim().parse().ok().filter(|v: &f64| v.is_finite())?))
    };
    let names = &stats.values;
    stats.report(pairs.filter_map(value).map(|(i, value)| (names[i].as_str(), value)))
}
