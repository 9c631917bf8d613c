//! The servers of one pool, changed one by one.
//!
//! [`FileLists`](crate::FileLists) takes whole files; a [`IncrementalList`] takes single changes, at a cost that goes with the
//! change. Both know a server by its address first, then by its id, so that what is at one address has one
//! endpoint towards the policy, whatever its id. A removed server drains before it is forgotten.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rustc_hash::{FxHashMap, FxHashSet};
use sableloom_types::{EndpointStatus, ListedEndpoint, Span, Time};

use crate::clock::unix_ms;

/// A server of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerDescription {
    /// Its id, unique in its pool.
    pub id: Box<str>,
    /// Where it is.
    pub address: SocketAddr,
    /// Its zone; empty for none.
    pub zone: Box<str>,
    /// Its relative size; one of 0 gets no requests.
    pub weight: f64,
    /// It is to finish what it has.
    pub draining: bool,
    /// When it last started, in Unix milliseconds, if that is stated.
    pub started_ms: Option<f64>,
}

/// A change to the servers of a pool.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerChange {
    /// The server is there, as described.
    Set(ServerDescription),
    /// The server with this id is no more: it drains.
    Remove(Box<str>),
}

/// A server that is known, or drains after it was removed.
#[derive(Clone, Debug)]
struct KnownServer {
    server: ServerDescription,
    /// When it counts as started, in Unix milliseconds; 0 for long ago.
    up_since_ms: f64,
    /// Set once it is removed: when it is forgotten.
    drain_ends_at: Option<Time>,
}

/// A server's name towards the policy: its first id, for as long as it is known.
type EndpointName = Box<str>;

/// The servers of one pool.
#[derive(Debug, Default)]
pub struct IncrementalList {
    known: FxHashMap<EndpointName, KnownServer>,
    by_id: FxHashMap<Box<str>, EndpointName>,
    by_address: FxHashMap<SocketAddr, EndpointName>,
    drain_ends: BTreeSet<(Time, EndpointName)>,
    drain_time: Span,
    /// A first change has come: what comes later is new.
    initialized: bool,
}

impl IncrementalList {
    /// A pool without servers, whose removed servers drain for so long.
    pub fn new(drain_time: Span) -> Self {
        Self { drain_time, ..Self::default() }
    }

    /// Servers that are removed from now on drain for so long.
    pub fn set_drain_time(&mut self, drain_time: Span) {
        self.drain_time = drain_time;
    }

    /// Servers that are known, with those that drain.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The id of the server at an address, if one is listed there.
    pub fn id_at(&self, address: SocketAddr) -> Option<&str> {
        let known = self.known.get(self.by_address.get(&address)?)?;
        known.drain_ends_at.is_none().then_some(&*known.server.id)
    }

    /// The ids of the servers that are listed.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.known
            .values()
            .filter(|known| known.drain_ends_at.is_none())
            .map(|known| &*known.server.id)
    }

    /// Takes changes over; gives the entries that are different now.
    pub fn apply(&mut self, now: Time, changes: Vec<ServerChange>) -> Vec<ListedEndpoint> {
        let mut changed = FxHashSet::default();
        // Removals first: what follows may be at the address of a server that is removed.
        for change in &changes {
            if let ServerChange::Remove(id) = change
                && let Some(name) = self.by_id.get(id).cloned()
            {
                self.start_drain(now, &name);
                changed.insert(name);
            }
        }
        for change in changes {
            if let ServerChange::Set(server) = change {
                self.set(now, server, &mut changed);
            }
        }
        self.initialized = true;
        changed.iter().filter_map(|name| self.endpoint(name)).collect()
    }

    /// Forgets servers whose time to drain is over; gives their last entries.
    pub fn remove_drained(&mut self, now: Time) -> Vec<ListedEndpoint> {
        let mut gone = Vec::new();
        while let Some((drain_end, name)) = self.drain_ends.first().cloned()
            && drain_end <= now
        {
            self.drain_ends.remove(&(drain_end, name.clone()));
            gone.extend(
                self.endpoint(&name)
                    .map(|endpoint| ListedEndpoint { status: EndpointStatus::Gone, ..endpoint }),
            );
            self.remove(&name);
        }
        gone
    }

    /// When [`IncrementalList::remove_drained`] has something to do next.
    pub fn next_drain_end(&self) -> Option<Time> {
        self.drain_ends.first().map(|(drain_end, _)| *drain_end)
    }

    /// All entries.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.known.keys().filter_map(|name| self.endpoint(name)).collect()
    }

    fn set(&mut self, now: Time, server: ServerDescription, changed: &mut FxHashSet<EndpointName>) {
        let at_address = self.by_address.get(&server.address).cloned();
        let with_id = self.by_id.get(&server.id).cloned();
        if let (Some(name_at_address), Some(name_with_id)) = (&at_address, &with_id)
            && name_at_address != name_with_id
        {
            // Another server has its address now; the one that it was has no id of its own any more.
            self.start_drain(now, name_with_id);
            changed.insert(name_with_id.clone());
        }
        let name = at_address.or(with_id).unwrap_or_else(|| self.free_name(&server.id));
        let before = self.known.remove(&name);
        let up_since_ms = self.up_since(now, before.as_ref(), &server);
        if let Some(before) = before {
            self.remove_lookups(&name, &before);
        }
        self.by_id.insert(server.id.clone(), name.clone());
        self.by_address.insert(server.address, name.clone());
        self.known.insert(name.clone(), KnownServer { server, up_since_ms, drain_ends_at: None });
        changed.insert(name);
    }

    /// When a server counts as started. What is there at first has long been there, for all that is known;
    /// another machine, by its address or by an id that came back as another, has just started.
    fn up_since(&self, now: Time, before: Option<&KnownServer>, server: &ServerDescription) -> f64 {
        let default_up_since_ms = match before {
            None if !self.initialized => 0.0,
            None => unix_ms(now),
            Some(before) => {
                let renamed = before.server.id != server.id;
                let moved = before.server.address != server.address;
                let other_machine = moved || (renamed && before.drain_ends_at.is_some());
                if other_machine { unix_ms(now) } else { before.up_since_ms }
            }
        };
        server.started_ms.unwrap_or(default_up_since_ms)
    }

    fn start_drain(&mut self, now: Time, name: &EndpointName) {
        let Some(known) = self.known.get_mut(name) else { return };
        if known.drain_ends_at.is_none() {
            let drain_end = now.plus(self.drain_time);
            known.drain_ends_at = Some(drain_end);
            self.drain_ends.insert((drain_end, name.clone()));
        }
    }

    /// Takes a server out of all that leads to it.
    fn remove_lookups(&mut self, name: &EndpointName, known: &KnownServer) {
        if self.by_id.get(&known.server.id) == Some(name) {
            self.by_id.remove(&known.server.id);
        }
        if self.by_address.get(&known.server.address) == Some(name) {
            self.by_address.remove(&known.server.address);
        }
        if let Some(drain_end) = known.drain_ends_at {
            self.drain_ends.remove(&(drain_end, name.clone()));
        }
    }

    fn remove(&mut self, name: &EndpointName) {
        if let Some(known) = self.known.remove(name) {
            self.remove_lookups(name, &known);
        }
    }

    fn endpoint(&self, name: &EndpointName) -> Option<ListedEndpoint> {
        let KnownServer { server, up_since_ms, drain_ends_at } = self.known.get(name)?;
        let serves = drain_ends_at.is_none() && !server.draining && server.weight > 0.0;
        Some(ListedEndpoint {
            id: name.clone(),
            address: server.address,
            zone: server.zone.clone(),
            machine_type: Box::default(),
            cell: 0,
            status: if serves { EndpointStatus::Live } else { EndpointStatus::Draining },
            size: if server.weight > 0.0 { server.weight } else { 1.0 },
            up_since_ms: *up_since_ms,
        })
    }

    /// The server's id, unless one that was renamed is still called so.
    fn free_name(&self, id: &str) -> EndpointName {
        let candidates = std::iter::once(EndpointName::from(id))
            .chain((2..).map(|n| format!("{id} {n}").into()));
        let mut free = candidates.filter(|name| !self.known.contains_key(name));
        free.next().unwrap_or_default()
    }
}
