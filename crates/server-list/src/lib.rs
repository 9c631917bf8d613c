//! Which list of servers is in force. Decisions only: no I/O, no clock; bytes of files in, an
//! accepted change or a refusal out.
//!
//! [`read`] judges one file, [`Lists`] a pool: what its files say together against what is in
//! force. A change is accepted whole or not at all. Servers that a list leaves out are drained
//! first, and known by their address and id when they come back.

mod file;
mod roster;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use rustc_hash::{FxHashMap, FxHashSet};
use sableloom_toml_diagnostics::Problem;
use sableloom_types::{EndpointStatus, ListedEndpoint, Span, Time};
use sha2::{Digest, Sha256};

pub use file::{
    Listed, Listing, MOST_SERVERS, MOST_WEIGHT, ServerFields, State, read, read_server,
    read_server_fields,
};
pub use roster::{Roster, RosterChange, RosterServer};

/// How far the clocks of two machines may differ, in milliseconds. A start time that is further ahead than that is
/// rejected: the server would be warming up for good.
pub const MAX_CLOCK_DIFFERENCE_MS: f64 = 3_600_000.0;

/// What an operator has set for a pool's lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// The pool's name.
    pub pool: String,
    /// Its files, as the operator named them.
    pub files: Vec<String>,
    /// Names of the zones that a server may be in; none if any will do.
    pub zones: Vec<String>,
    /// The largest share of the serving servers that one change takes out unless it says so.
    pub out_at_most: f64,
    /// How long a server that a list leaves out is kept as draining.
    pub drain: Span,
}

/// What came of reading a file.
pub type Reading = Result<Arc<Listing>, Vec<Problem>>;

/// What a change did to one server, by its id.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It is new.
    Added(String),
    /// It is back after it was left out; with a cold start if it is another or has started anew.
    Returned {
        /// Its id.
        id: String,
        /// It starts cold.
        cold: bool,
    },
    /// No list names it any more: it drains.
    Removed(String),
    /// It is to finish what it has.
    Drained(String),
    /// It serves again.
    Resumed(String),
    /// It has started anew.
    Restarted(String),
    /// Another weight.
    Weight {
        /// Its id.
        id: String,
        /// Before.
        from: f64,
        /// Now.
        to: f64,
    },
    /// Another id for what is at the same address.
    Renamed {
        /// Before.
        from: String,
        /// Now.
        to: String,
    },
    /// The same id at another address.
    Moved {
        /// Its id.
        id: String,
        /// Before.
        from: SocketAddr,
        /// Now.
        to: SocketAddr,
    },
    /// Another zone.
    Zone(String),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added(id) => write!(f, "added {id}"),
            Change::Returned { id, cold: true } => write!(f, "returned cold {id}"),
            Change::Returned { id, cold: false } => write!(f, "returned {id}"),
            Change::Removed(id) => write!(f, "removed {id}"),
            Change::Drained(id) => write!(f, "drained {id}"),
            Change::Resumed(id) => write!(f, "resumed {id}"),
            Change::Restarted(id) => write!(f, "restarted {id}"),
            Change::Weight { id, from, to } => write!(f, "weight of {id} from {from} to {to}"),
            Change::Renamed { from, to } => write!(f, "renamed {from} to {to}"),
            Change::Moved { id, from, to } => write!(f, "moved {id} from {from} to {to}"),
            Change::Zone(id) => write!(f, "zone of {id}"),
        }
    }
}

/// A change that is accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The list's number in this process, from 1.
    pub revision: u64,
    /// A hash of the files' contents, the same in every process.
    pub hash: String,
    /// What it did.
    pub changes: Vec<Change>,
}

/// The result of offering files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OfferResult {
    /// The change, if one was accepted.
    pub applied: Option<Applied>,
    /// What was refused, and why. The last good list stays in force.
    pub problems: Vec<Problem>,
    /// Files that belong together say different versions: the rest is awaited.
    pub waits: Option<String>,
}

/// A server that is in force, or drains.
#[derive(Clone, Debug)]
struct Held {
    /// What it is called towards the decision module for as long as it is held.
    name: Box<str>,
    listed: Listed,
    /// When it counts as started, in Unix milliseconds; 0 for long ago.
    up_since_ms: f64,
    /// No list names it; it is forgotten by then.
    leaves: Option<Time>,
}

impl Held {
    fn serves(&self) -> bool {
        self.leaves.is_none() && self.listed.serves()
    }
}

/// The lists of one pool.
#[derive(Clone, Debug)]
pub struct Lists {
    spec: Spec,
    /// What is in force of each file.
    good: Vec<Option<Arc<Listing>>>,
    held: Vec<Held>,
    revision: u64,
    hash: String,
    /// Nothing was set since the list in force was judged.
    settled: bool,
}

impl Lists {
    /// A pool with no list in force.
    pub fn new(spec: Spec) -> Self {
        let good = vec![None; spec.files.len()];
        Self { spec, good, held: Vec::new(), revision: 0, hash: String::new(), settled: false }
    }

    /// What is set.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Sets anew. What is in force of files that are still named stays so.
    pub fn set(&mut self, spec: Spec) {
        let old = std::mem::take(&mut self.good);
        let of = |file: &String| {
            let at = self.spec.files.iter().position(|f| f == file)?;
            old[at].clone()
        };
        self.good = spec.files.iter().map(of).collect();
        self.spec = spec;
        self.settled = false;
    }

    /// Whether a list is in force.
    pub fn in_force(&self) -> bool {
        self.revision > 0
    }

    /// The number and the hash of the list in force.
    pub fn version(&self) -> (u64, &str) {
        (self.revision, &self.hash)
    }

    /// Servers that are held, those included that drain.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// The whole list as it is in force.
    pub fn entries(&self) -> Vec<ListedEndpoint> {
        let entry = |held: &Held| ListedEndpoint {
            id: held.name.clone(),
            address: held.listed.address,
            zone: held.listed.zone.as_str().into(),
            kind: Box::default(),
            cell: 0,
            status: if held.serves() { EndpointStatus::Live } else { EndpointStatus::Draining },
            size: if held.listed.weight > 0.0 { held.listed.weight } else { 1.0 },
            up_since_ms: held.up_since_ms,
        };
        self.held.iter().map(entry).collect()
    }

    /// Offers what the pool's files say now, in their order. A file that can't be read stays as it
    /// last was; what the files say together is accepted whole or refused.
    pub fn offer(&mut self, now: Time, readings: &[Reading]) -> OfferResult {
        let mut offer = OfferResult::default();
        let mut new: Vec<Option<Arc<Listing>>> = Vec::new();
        for (reading, good) in readings.iter().zip(&self.good) {
            match reading {
                Ok(listing) => new.push(Some(listing.clone())),
                Err(problems) => {
                    offer.problems.extend(problems.iter().cloned());
                    new.push(good.clone());
                }
            }
        }
        if let Some(waits) = self.versions_differ(&new) {
            offer.waits = Some(waits);
            for (new, good) in new.iter_mut().zip(&self.good) {
                let stamped =
                    |l: &Option<Arc<Listing>>| l.as_ref().is_some_and(|l| l.version.is_some());
                if stamped(new) || stamped(good) {
                    new.clone_from(good);
                }
            }
        }
        let Some(new) = new.into_iter().collect::<Option<Vec<_>>>() else { return offer };
        let same = |(new, good): (&Arc<Listing>, &Option<Arc<Listing>>)| {
            good.as_ref().is_some_and(|good| good.digest == new.digest)
        };
        if self.settled && new.iter().zip(&self.good).all(same) {
            return offer;
        }
        match self.judge(now, &new) {
            Err(problems) => offer.problems.extend(problems),
            Ok((held, changes)) => {
                let mut hash = Sha256::new();
                new.iter().for_each(|listing| hash.update(listing.digest));
                let hash: String =
                    hash.finalize()[..6].iter().map(|b| format!("{b:02x}")).collect();
                let news = !self.in_force() || self.hash != hash;
                (self.held, self.settled, self.hash) = (held, true, hash.clone());
                self.good = new.into_iter().map(Some).collect();
                if !news {
                    return offer;
                }
                self.revision += 1;
                offer.applied = Some(Applied { revision: self.revision, hash, changes });
            }
        }
        offer
    }

    fn versions_differ(&self, new: &[Option<Arc<Listing>>]) -> Option<String> {
        let stamped: Vec<(&String, &String)> = new
            .iter()
            .zip(&self.spec.files)
            .filter_map(|(listing, file)| Some((file, listing.as_ref()?.version.as_ref()?)))
            .collect();
        let (_, first) = stamped.first()?;
        if stamped.iter().all(|(_, version)| version == first) {
            return None;
        }
        let versions: Vec<_> =
            stamped.iter().take(8).map(|(f, v)| format!("{f} has `{v}`")).collect();
        Some(format!("versions differ: {}", versions.join(", ")))
    }

    /// What the pool would hold under these files, or why they can't be in force together.
    fn judge(
        &self,
        now: Time,
        new: &[Arc<Listing>],
    ) -> Result<(Vec<Held>, Vec<Change>), Vec<Problem>> {
        let named = || {
            let files = self.spec.files.iter().zip(new);
            files.flat_map(|(file, listing)| listing.servers.iter().map(move |s| (file, s)))
        };
        let mut problems = Vec::new();
        let (mut ids, mut addresses) = (FxHashMap::default(), FxHashMap::default());
        for (file, server) in named() {
            // Within a file it was reported when that was read.
            let mut report_duplicate = |field: &str, what: String, first: Option<&String>| {
                if let Some(first) = first.filter(|first| *first != file) {
                    let message = format!("{what} is in {first} as well");
                    problems.push(server.problem(file, field, message));
                }
            };
            report_duplicate("id", format!("{:?}", server.id), ids.insert(&server.id, file));
            report_duplicate(
                "address",
                server.address.to_string(),
                addresses.insert(server.address, file),
            );
            if server.started_ms.is_some_and(|at| at > unix_ms(now) + MAX_CLOCK_DIFFERENCE_MS) {
                let message = "more than an hour ahead of this machine's clock".to_string();
                problems.push(server.problem(file, "started", message));
            }
        }
        let count = named().count();
        let last = || self.spec.files.last().map_or("", String::as_str);
        if count > MOST_SERVERS {
            let message = format!("{count} servers in all files are more than {MOST_SERVERS}");
            problems.push(Problem::of_file(last(), message));
        }
        if count > 0 && named().all(|(_, server)| server.weight == 0.0) {
            let mut problem = Problem::of_file(last(), "every server has weight 0");
            problem.help = Some("to drain a server, write state = \"draining\"".into());
            problems.push(problem);
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        let (held, changes) = self.merge(now, named().map(|(_, server)| server));
        self.check_out(new, &held)?;
        Ok((held, changes))
    }

    /// Refuses what takes out more than the stated share, unless a file that is new says how many.
    fn check_out(&self, new: &[Arc<Listing>], next: &[Held]) -> Result<(), Vec<Problem>> {
        let serving: FxHashSet<&str> =
            next.iter().filter(|h| h.serves()).map(|h| &*h.name).collect();
        let before = self.held.iter().filter(|h| h.serves()).count();
        let out = self.held.iter().filter(|h| h.serves() && !serving.contains(&*h.name)).count();
        if out as f64 <= self.spec.out_at_most * before as f64 {
            return Ok(());
        }
        let changed = new
            .iter()
            .zip(&self.good)
            .filter(|(new, good)| good.as_ref().is_none_or(|good| good.digest != new.digest));
        let (mut meant, mut place) = (0, None);
        for (listing, _) in changed {
            meant += listing.takes_out.unwrap_or(0);
            place = new.iter().position(|l| Arc::ptr_eq(l, listing)).or(place);
        }
        if meant == out {
            return Ok(());
        }
        let file = self.spec.files.get(place.unwrap_or(0)).map_or("", String::as_str);
        let share = self.spec.out_at_most * 100.0;
        let mut problem = Problem::of_file(
            file,
            format!("it takes {out} of {before} serving servers out, over {share}% at once"),
        );
        problem.field = "takes_out".to_string();
        problem.help = Some(format!("if that is meant, write takes_out = {out}"));
        Err(vec![problem])
    }

    /// What is held once these servers are the list. Each is what is at its address already; else
    /// what had its id; else new. So whatever is written, an address has one entry and its lanes
    /// once.
    fn merge<'s>(
        &self,
        now: Time,
        servers: impl Iterator<Item = &'s Listed> + Clone,
    ) -> (Vec<Held>, Vec<Change>) {
        let at: FxHashMap<SocketAddr, usize> =
            self.held.iter().enumerate().map(|(i, h)| (h.listed.address, i)).collect();
        // Of two that had the same id, the one that is listed.
        let leaving = self.held.iter().enumerate().filter(|(_, h)| h.leaves.is_some());
        let listed = self.held.iter().enumerate().filter(|(_, h)| h.leaves.is_none());
        let of: FxHashMap<&str, usize> =
            leaving.chain(listed).map(|(i, h)| (&*h.listed.id, i)).collect();
        let mut used = vec![false; self.held.len()];
        for server in servers.clone() {
            if let Some(i) = at.get(&server.address) {
                used[*i] = true;
            }
        }
        let mut names: FxHashSet<Box<str>> = self.held.iter().map(|h| h.name.clone()).collect();
        let (mut next, mut changes) = (Vec::new(), Vec::new());
        for server in servers {
            let moved = || of.get(&*server.id).copied().filter(|i| !used[*i]);
            let old = at.get(&server.address).copied().or_else(moved);
            let held = match old {
                Some(i) => {
                    used[i] = true;
                    self.kept(now, &self.held[i], server, &mut changes)
                }
                None => {
                    changes.push(Change::Added(server.id.clone()));
                    let name = free_name(&names, server);
                    names.insert(name.clone());
                    Held {
                        name,
                        listed: server.clone(),
                        // All that is there when this process starts has long been there, for all
                        // it knows; what comes later is new.
                        up_since_ms: server.started_ms.unwrap_or(match self.in_force() {
                            true => unix_ms(now),
                            false => 0.0,
                        }),
                        leaves: None,
                    }
                }
            };
            next.push(held);
        }
        for (held, _) in self.held.iter().zip(used).filter(|(_, used)| !used) {
            let mut held = held.clone();
            if held.leaves.is_none() {
                changes.push(Change::Removed(held.listed.id.clone()));
                held.leaves = Some(now.plus(self.spec.drain));
            }
            next.push(held);
        }
        (next, changes)
    }

    /// What was held, as the new list has it.
    fn kept(&self, now: Time, old: &Held, server: &Listed, changes: &mut Vec<Change>) -> Held {
        let id = || server.id.clone();
        let was = &old.listed;
        let renamed = was.id != server.id;
        let moved = was.address != server.address;
        let back = old.leaves.is_some();
        // A start that was stated before and is left out now is no news.
        let restarted = server.started_ms.is_some_and(|s| s != old.up_since_ms);
        // Another machine for all that is known: whatever came back under another id, and whatever
        // is at another address.
        let other = (back && renamed) || moved;
        let up_since_ms = match server.started_ms {
            Some(stated) => stated,
            None if other => unix_ms(now),
            None => old.up_since_ms,
        };
        if back {
            changes.push(Change::Returned { id: id(), cold: other || restarted });
        } else if restarted {
            changes.push(Change::Restarted(id()));
        }
        if renamed {
            changes.push(Change::Renamed { from: was.id.clone(), to: id() });
        }
        if moved {
            changes.push(Change::Moved { id: id(), from: was.address, to: server.address });
        }
        if was.weight != server.weight {
            changes.push(Change::Weight { id: id(), from: was.weight, to: server.weight });
        }
        if was.zone != server.zone {
            changes.push(Change::Zone(id()));
        }
        match (was.state, server.state) {
            (State::Serving, State::Draining) => changes.push(Change::Drained(id())),
            (State::Draining, State::Serving) if !back => changes.push(Change::Resumed(id())),
            _ => {}
        }
        let name = old.name.clone();
        Held { name, listed: server.clone(), up_since_ms, leaves: None }
    }

    /// Forgets the servers whose time to drain is over. Whether there were any.
    pub fn tick(&mut self, now: Time) -> bool {
        let before = self.held.len();
        self.held.retain(|held| held.leaves.is_none_or(|leaves| now < leaves));
        self.held.len() < before
    }

    /// When [`Lists::tick`] has something to do next.
    pub fn next(&self) -> Option<Time> {
        self.held.iter().filter_map(|held| held.leaves).min()
    }
}

fn unix_ms(now: Time) -> f64 {
    now.0 as f64 / 1e3
}

/// The server's id, unless one that was renamed is still called so.
fn free_name(names: &FxHashSet<Box<str>>, server: &Listed) -> Box<str> {
    let id: Box<str> = server.id.as_str().into();
    if !names.contains(&id) {
        return id;
    }
    let name = |n: usize| -> Box<str> { format!("{id} {n}").into() };
    (2..).map(name).find(|name| !names.contains(name)).unwrap_or_default()
}
