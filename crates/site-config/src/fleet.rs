//! The fleet that a balancer belongs to: its name, its members and its timing.

use std::collections::HashMap;
use std::net::SocketAddr;

use sableloom_membership::key_of;
use sableloom_toml_diagnostics::{self as toml_diagnostics, Problem, Table, suggestion};

use crate::fields::report_empty_file_name;
use crate::location::SourceLocation;

/// Memory that a balancer may use for its fleet: a quarter of the 32 MB of all of control.
const MEMBERSHIP_BYTES: usize = 8 << 20;
/// Memory that it uses for each member at most: 131 bytes of state as measured (docs/design/members.md), its name and
/// address, the maps to find it by, and updates about it.
const MEMBER_BYTES: usize = 512;
/// Maximum number of members of a fleet, twice as many as planned.
pub const MAX_MEMBERS: usize = MEMBERSHIP_BYTES / MEMBER_BYTES;

/// Time from one probe to the next where nothing is set, in milliseconds.
const DEFAULT_PROBE_INTERVAL_MS: f64 = 200.0;
/// Timeout of a probe where nothing is set, as a fraction of the probe interval.
const PROBE_TIMEOUT_FRACTION_OF_INTERVAL: f64 = 0.4;
/// Duration of a lease where nothing is set, in probe intervals.
const DEFAULT_LEASE_INTERVALS: f64 = 10.0;
/// Shortest duration of a lease where nothing is set, in milliseconds.
const MIN_DEFAULT_LEASE_MS: f64 = 2000.0;
/// Shortest duration of a lease in probe intervals: it is renewed several times while it holds.
const MIN_LEASE_INTERVALS: f64 = 5.0;

/// A member of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// The address that it receives datagrams at.
    pub address: SocketAddr,
}

/// The fleet that this balancer belongs to; times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Its name. Datagrams of another fleet are ignored.
    pub name: String,
    /// This balancer's own name, one of the members'.
    pub own_name: String,
    /// All members, this one included; empty as long as the file that names them has not been read.
    pub members: Vec<Member>,
    /// The file that names the members, if the site does not.
    pub members_file: Option<String>,
    /// The address that operators' queries are answered at; queries from another address are ignored.
    pub operator: Option<SocketAddr>,
    /// Time from one probe to the next.
    pub probe_interval_ms: f64,
    /// Time after which a probed member that did not answer is probed through others.
    pub probe_timeout_ms: f64,
    /// Duration of a lease, the proof that another member does not act.
    pub lease_ms: f64,
    /// Where it is written.
    pub location: SourceLocation,
}

impl Fleet {
    /// The address at which this balancer receives datagrams.
    pub fn address(&self) -> Option<SocketAddr> {
        self.members.iter().find(|m| m.name == self.own_name).map(|m| m.address)
    }

    /// The same fleet with the members that its file names; `file` is what problems call it.
    ///
    /// # Errors
    ///
    /// If this balancer is none of the members.
    pub fn with_members(mut self, file: &str, members: Vec<Member>) -> Result<Self, Vec<Problem>> {
        if !members.iter().any(|m| m.name == self.own_name) {
            let help = suggestion(&self.own_name, members.iter().map(|m| m.name.as_str()));
            let message = format!("no member {:?}, which this balancer is", self.own_name);
            return Err(vec![Problem { help: Some(help), ..Problem::of_file(file, message) }]);
        }
        self.members = members;
        Ok(self)
    }
}

/// Reads a file of members; `file` is what problems call it.
///
/// # Errors
///
/// Everything that is wrong with it.
pub fn read_members(file: &str, text: &[u8]) -> Result<Vec<Member>, Vec<Problem>> {
    toml_diagnostics::read(file, text, |root| Some(member_sections(root, "member")))
}

/// The section `[fleet]`.
pub(crate) fn read_fleet(table: Option<Table<'_>>) -> Option<Fleet> {
    let table = table?;
    let (name, own_name) = (table.required_name("name"), table.required_name("own"));
    let (members_file, members) = read_member_source(&table);
    if let Some(own) = own_name.as_ref().filter(|_| !members.is_empty())
        && !members.iter().any(|m| m.name == own.value)
    {
        let help = suggestion(&own.value, members.iter().map(|m| m.name.as_str()));
        table.report(own, format!("no member {:?}", own.value), Some(help));
    }
    let operator = read_operator(&table, &members);
    let Timing { probe_interval_ms, probe_timeout_ms, lease_ms } = read_timing(&table);
    let location = SourceLocation::of(&table);
    table.finish();
    Some(Fleet {
        name: name?.value,
        own_name: own_name?.value,
        members,
        members_file,
        operator,
        probe_interval_ms,
        probe_timeout_ms,
        lease_ms,
        location,
    })
}

/// The file that names the members, or the members themselves.
fn read_member_source(table: &Table<'_>) -> (Option<String>, Vec<Member>) {
    let Some(file) = table.string("members_file") else {
        return (None, member_sections(table, "member"));
    };
    if table.has("member") {
        table.report(&file, "members are named here or in a file, not both", None);
    } else {
        report_empty_file_name(table, &file);
    }
    (Some(file.value), Vec::new())
}

fn read_operator(table: &Table<'_>, members: &[Member]) -> Option<SocketAddr> {
    let operator = table.address("operator")?;
    if members.iter().any(|m| m.address == operator.value) {
        table.report(&operator, format!("{} is a member's", operator.value), None);
    } else if operator.value.port() == 0 {
        table.report(&operator, "whoever asks has a port of its own; 0 is none", None);
    }
    Some(operator.value)
}

/// Times of the probes and leases, in milliseconds.
struct Timing {
    probe_interval_ms: f64,
    probe_timeout_ms: f64,
    lease_ms: f64,
}

fn read_timing(table: &Table<'_>) -> Timing {
    let ms = |field: &'static str, min: f64, max: f64| table.number(field, min..=max, " ms");
    let interval = ms("period_ms", 20.0, 60_000.0);
    let probe_interval_ms = interval.map_or(DEFAULT_PROBE_INTERVAL_MS, |time| time.value);
    let (timeout, lease) = (ms("answer_ms", 5.0, 60_000.0), ms("claim_ms", 200.0, 600_000.0));
    let probe_timeout_ms = timeout
        .as_ref()
        .map_or(probe_interval_ms * PROBE_TIMEOUT_FRACTION_OF_INTERVAL, |time| time.value);
    let lease_ms = lease.as_ref().map_or(
        f64::max(MIN_DEFAULT_LEASE_MS, probe_interval_ms * DEFAULT_LEASE_INTERVALS),
        |time| time.value,
    );
    if let Some(timeout) = timeout.filter(|time| time.value * 2.0 > probe_interval_ms) {
        let message =
            format!("{probe_timeout_ms} ms is over half of the period of {probe_interval_ms} ms");
        table.report(&timeout, message, Some("others are asked within the same period".into()));
    }
    if let Some(lease) = lease.filter(|time| time.value < probe_interval_ms * MIN_LEASE_INTERVALS) {
        let message = format!("{lease_ms} ms is under five periods of {probe_interval_ms} ms");
        let help = "a proof has to be renewed several times while it holds";
        table.report(&lease, message, Some(help.into()));
    }
    Timing { probe_interval_ms, probe_timeout_ms, lease_ms }
}

fn member_sections(table: &Table<'_>, field: &'static str) -> Vec<Member> {
    let mut members: Vec<Member> = Vec::new();
    // Indexed by hash and by address, so that a list of thousands is read in linear time.
    let (mut names, mut addresses) = (HashMap::new(), HashMap::new());
    let tables = table.tables(field);
    for member in &tables {
        let (name, address) = (member.required_name("name"), member.required_address("address"));
        member.finish();
        let (Some(name), Some(address)) = (name, address) else { continue };
        if address.value.port() == 0 {
            member.report(&address, "a member is found at a port of its own; 0 is none", None);
        }
        match names.insert(key_of(&name.value), name.value.clone()) {
            Some(other) if other == name.value => {
                member.report(&name, format!("{:?} is named twice", name.value), None);
            }
            Some(other) => {
                let message = format!("{:?} and {other:?} have the same hash", name.value);
                member.report(
                    &name,
                    message,
                    Some("members know each other by it: rename one".into()),
                );
            }
            None => {}
        }
        if let Some(other) = addresses.insert(address.value, name.value.clone()) {
            member.report(&address, format!("{} is {other:?}'s", address.value), None);
        }
        members.push(Member { name: name.value, address: address.value });
    }
    if tables.is_empty() && !table.has(field) {
        table.report_missing(field, &format!("at least one [[{field}]], this balancer's own"));
    }
    if members.len() > MAX_MEMBERS {
        let message = format!("{} members; {MAX_MEMBERS} at most", members.len());
        table.report(&table.location(), message, None);
    }
    members
}
