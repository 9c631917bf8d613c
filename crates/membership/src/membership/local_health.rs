//! Local health (Lifeguard): a member that is slow, or whose messages do not reach others, lengthens its own timeouts
//! instead of suspecting the others.

use sableloom_types::{Span, Time};

use super::{Membership, Output};
use crate::peer::Health;

/// The worst local health score, at which timeouts are nine times as long as usual (Lifeguard, section IV-A, has
/// eight).
pub(super) const MAX_LOCAL_HEALTH: u32 = 8;
/// The delay of a member's timer, in probe intervals, from which on the member counts as slow.
const LATE_INTERVALS: f64 = 0.5;

impl Membership {
    /// Raises the local health score by `by`, up to its maximum.
    pub(super) fn worsen_local_health(&mut self, by: u32) {
        if self.timing.local_health_enabled {
            self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH);
        }
    }

    /// Worsens the local health if the timer fires late. The process was then suspended, or did not get enough
    /// processor time, and the messages that it waited for may be in its socket, unread.
    pub(super) fn detect_late_timer(&mut self, now: Time, output: &mut Output) {
        let Some(due) = self.timer_due else { return };
        let delay = now.since(due).as_micros_f64();
        let intervals = delay / self.timing.probe_interval.as_micros_f64();
        if intervals < LATE_INTERVALS || !self.timing.local_health_enabled {
            return;
        }
        self.worsen_local_health(intervals.ceil().min(f64::from(MAX_LOCAL_HEALTH)) as u32);
        // The same delay must not be counted again.
        self.timer_due = Some(now);
        // The answer may be unread in the socket, so that the probed member must not be suspected.
        self.probe = None;
        self.next_probe = self.next_probe.max(now);
        let (shortest_suspicion, _) = self.suspicion_bounds();
        self.postpone_suspicions(now.plus(Span::from_micros_f64(shortest_suspicion)));
        // The other members may have declared this member dead in the meantime, and it has received no updates.
        if delay > shortest_suspicion && self.table.count_reachable() > 0 {
            self.table.set_resync(Some(now));
            self.update_reachability(output);
        }
    }

    /// Postpones the deadlines of all suspicions to this time at the earliest.
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
