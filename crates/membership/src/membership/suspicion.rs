//! Suspicion and refutation: how long a suspected member has to refute, who confirms, and what this member does when it
//! is suspected itself.

use sableloom_types::{Span, Time};

use super::{Change, Membership, Output};
use crate::message::{Key, MemberState, Update};
use crate::peer::{Health, MAX_CONFIRMERS};

impl Membership {
    /// The shortest and longest time of a suspicion, in microseconds, for a fleet of this size.
    pub(super) fn suspicion_bounds(&self) -> (f64, f64) {
        let members = (self.table.count_reachable() + 1) as f64;
        let interval = self.timing.probe_interval.as_micros_f64();
        let shortest = self.timing.suspicion_factor * members.log10().max(1.0) * interval;
        (shortest, shortest * self.timing.max_suspicion_factor)
    }

    /// When a suspicion of this beginning ends with so many confirmers: from the longest time it falls with the
    /// logarithm of their number.
    pub(super) fn suspicion_deadline(&self, started: Time, confirmers: usize) -> Time {
        let (shortest, longest) = self.suspicion_bounds();
        // In a fleet with fewer members than confirmers are wanted, those that there are suffice.
        let wanted = MAX_CONFIRMERS.min(self.table.count_reachable().saturating_sub(1));
        let fraction = match wanted {
            0 => 1.0,
            _ => ((confirmers + 1) as f64).ln() / ((wanted + 1) as f64).ln(),
        };
        let lasts = (longest - (longest - shortest) * fraction.min(1.0)).max(shortest);
        started.plus(Span::from_micros_f64(lasts))
    }

    /// An update that is no more than what is known may still be another member's confirmation of a suspicion.
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

    /// Declares those dead whose suspicion has ended.
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

    /// An absence query of this time found that no process holds the member's address: the member is dead at once. One
    /// that was heard since has started after the query.
    pub fn proved_absent(&mut self, now: Time, key: Key, queried: Time, output: &mut Output) {
        self.now = now;
        let peer = self.peer(key).filter(|peer| peer.health.is_reachable());
        let Some(peer) =
            peer.filter(|peer| peer.last_message_at.is_none_or(|heard| heard < queried))
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

    /// An update states something of this member itself: if it is wrong, a later incarnation refutes it.
    pub(super) fn refute(&mut self, update: Update, output: &mut Output) {
        let stated = (update.process_incarnation, update.incarnation);
        let own = (self.process_incarnation, self.incarnation);
        let is_true = stated == own && update.state == MemberState::Alive;
        if self.is_leaving || stated < own || is_true {
            return;
        }
        if update.process_incarnation > self.process_incarnation {
            // Once, it is an earlier process with a clock ahead of this one's; the second time, another process runs.
            self.process_incarnation = update.process_incarnation.saturating_add(1);
            self.incarnation = 0;
            self.superseded_count += 1;
            if self.superseded_count == 2 {
                output.changes.push(Change::DuplicateIdentity);
            }
        } else {
            self.incarnation = update.incarnation.saturating_add(1);
            // Others do not hear it in time: that may be its own fault.
            self.worsen_local_health(1);
        }
        self.queue_own_update();
        self.view_changed(output);
        // A suspicion has a deadline, and this member may be slow: the refutation does not wait for its next probe.
        self.gossip_to(self.timing.indirect_probes, output);
    }
}
