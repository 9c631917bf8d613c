//! The account as a table for the terminal.

use std::fmt::Write as _;

use comfy_table::{Table, presets};
use sableloom_rehearsal::{Account, Machine, Row, Verdict};

use crate::play::{FleetRow, Report};

fn share(n: u64, of: u64) -> String {
    if of == 0 { "-".into() } else { format!("{:.3}", n as f64 / of as f64) }
}

fn ms(us: i64) -> String {
    format!("{:.0}", us as f64 / 1000.0)
}

fn cells(row: &Row) -> Vec<String> {
    let all = row.all();
    let mut cells = vec![row.name.clone(), all.asked.to_string()];
    let ends = [
        all.served,
        all.late,
        all.refused,
        all.failed,
        all.caught,
        all.unreached,
        all.left,
        all.lost,
    ];
    cells.extend(ends.map(|n| share(n, all.asked)));
    match row.times {
        Some((half, most)) => cells.extend([ms(half), ms(most)]),
        None => cells.extend(["-".to_string(), "-".to_string()]),
    }
    cells
}

fn second(row: &Row) -> String {
    let all = row.all();
    if all.asked == 0 { "-".into() } else { format!("{:.2}", all.served_share()) }
}

/// The capacity shares and views of the fleet over time, and when its members agreed.
fn fleet(report: &Report) -> String {
    let last = |second: i64| {
        let within = |row: &&FleetRow| row.at.div_euclid(1_000_000) == second;
        report.fleet.iter().rev().find(within)
    };
    let end = report.fleet.last().map_or(0, |row| row.at / 1_000_000);
    let parts = (0..=end).filter_map(|s| last(s).map(|row| format!("{:.2}", row.parts)));
    let most = report.fleet.iter().map(|row| row.parts).fold(0.0, f64::max);
    let views = (0..=end).filter_map(|s| last(s).map(|row| row.views.to_string()));
    let agreed = match report.account.agreed_after {
        Some(after) if after >= 0 => {
            format!("all agree {:.1} s after the last event", after as f64 / 1e6)
        }
        Some(_) => "all agree since before the last event".to_string(),
        None => "they do not all agree at the end".to_string(),
    };
    format!(
        "parts of all by second: {} (at most {most:.3})\nviews among them: {}; {agreed}",
        parts.collect::<Vec<_>>().join(" "),
        views.collect::<Vec<_>>().join(" ")
    )
}

/// The table by phase, the rules, the machine and the verdict.
pub fn table(report: &Report) -> String {
    let account = &report.account;
    let phases = phase_table(account);
    let mut text = format!("{}, seed {}\n{phases}\n", account.script, account.seed);
    let seconds: Vec<String> = account.seconds.iter().map(second).collect();
    let _ = writeln!(text, "served by second: {}", seconds.join(" "));
    let classes = account.classes.iter().enumerate().map(|(i, name)| {
        let count = account.phases.last().map(|row| row.classes[i]).unwrap_or_default();
        format!("{name} {:.3}", count.served_share())
    });
    let _ = writeln!(text, "served by class: {}", classes.collect::<Vec<_>>().join(", "));
    text += &rules(account);
    let _ = writeln!(
        text,
        "cold nodes were sent {:.2} times their capacity at most, {} fell; tries {:.2}, attempts {:.2} \
         a request{}",
        account.cold_peak,
        account.falls,
        account.tries,
        account.attempts,
        recovery(account)
    );
    if !report.fleet.is_empty() {
        let _ = writeln!(text, "{}", fleet(report));
    }
    for crash in &account.crashes {
        let _ = writeln!(text, "ended unasked: {crash}");
    }
    for note in &report.notes {
        let _ = writeln!(text, "note: {note}");
    }
    text += &machine(&report.machine);
    text += &verdict(&report.verdict);
    text
}

fn phase_table(account: &Account) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header([
        "phase",
        "asked",
        "served",
        "late",
        "refused",
        "failed",
        "caught",
        "unreached",
        "left",
        "lost",
        "p50 ms",
        "p99 ms",
    ]);
    for row in &account.phases {
        table.add_row(cells(row));
    }
    table
}

/// How often each rule was broken, with the first cases.
fn rules(account: &Account) -> String {
    let b = &account.breaches;
    let mut text = format!(
        "rules: lost {}, doubled {}, refused though run {}, sent on after the answer {}, sent to a \
         draining node {}, answers of no node {}\n",
        b.lost, b.doubled, b.refused_ran, b.after_end, b.drained, b.invented
    );
    for case in &b.cases {
        let _ = writeln!(text, "  {case}");
    }
    text
}

/// When the service was back after the last event.
fn recovery(account: &Account) -> String {
    match (account.before, account.back_after) {
        (None, _) => String::new(),
        (Some(before), Some(after)) => {
            let after = after as f64 / 1e6;
            format!(", back {after:.1} s after the last event ({before:.3} before the first)")
        }
        (Some(before), None) => format!(", never back ({before:.3} before the first event)"),
    }
}

fn machine(machine: &Machine) -> String {
    format!(
        "machine: 1 request in 100 left {:.1} ms late, a balancer waited {:.3} of its time for a core, \
         {:.3} of a node's wakes were late, the clients took {:.2} of a core\n",
        machine.late as f64 / 1000.0,
        machine.starved,
        machine.nodes_late,
        machine.generator
    )
}

fn verdict(verdict: &Verdict) -> String {
    let (word, reasons) = match verdict {
        Verdict::Met => ("all that was expected holds", &[][..]),
        Verdict::Unmet(reasons) => ("NOT as expected", reasons.as_slice()),
        Verdict::Void(reasons) => {
            ("VOID: this machine could not carry the run", reasons.as_slice())
        }
    };
    let mut text = format!("verdict: {word}\n");
    for reason in reasons {
        let _ = writeln!(text, "  {reason}");
    }
    text
}

/// Two runs beside each other, phase by phase, with the difference.
pub fn compared(now: &Report, before: &Report) -> String {
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header([
        "phase",
        "served before",
        "now",
        "difference",
        "refused before",
        "now",
        "lost before",
        "now",
    ]);
    for row in &now.account.phases {
        let Some(other) = before.account.phases.iter().find(|other| other.name == row.name) else {
            continue;
        };
        let (now, before) = (row.all(), other.all());
        table.add_row([
            row.name.clone(),
            share(before.served, before.asked),
            share(now.served, now.asked),
            format!("{:+.3}", now.served_share() - before.served_share()),
            share(before.refused, before.asked),
            share(now.refused, now.asked),
            before.lost.to_string(),
            now.lost.to_string(),
        ]);
    }
    format!("beside {}, seed {}\n{table}\n", before.account.script, before.account.seed)
}
