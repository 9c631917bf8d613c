//! All connections, and the sets in which they are looked up: by stage and age, and by source address.

use std::collections::BTreeSet;
use std::net::IpAddr;

use rustc_hash::FxHashMap;
use sableloom_types::Time;

use crate::connection::{Connection, ConnectionId, Stage, WaitKind};
use crate::evictable::{EvictableConnections, HazardEstimates};

/// The connections of one source address.
#[derive(Clone, Debug, Default)]
struct SourceConnections {
    count: usize,
    evictable: EvictableConnections,
}

/// All connections. Each change goes through [`update`](Self::update), so that the sets always agree with the
/// connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionTable {
    connections: FxHashMap<ConnectionId, Connection>,
    next_id: u64,
    evictable: EvictableConnections,
    by_source: FxHashMap<IpAddr, SourceConnections>,
    sources_by_count: BTreeSet<(usize, IpAddr)>,
    /// The number of busy connections.
    busy: usize,
    /// The memory of the connections that are being shed, in bytes.
    shed_memory: usize,
}

impl ConnectionTable {
    /// Adds a connection on which no byte has arrived.
    pub(crate) fn insert(&mut self, now: Time, source: IpAddr) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            source,
            stage: Stage::Waiting(WaitKind::New),
            since: now,
            request_started: now,
            answers: 0,
            blocked_since: None,
            has_unread_bytes: false,
            memory: 0,
            memory_grew_at: now,
            is_shed: false,
        };
        self.connections.insert(id, connection);
        self.adjust_source_count(source, 1);
        self.add_to_sets(id, connection);
        id
    }

    pub(crate) fn remove(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id).copied() else { return };
        self.remove_from_sets(id, connection);
        self.connections.remove(&id);
        self.adjust_source_count(connection.source, -1);
    }

    pub(crate) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.connections.iter().map(|(id, connection)| (*id, connection))
    }

    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection and no entry of any set is kept.
    pub(crate) fn is_empty(&self) -> bool {
        let sources = self.by_source.len() + self.sources_by_count.len();
        self.evictable.len() + self.connections.len() + sources + self.busy + self.shed_memory == 0
    }

    /// The number of connections with a request that is complete and not answered.
    pub(crate) fn busy(&self) -> usize {
        self.busy
    }

    /// The memory of the connections that are being shed, in bytes.
    pub(crate) fn shed_memory(&self) -> usize {
        self.shed_memory
    }

    /// The number of idle connections that may be evicted.
    pub(crate) fn idle(&self) -> usize {
        WaitKind::IDLE.iter().map(|kind| self.evictable.waiting(*kind).len()).sum()
    }

    pub(crate) fn evictable(&self) -> &EvictableConnections {
        &self.evictable
    }

    /// Moves a connection to another stage.
    pub(crate) fn set_stage(&mut self, now: Time, id: ConnectionId, stage: Stage) {
        self.update(id, |connection| (connection.stage, connection.since) = (stage, now));
    }

    /// Changes a connection, and moves it between the sets accordingly.
    pub(crate) fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        let Some(mut connection) = self.connections.get(&id).copied() else { return };
        self.remove_from_sets(id, connection);
        change(&mut connection);
        self.connections.insert(id, connection);
        self.add_to_sets(id, connection);
    }

    /// Returns the connection to evict for a new one from `source`, the first of these that exists:
    ///
    /// - a connection that is closing;
    /// - the least valuable connection of `source`, if the new connection would take it over its even share of the
    ///   `limit` slots;
    /// - the least valuable connection of a source that is over its even share, those with the most connections first;
    /// - the least valuable of all connections.
    pub(crate) fn eviction_candidate(
        &self,
        now: Time,
        source: IpAddr,
        limit: usize,
        estimates: &HazardEstimates,
    ) -> Option<ConnectionId> {
        if let Some((_, id)) = self.evictable.closing.first() {
            return Some(*id);
        }
        let least_valuable = |evictable: &EvictableConnections| {
            evictable.least_valuable(now, estimates, &WaitKind::ALL).map(|least| least.id)
        };
        let own = self.by_source.get(&source);
        let sources = self.by_source.len() + usize::from(own.is_none());
        if sources > 1 {
            let even_share = (limit / sources).max(1);
            if let Some(own) = own.filter(|own| own.count >= even_share)
                && let Some(id) = least_valuable(&own.evictable)
            {
                return Some(id);
            }
            let over_share = self.sources_by_count.iter().rev();
            for (_, source) in over_share.take_while(|(count, _)| *count > even_share) {
                if let Some(id) = least_valuable(&self.by_source[source].evictable) {
                    return Some(id);
                }
            }
        }
        least_valuable(&self.evictable)
    }

    fn add_to_sets(&mut self, id: ConnectionId, connection: Connection) {
        self.busy += usize::from(connection.stage == Stage::Busy);
        self.shed_memory += connection.shed_memory();
        if !connection.is_evictable() {
            return;
        }
        for evictable in self.sets_of(connection.source) {
            if let Some(order) = evictable.in_stage_mut(connection.stage) {
                order.insert((connection.since, id));
            }
        }
    }

    fn remove_from_sets(&mut self, id: ConnectionId, connection: Connection) {
        self.busy -= usize::from(connection.stage == Stage::Busy);
        self.shed_memory -= connection.shed_memory();
        if !connection.is_evictable() {
            return;
        }
        for evictable in self.sets_of(connection.source) {
            if let Some(order) = evictable.in_stage_mut(connection.stage) {
                order.remove(&(connection.since, id));
            }
        }
    }

    /// The sets of all connections, and those of the connections from `source`.
    fn sets_of(&mut self, source: IpAddr) -> impl Iterator<Item = &mut EvictableConnections> {
        let of_source = self.by_source.get_mut(&source).map(|source| &mut source.evictable);
        [Some(&mut self.evictable), of_source].into_iter().flatten()
    }

    fn adjust_source_count(&mut self, source: IpAddr, by: isize) {
        let connections = self.by_source.entry(source).or_default();
        self.sources_by_count.remove(&(connections.count, source));
        connections.count = connections.count.saturating_add_signed(by);
        match connections.count {
            0 => drop(self.by_source.remove(&source)),
            count => drop(self.sources_by_count.insert((count, source))),
        }
    }
}
