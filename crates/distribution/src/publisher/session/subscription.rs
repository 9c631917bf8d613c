//! A service in the scope of a session.

use sableloom_types::Time;

use super::pending::GroupId;
use super::transaction::TransactionId;
use crate::name::ServiceName;
use crate::position::ServiceVersion;
use crate::rejection::Rejection;
use crate::store::Store;

/// A service in the scope of a session, with the state that the subscriber has reported or acknowledged for it.
#[derive(Debug)]
pub(in crate::publisher) struct Subscription {
    /// The generation of the scope message that last added the service.
    pub(super) generation: u32,
    /// The version that the subscriber has applied, as it reported or acknowledged it.
    pub(in crate::publisher) version: u64,
    /// The digest that belongs to [`Self::version`].
    pub(super) digest: u64,
    /// Whether the service must be sent as a snapshot, because a transaction did not match the subscriber's state.
    pub(super) needs_snapshot: bool,
    /// The pending group that contains the service.
    pub(super) group: Option<GroupId>,
    /// The transaction in which the service is in flight.
    pub(super) transaction: Option<TransactionId>,
    /// The version that the subscriber rejected last; none after it has acknowledged a transaction of the service.
    pub(in crate::publisher) rejected: Option<RejectedVersion>,
    /// The time at which the subscriber began to lag behind the store on this connection; none if it does not lag.
    pub(in crate::publisher) lagging_since: Option<Time>,
}

/// A version that the subscriber has rejected.
#[derive(Clone, Debug)]
pub(in crate::publisher) struct RejectedVersion {
    pub(in crate::publisher) version: u64,
    /// The first problem of the rejection; none if it was not reported on this connection.
    pub(in crate::publisher) problem: Option<Rejection>,
}

impl Subscription {
    /// Creates the subscription of a service that a scope message adds with its applied version.
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

    /// Returns whether the service can be sent as a delta: the log holds all changes since the version that the
    /// subscriber has applied, and no snapshot is required.
    pub(super) fn accepts_delta(&self, service: &ServiceName, store: &Store) -> bool {
        !self.needs_snapshot && store.has_base(service, self.version, self.digest)
    }

    /// Returns whether the subscriber has not applied the latest version.
    pub(super) fn lags(&self, service: &ServiceName, store: &Store) -> bool {
        let latest = store.service_version(service);
        (self.version, self.digest) != (latest.version, latest.digest)
    }
}
