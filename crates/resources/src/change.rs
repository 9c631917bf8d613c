//! Reads a change file: the operator's unit of change, one numbered file of a log.

use rustc_hash::FxHashMap;
use sableloom_distribution::{MAX_BODY_BYTES, ResourceKind, ResourceName, ServiceName, hash_bytes};
use sableloom_server_list::{ServerFields, read_server_fields};
use sableloom_site_config::{PoolSettings, read_conditions, read_rejection};
use sableloom_toml_diagnostics::{self as toml_diagnostics, Problem, Table};

use crate::body::{Body, RouteRule, ServerEntry};
use crate::tenant::TenantLimit;

/// Most entries of one change file: as many as a megabyte's worth of the shortest ones.
pub const MAX_ENTRIES: usize = 100_000;
/// Largest number of a change file: the largest whole number that TOML readers agree on.
pub const MAX_CHANGE_NUMBER: usize = 1 << 53;

/// What one entry of a change file does.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Sets a resource, new or not.
    Set {
        /// The resource.
        name: ResourceName,
        /// Its body.
        body: Box<Body>,
    },
    /// Removes a resource.
    Remove(ResourceName),
    /// Removes a service with all its resources.
    RemoveService(ServiceName),
}

impl Edit {
    /// The service that it touches.
    pub fn service(&self) -> &ServiceName {
        match self {
            Edit::Set { name, .. } | Edit::Remove(name) => &name.service,
            Edit::RemoveService(service) => service,
        }
    }
}

/// An entry of a change file.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeEntry {
    /// What it does.
    pub edit: Edit,
    /// The line that it begins in, from 1.
    pub line: u32,
    /// The table that holds it, as in `server[3]`.
    pub field: String,
}

/// A change file that makes sense by itself. What it means for the resources that are there is judged by
/// [`ChangeFile::resolve`].
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeFile {
    /// The file, as the operator named it.
    pub file: String,
    /// Its place in the log.
    pub number: u64,
    /// The epoch of the log that it belongs to.
    pub epoch: u32,
    /// What it does, in its order.
    pub entries: Vec<ChangeEntry>,
    /// A hash of its bytes, the same in every process.
    pub hash: u64,
}

/// Whether a change file was written to its end: its last table is `[end]`, and the line of its `changes` is
/// complete. A file for which this is false is still being written, or was cut.
pub fn is_complete(text: &[u8]) -> bool {
    if text.last() != Some(&b'\n') {
        return false;
    }
    let lines = text.rsplit(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    let mut has_count = false;
    for line in lines.filter(|line| !line.is_empty() && line[0] != b'#') {
        match line.strip_prefix(b"[end]") {
            Some(_) => return has_count,
            None if line.starts_with(b"changes") => has_count = true,
            // Another table, or a field of one.
            None => return false,
        }
    }
    false
}

/// Reads a change file; `file` is what problems call it. All that is wrong is found at once.
pub fn read_change(file: &str, text: &[u8]) -> Result<ChangeFile, Vec<Problem>> {
    let mut change = toml_diagnostics::read(file, text, |root| change(file, root))?;
    change.hash = hash_bytes(text);
    Ok(change)
}

fn change(file: &str, root: &Table<'_>) -> Option<ChangeFile> {
    let number = need_whole(root, "number", MAX_CHANGE_NUMBER);
    let epoch = need_whole(root, "epoch", u32::MAX as usize);
    let mut entries = Entries::default();
    entries.read(root, "pool", pool);
    entries.read(root, "server", server);
    entries.read(root, "route", route);
    entries.read(root, "tenant", tenant);
    entries.read(root, "remove", remove);
    end(root, entries.tables);
    Some(ChangeFile {
        file: file.to_string(),
        number: number? as u64,
        epoch: epoch? as u32,
        entries: entries.entries,
        hash: 0,
    })
}

fn need_whole(table: &Table<'_>, name: &'static str, most: usize) -> Option<usize> {
    if !table.has(name) {
        table.report_missing(name, &format!("a whole number from 1 to {most}"));
    }
    table.integer(name, 1..=most, "").map(|found| found.value)
}

/// The last table, which shows that the file is whole.
fn end(root: &Table<'_>, tables: usize) {
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

/// The entries read so far.
#[derive(Default)]
struct Entries {
    entries: Vec<ChangeEntry>,
    /// Tables read, wrong ones included.
    tables: usize,
    /// The table that named a resource first.
    first: FxHashMap<ResourceName, String>,
    /// The table that removed a service.
    removed: FxHashMap<ServiceName, String>,
}

impl Entries {
    fn read(
        &mut self,
        root: &Table<'_>,
        name: &'static str,
        edit: impl Fn(&Table<'_>) -> Option<Edit>,
    ) {
        for table in root.tables(name) {
            self.tables += 1;
            if self.tables == MAX_ENTRIES + 1 {
                let message = format!("more than {MAX_ENTRIES} changes in one file");
                table.report(&table.location(), message, None);
            }
            let edit = edit(&table);
            table.finish();
            let Some(edit) = edit else { continue };
            let field = table.location().field;
            self.check_unique(&table, &edit, &field);
            check_size(&table, &edit);
            self.entries.push(ChangeEntry { edit, line: table.line() as u32, field });
        }
    }

    /// A file names a resource once: the order of its entries has no meaning.
    fn check_unique(&mut self, table: &Table<'_>, edit: &Edit, field: &str) {
        let earlier = match edit {
            Edit::Set { name, .. } | Edit::Remove(name) => {
                self.first.insert(name.clone(), field.to_string())
            }
            Edit::RemoveService(service) => self.removed.insert(service.clone(), field.to_string()),
        };
        if let Some(earlier) = earlier {
            table.report(&table.location(), format!("{earlier} names the same"), None);
        }
    }
}

/// A body fits into a message.
fn check_size(table: &Table<'_>, edit: &Edit) {
    let Edit::Set { body, .. } = edit else { return };
    let bytes = body.encode().len();
    if bytes > MAX_BODY_BYTES {
        let message =
            format!("it takes {bytes} bytes, more than the {MAX_BODY_BYTES} of a resource");
        table.report(&table.location(), message, None);
    }
}

fn service(table: &Table<'_>) -> Option<ServiceName> {
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

fn resource(service: ServiceName, kind: ResourceKind, key: &str) -> ResourceName {
    ResourceName { service, kind, key: key.into() }
}

fn set(service: ServiceName, key: &str, body: Body) -> Edit {
    Edit::Set { name: resource(service, body.kind(), key), body: Box::new(body) }
}

fn pool(table: &Table<'_>) -> Option<Edit> {
    let service = service(table);
    let settings = PoolSettings::read(table);
    Some(set(service?, "", Body::Pool(settings)))
}

fn server(table: &Table<'_>) -> Option<Edit> {
    let service = service(table);
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

fn route(table: &Table<'_>) -> Option<Edit> {
    let service = service(table);
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

fn tenant(table: &Table<'_>) -> Option<Edit> {
    let service = service(table);
    let name = table.required_name("name");
    let limit = TenantLimit::read(table);
    Some(set(service?, &name?.value, Body::Tenant(limit?)))
}

fn remove(table: &Table<'_>) -> Option<Edit> {
    let service = service(table);
    let kinds = [
        ("server", ResourceKind::Server),
        ("route", ResourceKind::Route),
        ("tenant", ResourceKind::Tenant),
    ];
    // All are asked for, so that what is wrong with any of them is told.
    let named: Vec<(ResourceKind, Option<String>)> = kinds
        .into_iter()
        .filter_map(|(field, kind)| Some((kind, optional_name(table, field)?)))
        .collect();
    match &named[..] {
        [] => Some(Edit::RemoveService(service?)),
        [(kind, name)] => Some(Edit::Remove(resource(service?, *kind, name.as_deref()?))),
        _ => {
            let message = "it removes a server, a route or a tenant, not several of them";
            table.report(&table.location(), message, None);
            None
        }
    }
}

/// A name that need not be there: none, a wrong one, or a name.
fn optional_name(table: &Table<'_>, field: &'static str) -> Option<Option<String>> {
    match table.has(field) {
        true => Some(table.required_name(field).map(|found| found.value)),
        false => {
            // Asked for all the same, so that a misspelt field gets it as a suggestion.
            let _ = table.string(field);
            None
        }
    }
}
