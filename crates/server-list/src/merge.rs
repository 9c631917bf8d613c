//! Merges a list into the servers that a pool knows.

use std::net::SocketAddr;

use rustc_hash::{FxHashMap, FxHashSet};
use sableloom_types::{Span, Time};

use crate::clock::unix_ms;
use crate::list_change::ListChange;
use crate::server_record::{RecordState, ServerRecord};
use crate::tracked_server::{TrackedServer, free_name};

/// The servers that a pool would know, and what would change.
pub(crate) struct Merged {
    pub(crate) tracked: Vec<TrackedServer>,
    pub(crate) changes: Vec<ListChange>,
}

/// The state that a list is merged into.
pub(crate) struct Merge<'a> {
    pub(crate) now: Time,
    /// How long a removed server drains.
    pub(crate) drain_time: Span,
    /// Whether a list is in force.
    pub(crate) in_force: bool,
    pub(crate) tracked: &'a [TrackedServer],
}

impl Merge<'_> {
    /// The servers once these are the list. Each is the one at its address already; else the one that had its id; else
    /// new. So whatever the files say, an address is one endpoint, and its requests in flight count once.
    pub(crate) fn with<'s>(
        &self,
        servers: impl Iterator<Item = &'s ServerRecord> + Clone,
    ) -> Merged {
        let at: FxHashMap<SocketAddr, usize> =
            self.tracked.iter().enumerate().map(|(i, h)| (h.record.address, i)).collect();
        // Of two that had the same id, the one that is listed.
        let leaving = self.tracked.iter().enumerate().filter(|(_, h)| h.drain_ends_at.is_some());
        let record = self.tracked.iter().enumerate().filter(|(_, h)| h.drain_ends_at.is_none());
        let of: FxHashMap<&str, usize> =
            leaving.chain(record).map(|(i, h)| (&*h.record.id, i)).collect();
        let mut used = vec![false; self.tracked.len()];
        for server in servers.clone() {
            if let Some(i) = at.get(&server.address) {
                used[*i] = true;
            }
        }
        let mut names: FxHashSet<Box<str>> = self.tracked.iter().map(|h| h.name.clone()).collect();
        let (mut next, mut changes) = (Vec::new(), Vec::new());
        for server in servers {
            let moved = || of.get(&*server.id).copied().filter(|i| !used[*i]);
            let old = at.get(&server.address).copied().or_else(moved);
            let tracked = match old {
                Some(i) => {
                    used[i] = true;
                    self.updated(&self.tracked[i], server, &mut changes)
                }
                None => {
                    changes.push(ListChange::Added(server.id.clone()));
                    let name = free_name(&names, server);
                    names.insert(name.clone());
                    self.added(name, server)
                }
            };
            next.push(tracked);
        }
        for (tracked, _) in self.tracked.iter().zip(used).filter(|(_, used)| !used) {
            let mut tracked = tracked.clone();
            if tracked.drain_ends_at.is_none() {
                changes.push(ListChange::Removed(tracked.record.id.clone()));
                tracked.drain_ends_at = Some(self.now.plus(self.drain_time));
            }
            next.push(tracked);
        }
        Merged { tracked: next, changes }
    }

    /// A server that is new. What is there when this process starts counts as long up; what comes later as just started.
    fn added(&self, name: Box<str>, server: &ServerRecord) -> TrackedServer {
        let unstated = if self.in_force { unix_ms(self.now) } else { 0.0 };
        let up_since_ms = server.started_ms.unwrap_or(unstated);
        TrackedServer { name, record: server.clone(), up_since_ms, drain_ends_at: None }
    }

    /// A known server as the new list has it.
    fn updated(
        &self,
        old: &TrackedServer,
        server: &ServerRecord,
        changes: &mut Vec<ListChange>,
    ) -> TrackedServer {
        let id = || server.id.clone();
        let was = &old.record;
        let renamed = was.id != server.id;
        let moved = was.address != server.address;
        let back = old.drain_ends_at.is_some();
        // A start that was stated before and is left out now changes nothing.
        let restarted = server.started_ms.is_some_and(|s| s != old.up_since_ms);
        // Another machine for all that is known: whatever came back under another id, and whatever
        // is at another address.
        let other = (back && renamed) || moved;
        let up_since_ms = match server.started_ms {
            Some(stated) => stated,
            None if other => unix_ms(self.now),
            None => old.up_since_ms,
        };
        if back {
            changes.push(ListChange::Returned { id: id(), cold: other || restarted });
        } else if restarted {
            changes.push(ListChange::Restarted(id()));
        }
        if renamed {
            changes.push(ListChange::Renamed { from: was.id.clone(), to: id() });
        }
        if moved {
            changes.push(ListChange::Moved { id: id(), from: was.address, to: server.address });
        }
        if was.weight != server.weight {
            changes.push(ListChange::WeightChanged {
                id: id(),
                from: was.weight,
                to: server.weight,
            });
        }
        if was.zone != server.zone {
            changes.push(ListChange::ZoneChanged(id()));
        }
        match (was.state, server.state) {
            (RecordState::Serving, RecordState::Draining) => {
                changes.push(ListChange::Drained(id()))
            }
            (RecordState::Draining, RecordState::Serving) if !back => {
                changes.push(ListChange::Resumed(id()))
            }
            _ => {}
        }
        let name = old.name.clone();
        TrackedServer { name, record: server.clone(), up_since_ms, drain_ends_at: None }
    }
}
