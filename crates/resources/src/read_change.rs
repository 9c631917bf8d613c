//! Reads a change file: its tables become edits, and all problems are found at once.

use rustc_hash::FxHashMap;
use sableloom_distribution::{MAX_BODY_BYTES, ResourceKind, ResourceName, ServiceName, hash_bytes};
use sableloom_server_list::{ServerFields, read_server_fields};
use sableloom_site_config::{PoolSettings, read_conditions, read_rejection};
use sableloom_toml_diagnostics::{self as toml_diagnostics, Problem, Table};

use crate::body::Body;
use crate::change_file::{ChangeEntry, ChangeFile, Edit};
use crate::route_rule::RouteRule;
use crate::server_entry::ServerEntry;
use crate::tenant::TenantLimit;

/// The most entries of one change file: as many as a megabyte of the shortest ones holds.
pub const MAX_ENTRIES: usize = 100_000;
/// The largest number of a change file: the largest integer on which TOML readers agree.
pub const MAX_CHANGE_NUMBER: usize = 1 << 53;

/// Reads a change file; `file` is its name in problems.
///
/// # Errors
///
/// All problems of the file, each with its line and field.
pub fn read_change(file: &str, text: &[u8]) -> Result<ChangeFile, Vec<Problem>> {
    let mut change = toml_diagnostics::read(file, text, |root| read_root(file, root))?;
    change.hash = hash_bytes(text);
    Ok(change)
}

fn read_root(file: &str, root: &Table<'_>) -> Option<ChangeFile> {
    let number = required_whole(root, "number", MAX_CHANGE_NUMBER);
    let epoch = required_whole(root, "epoch", u32::MAX as usize);
    let mut entries = EntryReader::default();
    entries.read(root, "pool", read_pool);
    entries.read(root, "server", read_server);
    entries.read(root, "route", read_route);
    entries.read(root, "tenant", read_tenant);
    entries.read(root, "remove", read_removal);
    check_end(root, entries.tables);
    Some(ChangeFile {
        file: file.to_string(),
        number: number? as u64,
        epoch: epoch? as u32,
        entries: entries.entries,
        hash: 0,
    })
}

fn required_whole(table: &Table<'_>, name: &'static str, max: usize) -> Option<usize> {
    if !table.has(name) {
        table.report_missing(name, &format!("a whole number from 1 to {max}"));
    }
    table.integer(name, 1..=max, "").map(|found| found.value)
}

/// Checks the last table, which shows that the file is complete: a truncated file must not be applied in part.
fn check_end(root: &Table<'_>, tables: usize) {
    let Some(end) = root.table("end") else {
        return root
            .report_missing("end", "a last table [end] with changes = their number; is it cut?");
    };
    let count = end.required_number("changes", 0.0..=MAX_ENTRIES as f64, " changes");
    if let Some(count) = count.filter(|count| count.value != tables as f64) {
        let message = format!("{tables} changes are here, not {}", count.value);
        end.report(&count, message, Some("is the file cut, or half written?".into()));
    }
    end.finish();
}

/// Reads the entries, and checks that they name different resources.
#[derive(Default)]
struct EntryReader {
    entries: Vec<ChangeEntry>,
    /// The number of tables, wrong ones included.
    tables: usize,
    /// By resource: the table that names it.
    named_by: FxHashMap<ResourceName, String>,
    /// By service: the table that removes it.
    removed_by: FxHashMap<ServiceName, String>,
}

impl EntryReader {
    fn read(
        &mut self,
        root: &Table<'_>,
        name: &'static str,
        read_edit: impl Fn(&Table<'_>) -> Option<Edit>,
    ) {
        for table in root.tables(name) {
            self.tables += 1;
            if self.tables == MAX_ENTRIES + 1 {
                let message = format!("more than {MAX_ENTRIES} changes in one file");
                table.report(&table.location(), message, None);
            }
            let edit = read_edit(&table);
            table.finish();
            let Some(edit) = edit else { continue };
            let field = table.location().field;
            self.check_unique(&table, &edit, &field);
            check_size(&table, &edit);
            self.entries.push(ChangeEntry { edit, line: table.line() as u32, field });
        }
    }

    /// A file names a resource once, as the order of its entries has no meaning.
    fn check_unique(&mut self, table: &Table<'_>, edit: &Edit, field: &str) {
        let earlier = match edit {
            Edit::Set { name, .. } | Edit::Remove(name) => {
                self.named_by.insert(name.clone(), field.to_string())
            }
            Edit::RemoveService(service) => {
                self.removed_by.insert(service.clone(), field.to_string())
            }
        };
        if let Some(earlier) = earlier {
            table.report(&table.location(), format!("{earlier} names the same"), None);
        }
    }
}

/// Checks that the body of a resource fits into a message.
fn check_size(table: &Table<'_>, edit: &Edit) {
    let Edit::Set { body, .. } = edit else { return };
    let bytes = body.encode().len();
    if bytes > MAX_BODY_BYTES {
        let message =
            format!("it takes {bytes} bytes, more than the {MAX_BODY_BYTES} of a resource");
        table.report(&table.location(), message, None);
    }
}

fn read_service(table: &Table<'_>) -> Option<ServiceName> {
    const EXPECTED: &str = "1 to 128 of a-z, 0-9, \".\", \"_\" and \"-\"";
    let found = table.required_string("service", EXPECTED)?;
    match ServiceName::try_from(found.value.as_str()) {
        Ok(service) => Some(service),
        Err(_) => {
            table.report(&found, format!("expected {EXPECTED}, found {:?}", found.value), None);
            None
        }
    }
}

fn resource_name(service: ServiceName, kind: ResourceKind, key: &str) -> ResourceName {
    ResourceName { service, kind, key: key.into() }
}

fn set(service: ServiceName, key: &str, body: Body) -> Edit {
    Edit::Set { name: resource_name(service, body.kind(), key), body: Box::new(body) }
}

fn read_pool(table: &Table<'_>) -> Option<Edit> {
    let service = read_service(table);
    let settings = PoolSettings::read(table);
    Some(set(service?, "", Body::Pool(settings)))
}

fn read_server(table: &Table<'_>) -> Option<Edit> {
    let service = read_service(table);
    let fields = read_server_fields(table, &[]);
    let ServerFields { id, address, zone, weight, state, started_ms } = fields?;
    let entry = ServerEntry {
        address: address.value,
        zone: (!zone.is_empty()).then_some(zone),
        weight,
        state: state.into(),
        started_ms: started_ms.map(|at| at as i64),
    };
    Some(set(service?, &id.value, Body::Server(entry)))
}

fn read_route(table: &Table<'_>) -> Option<Edit> {
    let service = read_service(table);
    let name = table.required_name("name");
    if !table.has("rank") {
        table.report_missing("rank", "the route's place among all routes, lower first");
    }
    let rank = table.integer("rank", 0..=u32::MAX as usize, "");
    let refusal_status = read_rejection(table).map(|status| status.value);
    let conditions = read_conditions(table);
    let classes = table.strings("class").into_iter().map(|class| class.value).collect();
    let rule = RouteRule {
        rank: rank?.value as u32,
        hosts: conditions.hosts,
        paths: conditions.paths,
        methods: conditions.methods,
        headers: conditions.headers,
        classes,
        refusal_status,
    };
    Some(set(service?, &name?.value, Body::Route(rule)))
}

fn read_tenant(table: &Table<'_>) -> Option<Edit> {
    let service = read_service(table);
    let name = table.required_name("name");
    let limit = TenantLimit::read(table);
    Some(set(service?, &name?.value, Body::Tenant(limit?)))
}

fn read_removal(table: &Table<'_>) -> Option<Edit> {
    let service = read_service(table);
    let kinds = [
        ("server", ResourceKind::Server),
        ("route", ResourceKind::Route),
        ("tenant", ResourceKind::Tenant),
    ];
    // Each field is read, so that the problems of all are reported, and a misspelt one gets the right suggestion.
    let read = |(field, kind): (&'static str, ResourceKind)| {
        if !table.has(field) {
            let _ = table.string(field);
            return None;
        }
        Some((kind, table.required_name(field).map(|found| found.value)))
    };
    let named: Vec<(ResourceKind, Option<String>)> = kinds.into_iter().filter_map(read).collect();
    match &named[..] {
        [] => Some(Edit::RemoveService(service?)),
        [(kind, name)] => Some(Edit::Remove(resource_name(service?, *kind, name.as_deref()?))),
        _ => {
            let message = "it removes a server, a route or a tenant, not several of them";
            table.report(&table.location(), message, None);
            None
        }
    }
}
