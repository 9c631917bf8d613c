//! When a session sends: within the bounds of its queue, the bandwidth and the snapshot slots.

use sableloom_types::Time;

use super::Publisher;
use super::output::{PublisherOutput, SessionId};
use super::session::{ChangeEffect, NextStep};
use super::shared::FrameSink;
use super::snapshot_slots::SnapshotSlot;
use crate::name::ServiceName;

impl Publisher {
    /// A change has touched services in the scope of a session.
    pub(super) fn services_changed(
        &mut self,
        now: Time,
        session: SessionId,
        services: &[ServiceName],
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        let max_bytes = self.options.max_transaction_bytes;
        match state.services_changed(now, services, max_bytes, &self.store) {
            ChangeEffect::None => return,
            ChangeEffect::Absorbed => self.shared.counters.merged_changes += 1,
            ChangeEffect::Pending => {}
        }
        self.flush(now, session, out);
    }

    /// Queues all frames that a session may send now.
    pub(super) fn flush(&mut self, now: Time, session: SessionId, out: &mut Vec<PublisherOutput>) {
        while self.flush_step(now, session, out) {}
        self.reschedule(session);
    }

    /// Queues a frame, or changes what the session does next; whether there may be more to do.
    fn flush_step(
        &mut self,
        now: Time,
        session: SessionId,
        out: &mut Vec<PublisherOutput>,
    ) -> bool {
        let Publisher { store, options, sessions, shared, .. } = self;
        let Some(state) = sessions.get_mut(&session) else {
            return false;
        };
        if !state.scope_complete
            || state.awaits_bandwidth
            || state.queued_bytes() >= options.max_queued_bytes
        {
            return false;
        }
        match state.next_step(options) {
            NextStep::Nothing => {
                if state.bookmark_due && state.is_idle() {
                    state.send_bookmark(store.position(), &mut FrameSink { now, shared, out });
                }
                false
            }
            NextStep::RequestSnapshotSlot => {
                state.snapshot_slot = shared.snapshot_slots.request(session);
                state.snapshot_slot == SnapshotSlot::Held
            }
            NextStep::SendFrame(urgency) | NextStep::Open(_, urgency)
                if !shared.bandwidth.may_send(now, urgency) =>
            {
                state.awaits_bandwidth = true;
                shared.bandwidth.enqueue(session, urgency);
                false
            }
            NextStep::SendFrame(_) => {
                let sink = &mut FrameSink { now, shared, out };
                state.send_next_frame(store.position(), options, sink);
                true
            }
            NextStep::Open(group, _) => {
                state.open_transaction(group, options, store, shared);
                true
            }
        }
    }

    /// Lets sessions send that wait for bandwidth, as long as there is any.
    pub(super) fn serve_waiting(&mut self, now: Time, out: &mut Vec<PublisherOutput>) {
        // Each session that is served sends a frame or waits no longer, so this ends.
        while self.shared.bandwidth.is_available(now) {
            let Some(session) = self.shared.bandwidth.next_waiting() else {
                return;
            };
            if let Some(state) = self.sessions.get_mut(&session) {
                state.awaits_bandwidth = false;
                self.send_frame_in_turn(now, session, out);
                self.flush(now, session, out);
            }
        }
    }

    /// Queues one frame of a session whose turn it is, without regard to the sessions that still wait.
    fn send_frame_in_turn(
        &mut self,
        now: Time,
        session: SessionId,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Publisher { store, options, sessions, shared, .. } = self;
        let Some(state) = sessions.get_mut(&session) else {
            return;
        };
        if state.queued_bytes() >= options.max_queued_bytes {
            return;
        }
        if let NextStep::Open(group, _) = state.next_step(options) {
            state.open_transaction(group, options, store, shared);
        }
        state.send_next_frame(store.position(), options, &mut FrameSink { now, shared, out });
    }

    /// Takes the snapshot slot of a session that does not need it any more, and passes it on.
    pub(super) fn release_snapshot_slot(
        &mut self,
        now: Time,
        session: SessionId,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        if state.snapshot_slot == SnapshotSlot::Held && !state.needs_snapshot_slot() {
            state.snapshot_slot = SnapshotSlot::None;
            self.pass_on_snapshot_slot(now, out);
        }
    }

    /// A session has given its snapshot slot back: the next session that waits and still needs one gets it.
    pub(super) fn pass_on_snapshot_slot(&mut self, now: Time, out: &mut Vec<PublisherOutput>) {
        self.shared.snapshot_slots.release();
        while let Some(session) = self.shared.snapshot_slots.next_waiting() {
            let Some(state) = self.sessions.get_mut(&session) else {
                continue;
            };
            if state.snapshot_slot != SnapshotSlot::Waiting {
                continue;
            }
            if state.wants_snapshot() {
                state.snapshot_slot = self.shared.snapshot_slots.grant();
                self.flush(now, session, out);
                return;
            }
            state.snapshot_slot = SnapshotSlot::None;
        }
    }

    /// Queues a bookmark for an idle session if the position has moved since the last one.
    pub(super) fn send_bookmark_if_moved(
        &mut self,
        now: Time,
        session: SessionId,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Publisher { store, options, sessions, shared, .. } = self;
        let Some(state) = sessions.get_mut(&session) else {
            return;
        };
        let position = store.position();
        let has_room = state.queued_bytes() < options.max_queued_bytes;
        if state.is_idle() && state.last_bookmark != position && has_room {
            state.send_bookmark(position, &mut FrameSink { now, shared, out });
        }
    }
}
