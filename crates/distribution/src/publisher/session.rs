//! One subscriber's session: what it has, what is pending for it, what is on the way.
//!
//! What is pending is a set of services and not a queue of messages: a transaction is made when it can be sent, from
//! what the subscriber has to what the store has. However many changes come meanwhile, they take no memory here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use sableloom_types::Time;

use super::options::SessionId;
use crate::digest::scope_digest_term;
use crate::message::ServiceBase;
use crate::name::{ServiceName, SubscriberName};
use crate::resource::{Change, Position, Rejection, ServiceVersion};
use crate::store::Store;

type GroupId = u64;

/// A service in the scope of a session.
#[derive(Debug)]
pub(super) struct Subscription {
    /// The scope message that named it last.
    pub(super) generation: u32,
    /// What the subscriber has, by its own word.
    pub(super) version: u64,
    pub(super) digest: u64,
    /// What it has fits no version: only a snapshot will do.
    pub(super) unusable: bool,
    /// The group in which it waits.
    group: Option<GroupId>,
    /// The transaction in which it is on the way.
    pub(super) transfer: Option<u64>,
    pub(super) refused: Option<Refused>,
    /// Since when the store has had more than the subscriber; none if it has not.
    pub(super) behind_since: Option<Time>,
}

/// What a subscriber has refused of a service.
#[derive(Clone, Debug)]
pub(super) struct Refused {
    pub(super) version: u64,
    pub(super) problem: Option<Rejection>,
}

/// Services that must come in one transaction.
#[derive(Debug)]
struct Group {
    services: Vec<ServiceName>,
    state: GroupState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GroupState {
    Delta,
    Snapshot,
    /// Refused by the subscriber: not sent before something in it changes.
    Refused,
}

/// A service of a transaction.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) held: ServiceVersion,
    pub(super) generation: u32,
}

/// A transaction that is being sent.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) id: u64,
    /// Sent with the first frame; empty afterwards.
    pub(super) bases: Vec<ServiceBase>,
    pub(super) changes: VecDeque<Change>,
    pub(super) targets: Vec<Target>,
    pub(super) bytes: usize,
    pub(super) snapshot: bool,
}

/// A transaction that has been sent whole.
#[derive(Debug)]
pub(super) struct Unacknowledged {
    pub(super) targets: Vec<Target>,
    pub(super) bytes: usize,
    pub(super) snapshot: bool,
    pub(super) sent: Time,
}

/// A session's turn at snapshots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// Needs none.
    None,
    /// Waits for one.
    Waiting,
    /// Has one.
    Taken,
}

#[derive(Debug)]
pub(super) struct Session {
    pub(super) id: SessionId,
    /// Set by the hello.
    pub(super) subscriber: Option<SubscriberName>,
    /// The last scope message.
    pub(super) generation: u32,
    /// The last message of a scope has come.
    pub(super) scope_whole: bool,
    /// Services named by a scope that is not whole yet.
    pub(super) new_services: BTreeSet<ServiceName>,
    /// What it has refused, as the scope says.
    pub(super) told_refused: Vec<ServiceVersion>,
    pub(super) services: BTreeMap<ServiceName, Subscription>,
    groups: BTreeMap<GroupId, Group>,
    delta_groups: BTreeSet<GroupId>,
    snapshot_groups: BTreeSet<GroupId>,
    next_group: GroupId,
    pub(super) open: Option<Transfer>,
    pub(super) unacknowledged: BTreeMap<u64, Unacknowledged>,
    pub(super) turn: Turn,
    /// Is in a queue for bytes to spend.
    pub(super) waits_for_bytes: bool,
    /// Bytes handed out and not yet written.
    pub(super) queued: usize,
    /// Since when nothing was written of them.
    pub(super) stalled_since: Time,
    pub(super) heard: Time,
    /// The earliest time at which its timer is set.
    pub(super) timer: Option<Time>,
    /// Sum of [`scope_digest_term`] over what the subscriber has.
    pub(super) digest: u64,
    /// The last bookmark.
    pub(super) bookmark: Position,
    pub(super) owes_bookmark: bool,
    pub(super) mismatches: u32,
}

impl Session {
    pub(super) fn new(id: SessionId, now: Time) -> Self {
        Session {
            id,
            subscriber: None,
            generation: 0,
            scope_whole: false,
            new_services: BTreeSet::new(),
            told_refused: Vec::new(),
            services: BTreeMap::new(),
            groups: BTreeMap::new(),
            delta_groups: BTreeSet::new(),
            snapshot_groups: BTreeSet::new(),
            next_group: 0,
            open: None,
            unacknowledged: BTreeMap::new(),
            turn: Turn::None,
            waits_for_bytes: false,
            queued: 0,
            stalled_since: now,
            heard: now,
            timer: None,
            digest: 0,
            bookmark: Position::default(),
            owes_bookmark: false,
            mismatches: 0,
        }
    }

    /// Takes a service into the scope, or anew with another state.
    pub(super) fn subscribe(&mut self, held: ServiceVersion) {
        self.unsubscribe(&held.service);
        self.digest =
            self.digest.wrapping_add(scope_digest_term(&held.service, held.version, held.digest));
        let subscription = Subscription {
            generation: self.generation,
            version: held.version,
            digest: held.digest,
            unusable: false,
            group: None,
            transfer: None,
            refused: None,
            behind_since: None,
        };
        self.services.insert(held.service, subscription);
    }

    /// The store has more than the subscriber of these services.
    pub(super) fn fell_behind(&mut self, now: Time, services: &[ServiceName]) {
        for service in services {
            if let Some(subscription) = self.services.get_mut(service) {
                subscription.behind_since.get_or_insert(now);
            }
        }
    }

    /// The subscriber has more than before of these services: all that the store has, or not yet.
    pub(super) fn caught_up(&mut self, services: &[ServiceName], store: &Store) {
        for service in services {
            if !self.lags(service, store)
                && let Some(subscription) = self.services.get_mut(service)
            {
                subscription.behind_since = None;
            }
        }
    }

    /// Drops a service from the scope; whether it was there.
    pub(super) fn unsubscribe(&mut self, service: &ServiceName) -> bool {
        let Some(subscription) = self.services.remove(service) else {
            return false;
        };
        let part = scope_digest_term(service, subscription.version, subscription.digest);
        self.digest = self.digest.wrapping_sub(part);
        if let Some(id) = subscription.group {
            self.leave_group(id, service);
        }
        true
    }

    /// Notes what the subscriber has of a service.
    pub(super) fn set_held(&mut self, held: &ServiceVersion) {
        let Some(subscription) = self.services.get_mut(&held.service) else {
            return;
        };
        let before = scope_digest_term(&held.service, subscription.version, subscription.digest);
        let after = scope_digest_term(&held.service, held.version, held.digest);
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
        subscription.version = held.version;
        subscription.digest = held.digest;
    }

    /// These services changed in one go: they, and all with which they already wait, are to come in one transaction.
    pub(super) fn mark(&mut self, services: &[ServiceName], store: &Store) {
        let waiting: BTreeSet<Option<GroupId>> = services
            .iter()
            .filter_map(|service| self.services.get(service))
            .map(|s| s.group)
            .collect();
        if let [Some(id)] = *waiting.iter().copied().collect::<Vec<_>>()
            && self.groups.get(&id).is_some_and(|group| group.state != GroupState::Refused)
        {
            return;
        }
        let mut members: BTreeSet<ServiceName> = services.iter().cloned().collect();
        for id in waiting.into_iter().flatten() {
            members.extend(self.remove_group(id));
        }
        members.retain(|service| self.services.contains_key(service));
        self.insert_group(members.into_iter().collect(), None, store);
    }

    /// Puts services aside that the subscriber has refused in one transaction. What waits of them meanwhile takes all
    /// of them along.
    pub(super) fn put_aside(&mut self, services: Vec<ServiceName>, store: &Store) {
        let changed_since =
            services.iter().any(|s| self.services.get(s).is_some_and(|s| s.group.is_some()));
        if changed_since {
            self.mark(&services, store);
        } else {
            self.insert_group(services, Some(GroupState::Refused), store);
        }
    }

    /// Puts the group of a service aside if the subscriber has refused all that is pending in it.
    pub(super) fn put_aside_if_refused(&mut self, held: &ServiceVersion, store: &Store) {
        let Some(id) = self.services.get(&held.service).and_then(|subscription| subscription.group)
        else {
            return;
        };
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        let refused = |service: &ServiceName| {
            let current = store.service_version(service);
            self.told_refused.contains(&current)
        };
        if !group.services.iter().all(refused) {
            return;
        }
        let services = self.remove_group(id);
        for service in &services {
            if let Some(subscription) = self.services.get_mut(service) {
                let version = store.service_version(service).version;
                subscription.refused = Some(Refused { version, problem: None });
            }
        }
        self.insert_group(services, Some(GroupState::Refused), store);
    }

    /// Breaks a group that is too large for one transaction into its services.
    pub(super) fn split_group(&mut self, id: GroupId, store: &Store) {
        for service in self.remove_group(id) {
            self.insert_group(vec![service], None, store);
        }
    }

    /// Of a group that can be sent now, the services; changes before snapshots.
    pub(super) fn next_group(&self, snapshots: bool) -> Option<GroupId> {
        let free = |id: &&GroupId| {
            let group = self.groups.get(id);
            group
                .is_some_and(|group| !group.services.iter().any(|service| self.on_the_way(service)))
        };
        let delta = self.delta_groups.iter().find(free);
        delta
            .or_else(|| if snapshots { self.snapshot_groups.iter().find(free) } else { None })
            .copied()
    }

    /// Whether a snapshot is pending.
    pub(super) fn wants_snapshot(&self) -> bool {
        !self.snapshot_groups.is_empty()
    }

    /// The services of a group.
    pub(super) fn group_services(&self, id: GroupId) -> &[ServiceName] {
        self.groups.get(&id).map_or(&[], |group| &group.services)
    }

    /// A group of changes turns out to need a snapshot: the log has moved on.
    pub(super) fn needs_snapshot(&mut self, id: GroupId) {
        if let Some(group) = self.groups.get_mut(&id) {
            group.state = GroupState::Snapshot;
            self.delta_groups.remove(&id);
            self.snapshot_groups.insert(id);
        }
    }

    /// Takes a group out, to be sent.
    pub(super) fn remove_group(&mut self, id: GroupId) -> Vec<ServiceName> {
        let Some(group) = self.groups.remove(&id) else {
            return Vec::new();
        };
        self.delta_groups.remove(&id);
        self.snapshot_groups.remove(&id);
        for service in &group.services {
            if let Some(subscription) = self.services.get_mut(service) {
                subscription.group = None;
            }
        }
        group.services
    }

    /// Whether the open transaction can take in a further change of these services, of so many bytes.
    pub(super) fn can_absorb(
        &self,
        services: &[ServiceName],
        bytes: usize,
        max_bytes: usize,
    ) -> bool {
        let Some(open) = &self.open else {
            return false;
        };
        let fits = open.bytes + bytes <= max_bytes;
        let within = |service: &ServiceName| {
            self.services
                .get(service)
                .is_some_and(|s| s.group.is_none() && s.transfer == Some(open.id))
        };
        fits && services.iter().all(within)
    }

    /// Whether there is nothing pending and nothing on the way.
    pub(super) fn is_idle(&self) -> bool {
        self.scope_whole
            && self.open.is_none()
            && self.unacknowledged.is_empty()
            && self.delta_groups.is_empty()
            && self.snapshot_groups.is_empty()
    }

    /// Whether it still needs its turn at snapshots.
    pub(super) fn uses_turn(&self) -> bool {
        let open = self.open.as_ref().is_some_and(|open| open.snapshot);
        open || self.wants_snapshot() || self.unacknowledged.values().any(|sent| sent.snapshot)
    }

    /// Whether it has refused something.
    pub(super) fn is_rejecting(&self) -> bool {
        self.groups.values().any(|group| group.state == GroupState::Refused)
    }

    fn on_the_way(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|subscription| subscription.transfer.is_some())
    }

    fn insert_group(
        &mut self,
        services: Vec<ServiceName>,
        state: Option<GroupState>,
        store: &Store,
    ) {
        if services.is_empty() {
            return;
        }
        let id = self.next_group;
        self.next_group += 1;
        let mut snapshot = false;
        for service in &services {
            if let Some(subscription) = self.services.get_mut(service) {
                subscription.group = Some(id);
                snapshot |= !subscription.has_base(service, store);
            }
        }
        let state =
            state.unwrap_or(if snapshot { GroupState::Snapshot } else { GroupState::Delta });
        match state {
            GroupState::Delta => self.delta_groups.insert(id),
            GroupState::Snapshot => self.snapshot_groups.insert(id),
            GroupState::Refused => false,
        };
        self.groups.insert(id, Group { services, state });
    }

    fn leave_group(&mut self, id: GroupId, service: &ServiceName) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.services.retain(|other| other != service);
        if group.services.is_empty() {
            self.remove_group(id);
        }
    }
}

impl Subscription {
    /// Whether changes can be sent on the ground of what the subscriber has.
    pub(super) fn has_base(&self, service: &ServiceName, store: &Store) -> bool {
        !self.unusable && store.has_base(service, self.version, self.digest)
    }
}
