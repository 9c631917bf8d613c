//! The verdict: compares the account with the script's expectations, unless the machine was too slow.

use serde::{Deserialize, Serialize};

use crate::account::{Account, ms};
use crate::script::Script;
use crate::timeline::seconds;

/// How well the machine kept up with the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// 99th percentile of the delay with which requests were sent, in microseconds.
    pub late: i64,
    /// The largest share of its time that a balancer waited for a core.
    pub starved: f64,
    /// The largest share of a node's timers that were late.
    pub nodes_late: f64,
    /// Processor time of the load generator, as a share of the length of the run.
    pub generator: f64,
    /// Requests that could not be sent for lack of descriptors or ports.
    pub unsent: u64,
}

/// The result of a rehearsal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// All expectations are met.
    Met,
    /// The expectations that are not met.
    Unmet(Vec<String>),
    /// The machine could not keep up, so that the run proves nothing.
    Void(Vec<String>),
}

impl Verdict {
    /// The program's exit code: 0, 1, or 3 for a run that does not count.
    pub fn code(&self) -> u8 {
        match self {
            Verdict::Met => 0,
            Verdict::Unmet(_) => 1,
            Verdict::Void(_) => 3,
        }
    }
}

/// Judges a run.
pub fn judge(script: &Script, account: &Account, machine: &Machine) -> Verdict {
    let void = overloads(script, machine);
    if !void.is_empty() {
        return Verdict::Void(void);
    }
    let mut unmet = breaches(script, account);
    unmet.extend(shares(script, account));
    unmet.extend(recovery(script, account));
    unmet.extend(agreement(script, account));
    unmet.extend(cold_peak(script, account));
    if unmet.is_empty() { Verdict::Met } else { Verdict::Unmet(unmet) }
}

/// The limits within which the machine did not keep up.
fn overloads(script: &Script, machine: &Machine) -> Vec<String> {
    let limits = &script.machine;
    let mut overloads = Vec::new();
    let mut add_if = |exceeded: bool, what: String| overloads.extend(exceeded.then_some(what));
    let (late, max) = (ms(machine.late), ms(limits.late));
    add_if(late > max, format!("one request in a hundred left {late:.1} ms late; {max} at most"));
    let (starved, max) = (machine.starved, limits.starved);
    add_if(
        starved > max,
        format!("a balancer waited {starved:.2} of its time for a core; {max} at most"),
    );
    let (late, max) = (machine.nodes_late, limits.nodes_late);
    add_if(late > max, format!("{late:.3} of a node's wakes were late; {max} at most"));
    add_if(machine.unsent > 0, format!("{} requests could not be sent", machine.unsent));
    overloads
}

/// Rules that were broken more often than expected.
fn breaches(script: &Script, account: &Account) -> Vec<String> {
    let (expect, breaches) = (&script.expect, &account.breaches);
    [
        ("lost", breaches.lost, expect.lost),
        ("doubled", breaches.doubled, expect.doubled),
        ("refused_ran", breaches.refused_ran, expect.refused_ran),
        ("after_end", breaches.after_end, expect.after_end),
        ("drained", breaches.drained, expect.drained),
        ("invented", breaches.invented, expect.invented),
        ("falls", account.falls, expect.falls),
        ("crashes", account.crashes.len() as u64, expect.crashes),
    ]
    .into_iter()
    .filter(|(_, count, max)| count > max)
    .map(|(what, count, max)| format!("{what}: {count}, expected {max} at most"))
    .collect()
}

/// Shares of served and refused requests, in the whole run and by phase.
fn shares(script: &Script, account: &Account) -> Vec<String> {
    let too_few = |name: &str, served: f64, min: Option<f64>| {
        let min = min.filter(|min| served < *min)?;
        Some(format!("{name}: served {served:.3}, expected {min} at least"))
    };
    let mut unmet = Vec::new();
    unmet.extend(too_few("whole", account.whole().served_share(), script.expect.served_least));
    for (phase, row) in script.phases.iter().zip(&account.phases) {
        let all = row.all();
        unmet.extend(too_few(&phase.name, all.served_share(), phase.served_least));
        let refused = all.refused_share();
        if let Some(max) = phase.refused_most.filter(|max| refused > *max) {
            unmet.push(format!("{}: refused {refused:.3}, expected {max} at most", phase.name));
        }
    }
    unmet
}

/// Whether the service recovered in time.
fn recovery(script: &Script, account: &Account) -> Option<String> {
    let within = script.expect.back_within?;
    if account.back_after.is_some_and(|after| after <= within) {
        return None;
    }
    let (found, within) = (after_or_never(account.back_after), seconds(within));
    Some(format!("back: {found}, expected within {within} s of the last fault"))
}

/// Whether the balancers agreed on the membership in time.
fn agreement(script: &Script, account: &Account) -> Option<String> {
    let within = script.expect.agree_within?;
    if account.agreed_after.is_some_and(|after| after <= within) {
        return None;
    }
    let (found, within) = (after_or_never(account.agreed_after), seconds(within));
    Some(format!("agreed: {found}, expected within {within} s of the last event"))
}

fn after_or_never(after: Option<i64>) -> String {
    after.map_or("never".into(), |us| format!("after {} s", seconds(us)))
}

/// Whether a node that warmed up got too many requests.
fn cold_peak(script: &Script, account: &Account) -> Option<String> {
    let peak = account.cold_peak;
    let max = script.expect.cold_peak_most.filter(|max| peak > *max)?;
    Some(format!("a cold node was sent {peak:.2} times its capacity; {max} at most"))
}
