//! The grouping of pending services: the services that one change has touched must be sent in one transaction.

use std::collections::BTreeSet;

use super::Session;
use super::pending::{GroupId, GroupState};
use super::subscription::RejectedVersion;
use crate::name::ServiceName;
use crate::position::ServiceVersion;
use crate::store::Store;

impl Session {
    /// Marks services that have changed together as pending. They and all services that are already pending in a group
    /// with any of them become one group.
    pub(super) fn mark_pending(&mut self, services: &[ServiceName], store: &Store) {
        let groups: BTreeSet<Option<GroupId>> = services
            .iter()
            .filter_map(|service| self.subscriptions.get(service))
            .map(|subscription| subscription.group)
            .collect();
        if let (1, Some(&Some(id))) = (groups.len(), groups.first())
            && self.pending.get(id).is_some_and(|group| group.state != GroupState::Rejected)
        {
            // All of the services are already in the same group.
            return;
        }
        let mut members: BTreeSet<ServiceName> = services.iter().cloned().collect();
        for id in groups.into_iter().flatten() {
            members.extend(self.remove_group(id));
        }
        members.retain(|service| self.subscriptions.contains_key(service));
        self.insert_group(members.into_iter().collect(), None, store);
    }

    /// Holds back the services that the subscriber has rejected in one transaction, until one of them changes. If one
    /// of them has already changed since the transaction was opened, all of them become pending again.
    pub(super) fn mark_rejected(&mut self, services: Vec<ServiceName>, store: &Store) {
        let is_pending = |service: &ServiceName| {
            self.subscriptions.get(service).is_some_and(|subscription| subscription.group.is_some())
        };
        if services.iter().any(is_pending) {
            self.mark_pending(&services, store);
        } else {
            self.insert_group(services, Some(GroupState::Rejected), store);
        }
    }

    /// Holds back the pending group of a service if the subscriber has reported that it rejected the latest version of
    /// each service in the group.
    pub(super) fn mark_rejected_if_reported(&mut self, service: &ServiceName, store: &Store) {
        let Some(id) = self.subscriptions.get(service).and_then(|subscription| subscription.group)
        else {
            return;
        };
        let Some(group) = self.pending.get(id) else {
            return;
        };
        let latest: Vec<ServiceVersion> =
            group.services.iter().map(|service| store.service_version(service)).collect();
        if !latest.iter().all(|version| self.reported_rejections.contains(version)) {
            return;
        }
        for ServiceVersion { service, version, .. } in &latest {
            if let Some(subscription) = self.subscriptions.get_mut(service) {
                subscription.rejected = Some(RejectedVersion { version: *version, problem: None });
            }
        }
        let services = self.remove_group(id);
        self.insert_group(services, Some(GroupState::Rejected), store);
    }

    /// Splits a group that is too large for one transaction into one group for each service.
    pub(super) fn split_group(&mut self, id: GroupId, store: &Store) {
        for service in self.remove_group(id) {
            self.insert_group(vec![service], None, store);
        }
    }

    /// Removes a group and returns its services.
    pub(super) fn remove_group(&mut self, id: GroupId) -> Vec<ServiceName> {
        let Some(group) = self.pending.remove(id) else {
            return Vec::new();
        };
        for service in &group.services {
            if let Some(subscription) = self.subscriptions.get_mut(service) {
                subscription.group = None;
            }
        }
        group.services
    }

    /// Inserts a group in a given state. Without one, the state is [`GroupState::Delta`] if all services can be sent as
    /// deltas, and [`GroupState::Snapshot`] otherwise.
    fn insert_group(
        &mut self,
        services: Vec<ServiceName>,
        state: Option<GroupState>,
        store: &Store,
    ) {
        if services.is_empty() {
            return;
        }
        let needs_snapshot = services.iter().any(|service| {
            let subscription = self.subscriptions.get(service);
            subscription.is_some_and(|subscription| !subscription.accepts_delta(service, store))
        });
        let sendable = if needs_snapshot { GroupState::Snapshot } else { GroupState::Delta };
        let id = self.pending.insert(services.clone(), state.unwrap_or(sendable));
        for service in &services {
            if let Some(subscription) = self.subscriptions.get_mut(service) {
                subscription.group = Some(id);
            }
        }
    }
}
