//! Reads what a run is judged by: the phases of the report, the expectations, and the limits within which the
//! machine has to keep up.

use sableloom_toml_diagnostics::{Located, Table};

use super::fields::{HOUR_MS, count, share, time, us};
use crate::script::{Event, EventAction, Expect, MS, MachineLimits, Nodes, Phase, S};
use crate::timeline::latest_end;

pub(super) fn phases(root: &Table<'_>, length: i64) -> Vec<Phase> {
    let mut phases = Vec::new();
    for table in &root.tables("phase") {
        let name = table.required_name("name");
        let from = table.required_number("from_ms", 0.0..=HOUR_MS, " ms");
        let to = table.required_number("to_ms", 0.0..=HOUR_MS, " ms");
        let served_least = share(table, "served_least");
        let refused_most = share(table, "refused_most");
        table.finish();
        let (Some(name), Some(from), Some(to)) = (name, from, to) else { continue };
        if from.value >= to.value {
            table.report(&from, "it is not before `to_ms`", None);
        } else if us(to.value) > length {
            let message = format!("no request arrives after {} s", length as f64 / 1e6);
            table.report(&to, message, None);
        }
        let (from, to) = (us(from.value), us(to.value));
        phases.push(Phase { name: name.value, from, to, served_least, refused_most });
    }
    phases
}

pub(super) fn machine(root: &Table<'_>) -> MachineLimits {
    let mut limits =
        MachineLimits { late: 25 * MS, starved: 0.2, nodes_late: 0.05, slack: 500 * MS };
    let Some(table) = root.table("machine") else { return limits };
    limits.late = time(&table, "late_ms").unwrap_or(limits.late);
    limits.starved = share(&table, "starved").unwrap_or(limits.starved);
    limits.nodes_late = share(&table, "nodes_late").unwrap_or(limits.nodes_late);
    limits.slack = time(&table, "slack_ms").unwrap_or(limits.slack);
    table.finish();
    limits
}

/// The expectations; reports those that can never be checked in this script.
pub(super) fn expect(
    root: &Table<'_>,
    events: &[Event],
    nodes: &Nodes,
    length: i64,
    members: bool,
) -> Expect {
    let Some(table) = root.table("expect") else { return default_expect() };
    let number = |name: &'static str| count(&table, name, 1_000_000_000, "").unwrap_or(0) as u64;
    let mut expect = Expect {
        lost: number("lost"),
        doubled: number("doubled"),
        refused_ran: number("refused_ran"),
        after_end: number("after_end"),
        drained: number("drained"),
        invented: number("invented"),
        crashes: number("crashes"),
        falls: number("falls"),
        served_least: share(&table, "served_least"),
        ..default_expect()
    };
    let back_to = share(&table, "back_to");
    let cold_peak = table.number("cold_peak_most", 0.0..=1e6, " times its capacity");
    let back = table.number("back_within_ms", 0.0..=HOUR_MS, " ms");
    let agree = table.number("agree_within_ms", 0.0..=HOUR_MS, " ms");
    table.finish();
    expect.back_to = back_to.unwrap_or(expect.back_to);
    expect.cold_peak_most = cold_peak.as_ref().map(|n| n.value);
    expect.back_within = back.as_ref().map(|n| us(n.value));
    expect.agree_within = agree.as_ref().map(|n| us(n.value));
    if let Some(agree) = agree.as_ref().filter(|_| !members) {
        let why = "its balancers don't know each other; `fleet.members` says so";
        report_unchecked(&table, agree, why);
    }
    if let Some(back) = &back {
        check_recovery(&table, back, events, length);
    }
    if let Some(peak) = &cold_peak
        && !nodes.cold
        && !events.iter().any(starts_cold)
    {
        report_unchecked(&table, peak, "no node of the script is ever cold");
    }
    if back_to.is_some() && back.is_none() {
        table.report_missing("back_within_ms", "it goes with `back_to`");
    }
    expect
}

/// What is expected where nothing is set: no breach of a rule.
fn default_expect() -> Expect {
    Expect {
        lost: 0,
        doubled: 0,
        refused_ran: 0,
        after_end: 0,
        drained: 0,
        invented: 0,
        crashes: 0,
        falls: 0,
        served_least: None,
        back_within: None,
        back_to: 0.9,
        agree_within: None,
        cold_peak_most: None,
    }
}

/// Reports an expectation that nothing in the script can fail: it is most likely a mistake.
fn report_unchecked(table: &Table<'_>, expectation: &Located<f64>, why: &str) {
    table.report(expectation, format!("it can't be checked: {why}"), None);
}

/// Checks that there is enough time before the first event and after the last one.
fn check_recovery(table: &Table<'_>, back: &Located<f64>, events: &[Event], length: i64) {
    let first = events.iter().map(|event| event.at).min();
    let last = events.iter().map(latest_end).max();
    let (Some(first), Some(last)) = (first, last) else {
        return report_unchecked(table, back, "the script has no event");
    };
    if first < S {
        report_unchecked(table, back, "the first event comes before one second of service");
    } else if last + us(back.value) + S > length {
        let why = format!(
            "the last event ends at {} s, and that much later and one second more no request arrives",
            last as f64 / 1e6
        );
        report_unchecked(table, back, &why);
    }
}

/// Whether a node warms up after an event.
fn starts_cold(event: &Event) -> bool {
    matches!(event.action, EventAction::NodeStart)
        || matches!(event.action, EventAction::NodeKill { back: Some(_) })
}
