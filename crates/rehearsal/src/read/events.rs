//! Reads the events of a script: their actions, groups and times.

use sableloom_emulator::Fault;
use sableloom_toml_diagnostics::Table;

use super::fields::{HOUR_MS, need_time, share, span, time, us};
use super::names::Declarations;
use crate::link::{LinkQuality, LinkState};
use crate::script::{Condition, Event, EventAction, MS, RetainedState, Role};
use crate::timeline::target_role;

const ACTION_NAMES: [&str; 25] = [
    "kill",
    "term",
    "power-loss",
    "start",
    "freeze",
    "hang-up",
    "bad-site",
    "twin",
    "list-stale",
    "list-bad",
    "list-late",
    "clock",
    "wall-clock",
    "node-kill",
    "node-start",
    "node-pause",
    "node-fault",
    "node-neighbours",
    "node-drain",
    "node-remove",
    "link",
    "peers",
    "load",
    "storm",
    "shift",
];

fn action(table: &Table<'_>, declared: &mut Declarations) -> Option<EventAction> {
    let words = ACTION_NAMES.map(|word| (word, word));
    if !table.has("do") {
        table.report_missing("do", "what is done, as \"kill\"");
    }
    let word = table.choice("do", &words)?.value;
    if word.starts_with("node-") {
        return node_action(word, table, declared);
    }
    match word {
        "link" | "peers" => link_action(word, table, declared),
        "load" | "storm" | "shift" => load_action(word, table, declared),
        "list-stale" | "list-bad" | "list-late" => list_action(word, table),
        _ => balancer_action(word, table),
    }
}

fn balancer_action(word: &str, table: &Table<'_>) -> Option<EventAction> {
    Some(match word {
        "kill" => EventAction::Kill { back: span(table, "back") },
        "term" => {
            let binary = table.string("binary").map(|t| t.value);
            EventAction::Term { back: span(table, "back"), binary }
        }
        "power-loss" => {
            let words = [
                ("all", RetainedState::All),
                ("torn", RetainedState::Torn),
                ("newest-missing", RetainedState::NewestMissing),
                ("reverted", RetainedState::Reverted),
                ("empty", RetainedState::Empty),
            ];
            let retained = table.choice("keep", &words).map_or(RetainedState::All, |k| k.value);
            EventAction::PowerLoss { retained, back: span(table, "back") }
        }
        "start" => EventAction::Start,
        "freeze" => EventAction::Freeze { time: need_time(table, "for_ms")? },
        "hang-up" => EventAction::HangUp,
        "bad-site" => EventAction::BadSite { time: need_time(table, "for_ms")? },
        "twin" => EventAction::Twin,
        "clock" => {
            let by = table.required_number("by_ms", -HOUR_MS..=HOUR_MS, " ms")?;
            EventAction::Clock { by: us(by.value) }
        }
        "wall-clock" => {
            let by = table.required_number("by_ms", -24.0 * HOUR_MS..=24.0 * HOUR_MS, " ms")?;
            EventAction::WallClock { by: us(by.value) }
        }
        // The other names belong to the other readers.
        _ => return None,
    })
}

fn list_action(word: &str, table: &Table<'_>) -> Option<EventAction> {
    Some(match word {
        "list-stale" => EventAction::ListStale { time: need_time(table, "for_ms")? },
        "list-bad" => EventAction::ListBad { time: need_time(table, "for_ms")? },
        _ => {
            if !table.has("late") {
                table.report_missing("late", "a table with `least_ms` and `most_ms`");
            }
            EventAction::ListLate { late: span(table, "late")? }
        }
    })
}

fn node_action(word: &str, table: &Table<'_>, declared: &mut Declarations) -> Option<EventAction> {
    Some(match word {
        "node-kill" => EventAction::NodeKill { back: span(table, "back") },
        "node-start" => EventAction::NodeStart,
        "node-pause" => EventAction::NodePause { time: need_time(table, "for_ms")? },
        "node-fault" => {
            let class = declared.class(table);
            let fault = node_fault(table);
            EventAction::NodeFault { class, fault, time: time(table, "for_ms") }
        }
        "node-neighbours" => {
            let share = table.required_number("share", 0.001..=1.0, "")?;
            EventAction::NodeNeighbours { share: share.value, time: time(table, "for_ms") }
        }
        "node-drain" => EventAction::NodeDrain { time: time(table, "for_ms") },
        "node-remove" => EventAction::NodeRemove { time: time(table, "for_ms") },
        // `choice` returns only names from the list.
        _ => return None,
    })
}

fn node_fault(table: &Table<'_>) -> Fault {
    let slower = table.number("slower", 0.01..=1000.0, " times").map(|n| n.value);
    let [failing, spoilt, cut] =
        ["failing", "spoilt", "cut"].map(|name| share(table, name).unwrap_or(0.0));
    if failing + spoilt + cut > 1.0 {
        table.report(&table.location(), "the shares add up to more than 1", None);
    }
    let fault = Fault { slower: slower.unwrap_or(1.0), failing, spoilt, cut };
    if fault == Fault::default() {
        let message =
            "nothing is wrong with it; expected one of `slower`, `failing`, `spoilt`, `cut`";
        table.report(&table.location(), message, None);
    }
    fault
}

fn link_action(word: &str, table: &Table<'_>, declared: &mut Declarations) -> Option<EventAction> {
    if word == "link" {
        let Linked { to, there, back, time } = link(table, declared, Role::Node)?;
        return Some(EventAction::Link { to, there, back, time });
    }
    if !declared.members {
        let help = "say `members = true` in [fleet]".to_string();
        table.report(&table.location(), "balancers don't talk in this script", Some(help));
    }
    let Linked { to, there, back, time } = link(table, declared, Role::Balancer)?;
    Some(EventAction::Peers { to, there, back, time })
}

fn load_action(word: &str, table: &Table<'_>, declared: &mut Declarations) -> Option<EventAction> {
    Some(match word {
        "load" => {
            let bounds = 0.0..=100_000.0;
            let rate = table.required_number("per_second", bounds, " requests a second")?;
            EventAction::Load { per_second: rate.value, over: time(table, "over_ms").unwrap_or(0) }
        }
        "storm" => {
            let class = declared.class(table);
            let count = table.required_number("count", 1.0..=1e6, " requests")?;
            let over = time(table, "over_ms").unwrap_or(100 * MS);
            EventAction::Storm { count: count.value as usize, over, class }
        }
        _ => {
            let zone = table.required_string("zone", "a zone's name")?;
            let zone = declared.zone(table, &zone)?;
            let times = table.required_number("factor", 0.0..=1000.0, " times")?;
            EventAction::Shift { zone, times: times.value }
        }
    })
}

/// A change of links.
struct Linked {
    /// The group at the other end.
    to: usize,
    /// Direction to the other end, if it changes.
    there: Option<LinkQuality>,
    /// Direction from the other end, if it changes.
    back: Option<LinkQuality>,
    /// Its duration.
    time: Option<i64>,
}

fn link(table: &Table<'_>, declared: &mut Declarations, role: Role) -> Option<Linked> {
    let to = declared.target(table, "to", role);
    let directions = table.choice(
        "way",
        &[("both", (true, true)), ("there", (true, false)), ("back", (false, true))],
    );
    let how = table.choice(
        "how",
        &[("silent", LinkState::Silent), ("cut", LinkState::Cut), ("open", LinkState::Open)],
    );
    let directions = directions.map_or((true, true), |w| w.value);
    let quality = LinkQuality {
        state: how.map_or(LinkState::Open, |h| h.value),
        delay: time(table, "delay_ms").unwrap_or(0),
        jitter: time(table, "jitter_ms").unwrap_or(0),
        loss: share(table, "loss").unwrap_or(0.0),
        doubled: share(table, "doubled").unwrap_or(0.0),
        reordered: share(table, "reordered").unwrap_or(0.0),
        breaks: share(table, "breaks").unwrap_or(0.0),
        rate: table.number("bytes_per_s", 1.0..=1e12, " bytes a second").map(|n| n.value),
    };
    if quality == LinkQuality::default() && !table.has("how") {
        let message = "the link is as ever; expected `how`, `delay_ms`, `jitter_ms`, `loss`, `doubled`, `reordered`, `breaks` or `bytes_per_s`";
        table.report(&table.location(), message, None);
    }
    let time = time(table, "for_ms");
    let of = |meant: bool| meant.then_some(quality);
    Some(Linked { to: to?, there: of(directions.0), back: of(directions.1), time })
}

pub(super) fn events(root: &Table<'_>, declared: &mut Declarations, length: i64) -> Vec<Event> {
    let mut events = Vec::new();
    for table in &root.tables("event") {
        let at = table.required_number("at_ms", 0.0..=HOUR_MS, " ms");
        let every = time(table, "every_ms");
        let times = table.integer("times", 1..=10_000, "");
        if every.is_some() != times.is_some() {
            let (there, missing) =
                if every.is_some() { ("every_ms", "times") } else { ("times", "every_ms") };
            table.report_missing(missing, &format!("it goes with `{there}`"));
        }
        let spread = time(table, "spread_ms").unwrap_or(0);
        let when = table.choice("when", &[("effect-out", Condition::EffectOut)]);
        let until = table.choice("until", &[("refused", Condition::Refused)]);
        let action = action(table, declared);
        // The action decides which role the group must have.
        let group = match action.as_ref().map(target_role) {
            Some(Some(role)) => declared.target(table, "who", role),
            _ => Some(usize::MAX),
        };
        if let (Some(when), Some(action)) = (&when, &action)
            && (target_role(action) != Some(Role::Balancer)
                || matches!(action, EventAction::PowerLoss { .. }))
        {
            table.report(when, "only what is done to a single balancer can wait for this", None);
        }
        if let (Some(until), Some(action)) = (&until, &action)
            && !matches!(action, EventAction::BadSite { .. } | EventAction::ListBad { .. })
        {
            table.report(until, "only a file that is spoilt can be refused", None);
        }
        if let Some(at) = at.as_ref().filter(|at| us(at.value) > length) {
            table.report(at, format!("no request arrives after {} s", length as f64 / 1e6), None);
        }
        if action.is_some() {
            table.finish();
        }
        let (Some(at), Some(group), Some(action)) = (at, group, action) else { continue };
        events.push(Event {
            at: us(at.value),
            every: (times.map_or(1, |n| n.value as u32), every.unwrap_or(0)),
            spread,
            when: when.map(|w| w.value),
            until: until.map(|u| u.value),
            group,
            action,
        });
    }
    events
}
