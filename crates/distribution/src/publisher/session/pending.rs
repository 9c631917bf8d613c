//! The pending groups of a session: services that have changed together and must come in one transaction.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::ServiceName;

/// The id of a group within its session; the lower ids are sent first.
pub(super) type GroupId = u64;

/// Services that must come in one transaction.
#[derive(Debug)]
pub(super) struct PendingGroup {
    pub(super) services: Vec<ServiceName>,
    pub(super) state: GroupState,
}

/// How a group can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GroupState {
    /// All of its services as deltas.
    Delta,
    /// At least one of its services as a snapshot.
    Snapshot,
    /// Not at all before one of its services changes: the subscriber has rejected them.
    Rejected,
}

/// All pending groups. A service is in one group at most; its subscription holds the group's id.
#[derive(Debug, Default)]
pub(super) struct PendingGroups {
    groups: BTreeMap<GroupId, PendingGroup>,
    deltas: BTreeSet<GroupId>,
    snapshots: BTreeSet<GroupId>,
    next_id: GroupId,
}

impl PendingGroups {
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

    pub(super) fn remove(&mut self, id: GroupId) -> Option<PendingGroup> {
        self.deltas.remove(&id);
        self.snapshots.remove(&id);
        self.groups.remove(&id)
    }

    pub(super) fn get(&self, id: GroupId) -> Option<&PendingGroup> {
        self.groups.get(&id)
    }

    /// Removes a service from its group, and the group with its last service.
    pub(super) fn remove_service(&mut self, id: GroupId, service: &ServiceName) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.services.retain(|other| other != service);
        if group.services.is_empty() {
            self.remove(id);
        }
    }

    /// A group that was pending as a delta needs a snapshot, as the log has moved on.
    pub(super) fn require_snapshot(&mut self, id: GroupId) {
        if let Some(group) = self.groups.get_mut(&id) {
            group.state = GroupState::Snapshot;
            self.deltas.remove(&id);
            self.snapshots.insert(id);
        }
    }

    /// The first group of this state that satisfies a condition on its services.
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

    /// Whether a group needs a snapshot.
    pub(super) fn has_snapshots(&self) -> bool {
        !self.snapshots.is_empty()
    }

    /// Whether the subscriber has rejected a group.
    pub(super) fn has_rejected(&self) -> bool {
        self.groups.values().any(|group| group.state == GroupState::Rejected)
    }

    /// Whether no group is to be sent.
    pub(super) fn nothing_to_send(&self) -> bool {
        self.deltas.is_empty() && self.snapshots.is_empty()
    }
}
