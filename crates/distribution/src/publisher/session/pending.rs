//! The pending groups of a session: sets of services that have changed together and must be sent in one transaction.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::ServiceName;

/// The id of a group within its session; groups of the same state are sent in the order of their ids.
pub(super) type GroupId = u64;

/// Services that must be sent in one transaction.
#[derive(Debug)]
pub(super) struct PendingGroup {
    pub(super) services: Vec<ServiceName>,
    pub(super) state: GroupState,
}

/// Whether and how a group can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GroupState {
    /// All services of the group can be sent as deltas.
    Delta,
    /// At least one service of the group needs a snapshot.
    Snapshot,
    /// The subscriber has rejected the group; it is not sent before one of its services changes.
    Rejected,
}

/// All pending groups of a session. A service is in at most one group; its subscription holds the group's id.
#[derive(Debug, Default)]
pub(super) struct PendingGroups {
    groups: BTreeMap<GroupId, PendingGroup>,
    /// The groups in [`GroupState::Delta`].
    deltas: BTreeSet<GroupId>,
    /// The groups in [`GroupState::Snapshot`].
    snapshots: BTreeSet<GroupId>,
    /// The id of the next group that is inserted.
    next_id: GroupId,
}

impl PendingGroups {
    /// Adds a group after all existing ones and returns its id.
    pub(super) fn insert(&mut self, services: Vec<ServiceName>, state: GroupState) -> GroupId {
        let id = self.next_id;
        self.next_id += 1;
        match state {
            GroupState::Delta => self.deltas.insert(id),
            GroupState::Snapshot => self.snapshots.insert(id),
            GroupState::Rejected => false,
        };
        self.groups.insert(id, PendingGroup { services, state });
        id
    }

    /// Removes a group and returns it, or `None` if it does not exist.
    pub(super) fn remove(&mut self, id: GroupId) -> Option<PendingGroup> {
        self.deltas.remove(&id);
        self.snapshots.remove(&id);
        self.groups.remove(&id)
    }

    /// Returns a group, or `None` if it does not exist.
    pub(super) fn get(&self, id: GroupId) -> Option<&PendingGroup> {
        self.groups.get(&id)
    }

    /// Removes a service from its group, and removes the group if it is then empty.
    pub(super) fn remove_service(&mut self, id: GroupId, service: &ServiceName) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.services.retain(|other| other != service);
        if group.services.is_empty() {
            self.remove(id);
        }
    }

    /// Moves a group to [`GroupState::Snapshot`] after the log has dropped a change that its deltas need.
    pub(super) fn require_snapshot(&mut self, id: GroupId) {
        if let Some(group) = self.groups.get_mut(&id) {
            group.state = GroupState::Snapshot;
            self.deltas.remove(&id);
            self.snapshots.insert(id);
        }
    }

    /// Returns the first group of a state whose services satisfy a condition. Rejected groups are never returned.
    pub(super) fn first(
        &self,
        state: GroupState,
        condition: impl Fn(&[ServiceName]) -> bool,
    ) -> Option<GroupId> {
        let ids = match state {
            GroupState::Delta => &self.deltas,
            GroupState::Snapshot => &self.snapshots,
            GroupState::Rejected => return None,
        };
        let satisfies =
            |id: &&GroupId| self.groups.get(id).is_some_and(|group| condition(&group.services));
        ids.iter().find(satisfies).copied()
    }

    /// Returns whether any group needs a snapshot.
    pub(super) fn has_snapshots(&self) -> bool {
        !self.snapshots.is_empty()
    }

    /// Returns whether the subscriber has rejected any group.
    pub(super) fn has_rejected(&self) -> bool {
        self.groups.values().any(|group| group.state == GroupState::Rejected)
    }

    /// Returns whether no group is to be sent; rejected groups do not count.
    pub(super) fn nothing_to_send(&self) -> bool {
        self.deltas.is_empty() && self.snapshots.is_empty()
    }
}
