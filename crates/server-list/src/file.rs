//! One file of servers: its form, and all that can be wrong with it by itself.

use std::net::SocketAddr;
use std::ops::Range;

use rustc_hash::FxHashMap;
use sableloom_toml_diagnostics::{self as toml_diagnostics, Located, Problem, Table, suggestion};
use sha2::{Digest, Sha256};

use crate::Spec;

/// Most servers of a pool.
pub const MOST_SERVERS: usize = 20_000;
/// The largest weight. More is a slip of the hand, not a larger machine.
pub const MOST_WEIGHT: f64 = 1000.0;

/// What a server is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes requests.
    Serving,
    /// It finishes what it has.
    Draining,
}

/// A server as a file names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its name.
    pub id: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Its zone; empty for none.
    pub zone: String,
    /// Its relative size; one of 0 gets no requests.
    pub weight: f64,
    /// What it is to do.
    pub state: State,
    /// When it last started, in Unix milliseconds, if that is stated.
    pub started_ms: Option<f64>,
    place: Place,
}

/// Where it stands in its file. Two servers that differ only in this are the same.
#[derive(Clone, Debug)]
struct Place {
    span: Range<usize>,
    line: usize,
    number: usize,
}

impl PartialEq for Place {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Listed {
    /// A server that comes from elsewhere than a file of servers: `number` is its place in its listing,
    /// `line` the line that set it.
    pub fn new(fields: ServerFields, number: usize, line: usize) -> Self {
        fields.listed(Place { span: 0..0, line, number })
    }

    /// Whether it takes requests.
    pub fn serves(&self) -> bool {
        self.state == State::Serving && self.weight > 0.0
    }

    pub(crate) fn problem(&self, file: &str, field: &str, message: String) -> Problem {
        Problem {
            file: file.to_string(),
            span: self.place.span.clone(),
            line: self.place.line,
            column: 1,
            field: format!("server[{}].{field}", self.place.number),
            message,
            help: None,
        }
    }
}

/// What a file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Files of a pool that say a version change together.
    pub version: Option<String>,
    /// How many serving servers it takes out, if it says so.
    pub takes_out: Option<usize>,
    /// Its servers, in their order.
    pub servers: Vec<Listed>,
    /// Of its bytes.
    pub digest: [u8; 32],
}

/// Reads a file of servers. A text that was cut anywhere is refused: the last table says that it is
/// the end, and how many servers came before.
pub fn read(file: &str, bytes: &[u8], spec: &Spec) -> Result<Listing, Vec<Problem>> {
    if bytes.iter().all(u8::is_ascii_whitespace) {
        let mut problem = Problem::of_file(file, "it is empty");
        problem.help = Some("to empty a pool, write [end], servers = 0 and takes_out".into());
        return Err(vec![problem]);
    }
    let lines = line_starts(bytes);
    let mut listing = toml_diagnostics::read(file, bytes, |root| listing(root, spec, &lines))?;
    listing.digest = Sha256::digest(bytes).into();
    Ok(listing)
}

fn line_starts(bytes: &[u8]) -> Vec<usize> {
    let breaks = bytes.iter().enumerate().filter(|(_, b)| **b == b'\n').map(|(i, _)| i + 1);
    std::iter::once(0).chain(breaks).collect()
}

fn listing(root: &Table<'_>, spec: &Spec, lines: &[usize]) -> Option<Listing> {
    let version = root.string("version").map(|v| v.value);
    let takes_out = root.integer("takes_out", 0..=MOST_SERVERS, " servers").map(|n| n.value);
    if let Some(pool) = root.string("pool").filter(|pool| pool.value != spec.pool) {
        let message = format!("{:?} is not the pool that names this file", pool.value);
        root.report(&pool, message, Some(format!("that is `{}`", spec.pool)));
    }
    let tables = root.tables("server");
    let (mut ids, mut addresses) = (FxHashMap::default(), FxHashMap::default());
    let mut servers = Vec::with_capacity(tables.len());
    for (number, table) in tables.iter().enumerate() {
        let place = table.location().span;
        let line = lines.partition_point(|start| *start <= place.start);
        let Some(fields) = read_server(table, &spec.zones) else { continue };
        let ServerFields { id, address, .. } = &fields;
        if let Some(first) = ids.insert(id.value.clone(), number) {
            table.report(id, format!("{:?} is the id of server[{first}] as well", id.value), None);
        }
        if let Some(first) = addresses.insert(address.value, number) {
            let message = format!("{} is the address of server[{first}] as well", address.value);
            table.report(address, message, None);
        }
        servers.push(fields.listed(Place { span: place, line, number }));
    }
    match root.table("end") {
        None => {
            root.report_missing("end", "a last table [end] with servers = their number; is it cut?")
        }
        Some(end) => {
            let count = end.required_number("servers", 0.0..=MOST_SERVERS as f64, " servers");
            if let Some(count) = count.filter(|count| count.value != tables.len() as f64) {
                let message = format!("{} servers are here, not {}", tables.len(), count.value);
                end.report(&count, message, Some("is the file cut, or half written?".into()));
            }
            end.finish();
        }
    }
    Some(Listing { version, takes_out, servers, digest: [0; 32] })
}

/// The fields of one server.
#[derive(Clone, Debug)]
pub struct ServerFields {
    /// Its id.
    pub id: Located<String>,
    /// Where it is.
    pub address: Located<SocketAddr>,
    /// Its zone; empty for none.
    pub zone: String,
    /// Its relative size.
    pub weight: f64,
    /// What it is to do.
    pub state: State,
    /// When it last started, in Unix milliseconds, if that is stated.
    pub started_ms: Option<f64>,
}

impl ServerFields {
    fn listed(self, place: Place) -> Listed {
        Listed {
            id: self.id.value,
            address: self.address.value,
            zone: self.zone,
            weight: self.weight,
            state: self.state,
            started_ms: self.started_ms,
            place,
        }
    }
}

/// Reads one server from a table, and finishes the table: it may have no other field. With `zones`, the
/// server's zone must be one of them.
pub fn read_server(table: &Table<'_>, zones: &[String]) -> Option<ServerFields> {
    let fields = read_server_fields(table, zones);
    table.finish();
    fields
}

/// As [`read_server`], for a table that has fields of its own beside.
pub fn read_server_fields(table: &Table<'_>, zones: &[String]) -> Option<ServerFields> {
    let id = table.required_name("id");
    let address = table.required_address("address");
    let started_ms = started(table);
    let weight = table.number("weight", 0.0..=MOST_WEIGHT, "");
    let state =
        table.choice("state", &[("serving", State::Serving), ("draining", State::Draining)]);
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
        state: state.map_or(State::Serving, |s| s.value),
        started_ms,
    })
}

fn started(table: &Table<'_>) -> Option<f64> {
    let date = table.date("started")?;
    match date.value.parse::<jiff::Timestamp>() {
        Ok(at) if at.as_millisecond() > 0 => Some(at.as_millisecond() as f64),
        _ => {
            table.report(&date, "expected a date after 1970", None);
            None
        }
    }
}
