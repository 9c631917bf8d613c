//! Reads the balancers, nodes, request classes and groups of a script, and the overrides of some processes.

use sableloom_emulator::{KINDS, NodeCapacity, NodeProfile, kind};
use sableloom_toml_diagnostics::Table;
use sableloom_types::Span;

use super::fields::{HOUR_MS, share, span, time, us};
use super::names::Declarations;
use crate::script::*;

/// Cores of a node whose capacity is given as requests a second.
const CORES: f64 = 3.0;

pub(super) fn fleet(root: &Table<'_>) -> Option<Fleet> {
    if !root.has("fleet") {
        root.report_missing("fleet", "a table with `balancers`");
    }
    let table = root.table("fleet")?;
    let balancers = table.required_number("balancers", 1.0..=MAX_PROCESSES as f64, "");
    if let Some(n) = balancers.as_ref().filter(|n| n.value.fract() != 0.0) {
        table.report(n, "expected a whole number", None);
    }
    let announced = table.integer("says", 1..=10_000, "");
    let mut zones: Vec<String> = Vec::new();
    for zone in table.strings("zones") {
        if zones.contains(&zone.value) {
            table.report(&zone, format!("{:?} is named twice", zone.value), None);
        }
        zones.push(zone.value);
    }
    let words = [("files", Lists::Files), ("discovery", Lists::Discovery)];
    let lists = table.choice("lists", &words).map_or(Lists::Files, |l| l.value);
    let sockets = table.integer("sockets", 64..=1_000_000, " descriptors");
    let memory_mb = table.integer("memory_mb", 24..=1_000_000, " MB");
    let members = table.boolean("members").filter(|members| members.value);
    if let Some(members) = members.as_ref().filter(|_| lists == Lists::Discovery) {
        table.report(members, "balancers can't talk in the platform's mode", None);
    }
    table.finish();
    let balancers = balancers?.value as usize;
    Some(Fleet {
        balancers,
        announced: announced.map_or(balancers, |n| n.value),
        lists,
        zones,
        sockets: sockets.map_or(1024, |n| n.value),
        memory_mb: memory_mb.map_or(128, |n| n.value),
        members: members.is_some(),
    })
}

pub(super) fn mean_work(classes: &[Class]) -> f64 {
    let all: f64 = classes.iter().map(|c| c.share).sum();
    classes.iter().map(|c| c.work * c.share).sum::<f64>() / all.max(1e-9)
}

pub(super) fn nodes(root: &Table<'_>, mean_work: f64) -> Option<Nodes> {
    if !root.has("nodes") {
        root.report_missing("nodes", "a table with `count`");
    }
    let table = root.table("nodes")?;
    let found = table.required_number("count", 1.0..=MAX_PROCESSES as f64, "");
    if let Some(n) = found.as_ref().filter(|n| n.value.fract() != 0.0) {
        table.report(n, "expected a whole number", None);
    }
    let per_second = table.number("per_second", 0.1..=1e6, " requests a second");
    let kinds = table.boolean("kinds");
    if let (Some(kinds), Some(_)) = (&kinds, &per_second)
        && kinds.value
    {
        let help = "leave one of the two out";
        table.report(kinds, "kinds have capacities of their own", Some(help.into()));
    }
    let kinds = kinds.is_some_and(|k| k.value);
    if !kinds && per_second.is_none() && !table.has("per_second") {
        table.report_missing("per_second", "what a node can serve in a second, or `kinds = true`");
    }
    let of = |i: usize| match &per_second {
        Some(rate) if !kinds => {
            let speed = rate.value * mean_work / 1e6 / CORES;
            NodeCapacity {
                cores: CORES,
                speed,
                slots: (CORES * 12.0) as usize,
                queue_limit: (CORES * 15.0) as usize,
            }
        }
        // The median of its kind.
        _ => KINDS[kind(i)].capacity(0.5),
    };
    let slots = table.integer("slots", 1..=100_000, "");
    let room = table.integer("room", 0..=1_000_000, "");
    let plain = NodeProfile::of(of(0));
    let connections = table.integer("connections", 1..=1_000_000, "");
    let handshake = table.number("handshake_ms", 0.0..=1000.0, " ms");
    let cold_from = table.number("cold_from", 0.001..=1.0, "");
    let warm = time(&table, "warm_ms");
    let multiple = table.number("falls_at", 1.0..=1e6, " times its capacity");
    let window = time(&table, "falls_after_ms");
    let keys = table.integer("keys", 0..=10_000_000, "");
    let key_time = time(&table, "key_ms");
    let key_saving = share(&table, "key_saving");
    let abandons = table.boolean("abandons");
    let cold = table.boolean("cold");
    let late = span(&table, "list_late");
    table.finish();
    let count = found?.value as usize;
    let profile = |i: usize| {
        let mut capacity = of(i);
        capacity.slots = slots.as_ref().map_or(capacity.slots, |n| n.value);
        capacity.queue_limit = room.as_ref().map_or(capacity.queue_limit, |n| n.value);
        NodeProfile {
            capacity,
            connections: connections.as_ref().map_or(plain.connections, |n| n.value),
            handshake: handshake.as_ref().map_or(plain.handshake, |n| n.value * 1e3),
            slow_start_initial_share: cold_from
                .as_ref()
                .map_or(plain.slow_start_initial_share, |n| n.value),
            slow_start: warm.map_or(plain.slow_start, Span),
            overload_factor: multiple.as_ref().map_or(plain.overload_factor, |n| n.value),
            overload_window: window.map_or(plain.overload_window, Span),
            cached_keys: keys.as_ref().map_or(plain.cached_keys, |n| n.value),
            cached_key_time: key_time.map_or(plain.cached_key_time, Span),
            cached_key_saving: key_saving.unwrap_or(plain.cached_key_saving),
            drops_abandoned: abandons.as_ref().is_none_or(|a| a.value),
            mean_work: plain.mean_work,
        }
    };
    Some(Nodes {
        count,
        profiles: (0..count).map(profile).collect(),
        cold: cold.is_some_and(|c| c.value),
        list_late: late.unwrap_or((0, 0)),
    })
}

pub(super) fn classes(root: &Table<'_>) -> Vec<Class> {
    let tables = root.tables("class");
    if tables.is_empty() && !root.has("class") {
        root.report_missing("class", "tables, each begun with [[class]]");
    }
    let mut classes: Vec<Class> = Vec::new();
    for table in &tables {
        let name = table.required_name("name");
        if let Some(name) = &name {
            if classes.iter().any(|c| c.name == name.value) {
                table.report(name, format!("{:?} is another class's", name.value), None);
            } else if name.value.contains(['/', '"', '\\']) {
                table.report(name, "expected a name without /, \" and \\", None);
            }
        }
        let share = table.required_number("share", 0.0..=1.0, "");
        let work = table.required_number("work_ms", 0.001..=60_000.0, " ms");
        let wait = time(table, "wait_ms");
        let spread = table.number("spread", 0.0..=5.0, "");
        let aim = table.required_number("aim_ms", 1.0..=HOUR_MS, " ms");
        let deadline = table.required_number("deadline_ms", 1.0..=HOUR_MS, " ms");
        let worth = table.number("worth", 0.001..=1e6, "");
        let idempotency = table.choice(
            "effect",
            &[("safe", Idempotency::Idempotent), ("unsafe", Idempotency::NonIdempotent)],
        );
        if idempotency.is_none() && !table.has("effect") {
            table.report_missing("effect", "\"safe\" or \"unsafe\"");
        }
        if let (Some(aim), Some(deadline)) = (&aim, &deadline)
            && aim.value > deadline.value
        {
            table.report(aim, "it is over `deadline_ms`", None);
        }
        table.finish();
        let (Some(name), Some(share), Some(work)) = (name, share, work) else { continue };
        let (Some(aim), Some(deadline), Some(idempotency)) = (aim, deadline, idempotency) else {
            continue;
        };
        classes.push(Class {
            name: name.value,
            share: share.value,
            work: work.value * 1e3,
            spread: spread.map_or(0.5, |n| n.value),
            wait: wait.unwrap_or(0),
            aim: us(aim.value),
            deadline: us(deadline.value),
            worth: worth.map_or(1.0, |n| n.value),
            idempotency: idempotency.value,
        });
    }
    if !tables.is_empty() && classes.len() == tables.len() && classes.iter().all(|c| c.share == 0.0)
    {
        tables[0].report(&tables[0].location(), "the classes' shares are all 0", None);
    }
    classes
}

pub(super) fn groups(root: &Table<'_>, declared: &mut Declarations) {
    for table in &root.tables("group") {
        let name = table.required_name("name");
        let of = table.choice("of", &[("balancers", Role::Balancer), ("nodes", Role::Node)]);
        if of.is_none() && !table.has("of") {
            table.report_missing("of", "\"balancers\" or \"nodes\"");
        }
        let part = share(table, "share");
        let number = table.integer("count", 0..=MAX_PROCESSES, "");
        let zone = table.string("zone");
        let members = table.strings("members");
        let drawn = table.boolean("drawn");
        let ways = [part.is_some(), number.is_some(), zone.is_some(), !members.is_empty()];
        if ways.iter().filter(|w| **w).count() != 1 {
            let message = "expected exactly one of `share`, `count`, `zone` and `members`";
            table.report(&table.location(), message, None);
        }
        table.finish();
        let (Some(name), Some(of)) = (name, of) else { continue };
        let role = of.value;
        if declared.groups.iter().any(|g| g.name == name.value) || name.value == "all" {
            table.report(&name, format!("{:?} is another group's", name.value), None);
        } else if declared.member(&name.value).is_some() {
            table.report(&name, format!("{:?} is the name of one of them", name.value), None);
        }
        let all = declared.count(role);
        let drawn = drawn.is_some_and(|d| d.value);
        let pick = if let Some(part) = part {
            Pick::Count { count: (all as f64 * part).round() as usize, drawn }
        } else if let Some(number) = number {
            if number.value > all {
                table.report(&number, format!("there are only {all}"), None);
            }
            Pick::Count { count: number.value.min(all), drawn }
        } else if let Some(zone) = zone {
            let Some(zone) = declared.zone(table, &zone) else { continue };
            Pick::Zone(zone)
        } else {
            let mut chosen = Vec::new();
            for member in &members {
                match declared.member(&member.value).filter(|m| m.0 == role) {
                    Some((_, m)) if !chosen.contains(&m) => chosen.push(m),
                    Some(_) => table.report(member, "it is named twice", None),
                    None => {
                        let letter = role.letter();
                        let help = format!("they are {letter}1 to {letter}{all}");
                        table.report(
                            member,
                            format!("no {:?} among them", member.value),
                            Some(help),
                        );
                    }
                }
            }
            Pick::Members(chosen)
        };
        declared.group(&name.value, role, pick);
    }
}

pub(super) fn processes(root: &Table<'_>, declared: &mut Declarations) -> Vec<Process> {
    let mut all = Vec::new();
    for table in &root.tables("process") {
        let group = declared.target(table, "who", Role::Balancer);
        let binary = table.string("binary").map(|t| t.value);
        let descriptors = table.integer("descriptors", 16..=1_000_000, "").map(|n| n.value as u64);
        let memory_mb = table.integer("memory_mb", 1..=1_000_000, " MB").map(|n| n.value as u64);
        let announced = table.integer("says", 1..=10_000, "").map(|n| n.value);
        table.finish();
        let Some(group) = group else { continue };
        all.push(Process { group, binary, descriptors, memory_mb, announced });
    }
    all
}
