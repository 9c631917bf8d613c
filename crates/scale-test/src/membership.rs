//! The membership part of the run: a fleet of hollow members at rest, the death and the return of a quarter of
//! it, and the start of one.

use std::net::UdpSocket;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::members::{MemberLoad, MemberSet, MembersReport};
use crate::orders::{Order, Reply, Report};
use crate::processes::{WorkerError, Workers, worst_lateness};
use crate::report::RunReport;
use crate::usage::{Machine, Shortage, Usage, datagrams_dropped, seconds};
use crate::worst_second::{Reading, SecondWindow};

/// By what the values of this part grow.
pub const SIZE: &str = "members of a fleet";
/// A loop that is later than this for one turn in a hundred misses answers that it waits for: half of the time
/// in which a probe has to be answered.
const LATE: Duration = Duration::from_millis(40);
/// All processes of a run may hold so much together: half of the machine's memory, 12 GiB.
const MAX_RESIDENT_KB: u64 = 12 << 20;
/// From one look at all members to the next.
const LOOK: Duration = Duration::from_millis(500);

/// How to play it.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// Members of the fleet.
    pub members: usize,
    /// Processes that share them; a multiple of 4, of which a quarter dies.
    pub workers: usize,
    /// The first starts are spread over this time.
    pub spread: Duration,
    /// How long the fleet is measured at rest.
    pub rest: Duration,
    /// How long each change may take to be known to all, before the run gives up on it.
    pub patience: Duration,
    /// No step begins later, and none waits for longer.
    pub ends_by: Instant,
}

/// What a stretch of time cost.
#[derive(Clone, Debug)]
struct Stretch {
    took: Duration,
    /// Traffic of all members in that time, and what they know at its end.
    traffic: MembersReport,
    used: Usage,
    /// The most traffic of all members together in one second.
    worst: MemberLoad,
    /// The most traffic of one member in one second.
    most_loaded: MemberLoad,
    /// Why it does not count.
    void: Option<String>,
}

struct Membership<'a> {
    options: &'a MembershipOptions,
    workers: Workers,
    port: u16,
    life: u32,
    report: &'a mut RunReport,
}

/// Plays it and adds what it finds to the report.
///
/// # Errors
///
/// If a process can't be started, or does not answer.
pub fn run(
    program: &Path,
    options: &MembershipOptions,
    report: &mut RunReport,
    progress: &dyn Fn(&str),
) -> Result<(), WorkerError> {
    // Held for the whole run: no other run has the same port then.
    let holder = UdpSocket::bind("127.0.0.1:0")?;
    let port = holder.local_addr()?.port();
    let workers = Workers::start(program, options.workers)?;
    let mut run = Membership { options, workers, port, life: 1, report };
    for (what, step) in STEPS {
        if Instant::now() >= options.ends_by {
            let missed =
                format!("membership at {} members: {what}: time was over", options.members);
            run.report.not_reached.push(missed);
            continue;
        }
        progress(&format!("membership of {}: {what}", options.members));
        step(&mut run)?;
    }
    Ok(())
}

/// One step of the play.
type Step = fn(&mut Membership<'_>) -> Result<(), WorkerError>;

/// All steps in their order, with what each is called.
const STEPS: [(&str, Step); 5] = [
    ("first start", |run| run.first_start()),
    ("at rest", |run| run.rest()),
    ("a quarter dies", |run| run.death_of_a_quarter()),
    ("the quarter returns at once", |run| run.return_of_a_quarter()),
    ("one more starts", |run| run.start_of_one()),
];

impl Membership<'_> {
    /// Members of the fleet, without the one that starts last.
    fn size(&self) -> f64 {
        self.options.members as f64
    }

    fn add(&mut self, what: &str, value: f64, void: Option<&str>) {
        self.report.add(
            &format!("membership: {what}"),
            SIZE,
            self.options.members as f64,
            value,
            void,
        );
    }

    /// The members of the worker with this number: all but the last one, in equal parts.
    fn set_of(&self, worker: usize, spread: Duration) -> MemberSet {
        let running = self.options.members - 1;
        let bound = |worker: usize| running * worker / self.options.workers;
        MemberSet {
            port: self.port,
            listed: self.options.members,
            first: bound(worker),
            count: bound(worker + 1) - bound(worker),
            life: self.life,
            spread_ms: spread.as_millis() as u64,
        }
    }

    fn first_start(&mut self) -> Result<(), WorkerError> {
        let spread = self.options.spread;
        let stretch = self.until_known(
            |run| {
                for worker in 0..run.options.workers {
                    let order = Order::StartMembers(run.set_of(worker, spread));
                    run.workers.each[worker].send(&order)?;
                }
                run.workers.each.iter_mut().try_for_each(|worker| worker.receive().map(|_| ()))
            },
            self.options.members - 1,
        )?;
        let running = self.options.members - 1;
        self.change("first start", &stretch, running);
        let datagrams = stretch.traffic.sent as f64 / running as f64;
        let void = stretch.void.as_deref();
        self.add("first start, datagrams sent a member in all", datagrams, void);
        Ok(())
    }

    fn rest(&mut self) -> Result<(), WorkerError> {
        self.workers.ask(&Order::BeginStretch)?;
        let stretch = self.stretch(Instant::now(), self.options.rest, |_| false)?;
        let (members, time) = (self.size() - 1.0, seconds(stretch.took));
        let a_second = |count: u64| count as f64 / time / members;
        let void = stretch.void.clone();
        let void = void.as_deref();
        let traffic = &stretch.traffic;
        let longest = traffic.sent_bytes as f64 / traffic.sent.max(1) as f64;
        self.add("at rest, bytes a datagram", longest, None);
        self.add("at rest, datagrams/s sent a member", a_second(traffic.sent), void);
        self.add("at rest, bytes/s sent a member", a_second(traffic.sent_bytes), void);
        let bytes = traffic.sent_bytes + traffic.received_bytes;
        self.add("at rest, bytes/s both ways a member", a_second(bytes), void);
        let with_headers = traffic.load().bytes_with_headers() / time / members;
        self.add("at rest, bytes/s with headers both ways a member", with_headers, void);
        self.add_worst_second("at rest", &stretch, self.options.members - 1);
        let share = a_second(stretch.used.processor_us) / 1e4;
        self.add("at rest, % of a core a member", share, void);
        let reports = self.workers.ask(&Order::Members)?;
        let resident = self.workers.usage(&reports).resident_kb as f64 / members;
        self.add("resident kB a member", resident, None);
        Ok(())
    }

    fn death_of_a_quarter(&mut self) -> Result<(), WorkerError> {
        let dying = self.options.workers / 4;
        let killed: usize =
            (0..dying).map(|worker| self.set_of(worker, Duration::ZERO).count).sum();
        let left = self.options.members - 1 - killed;
        let stretch = self.until_known(
            |run| {
                run.workers.each.drain(..dying);
                Ok(())
            },
            left,
        )?;
        self.change("a quarter dies", &stretch, left);
        Ok(())
    }

    fn return_of_a_quarter(&mut self) -> Result<(), WorkerError> {
        self.life += 1;
        let missing = self.options.workers / 4;
        let running = self.options.members - 1;
        let stretch = self.until_known(
            |run| {
                for worker in 0..missing {
                    let order = Order::StartMembers(run.set_of(worker, Duration::ZERO));
                    let added = run.workers.add()?;
                    added.send(&order)?;
                    added.receive()?;
                }
                Ok(())
            },
            running,
        )?;
        self.change("a quarter returns", &stretch, running);
        Ok(())
    }

    fn start_of_one(&mut self) -> Result<(), WorkerError> {
        let all = self.options.members;
        let set = MemberSet {
            port: self.port,
            listed: all,
            first: all - 1,
            count: 1,
            life: self.life,
            spread_ms: 0,
        };
        let stretch = self.until_known(
            |run| {
                let added = run.workers.add()?;
                added.send(&Order::StartMembers(set))?;
                added.receive()?;
                Ok(())
            },
            all,
        )?;
        let one = self.workers.each.last_mut().ok_or(WorkerError::Silent)?;
        one.send(&Order::Members)?;
        let Report { reply: Reply::Members(own), usage, .. } = one.receive()? else {
            return Err(WorkerError::Silent);
        };
        let void = stretch.void.as_deref();
        self.change("one starts", &stretch, all);
        self.add("one starts, ms to its share", own.longest_to_share_ms as f64, void);
        self.add("one starts, datagrams both ways of it", (own.sent + own.received) as f64, void);
        let bytes = own.sent_bytes + own.received_bytes;
        self.add("one starts, bytes both ways of it", bytes as f64, void);
        self.add("one starts, ms of processor time of it", usage.processor_us as f64 / 1e3, void);
        Ok(())
    }

    fn change(&mut self, what: &str, stretch: &Stretch, members: usize) {
        let void = stretch.void.as_deref();
        self.add(&format!("{what}, members that agree"), stretch.traffic.agreeing() as f64, None);
        let ms = stretch.took.as_secs_f64() * 1e3;
        self.add(&format!("{what}, ms until all know it"), ms, void);
        self.add_worst_second(what, stretch, members);
        let members = members as f64;
        let questions = stretch.traffic.probes_of_absence as f64 / members;
        self.add(&format!("{what}, probes of absence a member"), questions, void);
        let processor = stretch.used.processor_us as f64 / 1e3 / members;
        self.add(&format!("{what}, ms of processor time a member"), processor, void);
    }

    /// What the average member and the most loaded one had in the worst second, with and without headers.
    fn add_worst_second(&mut self, what: &str, stretch: &Stretch, members: usize) {
        let void = stretch.void.as_deref();
        let average = stretch.worst.per_second(members as f64);
        for (whose, load) in
            [("a member", average), ("of the most loaded member", stretch.most_loaded)]
        {
            let mut add = |unit: &str, value: f64| {
                self.add(&format!("{what}, {unit} {whose} in its worst second"), value, void);
            };
            add("datagrams", load.datagrams);
            add("bytes", load.bytes);
            add("bytes with headers", load.bytes_with_headers());
        }
    }

    /// Makes a change, and measures until so many members agree on a view and have their shares.
    fn until_known(
        &mut self,
        change: impl FnOnce(&mut Self) -> Result<(), WorkerError>,
        members: usize,
    ) -> Result<Stretch, WorkerError> {
        self.workers.ask(&Order::BeginStretch)?;
        let begun = Instant::now();
        change(self)?;
        // A step that never ends leaves time for those after it.
        let left = self.options.ends_by.saturating_duration_since(begun);
        let patience = self.options.patience.min(left / 2);
        let mut stretch = self.stretch(begun, patience, |sum| sum.all_know(members))?;
        if !stretch.traffic.all_know(members) {
            let agreeing = stretch.traffic.agreeing();
            stretch.void =
                Some(format!("{agreeing} of {members} agreed after {} s", patience.as_secs()));
        }
        Ok(stretch)
    }

    /// Measures until the members' reports are as wanted, for so long at most.
    fn stretch(
        &mut self,
        begun: Instant,
        most: Duration,
        wanted: impl Fn(&MembersReport) -> bool,
    ) -> Result<Stretch, WorkerError> {
        let (machine, dropped) = (Machine::now(), datagrams_dropped());
        let (first, reports) = self.look()?;
        let used_before = self.workers.usage(&reports);
        let mut window = SecondWindow::new(Instant::now(), first.load());
        let (mut worst, mut most_loaded) = (MemberLoad::default(), MemberLoad::default());
        let mut late = Duration::ZERO;
        loop {
            thread::sleep(LOOK);
            let (sum, reports) = self.look()?;
            worst = worst.worse(window.rate(Instant::now(), sum.load()));
            most_loaded = most_loaded.worse(sum.most_loaded);
            late = late.max(Duration::from_micros(worst_lateness(&reports).p99_us));
            if wanted(&sum) || begun.elapsed() >= most {
                let used = self.workers.usage(&reports);
                let shortage = Shortage { late, busy: Machine::now().busy_since(machine) };
                let lost = datagrams_dropped() - dropped;
                let mut traffic = sum.clone();
                traffic.sent -= first.sent.min(sum.sent);
                traffic.sent_bytes -= first.sent_bytes.min(sum.sent_bytes);
                traffic.received -= first.received.min(sum.received);
                traffic.received_bytes -= first.received_bytes.min(sum.received_bytes);
                traffic.probes_of_absence -= first.probes_of_absence.min(sum.probes_of_absence);
                return Ok(Stretch {
                    took: begun.elapsed(),
                    traffic,
                    used: Usage {
                        processor_us: used.processor_us.saturating_sub(used_before.processor_us),
                        ..used
                    },
                    worst,
                    most_loaded,
                    void: shortage.beyond(LATE).or_else(|| dropped_by_system(lost)),
                });
            }
        }
    }

    fn look(&mut self) -> Result<(MembersReport, Vec<Report>), WorkerError> {
        let reports = self.workers.ask(&Order::Members)?;
        let mut sum = MembersReport::default();
        for report in &reports {
            if let Reply::Members(members) = &report.reply {
                sum.add(members);
            }
        }
        let resident_kb = self.workers.usage(&reports).resident_kb;
        if resident_kb > MAX_RESIDENT_KB {
            return Err(WorkerError::Failed(format!("{} MB resident in all", resident_kb >> 10)));
        }
        Ok((sum, reports))
    }
}

fn dropped_by_system(datagrams: u64) -> Option<String> {
    (datagrams > 0).then(|| format!("{datagrams} datagrams dropped by the system"))
}
