//! The pages of a publisher's status.

use sableloom_types::Time;

use super::Publisher;
use super::output::SessionId;
use super::session::{Session, Subscription};
use super::snapshot_slots::SnapshotSlot;
use crate::message::{MAX_SERVICES_PER_MESSAGE, StatusQuery};
use crate::name::{ServiceName, SubscriberName};
use crate::status::{
    LagStatus, MAX_LISTED_PER_SESSION, MAX_SESSIONS_PER_PAGE, MachineStatus, PublisherStatus,
    RejectionStatus, SessionStatus, StatusPage, StatusRows,
};
use crate::store::Store;

const MICROSECONDS_PER_MILLISECOND: i64 = 1_000;

impl Publisher {
    /// Returns the totals of the store and of all sessions. The cost is proportional to the number of sessions.
    pub fn status(&self) -> PublisherStatus {
        let counters = self.shared.counters;
        let count = |condition: &dyn Fn(&Session) -> bool| {
            let sessions = self.sessions.values().filter(|session| session.subscriber.is_some());
            sessions.filter(|session| condition(session)).count() as u64
        };
        PublisherStatus {
            position: self.store.position(),
            services: self.store.service_count() as u64,
            resources: self.store.resource_count() as u64,
            tenants: self.store.tenant_count() as u64,
            log_entries: self.store.log_entries() as u64,
            log_bytes: self.store.log_bytes() as u64,
            sessions: count(&|_| true),
            lagging: count(&|session| !session.is_idle() || session.is_rejecting()),
            rejecting: count(&Session::is_rejecting),
            snapshots: self.shared.snapshot_slots.in_use() as u64,
            waiting_for_snapshot: count(&|session| session.snapshot_slot == SnapshotSlot::Waiting),
            waiting_for_bandwidth: self.shared.bandwidth.waiting() as u64,
            transactions: counters.transactions,
            bytes: counters.bytes,
            acks: counters.acks,
            rejections: counters.rejections,
            mismatches: counters.mismatches,
            closed: counters.closed,
        }
    }

    /// Returns the totals and the rows that a query requests, at most one page of them.
    pub fn status_page(&self, now: Time, query: &StatusQuery) -> StatusPage {
        let rows = match query {
            StatusQuery::Sessions { from } => self.session_rows(now, *from),
            StatusQuery::Services { after } => self.service_rows(after.as_ref()),
            StatusQuery::Machine => StatusRows::Machine(self.machine_status()),
        };
        StatusPage { status: self.status(), rows }
    }

    /// Returns the progress in the log and the counts of closed connections.
    fn machine_status(&self) -> MachineStatus {
        let counters = self.shared.counters;
        MachineStatus {
            log: self.log_status.clone(),
            refused: counters.refused,
            stalled: counters.stalled,
            unacknowledged: counters.unacknowledged,
            silent: counters.silent,
            violations: counters.violations,
        }
    }

    /// Returns one page of the sessions whose id is at least `from`, without connections that have sent no hello.
    fn session_rows(&self, now: Time, from: u64) -> StatusRows {
        let id_and_subscriber =
            |session: &Session| Some((session.id.0, session.subscriber.clone()?));
        let mut ids: Vec<(u64, SubscriberName)> = self
            .sessions
            .values()
            .filter_map(id_and_subscriber)
            .filter(|(id, _)| *id >= from)
            .collect();
        ids.sort_unstable_by_key(|(id, _)| *id);
        let next = ids.get(MAX_SESSIONS_PER_PAGE).map(|(id, _)| *id);
        ids.truncate(MAX_SESSIONS_PER_PAGE);
        let row = |(id, name)| {
            let session = self.sessions.get(&SessionId(id))?;
            Some(session.status(now, name, &self.store))
        };
        StatusRows::Sessions { sessions: ids.into_iter().filter_map(row).collect(), next }
    }

    /// Returns one page of the services whose names sort after `after`.
    fn service_rows(&self, after: Option<&ServiceName>) -> StatusRows {
        let mut rows = self.store.services_after(after);
        let services: Vec<_> = rows.by_ref().take(MAX_SERVICES_PER_MESSAGE).collect();
        let has_more = rows.next().is_some();
        let next = services.last().filter(|_| has_more).map(|last| last.service.clone());
        StatusRows::Services { services, next }
    }
}

impl Session {
    /// Returns the row of this session in the status.
    fn status(&self, now: Time, subscriber: SubscriberName, store: &Store) -> SessionStatus {
        let lags = || self.subscriptions.iter().filter(|(service, _)| self.lags(service, store));
        let rejections = || {
            self.subscriptions.iter().filter(|(_, subscription)| subscription.rejected.is_some())
        };
        SessionStatus {
            session: self.id.0,
            subscriber,
            services: self.subscriptions.len() as u32,
            current: self.last_bookmark,
            queued_bytes: self.queued_bytes() as u64,
            silent_ms: milliseconds_since(self.last_received, now),
            lagging: lags().count() as u32,
            lags: lags()
                .take(MAX_LISTED_PER_SESSION)
                .map(|(service, subscription)| lag_status(now, service, subscription, store))
                .collect(),
            rejecting: rejections().count() as u32,
            rejections: rejections()
                .take(MAX_LISTED_PER_SESSION)
                .filter_map(|(service, subscription)| rejection_status(now, service, subscription))
                .collect(),
        }
    }
}

/// Returns the milliseconds for which the subscriber has lagged behind the store; 0 if it does not lag.
fn lagging_ms(now: Time, subscription: &Subscription) -> u64 {
    milliseconds_since(subscription.lagging_since.unwrap_or(now), now)
}

fn lag_status(
    now: Time,
    service: &ServiceName,
    subscription: &Subscription,
    store: &Store,
) -> LagStatus {
    LagStatus {
        service: service.clone(),
        applied_version: subscription.version,
        latest_version: store.service_version(service).version,
        behind_ms: lagging_ms(now, subscription),
    }
}

/// Returns the status of a rejected service, or `None` if the subscriber has rejected no version of it.
fn rejection_status(
    now: Time,
    service: &ServiceName,
    subscription: &Subscription,
) -> Option<RejectionStatus> {
    let rejected = subscription.rejected.as_ref()?;
    Some(RejectionStatus {
        service: service.clone(),
        applied_version: subscription.version,
        rejected_version: rejected.version,
        behind_ms: lagging_ms(now, subscription),
        problem: rejected.problem.clone(),
    })
}

/// Returns the whole milliseconds from `since` to `now`; 0 if `since` is later.
fn milliseconds_since(since: Time, now: Time) -> u64 {
    (now.since(since).0 / MICROSECONDS_PER_MILLISECOND).max(0) as u64
}
