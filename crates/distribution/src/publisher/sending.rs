//! What is sent when: groups become transactions, transactions become frames, within all bounds.

use std::collections::VecDeque;

use sableloom_types::{Span, Time};

use super::Publisher;
use super::options::{CloseReason, PublisherOptions, PublisherOutput, SessionId};
use super::session::{Session, Target, Transfer, Turn, Unacknowledged};
use super::traffic::{Traffic, Urgency};
use crate::codec::encode;
use crate::message::{Base, MAX_CHANGES_PER_MESSAGE, PublisherMessage, ServiceBase};
use crate::name::ServiceName;
use crate::resource::{Change, Position, ServiceVersion};
use crate::store::Store;

/// What a session does next.
enum Next {
    /// Sends a frame of the open transaction.
    Continue(Urgency),
    /// Opens a transaction for a group.
    Open(u64, Urgency),
    /// Needs a turn at snapshots first.
    TakeTurn,
    /// Has nothing that can be sent now.
    Nothing,
}

impl Publisher {
    /// A change has touched services in a session's scope.
    pub(super) fn changed(
        &mut self,
        now: Time,
        session: SessionId,
        services: &[ServiceName],
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(known) = self.sessions.get_mut(&session) else {
            return;
        };
        // What a scope names before it is whole is compared when it is.
        let services: Vec<ServiceName> = services
            .iter()
            .filter(|service| !known.new_services.contains(*service))
            .cloned()
            .collect();
        if services.is_empty() {
            return;
        }
        known.fell_behind(now, &services);
        if known.absorb(&services, &self.store, self.options.max_transaction_bytes) {
            self.traffic.counters.absorbed += 1;
        } else {
            known.mark(&services, &self.store);
        }
        self.pump(now, session, out);
    }

    /// Hands out what a session may be sent now.
    pub(super) fn pump(&mut self, now: Time, session: SessionId, out: &mut Vec<PublisherOutput>) {
        while self.step(now, session, out) {}
        self.set_timer(session);
    }

    /// Hands out a frame, or changes what is next; whether there may be more to do.
    fn step(&mut self, now: Time, session: SessionId, out: &mut Vec<PublisherOutput>) -> bool {
        let Publisher { store, options, sessions, traffic, next_transfer, .. } = self;
        let Some(known) = sessions.get_mut(&session) else {
            return false;
        };
        if !known.scope_whole || known.waits_for_bytes || known.queued >= options.max_queued_bytes {
            return false;
        }
        match known.next(options) {
            Next::Nothing => {
                if known.owes_bookmark && known.is_idle() {
                    known.send_bookmark(now, store.position(), traffic, out);
                }
                false
            }
            Next::TakeTurn => known.take_turn(options, traffic),
            Next::Continue(urgency) | Next::Open(_, urgency) if !traffic.may_send(now, urgency) => {
                known.waits_for_bytes = true;
                traffic.wait(session, urgency);
                false
            }
            Next::Continue(_) => {
                known.send_part(now, store.position(), options, traffic, out);
                true
            }
            Next::Open(group, _) => {
                if known.open_transfer(group, *next_transfer, store, options, traffic) {
                    *next_transfer += 1;
                }
                true
            }
        }
    }

    /// Lets those send that wait for bytes to spend, as far as there are any.
    pub(super) fn serve_waiting(&mut self, now: Time, out: &mut Vec<PublisherOutput>) {
        // Whoever is served sends a frame or waits no longer, so this ends; each has one frame in turn.
        while self.traffic.bucket.ready(now) {
            let Some(session) = self.traffic.next_waiting() else {
                return;
            };
            if let Some(known) = self.sessions.get_mut(&session) {
                known.waits_for_bytes = false;
                self.send_first(now, session, out);
                self.pump(now, session, out);
            }
        }
    }

    /// Hands out a frame to a session whose turn it is, whoever else waits.
    fn send_first(&mut self, now: Time, session: SessionId, out: &mut Vec<PublisherOutput>) {
        let Publisher { store, options, sessions, traffic, next_transfer, .. } = self;
        let Some(known) = sessions.get_mut(&session) else {
            return;
        };
        if known.queued >= options.max_queued_bytes {
            return;
        }
        if let Next::Open(group, _) = known.next(options)
            && known.open_transfer(group, *next_transfer, store, options, traffic)
        {
            *next_transfer += 1;
        }
        if known.open.is_some() {
            known.send_part(now, store.position(), options, traffic, out);
        }
    }

    /// Ends a session's turn at snapshots if it needs it no longer.
    pub(super) fn release_turn(
        &mut self,
        now: Time,
        session: SessionId,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(known) = self.sessions.get_mut(&session) else {
            return;
        };
        if known.turn == Turn::Taken && !known.uses_turn() {
            known.turn = Turn::None;
            self.give_turn(now, out);
        }
    }

    /// Gives the turn that has ended to the next who waits for one.
    pub(super) fn give_turn(&mut self, now: Time, out: &mut Vec<PublisherOutput>) {
        self.traffic.snapshot_turns -= 1;
        while let Some(session) = self.traffic.turn_queue.pop_front() {
            let Some(known) =
                self.sessions.get_mut(&session).filter(|known| known.turn == Turn::Waiting)
            else {
                continue;
            };
            if known.wants_snapshot() {
                known.turn = Turn::Taken;
                self.traffic.snapshot_turns += 1;
                self.pump(now, session, out);
                return;
            }
            known.turn = Turn::None;
        }
    }

    /// Sends a bookmark to a session that has all, if the position has moved since the last.
    pub(super) fn bookmark_if_moved(
        &mut self,
        now: Time,
        session: SessionId,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(known) = self.sessions.get_mut(&session) else {
            return;
        };
        let position = self.store.position();
        let has_room = known.queued < self.options.max_queued_bytes;
        if known.is_idle() && known.bookmark != position && has_room {
            known.send_bookmark(now, position, &mut self.traffic, out);
        }
    }
}

impl Session {
    /// Hands out a frame.
    pub(super) fn send(
        &mut self,
        now: Time,
        message: &PublisherMessage,
        traffic: &mut Traffic,
        out: &mut Vec<PublisherOutput>,
    ) {
        let frame = encode(message);
        if self.queued == 0 {
            self.stalled_since = now;
        }
        self.queued += frame.len();
        traffic.sent(frame.len());
        out.push(PublisherOutput::Send { session: self.id, frame });
    }

    /// When the session is to be looked at, unless something happens meanwhile.
    pub(super) fn deadline(&self, options: &PublisherOptions) -> Time {
        let silent = self.heard.plus(options.silence_timeout);
        let stalled = (self.queued > 0).then(|| self.stalled_since.plus(options.stall_timeout));
        let oldest = self.unacknowledged.first_key_value();
        let unanswered = oldest.map(|(_, sent)| sent.sent.plus(options.acknowledge_timeout));
        [Some(silent), stalled, unanswered].into_iter().flatten().min().unwrap_or(silent)
    }

    /// Why the session is to be closed, if it is.
    pub(super) fn overdue(&self, now: Time, options: &PublisherOptions) -> Option<CloseReason> {
        let passed = |since: Time, limit: Span| now.since(since) >= limit;
        if self.queued > 0 && passed(self.stalled_since, options.stall_timeout) {
            return Some(CloseReason::Stalled);
        }
        let oldest = self.unacknowledged.first_key_value();
        if oldest.is_some_and(|(_, sent)| passed(sent.sent, options.acknowledge_timeout)) {
            return Some(CloseReason::Unacknowledged);
        }
        passed(self.heard, options.silence_timeout).then_some(CloseReason::Silent)
    }

    fn next(&self, options: &PublisherOptions) -> Next {
        if let Some(open) = &self.open {
            return Next::Continue(if open.snapshot { Urgency::Snapshot } else { Urgency::Delta });
        }
        let on_the_way: usize = self.unacknowledged.values().map(|sent| sent.bytes).sum();
        if self.unacknowledged.len() >= options.max_unacknowledged
            || on_the_way >= options.max_transaction_bytes
        {
            return Next::Nothing;
        }
        if let Some(group) = self.next_group(false) {
            return Next::Open(group, Urgency::Delta);
        }
        match (self.next_group(true), self.turn) {
            (Some(group), Turn::Taken) => Next::Open(group, Urgency::Snapshot),
            (Some(_), Turn::None) => Next::TakeTurn,
            _ => Next::Nothing,
        }
    }

    /// Takes a turn at snapshots or waits for one; whether it has one.
    fn take_turn(&mut self, options: &PublisherOptions, traffic: &mut Traffic) -> bool {
        let free = traffic.snapshot_turns < options.max_snapshots;
        if free {
            traffic.snapshot_turns += 1;
            self.turn = Turn::Taken;
        } else {
            traffic.turn_queue.push_back(self.id);
            self.turn = Turn::Waiting;
        }
        free
    }

    /// Makes a transaction of a group; whether there is one now.
    fn open_transfer(
        &mut self,
        group: u64,
        id: u64,
        store: &Store,
        options: &PublisherOptions,
        traffic: &mut Traffic,
    ) -> bool {
        let services = self.group_services(group).to_vec();
        let has_base = |service: &ServiceName| {
            self.services.get(service).is_some_and(|s| s.has_base(service, store))
        };
        let snapshot = !services.iter().all(has_base);
        if snapshot && self.turn != Turn::Taken {
            self.needs_snapshot(group);
            return false;
        }
        let transfer = self.make_transfer(id, &services, store);
        let too_large = transfer.bytes > options.max_transaction_bytes
            || services.len() > options.max_transaction_services;
        if too_large && services.len() > 1 {
            traffic.counters.split += 1;
            self.split_group(group, store);
            return false;
        }
        self.remove_group(group);
        for service in &services {
            if let Some(subscription) = self.services.get_mut(service) {
                subscription.transfer = Some(id);
            }
        }
        self.open = Some(transfer);
        true
    }

    fn make_transfer(&self, id: u64, services: &[ServiceName], store: &Store) -> Transfer {
        let mut transfer = Transfer {
            id,
            bases: Vec::with_capacity(services.len()),
            changes: VecDeque::new(),
            targets: Vec::with_capacity(services.len()),
            bytes: 0,
            snapshot: false,
        };
        for service in services {
            let Some(subscription) = self.services.get(service) else {
                continue;
            };
            let (base, changes) = changes_from(
                service,
                subscription.version,
                store,
                subscription.has_base(service, store),
            );
            transfer.snapshot |= base == Base::Snapshot;
            transfer.bases.push(ServiceBase { service: service.clone(), base });
            transfer.bytes += changes.iter().map(Change::encoded_size).sum::<usize>();
            transfer.changes.extend(changes);
            let held = store.service_version(service);
            transfer.targets.push(Target { held, generation: subscription.generation });
        }
        transfer
    }

    /// Takes the latest change into the transaction that is being sent, if all that it touches is in there: so a server
    /// that is removed while a snapshot is under way is never handed to the subscriber's shell.
    fn absorb(&mut self, services: &[ServiceName], store: &Store, max_bytes: usize) -> bool {
        if !self.can_absorb(services, 0, max_bytes) {
            return false;
        }
        let mut changes = Vec::new();
        for service in services {
            let latest = store.latest(service);
            // A log too short for even one change does not know what the latest was.
            if latest.is_empty() {
                return false;
            }
            changes.extend(latest);
        }
        let bytes: usize = changes.iter().map(Change::encoded_size).sum();
        if !self.can_absorb(services, bytes, max_bytes) {
            return false;
        }
        let Some(open) = &mut self.open else {
            return false;
        };
        open.bytes += bytes;
        open.changes.extend(changes);
        for target in &mut open.targets {
            if services.contains(&target.held.service) {
                target.held = store.service_version(&target.held.service);
            }
        }
        true
    }

    /// Hands out the next frame of the open transaction.
    fn send_part(
        &mut self,
        now: Time,
        position: Position,
        options: &PublisherOptions,
        traffic: &mut Traffic,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(open) = &mut self.open else {
            return;
        };
        let transfer = open.id;
        if !open.bases.is_empty() {
            let services = std::mem::take(&mut open.bases);
            let generation = self.generation;
            self.send(
                now,
                &PublisherMessage::Begin { transfer, generation, services },
                traffic,
                out,
            );
        } else if !open.changes.is_empty() {
            let changes = take_chunk(&mut open.changes, options.chunk_bytes);
            self.send(now, &PublisherMessage::Changes { transfer, changes }, traffic, out);
        } else if let Some(open) = self.open.take() {
            let services: Vec<ServiceVersion> =
                open.targets.iter().map(|target| target.held.clone()).collect();
            self.send(
                now,
                &PublisherMessage::Commit { transfer, position, services },
                traffic,
                out,
            );
            traffic.counters.transactions += 1;
            traffic.counters.snapshots += u64::from(open.snapshot);
            let Transfer { targets, bytes, snapshot, .. } = open;
            let sent = Unacknowledged { targets, bytes, snapshot, sent: now };
            self.unacknowledged.insert(transfer, sent);
        }
    }

    fn send_bookmark(
        &mut self,
        now: Time,
        position: Position,
        traffic: &mut Traffic,
        out: &mut Vec<PublisherOutput>,
    ) {
        self.owes_bookmark = false;
        self.bookmark = position;
        let Session { generation, digest, .. } = *self;
        self.send(now, &PublisherMessage::Current { position, generation, digest }, traffic, out);
    }
}

/// The changes from what a subscriber has to what the store has: by the log, unless all of it is less.
fn changes_from(
    service: &ServiceName,
    from: u64,
    store: &Store,
    has_base: bool,
) -> (Base, Vec<Change>) {
    if has_base {
        let changes = store.delta(service, from);
        let bytes: usize = changes.iter().map(Change::encoded_size).sum();
        if bytes <= store.service_bytes(service) || changes.len() <= 1 {
            return (Base::Delta { from }, changes);
        }
    }
    (Base::Snapshot, store.snapshot(service))
}

fn take_chunk(changes: &mut VecDeque<Change>, max_bytes: usize) -> Vec<Change> {
    let mut chunk = Vec::new();
    let mut bytes = 0;
    while let Some(change) = changes.front() {
        bytes += change.encoded_size();
        if !chunk.is_empty() && (bytes > max_bytes || chunk.len() >= MAX_CHANGES_PER_MESSAGE) {
            break;
        }
        chunk.extend(changes.pop_front());
    }
    chunk
}
