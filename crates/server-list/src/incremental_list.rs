//! The servers of one pool, which are changed one by one.
//!
//! [`FileLists`](crate::FileLists) applies whole files; an [`IncrementalList`] applies single changes, at a cost in
//! proportion to the number of changes. Both identify a server by its address first and by its id second, so that each
//! address has one endpoint for the policy, whatever the id of the server. A removed server drains before its endpoint
//! is removed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rustc_hash::{FxHashMap, FxHashSet};
use sableloom_types::{EndpointStatus, ListedEndpoint, Span, Time};

use crate::clock::unix_ms;

/// Description of a server of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerDescription {
    /// Id of the server, unique in the pool.
    pub id: Box<str>,
    /// Address of the server.
    pub address: SocketAddr,
    /// Zone of the server; empty if the server has none.
    pub zone: Box<str>,
    /// Relative size of the server. A server of weight 0 receives no requests.
    pub weight: f64,
    /// Whether the server finishes its requests in flight and receives no new ones.
    pub draining: bool,
    /// Last start of the server in Unix milliseconds, if it is stated.
    pub started_ms: Option<f64>,
}

/// A change to the servers of a pool.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerChange {
    /// Adds a server, or replaces the description of the server at the same address or with the same id.
    Set(ServerDescription),
    /// Removes the server with this id, which then drains.
    Remove(Box<str>),
}

/// A listed server, or a removed server that drains.
#[derive(Clone, Debug)]
struct KnownServer {
    server: ServerDescription,
    /// Start of the server for its warm-up, in Unix milliseconds; 0 stands for long ago.
    up_since_ms: f64,
    /// End of the drain time of a removed server; `None` for a listed server.
    drain_ends_at: Option<Time>,
}

/// Name of a server as an endpoint of the policy: normally the first id of the server, kept when the id changes.
type EndpointName = Box<str>;

/// The servers of one pool, changed one by one.
#[derive(Debug, Default)]
pub struct IncrementalList {
    /// Listed and draining servers.
    known: FxHashMap<EndpointName, KnownServer>,
    by_id: FxHashMap<Box<str>, EndpointName>,
    by_address: FxHashMap<SocketAddr, EndpointName>,
    /// Ends of drain times with the draining servers, in the order of time.
    drain_ends: BTreeSet<(Time, EndpointName)>,
    drain_time: Span,
    /// Whether the first changes were applied. A server that is added later counts as just started.
    initialized: bool,
}

impl IncrementalList {
    /// A pool without servers. Servers that are removed drain for `drain_time`.
    pub fn new(drain_time: Span) -> Self {
        Self { drain_time, ..Self::default() }
    }

    /// Sets the drain time of the servers that are removed from now on.
    pub fn set_drain_time(&mut self, drain_time: Span) {
        self.drain_time = drain_time;
    }

    /// Number of servers, including those that drain.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there is no server, neither listed nor draining.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The id of the server that is listed at an address.
    pub fn id_at(&self, address: SocketAddr) -> Option<&str> {
        let known = self.known.get(self.by_address.get(&address)?)?;
        known.drain_ends_at.is_none().then_some(&*known.server.id)
    }

    /// The ids of the listed servers, in no particular order.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.known
            .values()
            .filter(|known| known.drain_ends_at.is_none())
            .map(|known| &*known.server.id)
    }

    /// Applies changes, all removals first, and returns the endpoints of the changed servers.
    pub fn apply(&mut self, now: Time, changes: Vec<ServerChange>) -> Vec<ListedEndpoint> {
        let mut changed = FxHashSet::default();
        // Removals come first, because another change may set a server at the address of a removed server.
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

    /// Removes the servers whose drain time has ended by `now`, and returns their endpoints with the status `Gone`.
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

    /// The time from which [`IncrementalList::remove_drained`] removes a server, or `None` if no server drains.
    pub fn next_drain_end(&self) -> Option<Time> {
        self.drain_ends.first().map(|(drain_end, _)| *drain_end)
    }

    /// The endpoints of all servers, including those that drain.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.known.keys().filter_map(|name| self.endpoint(name)).collect()
    }

    fn set(&mut self, now: Time, server: ServerDescription, changed: &mut FxHashSet<EndpointName>) {
        let at_address = self.by_address.get(&server.address).cloned();
        let with_id = self.by_id.get(&server.id).cloned();
        if let (Some(name_at_address), Some(name_with_id)) = (&at_address, &with_id)
            && name_at_address != name_with_id
        {
            // The endpoint at the address takes over the id, so that the endpoint that had the id is no longer listed.
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

    /// Start of a server for its warm-up, in Unix milliseconds. If the server states no start time, the change decides.
    /// Servers of the first changes count as started long ago (0), because nothing else is known about them. Later, a
    /// new server, a server with another address, and a draining server that returns with another id count as another
    /// machine that has just started.
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

    /// Starts the drain of a server, unless the server drains already.
    fn start_drain(&mut self, now: Time, name: &EndpointName) {
        let Some(known) = self.known.get_mut(name) else { return };
        if known.drain_ends_at.is_none() {
            let drain_end = now.plus(self.drain_time);
            known.drain_ends_at = Some(drain_end);
            self.drain_ends.insert((drain_end, name.clone()));
        }
    }

    /// Removes a server from the lookups by id, by address and by end of the drain time.
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

    /// A free name for the endpoint of a server: the id of the server, or the id with a number if the endpoint of a
    /// renamed server still has the id as its name.
    fn free_name(&self, id: &str) -> EndpointName {
        let candidates = std::iter::once(EndpointName::from(id))
            .chain((2..).map(|n| format!("{id} {n}").into()));
        let mut free = candidates.filter(|name| !self.known.contains_key(name));
        free.next().unwrap_or_default()
    }
}
