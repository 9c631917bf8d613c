//! Plays a script once: starts everything, carries out the timeline, ends everything, and computes the account.

mod faults;
mod lists;
mod peers;
mod prepare;
mod processes;
mod run;
mod samples;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

use oorandom::Rand64;
use sableloom_emulator::Phase;
use sableloom_rehearsal::{
    Account, Facts, Machine, RetainedState, Script, Step, StepAction, Timeline, Verdict, account,
    arrivals, judge, timeline,
};
use sableloom_stand_ins::{Agent, Lateness, Shell};
use serde::{Deserialize, Serialize};
use socket2::Socket;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::clients::{self, LoadGenerator, WorkerResult};
use crate::endpoints::Endpoints;
use crate::error::PlayError;
use crate::net::Link;
use crate::process::{Process, ProcessMessage};
use crate::site::Folder;
use peers::PeerNetwork;
use prepare::ensure_descriptors;

/// Time between the last process that listens and the first arrival.
const SETTLE: Duration = Duration::from_millis(200);

/// What to play with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program, where the script names no other.
    pub program: PathBuf,
    /// The program whose `under` command starts the others with their limits.
    pub launcher: PathBuf,
    /// Programs that the script names, by name.
    pub binaries: HashMap<String, PathBuf>,
    /// The folder for all files.
    pub out: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Threads of the load generator.
    pub threads: usize,
    /// Whether to show a progress bar.
    pub progress: bool,
}

impl Options {
    /// Whether the balancers run this version of the program, and so understand its signals.
    fn own(&self) -> bool {
        self.program == self.launcher
    }
}

/// The result of a play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The account.
    pub account: Account,
    /// The verdict.
    pub verdict: Verdict,
    /// How well this machine kept up.
    pub machine: Machine,
    /// Further remarks: how duplicate processes ended, conditions that never held.
    pub notes: Vec<String>,
    /// The last status that each balancer logged, if it was asked.
    pub statuses: Vec<Option<serde_json::Value>>,
    /// The fleet over time, if its balancers are members of one.
    #[serde(default)]
    pub fleet: Vec<FleetRow>,
    /// The file of each program, by name.
    pub binaries: Vec<(String, String)>,
}

/// The fleet at one time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetRow {
    /// When, in microseconds from the first arrival.
    pub at: i64,
    /// How many balancers run and are not stopped.
    pub running: usize,
    /// Sum of their capacity shares, as each logged last.
    pub parts: f64,
    /// Number of different views among them, as each logged last.
    pub views: usize,
}

/// The state of a balancer's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Starting,
    Up,
    /// SIGTERM was sent.
    Terminating,
    /// SIGKILL was sent.
    Killed,
    Down,
}

struct Balancer {
    state: ProcessState,
    process: Option<Process>,
    binary: Option<String>,
    address: SocketAddr,
    /// Reserves the address while no process listens there.
    _held: Socket,
    folder: Folder,
    /// The discovery agent of its machine, where it has one.
    agent: Option<(Rc<Agent>, SocketAddr)>,
    announced: usize,
    /// To be started as soon as its last process has ended.
    start_again: bool,
    pending_loss: Option<RetainedState>,
    frozen: bool,
    unavailable_since: Option<Instant>,
    log: VecDeque<String>,
    list_held_back: bool,
    list_truncated: bool,
    /// It logged that it refused the site that was spoilt last.
    site_refused: bool,
    /// It logged that it refused the list that was truncated last.
    list_refused: bool,
    /// The last SIGHUP that it has not answered in its log.
    unanswered_hangup: Option<Instant>,
    list_delay: (i64, i64),
    clock_offset: i64,
    /// Offset of the wall clock that its process reads, in microseconds.
    wall_clock_offset: i64,
    /// Its share of the capacity of the servers, as it logged last.
    capacity_share: f64,
    /// When it began to listen, and how long it had waited for a core until then, in nanoseconds.
    judged_from: Option<(Instant, u64)>,
}

impl Balancer {
    /// Whether it reads its files: one that is stopped does so once it goes on.
    fn reads_files(&self) -> bool {
        self.state == ProcessState::Up
    }
}

/// A node, as the lists of servers should describe it.
struct RegisteredNode {
    started: Option<SystemTime>,
    drains: bool,
    listed: bool,
}

struct Play<'s> {
    script: &'s Script,
    timeline: &'s Timeline,
    options: &'s Options,
    balancers: Vec<Balancer>,
    twins: HashMap<u64, (usize, Process)>,
    nodes: Vec<Rc<Shell>>,
    links: Vec<Vec<Rc<Link>>>,
    /// The datagram network between balancers that are members of one fleet.
    peer_network: Option<PeerNetwork>,
    fleet: Vec<FleetRow>,
    /// Since when all running balancers have agreed on the membership.
    agreed: Option<Instant>,
    registry: Vec<RegisteredNode>,
    phases: Vec<Phase>,
    endpoints: Endpoints,
    events: UnboundedSender<ProcessMessage>,
    numbers: u64,
    /// When a list is to be written, and for which balancer.
    lists: BinaryHeap<Reverse<(Instant, usize)>>,
    rng: Rand64,
    start: Instant,
    facts: Facts,
    /// Drains in progress: since when, by balancer and node.
    drains: HashMap<(usize, usize), i64>,
    sent: Vec<f64>,
    sampled: Instant,
    samples: u64,
    starved: f64,
    notes: Vec<String>,
    /// Steps whose condition does not hold yet, since when they wait, and the steps that end them.
    pending: Vec<(Step, Instant, Option<Step>)>,
    /// Ends of steps that had to wait, and when they are due.
    later: Vec<(Instant, Step)>,
    /// The last status that each balancer logged.
    statuses: Vec<Option<serde_json::Value>>,
    /// The planned end has begun: processes that end are not restarted.
    ending: bool,
}

/// Plays a script. To be called on a `LocalSet` whose thread outlives the play, because the system kills the
/// processes when that thread ends.
///
/// # Errors
///
/// Why the script can't be played on this machine. An expectation that is not met is no error but a verdict.
pub async fn play(script: &Script, options: &Options) -> Result<Report, PlayError> {
    let timeline = timeline(script, options.seed);
    let arrivals = Arc::new(arrivals(script, options.seed));
    check_binaries(script, &timeline, options)?;
    ensure_descriptors(script)?;
    let out = &options.out;
    std::fs::create_dir_all(out).map_err(PlayError::io(out.display().to_string()))?;
    std::fs::write(out.join("timeline.txt"), timeline.to_string())
        .map_err(PlayError::io("timeline.txt"))?;
    let (sender, mut events) = unbounded_channel();
    let mut play = Play::prepare(script, &timeline, options, sender)?;
    if script.fleet.members {
        let peer_network = PeerNetwork::start(script.fleet.balancers, options.seed).await;
        play.peer_network = Some(peer_network.map_err(PlayError::io("the net between balancers"))?);
    }
    play.start_all(&mut events).await?;
    // All balancers listen: the clock starts.
    let mut generator = play.generator(arrivals.clone());
    play.start = Instant::now() + SETTLE;
    generator.start = play.start;
    let clients = start_clients(&generator, options)?;
    play.sampled = play.start;
    let over = || clients.iter().all(JoinHandle::is_finished);
    play.run(&mut events, &generator.progress, over).await;
    let mut machine = Machine::default();
    play.join_clients(clients, &mut machine)?;
    play.finish(&mut events).await;
    machine.starved = play.starved;
    let lateness = play.nodes.iter().map(|node| node.lateness());
    machine.nodes_late =
        lateness.filter(|l| l.wakes > 100).map(|l: Lateness| l.share()).fold(0.0, f64::max);
    play.gather(&arrivals);
    Ok(play.report(machine))
}

/// Checks that there is a path for each program that the script names.
fn check_binaries(
    script: &Script,
    timeline: &Timeline,
    options: &Options,
) -> Result<(), PlayError> {
    let started = timeline.steps.iter().filter_map(|step| match &step.action {
        StepAction::Start(_, binary) => binary.as_ref(),
        _ => None,
    });
    let named = script.processes.iter().filter_map(|p| p.binary.as_ref()).chain(started);
    let missing = named.filter(|name| !options.binaries.contains_key(*name)).min();
    match missing {
        Some(name) => Err(PlayError::MissingBinary { name: name.clone() }),
        None => Ok(()),
    }
}

/// Starts the threads of the load generator.
fn start_clients(
    generator: &LoadGenerator,
    options: &Options,
) -> Result<Vec<JoinHandle<WorkerResult>>, PlayError> {
    let threads = options.threads.max(1);
    (0..threads)
        .map(|rest| clients::start(generator.clone(), rest, threads))
        .collect::<Result<_, _>>()
        .map_err(PlayError::io("a thread of clients"))
}

impl Play<'_> {
    /// Collects what the clients saw.
    fn join_clients(
        &mut self,
        clients: Vec<JoinHandle<WorkerResult>>,
        machine: &mut Machine,
    ) -> Result<(), PlayError> {
        let mut late: Option<hdrhistogram::Histogram<u64>> = None;
        for thread in clients {
            let seen = thread.join().map_err(|_| PlayError::ClientsPanicked)?;
            self.facts.tries.extend(seen.tries);
            machine.unsent += seen.unsent;
            machine.generator += seen.processor.as_secs_f64() / (self.script.length as f64 / 1e6);
            match &mut late {
                Some(late) => drop(late.add(seen.late)),
                None => late = Some(seen.late),
            }
        }
        machine.late = late.map_or(0, |late| late.value_at_quantile(0.99) as i64);
        Ok(())
    }

    /// Judges the run.
    fn report(self, machine: Machine) -> Report {
        let account = account(self.script, self.timeline, self.options.seed, &self.facts);
        let verdict = match judge(self.script, &account, &machine) {
            // A step that was never carried out makes the run void.
            _ if !self.pending.is_empty() => {
                let left = self.pending.iter();
                Verdict::Void(left.map(|(step, ..)| format!("not done: {}", step.action)).collect())
            }
            verdict => verdict,
        };
        let own = std::iter::once(("".to_string(), self.options.program.display().to_string()));
        let named = self.options.binaries.iter();
        let named = named.map(|(name, path)| (name.clone(), path.display().to_string()));
        let mut binaries: Vec<_> = own.chain(named).collect();
        binaries.sort();
        let Play { notes, statuses, fleet, .. } = self;
        Report { account, verdict, machine, notes, statuses, fleet, binaries }
    }
}

impl Play<'_> {
    /// Microseconds from the first arrival; negative before it.
    fn micros(&self, at: Instant) -> i64 {
        match at.checked_duration_since(self.start) {
            Some(after) => after.as_micros() as i64,
            None => -(self.start.duration_since(at).as_micros() as i64),
        }
    }

    fn now(&self) -> i64 {
        self.micros(Instant::now())
    }
}
