//! A service in the scope of a session.

use sableloom_types::Time;

use super::pending::GroupId;
use super::transaction::TransactionId;
use crate::name::ServiceName;
use crate::position::ServiceVersion;
use crate::rejection::Rejection;
use crate::store::Store;

/// The state of a service at the subscriber, as far as the control machine knows it.
#[derive(Debug)]
pub(in crate::publisher) struct Subscription {
    /// The scope message that last added the service.
    pub(super) generation: u32,
    /// The version that the subscriber has applied, as it reported or acknowledged it.
    pub(in crate::publisher) version: u64,
    pub(super) digest: u64,
    /// The subscriber's state matched no transaction: only a snapshot can repair it.
    pub(super) needs_snapshot: bool,
    /// The pending group that the service is in.
    pub(super) group: Option<GroupId>,
    /// The transaction in which the service is in flight.
    pub(super) transaction: Option<TransactionId>,
    /// The version that the subscriber has rejected last.
    pub(in crate::publisher) rejected: Option<RejectedVersion>,
    /// Since when the store has had a later version than the subscriber.
    pub(in crate::publisher) lagging_since: Option<Time>,
}

/// A version that the subscriber has rejected.
#[derive(Clone, Debug)]
pub(in crate::publisher) struct RejectedVersion {
    pub(in crate::publisher) version: u64,
    /// The first problem, if it was reported on this connection.
    pub(in crate::publisher) problem: Option<Rejection>,
}

impl Subscription {
    pub(super) fn new(generation: u32, applied: &ServiceVersion) -> Self {
        Subscription {
            generation,
            version: applied.version,
            digest: applied.digest,
            needs_snapshot: false,
            group: None,
            transaction: None,
            rejected: None,
            lagging_since: None,
        }
    }

    /// Whether a delta can be sent: the log reaches back to the version that the subscriber has applied.
    pub(super) fn accepts_delta(&self, service: &ServiceName, store: &Store) -> bool {
        !self.needs_snapshot && store.has_base(service, self.version, self.digest)
    }

    /// Whether the subscriber has not applied the latest version.
    pub(super) fn lags(&self, service: &ServiceName, store: &Store) -> bool {
        let latest = store.service_version(service);
        (self.version, self.digest) != (latest.version, latest.digest)
    }
}
