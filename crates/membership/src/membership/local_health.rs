//! Local health (Lifeguard): a member that is slow, or not heard by others, lengthens its own timeouts in place of
//! suspecting the others.

use sableloom_types::{Span, Time};

use super::{Membership, Output};
use crate::peer::Health;

/// The worst local health: nine times the usual timeouts (Lifeguard, section IV-A, has eight).
pub(super) const MAX_LOCAL_HEALTH: u32 = 8;
/// A member whose timer fires so many probe intervals late counts as slow.
const LATE_INTERVALS: f64 = 0.5;

impl Membership {
    pub(super) fn worsen_local_health(&mut self, by: u32) {
        if self.timing.local_health_enabled {
            self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH);
        }
    }

    /// A process whose timer fires late was suspended, or starved: what it waited for may have come and lie unread.
    pub(super) fn detect_late_timer(&mut self, now: Time, output: &mut Output) {
        let Some(due) = self.timer_due else { return };
        let late = now.since(due).as_micros_f64();
        let intervals = late / self.timing.probe_interval.as_micros_f64();
        if intervals < LATE_INTERVALS || !self.timing.local_health_enabled {
            return;
        }
        self.worsen_local_health(intervals.ceil().min(f64::from(MAX_LOCAL_HEALTH)) as u32);
        // Once for each time that it was late.
        self.timer_due = Some(now);
        // The probed member is not to blame.
        self.probe = None;
        self.next_probe = self.next_probe.max(now);
        let (shortest_suspicion, _) = self.suspicion_bounds();
        self.postpone_suspicions(now.plus(Span::from_micros_f64(shortest_suspicion)));
        // Others may have declared it dead by now, and it knows of nothing since.
        if late > shortest_suspicion && self.table.count_reachable() > 0 {
            self.table.set_resync(Some(now));
            self.update_reachability(output);
        }
    }

    /// No suspicion ends before this time.
    fn postpone_suspicions(&mut self, earliest: Time) {
        for position in self.table.suspected_positions() {
            self.table.change(position, |peer| {
                if let Health::Suspect(suspicion) = &mut peer.health {
                    suspicion.deadline = suspicion.deadline.max(earliest);
                }
            });
        }
    }
}
