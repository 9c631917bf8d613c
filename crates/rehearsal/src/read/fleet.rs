//! Reads the balancers, nodes, request classes and groups of a script, and the overrides of some processes.

use sableloom_emulator::{KINDS, NodeCapacity, NodeProfile, kind};
use sableloom_toml_diagnostics::{Located, Table};
use sableloom_types::Span;

use super::fields::{HOUR_MS, share, span, time, us};
use super::names::Declarations;
use crate::script::{Class, Fleet, Idempotency, Lists, MAX_PROCESSES, Nodes, Pick, Process, Role};

/// Cores of a node whose capacity is given as requests a second.
const CORES: f64 = 3.0;
/// Slots for each core of such a node.
const SLOTS_PER_CORE: f64 = 12.0;
/// Queue limit for each core of such a node.
const QUEUED_PER_CORE: f64 = 15.0;

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
    let capacities = capacities(&table, mean_work);
    let overrides = ProfileOverrides::read(&table);
    let cold = table.boolean("cold");
    let late = span(&table, "list_late");
    table.finish();
    let count = found?.value as usize;
    let plain = NodeProfile::of(capacities.of(0));
    Some(Nodes {
        count,
        profiles: (0..count).map(|i| overrides.apply(capacities.of(i), &plain)).collect(),
        cold: cold.is_some_and(|c| c.value),
        list_late: late.unwrap_or((0, 0)),
    })
}

/// How much the nodes of a script can serve.
enum Capacities {
    /// All the same.
    Equal(NodeCapacity),
    /// Each the median of its kind.
    ByKind,
}

impl Capacities {
    fn of(&self, node: usize) -> NodeCapacity {
        match self {
            Capacities::Equal(capacity) => *capacity,
            Capacities::ByKind => KINDS[kind(node)].capacity(0.5),
        }
    }
}

fn capacities(table: &Table<'_>, mean_work: f64) -> Capacities {
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
    match &per_second {
        Some(rate) if !kinds => Capacities::Equal(NodeCapacity {
            cores: CORES,
            speed: rate.value * mean_work / 1e6 / CORES,
            slots: (CORES * SLOTS_PER_CORE) as usize,
            queue_limit: (CORES * QUEUED_PER_CORE) as usize,
        }),
        _ => Capacities::ByKind,
    }
}

/// What a script sets of the profile of its nodes.
struct ProfileOverrides {
    slots: Option<usize>,
    queue_limit: Option<usize>,
    connections: Option<usize>,
    handshake_ms: Option<f64>,
    slow_start_initial_share: Option<f64>,
    slow_start: Option<i64>,
    overload_factor: Option<f64>,
    overload_window: Option<i64>,
    cached_keys: Option<usize>,
    cached_key_time: Option<i64>,
    cached_key_saving: Option<f64>,
    drops_abandoned: Option<bool>,
}

impl ProfileOverrides {
    fn read(table: &Table<'_>) -> Self {
        let count = |name: &'static str, min: usize, max: usize| {
            table.integer(name, min..=max, "").map(|count| count.value)
        };
        let number = |name: &'static str, min: f64, max: f64, unit: &str| {
            table.number(name, min..=max, unit).map(|number| number.value)
        };
        Self {
            slots: count("slots", 1, 100_000),
            queue_limit: count("room", 0, 1_000_000),
            connections: count("connections", 1, 1_000_000),
            handshake_ms: number("handshake_ms", 0.0, 1000.0, " ms"),
            slow_start_initial_share: number("cold_from", 0.001, 1.0, ""),
            slow_start: time(table, "warm_ms"),
            overload_factor: number("falls_at", 1.0, 1e6, " times its capacity"),
            overload_window: time(table, "falls_after_ms"),
            cached_keys: count("keys", 0, 10_000_000),
            cached_key_time: time(table, "key_ms"),
            cached_key_saving: share(table, "key_saving"),
            drops_abandoned: table.boolean("abandons").map(|abandons| abandons.value),
        }
    }

    /// The profile of a node with this capacity; `plain` has what the script does not set.
    fn apply(&self, mut capacity: NodeCapacity, plain: &NodeProfile) -> NodeProfile {
        capacity.slots = self.slots.unwrap_or(capacity.slots);
        capacity.queue_limit = self.queue_limit.unwrap_or(capacity.queue_limit);
        NodeProfile {
            capacity,
            connections: self.connections.unwrap_or(plain.connections),
            handshake: self.handshake_ms.map_or(plain.handshake, |ms| ms * 1e3),
            slow_start_initial_share: self
                .slow_start_initial_share
                .unwrap_or(plain.slow_start_initial_share),
            slow_start: self.slow_start.map_or(plain.slow_start, Span),
            overload_factor: self.overload_factor.unwrap_or(plain.overload_factor),
            overload_window: self.overload_window.map_or(plain.overload_window, Span),
            cached_keys: self.cached_keys.unwrap_or(plain.cached_keys),
            cached_key_time: self.cached_key_time.map_or(plain.cached_key_time, Span),
            cached_key_saving: self.cached_key_saving.unwrap_or(plain.cached_key_saving),
            drops_abandoned: self.drops_abandoned.unwrap_or(true),
            mean_work: plain.mean_work,
        }
    }
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
        let drawn = drawn.is_some_and(|d| d.value);
        let all = declared.count(role);
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
            Pick::Members(named_members(table, &members, role, declared))
        };
        declared.group(&name.value, role, pick);
    }
}

/// The members that a group names, each once.
fn named_members(
    table: &Table<'_>,
    names: &[Located<String>],
    role: Role,
    declared: &Declarations,
) -> Vec<usize> {
    let mut members = Vec::new();
    for name in names {
        match declared.member(&name.value).filter(|member| member.0 == role) {
            Some((_, member)) if !members.contains(&member) => members.push(member),
            Some(_) => table.report(name, "it is named twice", None),
            None => {
                let (letter, all) = (role.letter(), declared.count(role));
                let help = format!("they are {letter}1 to {letter}{all}");
                table.report(name, format!("no {:?} among them", name.value), Some(help));
            }
        }
    }
    members
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
