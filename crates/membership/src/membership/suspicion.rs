//! Suspicion and refutation: how long a suspected member has to refute, which members confirm a suspicion, and how this
//! member reacts when it is suspected itself.

use sableloom_types::{Span, Time};

use super::{Change, Membership, Output};
use crate::message::{Key, MemberState, Update};
use crate::peer::{Health, MAX_CONFIRMERS};

impl Membership {
    /// Returns the minimum and the maximum duration of a suspicion, in microseconds, for the current number of
    /// reachable members.
    pub(super) fn suspicion_bounds(&self) -> (f64, f64) {
        let members = (self.table.count_reachable() + 1) as f64;
        let interval = self.timing.probe_interval.as_micros_f64();
        let shortest = self.timing.suspicion_factor * members.log10().max(1.0) * interval;
        (shortest, shortest * self.timing.max_suspicion_factor)
    }

    /// Returns when a suspicion that began at `started` ends with this number of confirmers. Its duration falls from
    /// the maximum with the logarithm of the number of confirmers.
    pub(super) fn suspicion_deadline(&self, started: Time, confirmers: usize) -> Time {
        let (shortest, longest) = self.suspicion_bounds();
        // In a fleet with fewer other members than the maximum number of confirmers, all of them are enough.
        let wanted_confirmers = MAX_CONFIRMERS.min(self.table.count_reachable().saturating_sub(1));
        let fraction = match wanted_confirmers {
            0 => 1.0,
            _ => ((confirmers + 1) as f64).ln() / ((wanted_confirmers + 1) as f64).ln(),
        };
        let duration = (longest - (longest - shortest) * fraction.min(1.0)).max(shortest);
        started.plus(Span::from_micros_f64(duration))
    }

    /// Counts an update that does not supersede the known state as another member's confirmation of a suspicion, if it
    /// is one.
    pub(super) fn confirm_suspicion(&mut self, position: usize, update: Update) {
        let peer = self.table.at(position);
        let is_current = (update.process_incarnation, update.incarnation)
            == (peer.process_incarnation, peer.incarnation);
        if !is_current || update.state != MemberState::Suspect {
            return;
        }
        let Health::Suspect(suspicion) = &peer.health else { return };
        let (confirmers, reported_by) = (&suspicion.confirmers, update.reported_by);
        let is_counted = reported_by == peer.reported_by || confirmers.contains(&reported_by);
        if is_counted || confirmers.is_full() {
            return;
        }
        let deadline = self.suspicion_deadline(suspicion.started, confirmers.len() + 1);
        self.table.change(position, |peer| {
            if let Health::Suspect(suspicion) = &mut peer.health {
                suspicion.confirmers.push(reported_by);
                suspicion.deadline = deadline.min(suspicion.deadline);
            }
        });
        self.gossip.add(update);
    }

    /// Declares the members dead whose suspicions have ended.
    pub(super) fn expire_suspicions(&mut self, now: Time, output: &mut Output) {
        for position in self.table.expired_suspicions(now) {
            let peer = self.table.at(position);
            let dead = Update {
                member: peer.key,
                process_incarnation: peer.process_incarnation,
                incarnation: peer.incarnation,
                state: MemberState::Dead,
                reported_by: self.own_key,
            };
            self.apply_update(now, dead, output);
        }
    }

    /// Declares a member dead at once, because the absence query that was sent at `queried` found that no process holds
    /// its address. A member from which a message was received since is not declared dead, as it has started after the
    /// query.
    pub fn proved_absent(&mut self, now: Time, key: Key, queried: Time, output: &mut Output) {
        self.now = now;
        let peer = self.peer(key).filter(|peer| peer.health.is_reachable());
        let Some(peer) = peer
            .filter(|peer| peer.last_message_at.is_none_or(|received_at| received_at < queried))
        else {
            return;
        };
        let dead = Update {
            member: key,
            process_incarnation: peer.process_incarnation,
            incarnation: peer.incarnation,
            state: MemberState::Dead,
            reported_by: self.own_key,
        };
        self.apply_update(now, dead, output);
        self.timer_due = Some(self.next_wakeup().max(now));
    }

    /// Processes an update about this member itself. If the update is wrong, this member refutes it with a later
    /// incarnation.
    pub(super) fn refute(&mut self, update: Update, output: &mut Output) {
        let stated = (update.process_incarnation, update.incarnation);
        let own = (self.process_incarnation, self.incarnation);
        let is_true = stated == own && update.state == MemberState::Alive;
        if self.is_leaving || stated < own || is_true {
            return;
        }
        if update.process_incarnation > self.process_incarnation {
            // The first time, the later incarnation is that of an earlier process whose clock was ahead. The second
            // time, another process of this name is running.
            self.process_incarnation = update.process_incarnation.saturating_add(1);
            self.incarnation = 0;
            self.superseded_count += 1;
            if self.superseded_count == 2 {
                output.changes.push(Change::DuplicateIdentity);
            }
        } else {
            self.incarnation = update.incarnation.saturating_add(1);
            // The other members do not receive this member's messages in time, which may be its own fault.
            self.worsen_local_health(1);
        }
        self.queue_own_update();
        self.record_view_change(output);
        // The refutation is sent at once. The suspicion has a deadline, and the next probe of a slow member may be too
        // late.
        self.gossip_to_random(self.timing.indirect_probes, output);
    }
}
