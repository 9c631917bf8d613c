//! Looks at all subscribers and control machines, and what a stretch of time between two looks cost.

use std::ops::Sub;
use std::thread;
use std::time::{Duration, Instant};

use super::Distribution;
use crate::orders::{Order, Reply};
use crate::processes::{WorkerError, worst_lateness};
use crate::subscribers::{PATIENCE, SubscribersReport};
use crate::usage::{Machine, Shortage, Usage};
use crate::worst_second::{Reading, SecondWindow};

/// A loop that is later than this for one turn in a hundred is what is measured, and not what it carries.
pub(super) const LATE: Duration = Duration::from_millis(100);
/// From one look at all subscribers to the next.
const LOOK: Duration = Duration::from_millis(500);
/// All processes of a run may hold so much together: half of the machine's memory, 12 GiB.
const MAX_RESIDENT_KB: u64 = 12 << 20;

/// All subscribers and control machines at one moment.
#[derive(Clone, Debug)]
pub(super) struct Look {
    at: Instant,
    sum: SubscribersReport,
    subscribers: Usage,
    machines: Usage,
    /// Lateness of the slowest worker since the look before.
    late: Duration,
}

/// What is spent: counters that are read together, and what one second of them came to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Load {
    /// Bytes of all subscribers both ways.
    pub bytes: f64,
    /// Processor time of all subscribers, in microseconds.
    pub subscribers_us: f64,
    /// Processor time of all control machines, in microseconds.
    pub machines_us: f64,
}

impl Load {
    fn of(look: &Look) -> Self {
        Self {
            bytes: look.sum.bytes() as f64,
            subscribers_us: look.subscribers.processor_us as f64,
            machines_us: look.machines.processor_us as f64,
        }
    }

    /// The greater of each.
    fn worse(self, other: Self) -> Self {
        Self {
            bytes: self.bytes.max(other.bytes),
            subscribers_us: self.subscribers_us.max(other.subscribers_us),
            machines_us: self.machines_us.max(other.machines_us),
        }
    }
}

impl Sub for Load {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self {
            bytes: self.bytes - before.bytes,
            subscribers_us: self.subscribers_us - before.subscribers_us,
            machines_us: self.machines_us - before.machines_us,
        }
    }
}

impl Reading for Load {
    fn per_second(self, seconds: f64) -> Self {
        Self {
            bytes: self.bytes / seconds,
            subscribers_us: self.subscribers_us / seconds,
            machines_us: self.machines_us / seconds,
        }
    }
}

/// What a stretch of time cost.
#[derive(Clone, Debug)]
pub(super) struct Stretch {
    pub took: Duration,
    /// Bytes, snapshots and so on in that time; states at its end.
    pub report: SubscribersReport,
    pub subscribers: Usage,
    pub machines: Usage,
    /// The most of each in one second.
    pub worst: Load,
    /// The most bytes both ways of one subscriber in one second.
    pub most_loaded_bytes: f64,
    /// Why it does not count.
    pub void: Option<String>,
}

impl Distribution<'_> {
    /// Does something, and measures until all subscribers that run have all of their scope in force.
    pub(super) fn until_all_current(
        &mut self,
        act: impl FnOnce(&mut Self) -> Result<(), WorkerError>,
    ) -> Result<Stretch, WorkerError> {
        let baseline = self.begin_stretch()?;
        act(self)?;
        let (running, last) = (self.running(), self.last);
        let wanted = move |sum: &SubscribersReport| sum.all_at(running, last);
        let mut stretch = self.stretch(&baseline, PATIENCE, wanted)?;
        if !stretch.report.all_at(running, last) {
            let current = stretch.report.current;
            stretch.void =
                Some(format!("{current} of {running} current after {} s", PATIENCE.as_secs()));
        }
        Ok(stretch)
    }

    /// Measures until the subscribers are as wanted, for so long at most.
    pub(super) fn stretch(
        &mut self,
        baseline: &Look,
        most: Duration,
        wanted: impl Fn(&SubscribersReport) -> bool,
    ) -> Result<Stretch, WorkerError> {
        let machine = Machine::now();
        let mut window = SecondWindow::new(baseline.at, Load::of(baseline));
        let (mut worst, mut most_loaded_bytes) = (Load::default(), 0.0);
        let mut late = Duration::ZERO;
        loop {
            thread::sleep(LOOK);
            let look = self.look()?;
            worst = worst.worse(window.rate(look.at, Load::of(&look)));
            most_loaded_bytes = f64::max(most_loaded_bytes, look.sum.most_loaded_bytes);
            late = late.max(look.late);
            let took = baseline.at.elapsed();
            if wanted(&look.sum) || took >= most {
                let shortage = Shortage { late, busy: Machine::now().busy_since(machine) };
                return Ok(Stretch {
                    took,
                    report: look.sum.since(&baseline.sum),
                    subscribers: look.subscribers.since(baseline.subscribers),
                    machines: look.machines.since(baseline.machines),
                    worst,
                    most_loaded_bytes,
                    void: shortage.beyond(LATE),
                });
            }
        }
    }

    /// The first look of a stretch: what was counted before it is in no second of it.
    pub(super) fn begin_stretch(&mut self) -> Result<Look, WorkerError> {
        self.workers.ask(&Order::BeginStretch)?;
        self.look()
    }

    fn look(&mut self) -> Result<Look, WorkerError> {
        let mut reports = self.workers.ask(&Order::Subscribers)?;
        let mut sum = SubscribersReport { lowest: u64::MAX, ..SubscribersReport::default() };
        for report in &mut reports {
            if let Reply::Subscribers(subscribers) = &mut report.reply {
                sum.add(subscribers);
            }
        }
        self.in_force.append(&mut sum.in_force);
        let (subscribers, machines) = (self.workers.usage(&reports), self.machines.usage());
        let resident_kb =
            subscribers.resident_kb + machines.resident_kb + self.real.usage().resident_kb;
        if resident_kb > MAX_RESIDENT_KB {
            return Err(WorkerError::Failed(format!("{} MB resident in all", resident_kb >> 10)));
        }
        Ok(Look {
            at: Instant::now(),
            sum,
            subscribers,
            machines,
            late: Duration::from_micros(worst_lateness(&reports).p99_us),
        })
    }
}
