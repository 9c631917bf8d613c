//! Reads the load of a script, and the behaviour of its clients.

use sableloom_toml_diagnostics::Table;

use super::fields::{count, share, span, time};
use crate::script::{Clients, Load, MS, S};

pub(super) fn load(root: &Table<'_>) -> Option<Load> {
    if !root.has("load") {
        root.report_missing("load", "a table with `per_second`");
    }
    let table = root.table("load")?;
    let per_second = table.required_number("per_second", 0.0..=100_000.0, " requests a second");
    let keys = table.integer("keys", 1..=10_000_000, "");
    let uneven = table.number("uneven", 1.0..=100.0, " times the mean");
    table.finish();
    Some(Load {
        per_second: per_second?.value,
        keys: keys.map_or(10_000, |n| n.value),
        uneven: uneven.map_or(1.0, |n| n.value),
    })
}

pub(super) fn clients(root: &Table<'_>) -> Clients {
    let mut clients = Clients {
        again: 0,
        after: (100 * MS, 400 * MS),
        elsewhere: true,
        leave: 0.0,
        leave_after: 0,
        notice: S,
    };
    let Some(table) = root.table("clients") else { return clients };
    clients.again = count(&table, "again", 100, " times").unwrap_or(0) as u32;
    clients.after = span(&table, "after").unwrap_or(clients.after);
    clients.elsewhere = table.boolean("elsewhere").is_none_or(|f| f.value);
    clients.leave = share(&table, "leave").unwrap_or(0.0);
    clients.leave_after = time(&table, "leave_after_ms").unwrap_or(0);
    if clients.leave > 0.0 && !table.has("leave_after_ms") {
        table.report_missing("leave_after_ms", "when those leave, in milliseconds");
    }
    clients.notice = time(&table, "notice_ms").unwrap_or(clients.notice);
    table.finish();
    clients
}
