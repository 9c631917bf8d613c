//! Reads the fleet that a balancer belongs to: its name, its members, and its times.

use std::collections::HashMap;
use std::net::SocketAddr;

use sableloom_membership::key_of;
use sableloom_toml_diagnostics::{self as toml_diagnostics, Located, Problem, Table, suggestion};

use crate::Place;
use crate::field::place;

/// What a balancer may keep of its fleet: a quarter of the 32 MB that all of control may take.
const MEMBERSHIP_BYTES: usize = 8 << 20;
/// What it keeps of each member at most: 131 bytes of what is known of it as measured (docs/design/members.md), its
/// name and address, the maps to find it by, and news of it.
const MEMBER_BYTES: usize = 512;
/// Most members of a fleet, twice those that there are to be.
pub const MAX_MEMBERS: usize = MEMBERSHIP_BYTES / MEMBER_BYTES;

/// A member of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
}

/// The fleet that this balancer belongs to; times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Its name. What comes from another fleet counts for nothing.
    pub name: String,
    /// This balancer's own name, one of the members'.
    pub own: String,
    /// All members, this one included; empty as long as the file that names them has not been read.
    pub members: Vec<Member>,
    /// The file that names them, if the site does not.
    pub file: Option<String>,
    /// Whoever sends from there is shown what this balancer knows of the fleet.
    pub operator: Option<SocketAddr>,
    /// From one probe to the next.
    pub period_ms: f64,
    /// How long a probed member may take before others are asked.
    pub answer_ms: f64,
    /// How long a proof that a member does not act holds.
    pub claim_ms: f64,
    /// Where it is written.
    pub place: Place,
}

impl Fleet {
    /// Where this balancer takes datagrams.
    pub fn address(&self) -> Option<SocketAddr> {
        self.members.iter().find(|m| m.name == self.own).map(|m| m.address)
    }

    /// The same fleet with the members that its file names, or what is wrong with that.
    pub fn with_members(mut self, file: &str, members: Vec<Member>) -> Result<Self, Vec<Problem>> {
        if !members.iter().any(|m| m.name == self.own) {
            let help = suggestion(&self.own, members.iter().map(|m| m.name.as_str()));
            let what = format!("no member {:?}, which this balancer is", self.own);
            return Err(vec![Problem { help: Some(help), ..Problem::of_file(file, what) }]);
        }
        self.members = members;
        Ok(self)
    }
}

/// Reads a file of members; `file` is what problems call it.
pub fn read_members(file: &str, text: &[u8]) -> Result<Vec<Member>, Vec<Problem>> {
    toml_diagnostics::read(file, text, |root| Some(members(root, "member")))
}

fn members(table: &Table<'_>, field: &'static str) -> Vec<Member> {
    let mut members: Vec<Member> = Vec::new();
    // By hash and by address: a list of thousands is looked over once.
    let (mut names, mut addresses) = (HashMap::new(), HashMap::new());
    let tables = table.tables(field);
    for one in &tables {
        let (name, address) = (one.required_name("name"), one.required_address("address"));
        one.finish();
        let (Some(name), Some(address)) = (name, address) else { continue };
        if address.value.port() == 0 {
            one.report(&address, "a member is found at a port of its own; 0 is none", None);
        }
        match names.insert(key_of(&name.value), name.value.clone()) {
            Some(other) if other == name.value => {
                one.report(&name, format!("{:?} is named twice", name.value), None);
            }
            Some(other) => {
                let message = format!("{:?} and {other:?} have the same hash", name.value);
                one.report(
                    &name,
                    message,
                    Some("members know each other by it: rename one".into()),
                );
            }
            None => {}
        }
        if let Some(other) = addresses.insert(address.value, name.value.clone()) {
            one.report(&address, format!("{} is {other:?}'s", address.value), None);
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

pub(crate) fn fleet(table: Option<Table<'_>>, starts: &[usize]) -> Option<Fleet> {
    let table = table?;
    let (name, own) = (table.required_name("name"), table.required_name("own"));
    let file: Option<Located<String>> = table.string("members_file");
    let listed = match &file {
        Some(file) if table.has("member") => {
            table.report(file, "members are named here or in a file, not both", None);
            Vec::new()
        }
        Some(file) if file.value.is_empty() => {
            table.report(file, "a file has a name", None);
            Vec::new()
        }
        Some(_) => Vec::new(),
        None => members(&table, "member"),
    };
    if let Some(own) = own.as_ref().filter(|_| !listed.is_empty())
        && !listed.iter().any(|m| m.name == own.value)
    {
        let help = suggestion(&own.value, listed.iter().map(|m| m.name.as_str()));
        table.report(own, format!("no member {:?}", own.value), Some(help));
    }
    let operator = table.address("operator");
    if let Some(operator) = &operator {
        if listed.iter().any(|m| m.address == operator.value) {
            table.report(operator, format!("{} is a member's", operator.value), None);
        } else if operator.value.port() == 0 {
            table.report(operator, "whoever asks has a port of its own; 0 is none", None);
        }
    }
    let ms = |field: &'static str, least: f64, most: f64| table.number(field, least..=most, " ms");
    let period_ms = ms("period_ms", 20.0, 60_000.0).map_or(200.0, |n| n.value);
    let (answer, claim) = (ms("answer_ms", 5.0, 60_000.0), ms("claim_ms", 200.0, 600_000.0));
    let answer_ms = answer.as_ref().map_or(period_ms * 0.4, |n| n.value);
    let claim_ms = claim.as_ref().map_or(f64::max(2000.0, period_ms * 10.0), |n| n.value);
    if let Some(answer) = answer.filter(|n| n.value * 2.0 > period_ms) {
        let message = format!("{answer_ms} ms is over half of the period of {period_ms} ms");
        table.report(&answer, message, Some("others are asked within the same period".into()));
    }
    if let Some(claim) = claim.filter(|n| n.value < period_ms * 5.0) {
        let message = format!("{claim_ms} ms is under five periods of {period_ms} ms");
        let help = "a proof has to be renewed several times while it holds";
        table.report(&claim, message, Some(help.into()));
    }
    let place = place(&table, starts);
    table.finish();
    Some(Fleet {
        name: name?.value,
        own: own?.value,
        members: listed,
        file: file.map(|f| f.value),
        operator: operator.map(|o| o.value),
        period_ms,
        answer_ms,
        claim_ms,
        place,
    })
}
