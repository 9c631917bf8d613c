//! Sending the pending changes of sessions, within the limits of their queues, the bandwidth and the snapshot slots.

use sableloom_types::Time;

use super::Publisher;
use super::output::{PublisherOutput, SessionId};
use super::session::{ChangeEffect, NextStep};
use super::shared::FrameSink;
use super::snapshot_slots::SnapshotSlot;
use crate::name::ServiceName;

impl Publisher {
    /// Adds a change to the open transaction or to the pending services of a session, and queues the frames that may be
    /// sent now. `services` are the services in the session's scope that the change touched.
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
            ChangeEffect::Merged => self.shared.counters.merged_changes += 1,
            ChangeEffect::Pending => {}
        }
        self.flush(now, session, out);
    }

    /// Queues all frames that a session may send now, and updates its timer.
    pub(super) fn flush(&mut self, now: Time, session: SessionId, out: &mut Vec<PublisherOutput>) {
        while self.flush_step(now, session, out) {}
        self.reschedule(session);
    }

    /// Takes the next step of a session: queues a frame, opens a transaction, or starts to wait for a snapshot slot or
    /// for bandwidth. Returns whether another step may be possible now.
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
            NextStep::SendFrame(priority) | NextStep::Open(_, priority)
                if !shared.bandwidth.may_send(now, priority) =>
            {
                state.awaits_bandwidth = true;
                shared.bandwidth.enqueue(session, priority);
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

    /// Sends frames of the sessions that wait for bandwidth until the bandwidth is used up or no session waits.
    pub(super) fn serve_waiting(&mut self, now: Time, out: &mut Vec<PublisherOutput>) {
        // The loop terminates: each session that leaves the queue either uses bandwidth by a frame or no longer waits.
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

    /// Queues one frame of a session that was first in the queue for bandwidth, regardless of the other waiting
    /// sessions.
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

    /// Reassigns the snapshot slot of a session that no longer needs it.
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
            self.reassign_snapshot_slot(now, out);
        }
    }

    /// Frees a snapshot slot and grants it to the next waiting session that still needs one.
    pub(super) fn reassign_snapshot_slot(&mut self, now: Time, out: &mut Vec<PublisherOutput>) {
        self.shared.snapshot_slots.release();
        while let Some(session) = self.shared.snapshot_slots.next_waiting() {
            let Some(state) = self.sessions.get_mut(&session) else {
                continue;
            };
            if state.snapshot_slot != SnapshotSlot::Waiting {
                continue;
            }
            if state.has_pending_snapshot() {
                state.snapshot_slot = self.shared.snapshot_slots.grant();
                self.flush(now, session, out);
                return;
            }
            state.snapshot_slot = SnapshotSlot::None;
        }
    }

    /// Queues a bookmark for an idle session if the store's position has changed since the session's last bookmark.
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
        let may_queue = state.queued_bytes() < options.max_queued_bytes;
        if state.is_idle() && state.last_bookmark != position && may_queue {
            state.send_bookmark(position, &mut FrameSink { now, shared, out });
        }
    }
}
