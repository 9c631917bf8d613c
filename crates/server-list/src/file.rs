//! Parses one file of servers, and finds all problems that do not depend on other files.

use rustc_hash::FxHashMap;
use sableloom_toml_diagnostics::{self as toml_diagnostics, Problem, Table, suggestion};
use sha2::{Digest, Sha256};

use crate::list_spec::ListSpec;
use crate::server_record::{RecordState, ServerFields, ServerListing, SourceLocation};

/// Maximum number of servers in all files of a pool.
pub const MAX_SERVERS: usize = 20_000;
/// Maximum weight of a server. A larger value is a typing error rather than a larger machine.
pub const MAX_WEIGHT: f64 = 1000.0;

/// Parses and checks the contents of a file of servers; `file` is the name that problems report. A truncated file is
/// rejected, because the last table, `[end]`, states the number of servers.
///
/// # Errors
///
/// Returns all problems of the file, each with its line and field.
pub fn read(file: &str, bytes: &[u8], spec: &ListSpec) -> Result<ServerListing, Vec<Problem>> {
    if bytes.iter().all(u8::is_ascii_whitespace) {
        let mut problem = Problem::of_file(file, "the file is empty");
        problem.help =
            Some("to empty a pool, write takes_out and a table [end] with servers = 0".into());
        return Err(vec![problem]);
    }
    let line_starts = find_line_starts(bytes);
    let mut listing =
        toml_diagnostics::read(file, bytes, |root| read_listing(root, spec, &line_starts))?;
    listing.digest = Sha256::digest(bytes).into();
    Ok(listing)
}

/// The byte offset at which each line starts.
fn find_line_starts(bytes: &[u8]) -> Vec<usize> {
    let after_breaks = bytes.iter().enumerate().filter(|(_, b)| **b == b'\n').map(|(i, _)| i + 1);
    std::iter::once(0).chain(after_breaks).collect()
}

fn read_listing(root: &Table<'_>, spec: &ListSpec, line_starts: &[usize]) -> Option<ServerListing> {
    let version = root.string("version").map(|v| v.value);
    let takes_out = root.integer("takes_out", 0..=MAX_SERVERS, " servers").map(|n| n.value);
    if let Some(pool) = root.string("pool").filter(|pool| pool.value != spec.pool) {
        let message = format!("{:?} is not the pool that lists this file", pool.value);
        root.report(&pool, message, Some(format!("the pool is `{}`", spec.pool)));
    }
    let tables = root.tables("server");
    let (mut ids, mut addresses) = (FxHashMap::default(), FxHashMap::default());
    let mut servers = Vec::with_capacity(tables.len());
    for (index, table) in tables.iter().enumerate() {
        let span = table.location().span;
        let line = line_starts.partition_point(|start| *start <= span.start);
        let Some(fields) = read_server(table, &spec.zones) else { continue };
        let ServerFields { id, address, .. } = &fields;
        if let Some(first) = ids.insert(id.value.clone(), index) {
            table.report(id, format!("{:?} is the id of server[{first}] as well", id.value), None);
        }
        if let Some(first) = addresses.insert(address.value, index) {
            let message = format!("{} is the address of server[{first}] as well", address.value);
            table.report(address, message, None);
        }
        servers.push(fields.record(SourceLocation { span, line, index }));
    }
    match root.table("end") {
        None => root.report_missing(
            "end",
            "a last table [end] with the number of servers; the file may be truncated",
        ),
        Some(end) => {
            let count = end.required_number("servers", 0.0..=MAX_SERVERS as f64, " servers");
            if let Some(count) = count.filter(|count| count.value != tables.len() as f64) {
                let message = format!("the file has {} servers, not {}", tables.len(), count.value);
                end.report(
                    &count,
                    message,
                    Some("the file may be truncated or half written".into()),
                );
            }
            end.finish();
        }
    }
    Some(ServerListing { version, takes_out, servers, digest: [0; 32] })
}

/// Reads one server from a table, and reports every field of the table that does not belong to a server. Unless `zones`
/// is empty, the zone of the server must be one of `zones`. Problems are reported to the document of the table; `None`
/// is returned if the id or the address is missing or invalid.
pub fn read_server(table: &Table<'_>, zones: &[String]) -> Option<ServerFields> {
    let fields = read_server_fields(table, zones);
    table.finish();
    fields
}

/// Reads one server as [`read_server`] does, from a table that also has other fields. The caller reads the other fields
/// and then calls [`Table::finish`].
pub fn read_server_fields(table: &Table<'_>, zones: &[String]) -> Option<ServerFields> {
    let id = table.required_name("id");
    let address = table.required_address("address");
    let started_ms = read_started(table);
    let weight = table.number("weight", 0.0..=MAX_WEIGHT, "");
    let state = table
        .choice("state", &[("serving", RecordState::Serving), ("draining", RecordState::Draining)]);
    let zone = table.string("zone");
    if let Some(zone) = &zone
        && !zones.is_empty()
        && !zones.contains(&zone.value)
    {
        let help = suggestion(&zone.value, zones.iter().map(String::as_str));
        table.report(zone, format!("no zone {:?}", zone.value), Some(help));
    }
    Some(ServerFields {
        id: id?,
        address: address?,
        zone: zone.map(|z| z.value).unwrap_or_default(),
        weight: weight.map_or(1.0, |w| w.value),
        state: state.map_or(RecordState::Serving, |s| s.value),
        started_ms,
    })
}

/// The field `started` in Unix milliseconds.
fn read_started(table: &Table<'_>) -> Option<f64> {
    let date = table.date("started")?;
    match date.value.parse::<jiff::Timestamp>() {
        Ok(at) if at.as_millisecond() > 0 => Some(at.as_millisecond() as f64),
        _ => {
            table.report(&date, "expected a date after 1970", None);
            None
        }
    }
}
