//! The whole run: the data path alone, configuration by size, membership by size, with the result written after
//! each of them.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::data_path::{self, DataPathOptions};
use crate::distribution::{self, CHANGES_AN_HOUR, DistributionOptions};
use crate::membership::{self, MembershipOptions};
use crate::report::RunReport;
use crate::source::Source;
use crate::usage;

/// A whole run takes no longer, but for the end of what was begun: 15 minutes in all.
const WHOLE_RUN: Duration = Duration::from_secs(870);
/// No size of configuration begins later.
const CONFIGURATION_BEGINS_WITHIN: Duration = Duration::from_secs(340);
/// No step of configuration begins later: the rest is for membership.
const CONFIGURATION_STEPS_BEGIN_WITHIN: Duration = Duration::from_secs(460);
/// Descriptors of a worker beside those of its balancers.
const OTHER_DESCRIPTORS: usize = 64;

/// Balancers of the fleet that the users name, its services, and the control machines set aside for it.
const USERS_FLEET: (usize, usize, usize) = (7_600, 2_500, 57);
/// Services that a hollow balancer subscribes to, if nothing else is said.
pub const SCOPE: usize = 5;
/// Real balancers beside hollow ones, and the services that each of them subscribes to.
const REAL: usize = 12;
const REAL_SCOPE: usize = 25;
/// Memory that a run is planned for: what it may take (12 GiB, half of the machine's), less a twentieth.
const PLANNED_KB: f64 = 0.95 * (12 << 20) as f64;
/// What a resource takes at a control machine, measured with 332,500 of them: 144,015 kB.
const KB_A_RESOURCE_OF_CONTROL: f64 = 0.45;
/// What a resource takes at a hollow balancer, measured with 665 of them: 326 kB.
const KB_A_RESOURCE_OF_SCOPE: f64 = 0.5;
/// What a real balancer takes.
const KB_A_REAL_BALANCER: f64 = 20_480.0;
/// How long the data path is measured alone: 89,000 requests through balancers.
const DATA_PATH_ALONE: Duration = Duration::from_secs(20);

/// What to play, and with what.
#[derive(Clone, Debug)]
pub struct PlayOptions {
    /// Members of a fleet, by size.
    pub members: Vec<usize>,
    /// Hollow subscribers, by size.
    pub subscribers: Vec<usize>,
    /// Services that a hollow balancer subscribes to.
    pub scope: usize,
    /// Processes that share hollow balancers.
    pub workers: usize,
    /// This program.
    pub program: PathBuf,
    /// The program under test.
    pub sableloom: PathBuf,
    /// Where to write the result as JSON.
    pub json: Option<PathBuf>,
}

/// A run, and what it has found so far.
struct Play<'a> {
    options: &'a PlayOptions,
    begun: Instant,
    report: RunReport,
}

/// Plays all of it. The table is printed and the JSON written after each size, so that a run that is ended shows what
/// it had reached. An error is one of writing: what could not be played is named in the result.
///
/// # Errors
///
/// If the result can't be written.
pub fn run(options: &PlayOptions) -> io::Result<()> {
    let mut play = Play { options, begun: Instant::now(), report: RunReport::default() };
    play.descriptors_suffice();
    play.data_path();
    play.written()?;
    for &subscribers in &options.subscribers {
        play.configuration(subscribers);
        play.written()?;
    }
    for &members in &options.members {
        play.membership(members);
        play.written()?;
    }
    Ok(())
}

/// Plays the data path alone.
///
/// # Errors
///
/// If the result can't be written.
pub fn run_data_path(options: &PlayOptions) -> io::Result<()> {
    let mut play = Play { options, begun: Instant::now(), report: RunReport::default() };
    play.data_path();
    play.written()
}

impl Play<'_> {
    fn not_reached(&mut self, what: String) {
        self.report.not_reached.push(what);
    }

    /// Says so where a worker can't hold a socket for each of its balancers.
    fn descriptors_suffice(&mut self) {
        let PlayOptions { members, subscribers, workers, .. } = self.options;
        let limit = usage::descriptor_limit();
        let most = members.iter().chain(subscribers).max().copied().unwrap_or(0);
        let needed = (most.div_ceil((*workers).max(1)) + OTHER_DESCRIPTORS) as u64;
        if limit < needed {
            self.not_reached(format!("{limit} descriptors a process (ulimit -n), {needed} needed"));
        }
    }

    fn data_path(&mut self) {
        let begun = self.begun;
        let options = DataPathOptions { real: REAL, real_scope: REAL_SCOPE, time: DATA_PATH_ALONE };
        let sableloom = &self.options.sableloom;
        let played = data_path::run(sableloom, &options, &mut self.report, &progress(begun));
        if let Err(error) = played {
            self.not_reached(format!("data path alone: {error}"));
        }
    }

    fn configuration(&mut self, subscribers: usize) {
        let begun = self.begun;
        let what = format!("configuration at {subscribers} balancers");
        if begun.elapsed() > CONFIGURATION_BEGINS_WITHIN {
            return self.not_reached(format!("{what}: time was over"));
        }
        let steps_begin_by = begun + CONFIGURATION_STEPS_BEGIN_WITHIN;
        let PlayOptions { program, sableloom, scope, workers, .. } = self.options;
        let options = distribution_of(subscribers, *scope, *workers, steps_begin_by);
        let wanted = machines_of(subscribers);
        if options.machines < wanted {
            let machines = options.machines;
            self.not_reached(format!(
                "{what}: {machines} of {wanted} control machines, for memory"
            ));
        }
        let report = &mut self.report;
        let played = distribution::run(program, sableloom, &options, report, &progress(begun));
        if let Err(error) = played {
            self.not_reached(format!("{what}: {error}"));
        }
    }

    fn membership(&mut self, members: usize) {
        let begun = self.begun;
        let what = format!("membership at {members} members");
        let ends_by = begun + WHOLE_RUN;
        if Instant::now() >= ends_by {
            return self.not_reached(format!("{what}: time was over"));
        }
        let options = membership_of(members, self.options.workers, ends_by);
        let program = &self.options.program;
        let played = membership::run(program, &options, &mut self.report, &progress(begun));
        if let Err(error) = played {
            self.not_reached(format!("{what}: {error}"));
        }
    }

    /// Prints what was found so far and writes it, aside and renamed, so that a reader never meets half of it.
    fn written(&mut self) -> io::Result<()> {
        self.report.fit();
        println!("{}\n", self.report.table());
        let Some(path) = &self.options.json else { return Ok(()) };
        let aside = path.with_extension("tmp");
        fs::write(&aside, serde_json::to_string_pretty(&self.report)?)?;
        fs::rename(aside, path)
    }
}

fn progress(begun: Instant) -> impl Fn(&str) {
    move |line| eprintln!("[{:6.1} s] {line}", begun.elapsed().as_secs_f64())
}

/// How long a fleet may take after each change until all know all. A step ends as soon as they do; a bound this
/// generous tells a slow one from one that never does.
fn membership_takes(members: usize) -> Duration {
    Duration::from_millis(40 * members as u64) + Duration::from_secs(40)
}

fn membership_of(members: usize, workers: usize, ends_by: Instant) -> MembershipOptions {
    MembershipOptions {
        members,
        workers,
        spread: Duration::from_millis(5 * members as u64),
        rest: Duration::from_secs(10),
        patience: membership_takes(members),
        ends_by,
    }
}

/// The control machines of a fleet of so many, in the users' proportion.
fn machines_of(subscribers: usize) -> usize {
    let (balancers, _, machines) = USERS_FLEET;
    (machines * subscribers).div_ceil(balancers).max(2)
}

/// How many control machines fit into memory beside all balancers, two at least. Guards against a run that takes the
/// memory of the whole machine before it has looked at it the first time.
pub fn machines_that_fit(source: &Source, subscribers: usize, scope: usize) -> usize {
    let held = subscribers * scope * source.resources_each();
    let hollow_kb = held as f64 * KB_A_RESOURCE_OF_SCOPE;
    let left_kb = PLANNED_KB - hollow_kb - REAL as f64 * KB_A_REAL_BALANCER;
    let machine_kb = source.resources() as f64 * KB_A_RESOURCE_OF_CONTROL;
    ((left_kb / machine_kb) as usize).max(2)
}

/// A fleet of so many, with services and control machines in the users' proportion.
fn distribution_of(
    subscribers: usize,
    scope: usize,
    workers: usize,
    steps_begin_by: Instant,
) -> DistributionOptions {
    let (balancers, services, _) = USERS_FLEET;
    let services = (services * subscribers).div_ceil(balancers);
    // Whole blocks of services, so that each is in the scope of as many balancers.
    let source = Source::of(services.next_multiple_of(scope));
    DistributionOptions {
        size_name: "balancers".to_string(),
        size: subscribers as f64,
        subscribers,
        workers,
        source,
        scope,
        machines: machines_of(subscribers).min(machines_that_fit(&source, subscribers, scope)),
        rest: Duration::from_secs(10),
        single_changes: 100,
        burst_changes: 500,
        real: REAL,
        real_scope: REAL_SCOPE,
        marker_changes: 20,
        missed_changes: CHANGES_AN_HOUR,
        // Ten times as many a second as the users' 14,000 a day.
        restarts: 16,
        restarts_within: Duration::from_secs(10),
        steps_begin_by,
    }
}
