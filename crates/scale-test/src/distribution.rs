//! The configuration part of the run: control machines as processes of the program, hollow subscribers, and what
//! changes, deaths and returns cost.

mod changes;
mod losses;
mod measure;
mod outages;
mod restarts;

use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::control::ControlMachines;
use crate::latency::{Audience, Published};
use crate::orders::Order;
use crate::processes::{Worker, WorkerError, Workers};
use crate::real::{RealBalancers, RealServers};
use crate::report::RunReport;
use crate::requests::RequestRun;
use crate::source::{ChangeText, Folder, Source};
use crate::subscribers::{InForce, SubscriberSet};
use crate::usage::seconds;

pub use outages::CHANGES_AN_HOUR;

/// The worker that carries the balancers of a rack: it dies and returns with them.
const RACK_WORKER: usize = 0;
/// The worker that carries the balancers of a zone.
const ZONE_WORKER: usize = 1;
/// Workers that carry balancers that die, beside those that share the others.
const DYING_WORKERS: usize = 2;
/// One balancer in so many is in the rack, at least one.
const BALANCERS_BY_RACK: usize = 200;
/// One balancer in so many is in the zone.
const BALANCERS_BY_ZONE: usize = 10;

/// How to play it.
#[derive(Clone, Debug)]
pub struct DistributionOptions {
    /// By what the values grow.
    pub size_name: String,
    /// How many of these there are in this play.
    pub size: f64,
    /// Hollow subscribers.
    pub subscribers: usize,
    /// Processes that share them, beside one for those of a rack and one for those of a zone.
    pub workers: usize,
    /// What the operator says.
    pub source: Source,
    /// Services that each subscribes to.
    pub scope: usize,
    /// Control machines.
    pub machines: usize,
    /// How long all is measured at rest.
    pub rest: Duration,
    /// Changes one after the other.
    pub single_changes: usize,
    /// Changes within one second.
    pub burst_changes: usize,
    /// Real balancers, with requests through them.
    pub real: usize,
    /// Services that each real one subscribes to, beside the one that it has requests for.
    pub real_scope: usize,
    /// Changes that are looked for at the real balancers.
    pub marker_changes: usize,
    /// Changes that are made while no control machine runs.
    pub missed_changes: usize,
    /// Subscribers that restart one after the other.
    pub restarts: usize,
    /// Their restarts are spread evenly over this time.
    pub restarts_within: Duration,
    /// No step begins later.
    pub steps_begin_by: Instant,
}

struct Distribution<'a> {
    options: &'a DistributionOptions,
    folder: Folder,
    workers: Workers,
    machines: ControlMachines,
    real: RealBalancers,
    real_servers: RealServers,
    /// The last change that was written.
    last: u64,
    /// Subscribers that don't run, or have just started.
    absent: Range<usize>,
    published: Arc<Mutex<Vec<Published>>>,
    in_force: Vec<InForce>,
    report: &'a mut RunReport,
}

/// One step of the play.
type Step = fn(&mut Distribution<'_>) -> Result<(), WorkerError>;

/// The steps after all have started and rested, with what each is called. Each leaves all as it has met it.
const STEPS: [(&str, Step); 7] = [
    ("changes at the real balancers", |run| run.changes_at_real()),
    ("a control machine dies", |run| run.death_of_a_machine()),
    ("all control machines are away, and return", |run| run.return_of_all()),
    ("release of a service", |run| run.release()),
    ("a rack is lost, and returns", |run| run.rack()),
    ("a zone is lost, and returns", |run| run.zone()),
    ("balancers restart one after the other", |run| run.restarts()),
];

/// Plays it and adds what it finds to the report. `program` is this program, `sableloom` the one under test.
///
/// # Errors
///
/// If the source, a process or the report can't be started, read or written.
pub fn run(
    program: &Path,
    sableloom: &Path,
    options: &DistributionOptions,
    report: &mut RunReport,
    progress: &dyn Fn(&str),
) -> Result<(), WorkerError> {
    let mut run = prepare(program, sableloom, options, report, progress)?;
    run.machines_ready();
    progress(&format!("{} subscribers start at once", options.subscribers));
    run.start_of_all()?;
    progress("configuration: at rest, with requests through the real balancers");
    let requests = RequestRun::start(&run.real, &run.real_servers, run.last)?;
    run.rest()?;
    progress("configuration: one change after the other");
    run.single_changes()?;
    progress("configuration: a burst of changes");
    run.burst()?;
    run.end_requests(requests);
    for (what, step) in STEPS {
        if Instant::now() > options.steps_begin_by {
            let missed = format!("configuration at {}: {what}: time was over", options.size);
            run.report.not_reached.push(missed);
            continue;
        }
        progress(&format!("configuration: {what}"));
        step(&mut run)?;
    }
    Ok(())
}

/// The source's files, control machines, real balancers and workers without subscribers.
fn prepare<'a>(
    program: &Path,
    sableloom: &Path,
    options: &'a DistributionOptions,
    report: &'a mut RunReport,
    progress: &dyn Fn(&str),
) -> Result<Distribution<'a>, WorkerError> {
    let DistributionOptions { machines, source, real, real_scope, .. } = options;
    let (services, servers, routes) = (source.services, source.servers(), source.routes());
    progress(&format!("source: {services} services, {servers} servers, {routes} routes"));
    let folder = Folder::new("changes")?;
    let last = source.write_base(folder.path())? + 1;
    let real_servers = RealServers::start();
    let mut change = ChangeText::new(last);
    real_servers.set(&mut change);
    change.write(folder.path())?;
    progress(&format!("{machines} control machines start"));
    let machines = ControlMachines::start(sableloom, folder.path(), *machines)?;
    let workers = Workers::start(program, options.workers + DYING_WORKERS)?;
    progress(&format!("{real} real balancers start"));
    let addresses = machines.addresses();
    let real =
        RealBalancers::start(sableloom, folder.path(), *real, &addresses, services, *real_scope)?;
    let (absent, published, in_force) = (0..0, Arc::default(), Vec::new());
    Ok(Distribution {
        options,
        folder,
        workers,
        machines,
        real,
        real_servers,
        last,
        absent,
        published,
        in_force,
        report,
    })
}

impl Distribution<'_> {
    fn add(&mut self, what: &str, value: f64, void: Option<&str>) {
        let options = self.options;
        let what = format!("configuration: {what}");
        self.report.add(&what, &options.size_name, options.size, value, void);
    }

    fn count(&self) -> f64 {
        self.options.subscribers as f64
    }

    /// Subscribers that run, and ran already when the step began.
    fn running(&self) -> usize {
        self.options.subscribers - self.absent.len()
    }

    /// Who is to have changes in force.
    fn audience(&self) -> Audience {
        let DistributionOptions { subscribers, source, scope, .. } = *self.options;
        Audience { subscribers, services: source.services, scope, absent: self.absent.clone() }
    }

    /// The subscribers of a worker: those of the rack, those of the zone, and the others in equal parts.
    fn subscribers_of(&self, worker: usize) -> Range<usize> {
        let DistributionOptions { subscribers, workers, .. } = *self.options;
        let rack = (subscribers / BALANCERS_BY_RACK).max(1).min(subscribers);
        let zone = (rack + subscribers / BALANCERS_BY_ZONE).min(subscribers);
        let bound = |shared: usize| zone + (subscribers - zone) * shared / workers.max(1);
        match worker {
            RACK_WORKER => 0..rack,
            ZONE_WORKER => rack..zone,
            shared => bound(shared - DYING_WORKERS)..bound(shared - DYING_WORKERS + 1),
        }
    }

    fn order_of(&self, worker: usize) -> Order {
        let subscribers = self.subscribers_of(worker);
        Order::StartSubscribers(SubscriberSet {
            first: subscribers.start,
            count: subscribers.len(),
            services: self.options.source.services,
            scope: self.options.scope,
            machines: self.machines.addresses(),
            state: None,
        })
    }

    /// Kills a worker, and its subscribers with it.
    fn kill(&mut self, worker: usize) {
        self.absent = self.subscribers_of(worker);
        drop(self.workers.each.remove(worker));
    }

    /// Starts a killed worker's subscribers again, from nothing.
    fn restart(&mut self, worker: usize) -> Result<(), WorkerError> {
        let order = self.order_of(worker);
        let mut started = Worker::start(self.workers.program())?;
        started.send(&order)?;
        started.receive()?;
        self.workers.each.insert(worker, started);
        self.absent = 0..0;
        Ok(())
    }

    fn machines_ready(&mut self) {
        let count = self.options.machines as f64;
        self.add("control machines", count, None);
        let usage = self.machines.usage();
        let resident = usage.resident_kb as f64 / count;
        self.add("control machine, resident kB before sessions", resident, None);
        let ready = self.machines.slowest_start().as_secs_f64();
        self.add("control machine, s until it listens, all starting at once", ready, None);
        let start = usage.processor_us as f64 / 1e6 / count;
        self.add("control machine, s of processor time of its start", start, None);
    }

    fn start_of_all(&mut self) -> Result<(), WorkerError> {
        let stretch = self.until_all_current(|run| {
            let orders: Vec<Order> =
                (0..run.workers.each.len()).map(|worker| run.order_of(worker)).collect();
            for (worker, order) in run.workers.each.iter_mut().zip(&orders) {
                worker.send(order)?;
            }
            run.workers.each.iter_mut().try_for_each(|worker| worker.receive().map(|_| ()))
        })?;
        self.add_return("all start at once", &stretch);
        let each = stretch.report.resources as f64 / self.count();
        self.add("resources that a balancer holds", each, None);
        Ok(())
    }

    fn rest(&mut self) -> Result<(), WorkerError> {
        let baseline = self.begin_stretch()?;
        let stretch = self.stretch(&baseline, self.options.rest, |_| false)?;
        let (count, time) = (self.count(), seconds(stretch.took));
        let void = stretch.void.as_deref();
        let bytes = stretch.report.bytes() as f64 / time / count;
        self.add("at rest, bytes/s both ways a balancer", bytes, void);
        let share = stretch.subscribers.processor_us as f64 / 1e4 / time / count;
        self.add("at rest, % of a core a balancer", share, void);
        let resident = stretch.subscribers.resident_kb as f64 / count;
        self.add("resident kB a balancer, scope held", resident, None);
        let machines = self.options.machines as f64;
        let share = stretch.machines.processor_us as f64 / 1e4 / time / machines;
        self.add("at rest, % of a core a control machine", share, void);
        let resident = stretch.machines.resident_kb as f64 / machines;
        self.add("control machine, resident kB with sessions", resident, None);
        Ok(())
    }

    fn end_requests(&mut self, requests: RequestRun) {
        let DistributionOptions { size_name, size, .. } = self.options;
        let report = &mut *self.report;
        let mut add = |what: &str, value: f64, void: Option<&str>| {
            report.add(&format!("configuration: {what}"), size_name, *size, value, void);
        };
        if !requests.end(&self.real, &mut add) {
            self.report.not_reached.push("requests: their thread failed".to_string());
        }
    }
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
