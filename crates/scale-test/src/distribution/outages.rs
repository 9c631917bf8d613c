//! Control machines that die, and all of them away and back.

use std::thread;
use std::time::Duration;

use super::measure::Stretch;
use super::{Distribution, ms};
use crate::processes::WorkerError;

/// How long the control machines are away: their subscribers have given them up, and wait for their next try.
const AWAY: Duration = Duration::from_secs(8);
/// Changes that a region misses that is away for an hour, by the users' mean.
pub const CHANGES_AN_HOUR: usize = 258;

impl Distribution<'_> {
    pub(super) fn death_of_a_machine(&mut self) -> Result<(), WorkerError> {
        if self.options.machines < 2 {
            return Ok(());
        }
        let stretch = self.until_all_current(|run| {
            run.machines.kill_one();
            // One change more, so that nobody who still waits for it counts as current.
            let change = run.weight_changes(1, 1, |_| Duration::ZERO);
            run.write_changes(change).join().unwrap_or_default();
            Ok(())
        })?;
        self.take_times();
        let void = stretch.void.as_deref();
        self.add("a control machine dies, ms until all are current", ms(stretch.took), void);
        let sessions = stretch.report.sessions as f64;
        self.add("a control machine dies, sessions that moved", sessions, None);
        let snapshots = stretch.report.snapshots as f64;
        self.add("a control machine dies, snapshots sent", snapshots, None);
        Ok(())
    }

    pub(super) fn return_of_all(&mut self) -> Result<(), WorkerError> {
        self.machines.freeze();
        let missed = self.weight_changes(self.options.missed_changes, 43, |_| Duration::ZERO);
        self.write_changes(missed).join().unwrap_or_default();
        thread::sleep(AWAY);
        let stretch = self.until_all_current(|run| {
            run.machines.thaw();
            Ok(())
        })?;
        self.take_times();
        self.add_return("all return after an hour's changes", &stretch);
        Ok(())
    }

    /// What it cost that all came at once.
    pub(super) fn add_return(&mut self, what: &str, stretch: &Stretch) {
        let void = stretch.void.as_deref();
        let (count, machines) = (self.count(), self.options.machines as f64);
        self.add(&format!("{what}, ms until all are current"), ms(stretch.took), void);
        let bytes = stretch.report.bytes() as f64 / count;
        self.add(&format!("{what}, bytes a balancer in all"), bytes, None);
        let worst = stretch.worst.bytes / count;
        self.add(&format!("{what}, bytes a balancer in the worst second"), worst, void);
        let processor = stretch.subscribers.processor_us as f64 / 1e3 / count;
        self.add(&format!("{what}, ms of processor time a balancer"), processor, void);
        let worst = stretch.worst.machines_us / 1e4 / machines;
        self.add(
            &format!("{what}, % of a core a control machine in the worst second"),
            worst,
            void,
        );
        let snapshots = stretch.report.snapshots as f64 / count;
        self.add(&format!("{what}, snapshots a balancer"), snapshots, None);
    }
}
