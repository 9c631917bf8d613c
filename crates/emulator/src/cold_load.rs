//! The load of a node while it is cold: whether it is more than the node can do then.

use std::collections::VecDeque;

use sableloom_types::Time;

use crate::profile::NodeProfile;

/// Work that arrived at some time.
#[derive(Clone, Copy, Debug)]
struct Work {
    at: Time,
    /// Microseconds of a core of speed 1.
    amount: f64,
}

/// The work of the last window while a node was cold, and its peaks.
#[derive(Debug, Default)]
pub(crate) struct ColdLoad {
    window: VecDeque<Work>,
    peak_load_factor: f64,
    excess: f64,
}

impl ColdLoad {
    /// Peak work of a window, in multiples of what the node could do then.
    pub(crate) fn peak_load_factor(&self) -> f64 {
        self.peak_load_factor
    }

    /// Peak excess of a window over its budget, divided by what is attributed to chance.
    pub(crate) fn excess(&self) -> f64 {
        self.excess
    }

    /// Forgets the window; the peaks stay.
    pub(crate) fn clear(&mut self) {
        self.window.clear();
    }

    /// Adds work that arrives while the node has this share of its capacity; true if it overloads the node.
    pub(crate) fn add(
        &mut self,
        now: Time,
        amount: f64,
        share: f64,
        profile: &NodeProfile,
    ) -> bool {
        if share >= 1.0 {
            self.clear();
            return false;
        }
        self.window.push_back(Work { at: now, amount });
        while self.window.front().is_some_and(|work| now.since(work.at) > profile.overload_window) {
            self.window.pop_front();
        }
        let sent: f64 = self.window.iter().map(|work| work.amount).sum();
        let possible =
            profile.capacity.work_rate() * share * profile.overload_window.as_micros_f64();
        let load_factor = sent / possible;
        self.peak_load_factor = self.peak_load_factor.max(load_factor);
        if profile.mean_work <= 0.0 {
            return load_factor > profile.overload_factor;
        }
        let budget = possible * profile.overload_factor / profile.mean_work;
        let chance = 2.0 * budget.sqrt() + 2.0;
        let excess = (sent / profile.mean_work - budget) / chance;
        self.excess = self.excess.max(excess);
        excess > 1.0
    }
}
