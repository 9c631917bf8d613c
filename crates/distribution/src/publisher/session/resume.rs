//! Changes of a session's scope, and the services that become pending by them or by a change in the log.

use std::collections::BTreeSet;

use sableloom_types::Time;

use super::Session;
use super::steps::ChangeEffect;
use crate::name::ServiceName;
use crate::position::ServiceVersion;
use crate::store::Store;

impl Session {
    /// Returns whether a scope message exceeds one of two limits. The scope may have at most `max` services after the
    /// services in `added` are added. The number of services that this message names (`message_services`) plus the
    /// number stored from earlier messages of an incomplete scope may be at most twice `max`; of the services to resume
    /// and the rejected versions, only the larger number counts as stored.
    pub(in crate::publisher) fn exceeds_scope(
        &self,
        added: &[ServiceVersion],
        message_services: usize,
        max: usize,
    ) -> bool {
        let is_new = |added: &&ServiceVersion| !self.subscriptions.contains_key(&added.service);
        let new = added.iter().filter(is_new).count();
        let stored_services = self.services_to_resume.len().max(self.reported_rejections.len());
        self.subscriptions.len() + new > max || stored_services + message_services > 2 * max
    }

    /// Adds the services of a scope message to the scope, and stores the rejected versions that it reports.
    pub(in crate::publisher) fn add_to_scope(
        &mut self,
        added: Vec<ServiceVersion>,
        rejected: Vec<ServiceVersion>,
    ) {
        self.reported_rejections.extend(rejected);
        self.services_to_resume.extend(added.iter().map(|version| version.service.clone()));
        for applied in added {
            self.subscribe(applied);
        }
    }

    /// Completes a scope: the added services in which the subscriber lags become pending. Services that the same change
    /// in the log touched become pending in one group.
    pub(in crate::publisher) fn resume(&mut self, now: Time, store: &Store) {
        self.scope_complete = true;
        self.bookmark_due = true;
        let services = std::mem::take(&mut self.services_to_resume);
        let lagging: Vec<ServiceName> =
            services.into_iter().filter(|service| self.lags(service, store)).collect();
        self.mark_lagging(now, &lagging);
        let mut processed_changes = BTreeSet::new();
        for service in &lagging {
            self.mark_pending(std::slice::from_ref(service), store);
            self.join_changed_together(service, &mut processed_changes, store);
        }
        for rejected in self.reported_rejections.clone() {
            self.mark_rejected_if_reported(&rejected.service, store);
        }
        self.reported_rejections = Vec::new();
    }

    /// Handles a change in the log that touched services of the scope: it is merged into the open transaction if
    /// possible, and the services become pending otherwise.
    pub(in crate::publisher) fn services_changed(
        &mut self,
        now: Time,
        services: &[ServiceName],
        max_transaction_bytes: usize,
        store: &Store,
    ) -> ChangeEffect {
        // The versions of services that an incomplete scope has added are compared when the scope is complete.
        let awaits_no_resume = |service: &&ServiceName| !self.services_to_resume.contains(*service);
        let services: Vec<ServiceName> =
            services.iter().filter(awaits_no_resume).cloned().collect();
        if services.is_empty() {
            return ChangeEffect::None;
        }
        self.mark_lagging(now, &services);
        if self.merge_into_open(&services, max_transaction_bytes, store) {
            return ChangeEffect::Merged;
        }
        self.mark_pending(&services, store);
        ChangeEffect::Pending
    }

    /// Puts a service into one group with the services that changes since its applied version have touched together
    /// with it. `processed_changes` holds the numbers of changes that have already been processed.
    fn join_changed_together(
        &mut self,
        service: &ServiceName,
        processed_changes: &mut BTreeSet<u64>,
        store: &Store,
    ) {
        let Some(subscription) = self.subscriptions.get(service) else {
            return;
        };
        if !subscription.accepts_delta(service, store) {
            return;
        }
        for (number, touched) in store.changes_since(service, subscription.version) {
            if touched.len() < 2 || !processed_changes.insert(number) {
                continue;
            }
            let lacks_change = |service: &&ServiceName| {
                self.subscriptions.get(*service).is_some_and(|subscription| {
                    subscription.version < number && subscription.accepts_delta(service, store)
                })
            };
            let changed_together: Vec<ServiceName> =
                touched.iter().filter(lacks_change).cloned().collect();
            self.mark_pending(&changed_together, store);
        }
    }
}
