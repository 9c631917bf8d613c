//! Reads shadows: which pool's requests are copied where, and within which bounds.

use sableloom_shadow::{Bounds, By, Pattern, Rules};
use sableloom_toml_diagnostics::{Located, Table, suggestion};
use sableloom_types::Idempotency;
use sableloom_types::settings::span;

use crate::field::{HOUR_MS, Named, header_name, index, new_name, place};
use crate::{Class, Pool, Shadow};

/// Fields that are not copied where nothing is said: whoever holds them may act for the member
/// (RFC 9110, section 11.6.2; RFC 6265).
const DROP: [&str; 3] = ["authorization", "proxy-authorization", "cookie"];
/// Fields that are compared where nothing is said.
const FIELDS: [&str; 1] = ["content-type"];

/// The shadows, and the names of the pools that get copies; these are taken out of `pools`.
pub(crate) fn shadows(
    root: &Table<'_>,
    starts: &[usize],
    classes: &Named<Class>,
    pools: &mut Named<Pool>,
) -> (Vec<Shadow>, Vec<String>) {
    // What a shadow is before its pools are its own.
    struct Draft {
        shadow: Option<(String, usize)>,
        to: Option<usize>,
        control: Option<usize>,
    }
    let (mut drafts, mut rest) = (Vec::new(), Vec::new());
    let mut names: Named<()> = Vec::new();
    let mut taken: Vec<(usize, String)> = Vec::new();
    for table in root.tables("shadow") {
        let name = new_name(&table, &names);
        if name.as_ref().is_some_and(|name| name.contains('/')) {
            table.report(&table.location(), "its name is part of a file's, and has no \"/\"", None);
        }
        names.extend(name.clone().map(|name| (name, ())));
        let mut pool = |field: &'static str, must: bool| -> Option<usize> {
            let found = match must {
                true => table.required_string(field, "a pool's name"),
                false => table.string(field),
            }?;
            let at = index(&table, &found, pools, "pool")?;
            // A pool has one part in one shadow: the live one is asked by members, and a candidate
            // of two would be judged by the load of both.
            if let Some((_, other)) = taken.iter().find(|(pool, _)| *pool == at) {
                let message = format!("pool {:?} is {other} already", found.value);
                table.report(&found, message, None);
                return None;
            }
            taken.push((at, format!("`{}`", found.field)));
            Some(at)
        };
        let (of, to, control) = (pool("of", true), pool("to", true), pool("control", false));
        drafts.push(Draft { shadow: name.zip(of), to, control });
        rest.push(settings(&table, classes));
        rest.last_mut().into_iter().for_each(|rest| rest.place = place(&table, starts));
        table.finish();
    }
    // Pools of shadows leave the list; the places of the others move up.
    let side = |at: usize| drafts.iter().any(|d| [d.to, d.control].contains(&Some(at)));
    let mut all: Vec<Option<(String, Pool)>> = pools.drain(..).map(Some).collect();
    let mut moved = vec![0; all.len()];
    for (at, slot) in all.iter_mut().enumerate() {
        if !side(at) {
            moved[at] = pools.len();
            pools.extend(slot.take());
        }
    }
    let names = all.iter().flatten().map(|(name, _)| name.clone()).collect();
    let mut take = |at: Option<usize>| Some(all[at?].take()?.1);
    let mut shadows = Vec::new();
    for (draft, rest) in drafts.into_iter().zip(rest) {
        let (to, control) = (take(draft.to), take(draft.control));
        if let (Some((name, of)), Some(to)) = (draft.shadow, to) {
            // The decision module refuses what can't be served in the time that is left, by the aim
            // and T_QoS until it knows better. Failure: with less time than an aim, it refused every
            // copy, and the candidate was never asked.
            let least = std::iter::once(&to).chain(&control).map(|pool| pool.t_qos_ms);
            let least = least.fold(rest.aim_ms, f64::max);
            let time_ms = rest.time_ms.as_ref().map_or(rest.longest_ms.max(least), |t| t.value);
            if let Some(time) = rest.time_ms.as_ref().filter(|time| time.value < least) {
                let message = format!(
                    "{time_ms} ms is under {least} ms, the longest aim of its classes and T_QoS of its pools"
                );
                root.report(time, message, None);
            }
            let record = rest.record.clone().unwrap_or(format!("shadow-{name}.json"));
            if shadows.iter().any(|other: &Shadow| other.record == record) {
                let field = format!("shadow[{}].record", shadows.len());
                let found = Located { value: (), span: rest.place.span.clone(), field };
                root.report(&found, format!("{record:?} is another shadow's"), None);
            }
            shadows.push(Shadow {
                name,
                of: moved[of],
                to,
                control,
                bounds: rest.bounds,
                rules: rest.rules,
                time_ms,
                settle_ms: rest.settle_ms,
                drop: rest.drop,
                values: rest.values,
                record,
                record_ms: rest.record_ms,
                place: rest.place,
            });
        }
    }
    (shadows, names)
}

struct Settings {
    bounds: Bounds,
    rules: Rules,
    time_ms: Option<Located<f64>>,
    /// The longest deadline and the longest aim of the classes that are copied.
    longest_ms: f64,
    aim_ms: f64,
    settle_ms: f64,
    drop: Vec<String>,
    values: bool,
    record: Option<String>,
    record_ms: f64,
    place: crate::Place,
}

fn settings(table: &Table<'_>, classes: &Named<Class>) -> Settings {
    let ms = |field: &'static str, least: f64, otherwise: f64| {
        table.number(field, least..=HOUR_MS, " ms").map_or(otherwise, |n| n.value)
    };
    let whole = |field: &'static str, least: usize, most: usize, otherwise: usize| {
        table.integer(field, least..=most, "").map_or(otherwise, |n| n.value)
    };
    let kb = |field: &'static str, otherwise: usize| {
        table.integer(field, 1..=1_000_000, " kB").map_or(otherwise, |n| n.value) << 10
    };
    let wanted = copied(table, classes);
    // As long as any of the classes that are copied may take.
    let longest_of = |time: fn(&Class) -> f64| {
        let of_these = classes.iter().zip(&wanted).filter(|(_, wanted)| **wanted);
        of_these.map(|((_, class), _)| time(class)).fold(1.0, f64::max)
    };
    let (longest, latency_objective) = (longest_of(|c| c.deadline_ms), longest_of(|c| c.aim_ms));
    let by = table.choice("by", &[("key", By::Key), ("request", By::Request)]);
    let rest_ms = ms("rest_ms", 1.0, 1000.0);
    let rest_most = table.number("rest_most_ms", 1.0..=HOUR_MS, " ms");
    if let Some(most) = rest_most.as_ref().filter(|most| most.value < rest_ms) {
        let message = format!("{} ms is under the first rest of {rest_ms} ms", most.value);
        table.report(most, message, None);
    }
    let rest_most_ms = rest_most.map_or(60_000.0, |most| most.value);
    let bounds = Bounds {
        classes: wanted,
        share: table.number("share", 0.0..=1.0, " of the requests").map_or(0.1, |n| n.value),
        by: by.map_or(By::Key, |by| by.value),
        per_second: table
            .number("per_second", 0.001..=1_000_000.0, " a second")
            .map_or(50.0, |n| n.value),
        in_flight: whole("in_flight", 1, 10_000, 16),
        held: kb("held_kb", 1 << 10),
        each: kb("each_kb", 64),
        calm: span(ms("calm_ms", 0.0, 100.0)),
        live_open: whole("live_open", 0, 1_000_000, 0),
        trip: whole("trip", 1, 10_000, 8) as u32,
        rest: span(rest_ms),
        rest_most: span(rest_most_ms.max(rest_ms)),
        seed: 0,
        own: 0,
    };
    let record = table.string("record");
    if let Some(record) = record.as_ref().filter(|record| record.value.is_empty()) {
        table.report(record, "a file has a name", None);
    }
    Settings {
        bounds,
        rules: rules(table.table("compare")),
        time_ms: table.number("time_ms", 1.0..=HOUR_MS, " ms"),
        longest_ms: longest,
        aim_ms: latency_objective,
        settle_ms: ms("settle_ms", 0.0, 1000.0),
        drop: names(table, "drop", &DROP),
        values: table.boolean("values").is_some_and(|values| values.value),
        record: record.map(|record| record.value),
        record_ms: ms("record_ms", 100.0, 10_000.0),
        place: crate::Place::default(),
    }
}

/// Which classes are copied: those that are named, or else all that are safe.
fn copied(table: &Table<'_>, classes: &Named<Class>) -> Vec<bool> {
    let safe = |class: &Class| class.idempotency == Idempotency::Idempotent;
    let mut copied = vec![false; classes.len()];
    for name in table.strings("classes") {
        let Some(at) = index(table, &name, classes, "class") else { continue };
        if !safe(&classes[at].1) {
            let message =
                format!("{:?} is not safe, and no such request is ever copied", name.value);
            let known: Vec<_> =
                classes.iter().filter(|(_, c)| safe(c)).map(|(name, _)| name.as_str()).collect();
            table.report(&name, message, Some(suggestion("", known)));
        }
        copied[at] = safe(&classes[at].1);
    }
    if !table.has("classes") {
        copied = classes.iter().map(|(_, class)| safe(class)).collect();
        if !classes.is_empty() && !copied.contains(&true) {
            let message = "no class is safe, so there is nothing to copy";
            table.report(&table.location(), message, None);
        }
    }
    copied
}

/// Names of header fields, or those that hold where nothing is said.
fn names(table: &Table<'_>, field: &'static str, otherwise: &[&str]) -> Vec<String> {
    let found = table.strings(field);
    match table.has(field) {
        true => found.iter().filter_map(|name| header_name(table, name)).collect(),
        false => otherwise.iter().map(|name| name.to_string()).collect(),
    }
}

fn rules(table: Option<Table<'_>>) -> Rules {
    let Some(table) = table else {
        let fields = FIELDS.iter().map(|name| name.to_string()).collect();
        return Rules { fields, ..Rules::default() };
    };
    let patterns = |field: &'static str| -> Vec<Pattern> {
        let pattern = |text: Located<String>| match text.value.parse() {
            Ok(pattern) => Some(pattern),
            Err(e) => {
                let message = format!("{:?} is no pointer into an answer: {e}", text.value);
                table.report(&text, message, None);
                None
            }
        };
        table.strings(field).into_iter().filter_map(pattern).collect()
    };
    let rules = Rules {
        fields: names(&table, "fields", &FIELDS),
        ignore: patterns("ignore"),
        unordered: patterns("unordered"),
    };
    table.finish();
    rules
}
