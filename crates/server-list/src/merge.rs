//! Merges a new list into the listed and draining servers of a pool.

use std::net::SocketAddr;

use rustc_hash::{FxHashMap, FxHashSet};
use sableloom_types::{Span, Time};

use crate::clock::unix_ms;
use crate::list_change::ListChange;
use crate::server_record::{RecordState, ServerRecord};
use crate::tracked_server::{TrackedServer, free_name};

/// Result of a merge: the listed and draining servers of the pool, and the changes by the new list.
pub(crate) struct Merged {
    pub(crate) tracked: Vec<TrackedServer>,
    pub(crate) changes: Vec<ListChange>,
}

/// State of a pool that a new list is merged into.
pub(crate) struct Merge<'a> {
    pub(crate) now: Time,
    /// How long a removed server drains.
    pub(crate) drain_time: Span,
    /// Whether a list was in force before.
    pub(crate) in_force: bool,
    pub(crate) tracked: &'a [TrackedServer],
}

impl Merge<'_> {
    /// Merges the servers of a new list. Each server continues the tracked server at the same address. Without such a
    /// tracked server, it continues the tracked server with the same id, unless another server of the new list is at
    /// the address of that tracked server. Otherwise the server is new. Each address thus has one endpoint, whatever ids
    /// the files state, and the requests in flight to an address are counted once.
    pub(crate) fn apply<'s>(
        &self,
        servers: impl Iterator<Item = &'s ServerRecord> + Clone,
    ) -> Merged {
        let by_address: FxHashMap<SocketAddr, usize> = self
            .tracked
            .iter()
            .enumerate()
            .map(|(i, tracked)| (tracked.record.address, i))
            .collect();
        // Of two tracked servers with the same id, the listed server is inserted last and takes precedence.
        let draining =
            self.tracked.iter().enumerate().filter(|(_, tracked)| tracked.drain_ends_at.is_some());
        let listed =
            self.tracked.iter().enumerate().filter(|(_, tracked)| tracked.drain_ends_at.is_none());
        let by_id: FxHashMap<&str, usize> =
            draining.chain(listed).map(|(i, tracked)| (&*tracked.record.id, i)).collect();
        let mut matched = vec![false; self.tracked.len()];
        for server in servers.clone() {
            if let Some(i) = by_address.get(&server.address) {
                matched[*i] = true;
            }
        }
        let mut names: FxHashSet<Box<str>> =
            self.tracked.iter().map(|tracked| tracked.name.clone()).collect();
        let (mut merged, mut changes) = (Vec::new(), Vec::new());
        for server in servers {
            let known_with_id = || by_id.get(&*server.id).copied().filter(|i| !matched[*i]);
            let known = by_address.get(&server.address).copied().or_else(known_with_id);
            let tracked = match known {
                Some(i) => {
                    matched[i] = true;
                    self.updated_server(&self.tracked[i], server, &mut changes)
                }
                None => {
                    changes.push(ListChange::Added(server.id.clone()));
                    let name = free_name(&names, server);
                    names.insert(name.clone());
                    self.new_server(name, server)
                }
            };
            merged.push(tracked);
        }
        for (tracked, _) in self.tracked.iter().zip(matched).filter(|(_, matched)| !matched) {
            let mut tracked = tracked.clone();
            if tracked.drain_ends_at.is_none() {
                changes.push(ListChange::Removed(tracked.record.id.clone()));
                tracked.drain_ends_at = Some(self.now.plus(self.drain_time));
            }
            merged.push(tracked);
        }
        Merged { tracked: merged, changes }
    }

    /// A new server. If the server states no start time, it counts as started long ago in the first list of this
    /// process, and as just started in a later list.
    fn new_server(&self, name: Box<str>, server: &ServerRecord) -> TrackedServer {
        let default_up_since_ms = if self.in_force { unix_ms(self.now) } else { 0.0 };
        let up_since_ms = server.started_ms.unwrap_or(default_up_since_ms);
        TrackedServer { name, record: server.clone(), up_since_ms, drain_ends_at: None }
    }

    /// A tracked server with the record of the new list. Adds the differences to `changes`.
    fn updated_server(
        &self,
        old: &TrackedServer,
        server: &ServerRecord,
        changes: &mut Vec<ListChange>,
    ) -> TrackedServer {
        let id = || server.id.clone();
        let old_record = &old.record;
        let renamed = old_record.id != server.id;
        let moved = old_record.address != server.address;
        let returned = old.drain_ends_at.is_some();
        // A start time that was stated before and is no longer stated is not a restart.
        let restarted = server.started_ms.is_some_and(|started| started != old.up_since_ms);
        // A server that returns with another id, and a server with another address, are taken for another machine,
        // because nothing shows that they are the same one.
        let other_machine = (returned && renamed) || moved;
        let up_since_ms = match server.started_ms {
            Some(stated) => stated,
            None if other_machine => unix_ms(self.now),
            None => old.up_since_ms,
        };
        if returned {
            changes.push(ListChange::Returned { id: id(), cold: other_machine || restarted });
        } else if restarted {
            changes.push(ListChange::Restarted(id()));
        }
        if renamed {
            changes.push(ListChange::Renamed { from: old_record.id.clone(), to: id() });
        }
        if moved {
            changes.push(ListChange::Moved {
                id: id(),
                from: old_record.address,
                to: server.address,
            });
        }
        if old_record.weight != server.weight {
            changes.push(ListChange::WeightChanged {
                id: id(),
                from: old_record.weight,
                to: server.weight,
            });
        }
        if old_record.zone != server.zone {
            changes.push(ListChange::ZoneChanged(id()));
        }
        match (old_record.state, server.state) {
            (RecordState::Serving, RecordState::Draining) => {
                changes.push(ListChange::Drained(id()))
            }
            (RecordState::Draining, RecordState::Serving) if !returned => {
                changes.push(ListChange::Resumed(id()))
            }
            _ => {}
        }
        let name = old.name.clone();
        TrackedServer { name, record: server.clone(), up_since_ms, drain_ends_at: None }
    }
}
