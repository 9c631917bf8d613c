//! The effects of a subscriber's answer to a transaction on its session.

use super::Session;
use super::subscription::RejectedVersion;
use super::transaction::{TransactionId, TransactionTarget};
use crate::name::ServiceName;
use crate::position::ServiceVersion;
use crate::rejection::Rejection;
use crate::store::Store;

impl Session {
    /// Removes a transaction that has been answered, and returns its target versions. Services that were removed from
    /// the scope, or added again, after the transaction was opened are left out. Returns `None` if no completely
    /// sent, unanswered transaction has this id.
    pub(in crate::publisher) fn remove_answered(
        &mut self,
        transaction: TransactionId,
    ) -> Option<Vec<ServiceVersion>> {
        let sent = self.unacknowledged.remove(&transaction)?;
        self.bookmark_due = true;
        for target in &sent.targets {
            if let Some(subscription) = self.subscriptions.get_mut(&target.version.service)
                && subscription.transaction == Some(transaction)
            {
                subscription.transaction = None;
            }
        }
        let is_still_subscribed = |target: &TransactionTarget| {
            self.subscriptions
                .get(&target.version.service)
                .is_some_and(|subscription| subscription.generation == target.generation)
        };
        let targets = sent.targets.into_iter().filter(is_still_subscribed);
        Some(targets.map(|target| target.version).collect())
    }

    /// Records that the subscriber has applied a transaction with these target versions.
    pub(in crate::publisher) fn record_ack(&mut self, targets: &[ServiceVersion], store: &Store) {
        self.consecutive_mismatches = 0;
        for target in targets {
            self.set_applied(target);
            let Some(subscription) = self.subscriptions.get_mut(&target.service) else {
                continue;
            };
            if !subscription.lags(&target.service, store) {
                subscription.lagging_since = None;
            }
            subscription.needs_snapshot = false;
            subscription.rejected = None;
        }
    }

    /// Records that the subscriber has rejected the content of a transaction with these target versions. The first
    /// rejection of each service is stored, or the first of the transaction for a service without one.
    pub(in crate::publisher) fn record_rejection(
        &mut self,
        targets: &[ServiceVersion],
        rejections: &[Rejection],
        store: &Store,
    ) {
        self.consecutive_mismatches = 0;
        for target in targets {
            let service_rejection =
                rejections.iter().find(|rejection| rejection.resource.service == target.service);
            let problem = service_rejection.or(rejections.first()).cloned();
            if let Some(subscription) = self.subscriptions.get_mut(&target.service) {
                subscription.rejected = Some(RejectedVersion { version: target.version, problem });
            }
        }
        self.mark_rejected(service_names(targets), store);
    }

    /// Records that a transaction with these target versions did not match the subscriber's state, and makes its
    /// services pending again. Services of the transaction that the subscriber reports in `applied` will be sent as
    /// snapshots. Returns the number of consecutive mismatches.
    pub(in crate::publisher) fn record_mismatch(
        &mut self,
        targets: &[ServiceVersion],
        applied: &[ServiceVersion],
        store: &Store,
    ) -> u32 {
        self.consecutive_mismatches += 1;
        for version in applied {
            if !targets.iter().any(|target| target.service == version.service) {
                continue;
            }
            self.set_applied(version);
            if let Some(subscription) = self.subscriptions.get_mut(&version.service) {
                subscription.needs_snapshot = true;
            }
        }
        self.mark_pending(&service_names(targets), store);
        self.consecutive_mismatches
    }
}

fn service_names(versions: &[ServiceVersion]) -> Vec<ServiceName> {
    versions.iter().map(|version| version.service.clone()).collect()
}
