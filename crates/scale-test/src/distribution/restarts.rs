//! Balancers that restart one after the other, as in a rolling release of the balancer, with their last good state
//! and without it.

use std::fs;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use super::measure::LATE;
use super::{Distribution, ms};
use crate::orders::{Order, Reply};
use crate::processes::{Worker, WorkerError};
use crate::source::Folder;
use crate::subscribers::{PATIENCE, SubscriberSet, SubscribersReport};
use crate::usage::{Machine, Shortage, seconds};

/// From one look at a subscriber that starts to the next.
const LOOK: Duration = Duration::from_millis(5);

/// A subscriber that restarts: alone in its worker, so that its process dies with it.
struct Restarting {
    set: SubscriberSet,
    state: PathBuf,
    worker: Worker,
}

/// What one start came to.
struct Started {
    /// Until all of its scope was current.
    took: Duration,
    report: SubscribersReport,
}

impl Distribution<'_> {
    pub(super) fn restarts(&mut self) -> Result<(), WorkerError> {
        let folder = Folder::new("states")?;
        let numbers = 0..self.options.restarts;
        let mut each = numbers
            .map(|number| self.start_with_state(number, folder.path()))
            .collect::<Result<Vec<_>, _>>()?;
        for restarting in &mut each {
            restarting.await_current(self.last)?;
            restarting.await_state()?;
        }
        self.restart_each("restart with its last good state", &mut each, Restarting::restart)?;
        self.restart_each("restart from nothing", &mut each, |restarting, program| {
            restarting.worker.kill();
            fs::remove_file(&restarting.state)?;
            restarting.restart(program)
        })
    }

    /// One subscriber more than there are, with a file for its state.
    fn start_with_state(&self, number: usize, folder: &Path) -> Result<Restarting, WorkerError> {
        let state = folder.join(format!("{number}.state"));
        let set = SubscriberSet {
            first: self.options.subscribers + number,
            count: 1,
            services: self.options.source.services,
            scope: self.options.scope,
            machines: self.machines.addresses(),
            state: Some(state.clone()),
        };
        let worker = start(self.workers.program(), &set)?;
        Ok(Restarting { set, state, worker })
    }

    /// Restarts each at its time, and measures until it is current.
    fn restart_each(
        &mut self,
        what: &str,
        each: &mut [Restarting],
        restart: impl Fn(&mut Restarting, &Path) -> Result<(), WorkerError>,
    ) -> Result<(), WorkerError> {
        let (begun, machine, used) = (Instant::now(), Machine::now(), self.machines.usage());
        let between = self.options.restarts_within / each.len().max(1) as u32;
        let mut started = Vec::new();
        for (number, restarting) in each.iter_mut().enumerate() {
            thread::sleep((between * number as u32).saturating_sub(begun.elapsed()));
            let since = Instant::now();
            restart(restarting, self.workers.program())?;
            let report = restarting.await_current(self.last)?;
            started.push(Started { took: since.elapsed(), report });
        }
        let time = seconds(begun.elapsed());
        let machines = self.machines.usage().since(used).processor_us as f64;
        let share = machines / 1e4 / time / self.options.machines as f64;
        let busy = Machine::now().busy_since(machine);
        let void = Shortage { late: Duration::ZERO, busy }.beyond(LATE);
        let void = void.as_deref();
        self.add(&format!("{what}, % of a core a control machine meanwhile"), share, void);
        self.add_started(what, &mut started, void);
        Ok(())
    }

    fn add_started(&mut self, what: &str, started: &mut [Started], void: Option<&str>) {
        started.sort_by_key(|started| started.took);
        let took = |place: usize| started.get(place).map_or(0.0, |started| ms(started.took));
        let (median, longest) = (took(started.len() / 2), took(started.len().saturating_sub(1)));
        let count = started.len().max(1) as f64;
        let bytes: u64 = started.iter().map(|started| started.report.bytes()).sum();
        let snapshots: u64 = started.iter().map(|started| started.report.snapshots).sum();
        self.add(&format!("{what}, ms until it is current, p50"), median, void);
        self.add(&format!("{what}, ms until it is current, max"), longest, void);
        self.add(&format!("{what}, bytes both ways"), bytes as f64 / count, None);
        self.add(&format!("{what}, snapshots"), snapshots as f64 / count, None);
    }
}

fn start(program: &Path, set: &SubscriberSet) -> Result<Worker, WorkerError> {
    let mut worker = Worker::start(program)?;
    worker.send(&Order::StartSubscribers(set.clone()))?;
    worker.receive()?;
    Ok(worker)
}

impl Restarting {
    /// Kills it and starts it again.
    fn restart(&mut self, program: &Path) -> Result<(), WorkerError> {
        self.worker.kill();
        self.worker = start(program, &self.set)?;
        Ok(())
    }

    /// What it has received when all of its scope is in force up to this change.
    fn await_current(&mut self, change: u64) -> Result<SubscribersReport, WorkerError> {
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE {
            self.worker.send(&Order::Subscribers)?;
            let reply = self.worker.receive()?.reply;
            match reply {
                Reply::Subscribers(report) if report.all_at(1, change) => return Ok(report),
                _ => thread::sleep(LOOK),
            }
        }
        Err(self.gave_up("was not current"))
    }

    /// Waits until its state is on the disk: it is written aside and renamed.
    fn await_state(&self) -> Result<(), WorkerError> {
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE {
            if self.state.exists() {
                return Ok(());
            }
            thread::sleep(LOOK);
        }
        Err(self.gave_up("had no state on the disk"))
    }

    fn gave_up(&self, why: &str) -> WorkerError {
        let (number, seconds) = (self.set.first, PATIENCE.as_secs());
        WorkerError::Failed(format!("subscriber {number} {why} after {seconds} s"))
    }
}
