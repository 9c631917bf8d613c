//! Plays a script once: starts everything, carries out the timeline, ends everything, and computes the account.

mod faults;
mod lists;
mod peers;
mod prepare;
mod processes;
mod run;
mod samples;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
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

use crate::clients;
use crate::endpoints::Endpoints;
use crate::net::Link;
use crate::process::{Process, ProcessMessage};
use crate::site::Folder;
use peers::PeerNetwork;
use prepare::descriptors;

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

fn io(what: &str) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{what}: {e}")
}

/// Plays a script. To be called on a `LocalSet` whose thread outlives the play, because the system kills the
/// processes when that thread ends.
pub async fn play(script: &Script, options: &Options) -> Result<Report, String> {
    let timeline = timeline(script, options.seed);
    let all = Arc::new(arrivals(script, options.seed));
    let named: HashSet<&String> = script
        .processes
        .iter()
        .filter_map(|p| p.binary.as_ref())
        .chain(timeline.steps.iter().filter_map(|step| match &step.action {
            StepAction::Start(_, binary) => binary.as_ref(),
            _ => None,
        }))
        .collect();
    let mut lacking: Vec<_> =
        named.iter().filter(|name| !options.binaries.contains_key(**name)).collect();
    lacking.sort();
    if let Some(name) = lacking.first() {
        return Err(format!("the script names the program {name:?}: say --binary {name}=PATH"));
    }
    descriptors(script)?;
    let out = &options.out;
    std::fs::create_dir_all(out).map_err(io(&out.display().to_string()))?;
    std::fs::write(out.join("timeline.txt"), timeline.to_string()).map_err(io("timeline.txt"))?;
    let (told, mut events) = unbounded_channel();
    let mut play = Play::prepare(script, &timeline, options, told)?;
    if script.fleet.members {
        let peer_network = PeerNetwork::start(script.fleet.balancers, options.seed).await;
        play.peer_network = Some(peer_network.map_err(io("the net between balancers"))?);
    }
    play.start_all(&mut events).await?;
    // All balancers listen: the clock starts.
    let mut generator = play.generator(all.clone());
    play.start = Instant::now() + SETTLE;
    generator.start = play.start;
    let threads = options.threads.max(1);
    let running = (0..threads)
        .map(|rest| clients::start(generator.clone(), rest, threads))
        .collect::<Result<Vec<_>, _>>()
        .map_err(io("a thread of clients"))?;
    play.sampled = play.start;
    let over = || running.iter().all(std::thread::JoinHandle::is_finished);
    play.run(&mut events, &generator.progress, over).await;
    let mut machine = Machine::default();
    let mut late: Option<hdrhistogram::Histogram<u64>> = None;
    for thread in running {
        let seen = thread.join().map_err(|_| "a thread of clients has panicked".to_string())?;
        play.facts.tries.extend(seen.tries);
        machine.unsent += seen.unsent;
        machine.generator += seen.processor.as_secs_f64() / (script.length as f64 / 1e6);
        match &mut late {
            Some(late) => drop(late.add(seen.late)),
            None => late = Some(seen.late),
        }
    }
    machine.late = late.map_or(0, |late| late.value_at_quantile(0.99) as i64);
    play.finish(&mut events).await;
    machine.starved = play.starved;
    let lateness = play.nodes.iter().map(|node| node.lateness());
    machine.nodes_late =
        lateness.filter(|l| l.wakes > 100).map(|l: Lateness| l.share()).fold(0.0, f64::max);
    play.gather(&all);
    let account = account(script, &timeline, options.seed, &play.facts);
    let verdict = match judge(script, &account, &machine) {
        // A step that was never carried out makes the run void.
        _ if !play.pending.is_empty() => {
            let left = play.pending.iter().map(|(step, ..)| format!("not done: {}", step.action));
            Verdict::Void(left.collect())
        }
        verdict => verdict,
    };
    let binaries = std::iter::once(("".to_string(), options.program.display().to_string()))
        .chain(options.binaries.iter().map(|(n, p)| (n.clone(), p.display().to_string())));
    let mut binaries: Vec<_> = binaries.collect();
    binaries.sort();
    let notes = std::mem::take(&mut play.notes);
    let statuses = std::mem::take(&mut play.statuses);
    let fleet = std::mem::take(&mut play.fleet);
    Ok(Report { account, verdict, machine, notes, statuses, fleet, binaries })
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
