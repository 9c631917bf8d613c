//! One play of a script: everything is started, the timeline done, all ended, and the account drawn up.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime};

use indicatif::{ProgressBar, ProgressStyle};
use oorandom::Rand64;
use rustix::process::{Resource, Rlimit, Signal, getrlimit, setrlimit};
use sableloom_emulator::Phase;
use sableloom_rehearsal::{
    Account, Act, Arrived, Drain, Effect, Facts, Keep, Lists, MS, Machine, NodeRow, Outage, Script,
    Step, Timeline, Verdict, account, arrivals, judge, timeline,
};
use sableloom_standin::{
    Agent, Class as NodeClass, Lateness, Member, Mood, Options as NodeOptions, Shell,
};
use serde::{Deserialize, Serialize};
use socket2::Socket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{MissedTickBehavior, interval, sleep_until, timeout};

use crate::child::{Child, Said, Start, Told};
use crate::clients::{self, Class, Crowd, Progress};
use crate::datagrams::{Datagrams, Pair};
use crate::doors::Doors;
use crate::gate::reserve;
use crate::net::Link;
use crate::site::{DRAIN, Folder, Listed, Place};

/// How long a process may take until it listens.
const STARTS_WITHIN: Duration = Duration::from_secs(30);
/// How long one may take to end after SIGTERM, past the longest deadline.
const ENDS_WITHIN: Duration = Duration::from_secs(10);
/// How often the rig looks at nodes, and at conditions.
const TICK: Duration = Duration::from_millis(2);
/// How often it writes down what nodes and processes do.
const SAMPLE: Duration = Duration::from_millis(250);
/// How many of these to each time that a balancer is asked for its status.
const ASK_EVERY: u64 = 4;
/// From the last process that listens to the first arrival.
const SETTLE: Duration = Duration::from_millis(200);
/// How long a deed waits for its condition.
const CONDITION_WITHIN: Duration = Duration::from_secs(5);
/// Lines of a log that an error shows.
const LINES: usize = 4;
/// A process is judged by its share of the cores only if it ran this long.
const JUDGED_AFTER: Duration = Duration::from_secs(1);
/// Descriptors of the rig itself, besides links and connections.
const DESCRIPTORS_OTHER: u64 = 200;

/// What to play with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program, where the script names no other.
    pub program: PathBuf,
    /// The program that knows `under`.
    pub guard: PathBuf,
    /// Programs that the script names.
    pub binaries: HashMap<String, PathBuf>,
    /// Where all files go.
    pub out: PathBuf,
    /// What everything is drawn from.
    pub seed: u64,
    /// Threads of clients.
    pub threads: usize,
    /// Whether to show how far it is.
    pub progress: bool,
}

impl Options {
    /// Whether the balancers are this very program, and so know what it knows.
    fn own(&self) -> bool {
        self.program == self.guard
    }
}

/// What came of a play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The account.
    pub account: Account,
    /// The verdict.
    pub verdict: Verdict,
    /// How the machine bore it.
    pub machine: Machine,
    /// What else was seen: twins' ends, conditions that never came.
    pub notes: Vec<String>,
    /// What each balancer said last of itself, if it was asked.
    pub statuses: Vec<Option<serde_json::Value>>,
    /// The fleet over time, where its balancers know each other.
    #[serde(default)]
    pub fleet: Vec<FleetRow>,
    /// The programs, by name: which file each was.
    pub binaries: Vec<(String, String)>,
}

/// A fleet at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetRow {
    /// When, in microseconds from the first arrival.
    pub at: i64,
    /// How many run, and are not stopped.
    pub running: usize,
    /// What the parts of those add up to, as each logged last.
    pub parts: f64,
    /// How many views there are, as each said last.
    pub views: usize,
}

/// A balancer's process, as the rig knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Starting,
    Up,
    /// SIGTERM was sent.
    Ending,
    /// SIGKILL was sent.
    Killed,
    Down,
}

struct Balancer {
    life: Life,
    child: Option<Child>,
    binary: Option<String>,
    address: SocketAddr,
    /// Holds the address while no process does.
    _held: Socket,
    folder: Folder,
    /// The discovery agent of its machine, where it has one.
    agent: Option<(Rc<Agent>, SocketAddr)>,
    says: usize,
    /// It is to be started as soon as its last process is gone.
    start_again: bool,
    lose: Option<Keep>,
    frozen: bool,
    out_since: Option<Instant>,
    log: VecDeque<String>,
    stale: bool,
    half: bool,
    late: (i64, i64),
    clock: i64,
    /// How far off the wall clock is that its process reads.
    wall_clock: i64,
    /// Its part of the servers, as it logged last.
    part: f64,
    /// When it listened, and what it had run and waited then.
    judged_from: Option<(Instant, u64)>,
}

/// A node, as the lists are to tell it.
struct Truth {
    started: Option<SystemTime>,
    drains: bool,
    listed: bool,
}

/// The net between balancers that know each other.
struct Talk {
    net: Datagrams,
    /// Where each takes datagrams.
    addresses: Vec<SocketAddr>,
}

impl Talk {
    /// Each balancer has a loopback address of its own, and so has the net: what one process gives up for a
    /// while is free when it comes back, whatever ports others are given by chance.
    async fn start(balancers: usize, seed: u64) -> std::io::Result<Self> {
        static PLAYS: AtomicU32 = AtomicU32::new(0);
        // 127.64.0.0/10, by process and play: tests run beside each other.
        let play = std::process::id().wrapping_mul(16) + PLAYS.fetch_add(1, Ordering::Relaxed) % 16;
        let base = 0x7f40_0000 | (play % 0x2000) << 9;
        let ip = |i: usize| Ipv4Addr::from(base + i as u32 + 1);
        let held = (0..balancers).map(|b| UdpSocket::bind((ip(b), 0)));
        let held = held.collect::<std::io::Result<Vec<_>>>()?;
        let addresses: Vec<SocketAddr> =
            held.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        let net = Datagrams::start(&addresses, ip(balancers).into(), seed).await?;
        Ok(Self { net, addresses })
    }

    /// All members, as this balancer finds them.
    fn place(&self, balancer: usize) -> Place {
        let member = |b: usize| {
            let at = match self.net.address(Pair { from: balancer, to: b }) {
                Some(at) => at,
                None => self.addresses[b],
            };
            (format!("b{}", b + 1), at)
        };
        Place { members: (0..self.addresses.len()).map(member).collect() }
    }
}

struct Play<'s> {
    script: &'s Script,
    timeline: &'s Timeline,
    options: &'s Options,
    balancers: Vec<Balancer>,
    twins: HashMap<u64, (usize, Child)>,
    nodes: Vec<Rc<Shell>>,
    links: Vec<Vec<Rc<Link>>>,
    /// What balancers that know each other say to each other passes here.
    talk: Option<Talk>,
    fleet: Vec<FleetRow>,
    /// Since when all that run agree.
    agreed: Option<Instant>,
    truth: Vec<Truth>,
    phases: Vec<Phase>,
    doors: Doors,
    told: UnboundedSender<Told>,
    numbers: u64,
    /// Lists that are due, by time.
    lists: BinaryHeap<Reverse<(Instant, usize)>>,
    rng: Rand64,
    start: Instant,
    facts: Facts,
    /// Drains that are not over: balancer, node, and since when.
    drains: HashMap<(usize, usize), i64>,
    sent: Vec<f64>,
    sampled: Instant,
    samples: u64,
    starved: f64,
    notes: Vec<String>,
    /// Deeds whose condition has not come yet, since when they wait, and what ends them.
    pending: Vec<(Step, Instant, Option<Step>)>,
    /// Ends of deeds that had to wait, and when they are due.
    later: Vec<(Instant, Step)>,
    /// What each balancer said last of itself.
    statuses: Vec<Option<serde_json::Value>>,
    /// The end has begun: what ends now is not written down as a crash.
    ending: bool,
}

fn io(what: &str) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{what}: {e}")
}

/// Lets the rig have all the descriptors that the system grants it, or says that they are too few.
fn descriptors(script: &Script) -> Result<(), String> {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let pairs = (script.fleet.balancers * script.nodes.count) as u64;
    // A gate and its listener for each pair, and both ends of a connection for some.
    let talk = if script.fleet.members { script.fleet.balancers.pow(2) as u64 } else { 0 };
    let need = pairs * 4 + talk + DESCRIPTORS_OTHER;
    let most = maximum.unwrap_or(u64::MAX);
    if most < need {
        return Err(format!(
            "{} balancers before {} nodes need about {need} descriptors here, and the system grants \
             {most}: raise `ulimit -n`, or make the script smaller",
            script.fleet.balancers, script.nodes.count
        ));
    }
    if current.is_none_or(|now| now < most) {
        let all = Rlimit { current: maximum, maximum };
        setrlimit(Resource::Nofile, all).map_err(|e| format!("descriptors: {e}"))?;
    }
    Ok(())
}

/// Plays a script. To be called on a `LocalSet` whose thread lives longer than the play: the processes
/// end with that thread.
pub async fn play(script: &Script, options: &Options) -> Result<Report, String> {
    let timeline = timeline(script, options.seed);
    let all = Arc::new(arrivals(script, options.seed));
    let named: HashSet<&String> = script
        .processes
        .iter()
        .filter_map(|p| p.binary.as_ref())
        .chain(timeline.steps.iter().filter_map(|step| match &step.act {
            Act::Start(_, binary) => binary.as_ref(),
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
    let (told, mut tells) = unbounded_channel();
    let mut play = Play::prepare(script, &timeline, options, told)?;
    if script.fleet.members {
        let talk = Talk::start(script.fleet.balancers, options.seed).await;
        play.talk = Some(talk.map_err(io("the net between balancers"))?);
    }
    play.start_all(&mut tells).await?;
    // Everyone is there: the clock starts.
    let mut crowd = play.crowd(all.clone());
    play.start = Instant::now() + SETTLE;
    crowd.start = play.start;
    let threads = options.threads.max(1);
    let running = (0..threads)
        .map(|rest| clients::start(crowd.clone(), rest, threads))
        .collect::<Result<Vec<_>, _>>()
        .map_err(io("a thread of clients"))?;
    play.sampled = play.start;
    let over = || running.iter().all(std::thread::JoinHandle::is_finished);
    play.run(&mut tells, &crowd.progress, over).await;
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
    play.finish(&mut tells).await;
    machine.starved = play.starved;
    let lateness = play.nodes.iter().map(|node| node.lateness());
    machine.nodes_late =
        lateness.filter(|l| l.wakes > 100).map(|l: Lateness| l.share()).fold(0.0, f64::max);
    play.gather(&all);
    let account = account(script, &timeline, options.seed, &play.facts);
    let verdict = match judge(script, &account, &machine) {
        // A deed that was never done leaves nothing to judge.
        _ if !play.pending.is_empty() => {
            let left = play.pending.iter().map(|(step, ..)| format!("not done: {}", step.act));
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

impl<'s> Play<'s> {
    fn prepare(
        script: &'s Script,
        timeline: &'s Timeline,
        options: &'s Options,
        told: UnboundedSender<Told>,
    ) -> Result<Self, String> {
        let classes: Vec<NodeClass> = script
            .classes
            .iter()
            .map(|class| NodeClass {
                name: class.name.clone(),
                work: class.work,
                spread: class.spread,
                wait: Duration::from_micros(class.wait as u64),
                effect: class.effect == Effect::Unsafe,
            })
            .collect();
        let seed = options.seed;
        let node = |i: usize| {
            Shell::start(NodeOptions {
                name: format!("n{}", i + 1),
                nature: script.nodes.natures[i],
                classes: classes.clone(),
                seed: seed.wrapping_mul(31).wrapping_add(i as u64),
            })
        };
        let nodes: Vec<Rc<Shell>> = (0..script.nodes.count).map(node).collect();
        if script.nodes.cold {
            nodes.iter().for_each(|node| node.restart());
        }
        let mut links = Vec::new();
        for b in 0..script.fleet.balancers {
            let link = |(n, node): (usize, &Rc<Shell>)| {
                let seed = seed.wrapping_mul(65_537).wrapping_add((b * nodes.len() + n) as u64);
                Link::start(b, node.clone(), seed)
            };
            let row: Result<Vec<_>, _> = nodes.iter().enumerate().map(link).collect();
            links.push(row.map_err(io("a link"))?);
        }
        let mut balancers = Vec::new();
        for b in 0..script.fleet.balancers {
            let path = options.out.join(format!("b{}", b + 1));
            let folder = Folder::new(path.clone()).map_err(io(&path.display().to_string()))?;
            let (held, address) = reserve().map_err(io("a free port"))?;
            let mut says = script.fleet.says;
            let mut binary = None;
            for special in &script.processes {
                if timeline.groups[special.who].contains(&b) {
                    says = special.says.unwrap_or(says);
                    binary = special.binary.clone().or(binary);
                }
            }
            balancers.push(Balancer {
                life: Life::Down,
                child: None,
                binary,
                address,
                _held: held,
                folder,
                agent: match script.fleet.lists {
                    Lists::Files => None,
                    Lists::Discovery => Some(Agent::start(&[]).map_err(io("an agent"))?),
                },
                says,
                start_again: false,
                lose: None,
                frozen: false,
                out_since: None,
                log: VecDeque::new(),
                stale: false,
                half: false,
                late: script.nodes.list_late,
                clock: 0,
                wall_clock: 0,
                part: 0.0,
                judged_from: None,
            });
        }
        let addresses: Vec<_> = balancers.iter().map(|b| b.address).collect();
        let notice = Duration::from_micros(script.clients.notice as u64);
        let zones = script.fleet.zones.len();
        let cold = script.nodes.cold.then(SystemTime::now);
        Ok(Self {
            doors: Doors::new(&addresses, zones, notice, script.load.uneven),
            truth: nodes
                .iter()
                .map(|_| Truth { started: cold, drains: false, listed: true })
                .collect(),
            phases: vec![Phase::Up; nodes.len()],
            sent: vec![0.0; nodes.len()],
            facts: Facts { nodes: vec![Vec::new(); nodes.len()], ..Facts::default() },
            script,
            timeline,
            options,
            balancers,
            twins: HashMap::new(),
            nodes,
            links,
            talk: None,
            fleet: Vec::new(),
            agreed: None,
            told,
            numbers: 0,
            lists: BinaryHeap::new(),
            rng: Rand64::new(u128::from(seed) ^ 0x915),
            start: Instant::now(),
            drains: HashMap::new(),
            sampled: Instant::now(),
            samples: 0,
            starved: 0.0,
            notes: Vec::new(),
            pending: Vec::new(),
            later: Vec::new(),
            statuses: vec![None; script.fleet.balancers],
            ending: false,
        })
    }

    fn crowd(&self, arrivals: Arc<Vec<sableloom_rehearsal::Arrival>>) -> Crowd {
        let classes = self.script.classes.iter().map(|class| Class {
            name: class.name.clone(),
            deadline: Duration::from_micros(class.deadline as u64),
            effect: class.effect,
        });
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Crowd {
            arrivals,
            classes: Arc::new(classes.collect()),
            clients: self.script.clients,
            slack: Duration::from_micros(self.script.machine.slack as u64),
            doors: self.doors.clone(),
            start: self.start,
            run: unix.as_millis() as u64 & 0xffff_ffff,
            progress: Arc::new(Progress::default()),
        }
    }

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

    // ------------------------------------------------------------ processes

    fn spawn(&mut self, b: usize) -> Result<Child, String> {
        self.numbers += 1;
        let balancer = &self.balancers[b];
        let name = format!("b{}", b + 1);
        let program = match &balancer.binary {
            Some(binary) => &self.options.binaries[binary],
            None => &self.options.program,
        };
        let mut start = Start {
            guard: self.options.guard.clone(),
            program: program.clone(),
            arguments: Vec::new(),
            variables: Vec::new(),
            descriptors: None,
            memory_mb: None,
            log: balancer.folder.path("log"),
        };
        match balancer.agent {
            None => {
                let site = balancer.folder.path("site.toml").into();
                start.arguments = vec!["serve".into(), "--config".into(), site];
                if balancer.wall_clock != 0 {
                    let by = (balancer.wall_clock / MS).to_string();
                    start.arguments.extend(["--wall-clock-ms".into(), by.into()]);
                }
            }
            Some(_) => {
                let config = balancer.folder.path("config.json").into();
                start.variables = vec![("ROUTER_CONFIG", config)];
            }
        }
        for special in &self.script.processes {
            if self.timeline.groups[special.who].contains(&b) {
                start.descriptors = special.descriptors.or(start.descriptors);
                start.memory_mb = special.memory_mb.or(start.memory_mb);
            }
        }
        Child::start(&start, self.numbers, self.told.clone()).map_err(|e| format!("{name}: {e}"))
    }

    /// Starts a balancer's process, with the files as they have to be.
    async fn start_one(&mut self, b: usize) -> Result<(), String> {
        let named = |e| format!("b{}: its files: {e}", b + 1);
        let folder = self.balancers[b].folder.clone();
        folder.sync().map_err(named)?;
        self.write_site(b).map_err(named)?;
        self.write_list(b).map_err(named)?;
        if let Some(talk) = &self.talk {
            talk.net.starts(b).await.map_err(|e| format!("b{}: the net: {e}", b + 1))?;
        }
        let child = self.spawn(b)?;
        let balancer = &mut self.balancers[b];
        balancer.part = 0.0;
        balancer.child = Some(child);
        balancer.life = Life::Starting;
        balancer.log.clear();
        Ok(())
    }

    /// Its configuration, as it has to be.
    fn write_site(&self, b: usize) -> std::io::Result<()> {
        let Balancer { folder, address, says, agent, .. } = &self.balancers[b];
        match agent {
            None => {
                let place = self.talk.as_ref().map(|talk| talk.place(b));
                folder.site(self.script, b, *address, *says, place.as_ref())
            }
            Some((_, agent)) => folder.platform(self.script, b, *address, *says, *agent),
        }
    }

    async fn start_all(&mut self, tells: &mut UnboundedReceiver<Told>) -> Result<(), String> {
        for b in 0..self.balancers.len() {
            self.start_one(b).await?;
        }
        let until = tokio::time::Instant::now() + STARTS_WITHIN;
        while let Some(b) = self.balancers.iter().position(|b| b.life != Life::Up) {
            let told = tokio::time::timeout_at(until, tells.recv()).await;
            let Ok(Some((number, said))) = told else {
                let log = self.log_of(b);
                return Err(format!("b{} does not listen after {STARTS_WITHIN:?}{log}", b + 1));
            };
            let whose = self.whose(number);
            let ended = matches!(said, Said::Ended);
            self.hear(number, said).await;
            if let (true, Some(b)) = (ended, whose) {
                let how = self.facts.crashes.pop().map(|c| c.2).unwrap_or_default();
                return Err(format!("b{} can't start: {how}", b + 1));
            }
        }
        Ok(())
    }

    fn log_of(&self, b: usize) -> String {
        let lines: Vec<&str> = self.balancers[b].log.iter().map(String::as_str).collect();
        if lines.is_empty() {
            String::new()
        } else {
            format!("; its last words: {}", lines.join(" | "))
        }
    }

    fn whose(&self, number: u64) -> Option<usize> {
        let is = |b: &Balancer| b.child.as_ref().is_some_and(|child| child.number == number);
        self.balancers.iter().position(is)
    }

    /// A process has said something.
    async fn hear(&mut self, number: u64, said: Said) {
        if let Some(b) = self.whose(number) {
            return match said {
                Said::Line(line) => self.line(b, line),
                Said::Ended => self.ended(b).await,
            };
        }
        if let Said::Ended = said
            && let Some((b, mut twin)) = self.twins.remove(&number)
        {
            let how = twin.reap().map_or("unknown".to_string(), |how| how.to_string());
            let at = self.now() as f64 / 1e6;
            self.notes.push(format!("the twin of b{} ended at {at:.3} s: {how}", b + 1));
        }
    }

    fn line(&mut self, b: usize, line: String) {
        if let Some((_, status)) = line.split_once("sableloom: status ") {
            if let Ok(status) = serde_json::from_str(status) {
                self.statuses[b] = Some(status);
            }
            return;
        }
        let now = Instant::now();
        let at = self.micros(now);
        let balancer = &mut self.balancers[b];
        if let Some((_, part)) = line.split_once("sableloom: fleet: part: ") {
            let of = part.strip_prefix("1 of ").map(|of| of.split(',').next().unwrap_or(of));
            balancer.part = of.and_then(|of| of.parse::<f64>().ok()).map_or(0.0, f64::recip);
        }
        if balancer.life == Life::Starting && line.contains("listening on") {
            balancer.life = Life::Up;
            let waited = balancer.child.as_ref().and_then(Child::scheduled).map_or(0, |s| s.1);
            balancer.judged_from = Some((now, waited));
            if let Some(from) = balancer.out_since.take() {
                let from = self.micros(from);
                self.facts.outages.push(Outage { balancer: b, from, to: at });
            }
            self.doors.open(b);
            self.forget_views();
        }
        let balancer = &mut self.balancers[b];
        if balancer.log.len() == LINES {
            balancer.log.pop_front();
        }
        balancer.log.push_back(line);
    }

    async fn ended(&mut self, b: usize) {
        let now = Instant::now();
        let balancer = &mut self.balancers[b];
        let status = balancer.child.take().and_then(|mut child| child.reap());
        // From here on nobody is there, and the system says so.
        if let Some(talk) = &self.talk {
            talk.net.ended(b);
        }
        self.forget_views();
        let balancer = &mut self.balancers[b];
        let life = std::mem::replace(&mut balancer.life, Life::Down);
        let well = status.is_some_and(|status| status.success());
        let asked = life == Life::Killed || (life == Life::Ending && well);
        if !asked {
            balancer.out_since.get_or_insert(now);
            self.doors.died(b);
            let how = status.map_or("unknown".to_string(), |status| status.to_string());
            let how = format!("{how}{}", self.log_of(b));
            let at = self.micros(now);
            self.facts.crashes.push((b, at, how));
        }
        let balancer = &mut self.balancers[b];
        balancer.frozen = false;
        if let Some(keep) = balancer.lose.take()
            && let Err(e) = balancer.folder.lose(keep)
        {
            self.notes.push(format!("b{}: its state: {e}", b + 1));
        }
        if std::mem::take(&mut self.balancers[b].start_again) && !self.ending {
            self.start_again(b).await;
        }
    }

    /// Who is there has changed: what was said before counts for nothing.
    fn forget_views(&mut self) {
        // What all said before the end began is what the report tells.
        if self.talk.is_some() && !self.ending {
            self.agreed = None;
            self.statuses.fill(None);
        }
    }

    async fn start_again(&mut self, b: usize) {
        if let Err(e) = self.start_one(b).await {
            let at = self.now();
            self.facts.crashes.push((b, at, format!("it can't start: {e}")));
        }
    }

    fn signal(&self, b: usize, signal: Signal) {
        if let Some(child) = &self.balancers[b].child {
            child.signal(signal);
        }
    }

    fn kill(&mut self, b: usize, keep: Option<Keep>) {
        let balancer = &mut self.balancers[b];
        if balancer.child.is_none() {
            // Nothing runs, but the power takes its state as well.
            if let Some(keep) = keep
                && let Err(e) = balancer.folder.lose(keep)
            {
                self.notes.push(format!("b{}: its state: {e}", b + 1));
            }
            return;
        }
        // First that it is out of order, so that no client takes its end for something else.
        balancer.out_since.get_or_insert_with(Instant::now);
        balancer.life = Life::Killed;
        // A wake that was to come finds nobody: it must not end the outage.
        balancer.frozen = false;
        balancer.lose = keep;
        balancer.start_again = false;
        self.doors.died(b);
        self.signal(b, Signal::KILL);
    }

    fn thaw(&mut self, b: usize) {
        let now = Instant::now();
        if !std::mem::take(&mut self.balancers[b].frozen) {
            return;
        }
        self.forget_views();
        self.signal(b, Signal::CONT);
        self.doors.stopped(b, false);
        if let Some(from) = self.balancers[b].out_since.take() {
            let (from, to) = (self.micros(from), self.micros(now));
            self.facts.outages.push(Outage { balancer: b, from, to });
        }
    }

    // ------------------------------------------------------------ lists

    fn write_list(&mut self, b: usize) -> std::io::Result<()> {
        let now = self.now();
        let zones = &self.script.fleet.zones;
        let mut listed = Vec::new();
        for (n, truth) in self.truth.iter().enumerate() {
            let out = truth.drains || !truth.listed;
            let drain = self.drains.get(&(b, n)).copied();
            match (out, drain) {
                // Half a file tells nothing.
                _ if self.balancers[b].half => {}
                (true, None) => {
                    self.drains.insert((b, n), now + DRAIN.as_micros() as i64);
                }
                (false, Some(from)) => {
                    self.drains.remove(&(b, n));
                    self.facts.drains.push(Drain { balancer: b, node: n, from, to: now });
                }
                _ => {}
            }
            if truth.listed {
                listed.push(Listed {
                    name: format!("n{}", n + 1),
                    address: self.links[b][n].address(),
                    zone: zones.get(self.script.zone(n)).cloned(),
                    started: truth.started,
                    drains: truth.drains,
                });
            }
        }
        let Balancer { folder, clock, half, agent, .. } = &self.balancers[b];
        let Some((agent, _)) = agent else { return folder.list(&listed, *clock, *half) };
        let unix = |at: SystemTime| at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let member = |node: &Listed| Member {
            id: node.name.clone(),
            address: node.address,
            zone: node.zone.clone().unwrap_or("a".to_string()),
            drains: node.drains,
            started_ms: node.started.map_or(0, |at| unix(at).as_millis() as i64 + clock / MS),
        };
        agent.mood(if *half { Mood::Half } else { Mood::Well });
        agent.set(&listed.iter().map(member).collect::<Vec<_>>());
        Ok(())
    }

    /// Something of the nodes has changed: each balancer's list follows when it does.
    fn publish(&mut self) {
        for b in 0..self.balancers.len() {
            let (least, most) = self.balancers[b].late;
            let late = least + ((most - least) as f64 * self.rng.rand_float()) as i64;
            let due = Instant::now() + Duration::from_micros(late as u64);
            self.lists.push(Reverse((due, b)));
        }
    }

    fn lists_due(&mut self) {
        while let Some(Reverse((due, b))) = self.lists.peek().copied() {
            if due > Instant::now() {
                return;
            }
            self.lists.pop();
            if !self.balancers[b].stale {
                self.list_now(b);
            }
        }
    }

    fn list_now(&mut self, b: usize) {
        if let Err(e) = self.write_list(b) {
            self.notes.push(format!("b{}: its list: {e}", b + 1));
        }
    }

    // ------------------------------------------------------------ deeds

    async fn act(&mut self, act: &Act) {
        match act {
            Act::Kill(b) => self.kill(*b, None),
            Act::PowerLoss(all, keep) => all.iter().for_each(|b| self.kill(*b, Some(*keep))),
            Act::Term(b) => {
                if self.balancers[*b].child.is_some() {
                    self.balancers[*b].life = Life::Ending;
                    self.doors.take_out(*b);
                    self.signal(*b, Signal::TERM);
                }
            }
            Act::Start(b, binary) => {
                let balancer = &mut self.balancers[*b];
                if binary.is_some() {
                    balancer.binary.clone_from(binary);
                }
                match balancer.life {
                    Life::Down => self.start_again(*b).await,
                    Life::Killed | Life::Ending => balancer.start_again = true,
                    Life::Up | Life::Starting => {
                        self.notes.push(format!("b{} runs already", b + 1));
                    }
                }
            }
            Act::Freeze(b) => {
                let balancer = &mut self.balancers[*b];
                if balancer.child.is_some() && !balancer.frozen {
                    balancer.frozen = true;
                    balancer.out_since.get_or_insert_with(Instant::now);
                    self.doors.stopped(*b, true);
                    self.signal(*b, Signal::STOP);
                }
            }
            Act::Thaw(b) => self.thaw(*b),
            Act::HangUp(b) => self.signal(*b, Signal::HUP),
            Act::Site(b, bad) => {
                let written = match bad {
                    true => self.balancers[*b].folder.spoil(),
                    false => self.write_site(*b),
                };
                if let Err(e) = written {
                    self.notes.push(format!("b{}: its site: {e}", b + 1));
                }
                self.signal(*b, Signal::HUP);
            }
            Act::Twin(b) => match self.spawn(*b) {
                Ok(twin) => drop(self.twins.insert(twin.number, (*b, twin))),
                Err(e) => self.notes.push(format!("the twin of b{} can't start: {e}", b + 1)),
            },
            Act::Stale(b, stale) => {
                self.balancers[*b].stale = *stale;
                if !stale {
                    self.list_now(*b);
                }
            }
            Act::HalfList(b, half) => {
                self.balancers[*b].half = *half;
                self.list_now(*b);
            }
            Act::ListLate(b, late) => self.balancers[*b].late = *late,
            Act::Clock(b, by) => {
                self.balancers[*b].clock = *by;
                self.list_now(*b);
            }
            Act::WallClock(b, by) => self.balancers[*b].wall_clock = *by,
            Act::NodeStop(n) => self.nodes[*n].stop(),
            Act::NodeStart(n) => {
                self.nodes[*n].restart();
                self.truth[*n].started = Some(SystemTime::now());
                self.publish();
            }
            Act::NodePause(n, time) => {
                self.nodes[*n].pause(Duration::from_micros(*time as u64));
            }
            Act::NodeFault(n, class, fault) => self.nodes[*n].fault(*class, *fault),
            Act::NodeShare(n, share) => self.nodes[*n].neighbours(*share),
            Act::NodeDrain(n, drains) => {
                self.truth[*n].drains = *drains;
                self.publish();
            }
            Act::NodeListed(n, listed) => {
                self.truth[*n].listed = *listed;
                self.publish();
            }
            Act::Link { balancer, node, there, back } => {
                self.links[*balancer][*node].set(*there, *back);
            }
            Act::Peers { from, to, quality } => {
                if let Some(talk) = &self.talk {
                    talk.net.set(Pair { from: *from, to: *to }, *quality);
                }
            }
            Act::Load(_) => {}
        }
        self.look_at_nodes();
    }

    /// Nodes that came or went change what new connections to them meet.
    fn look_at_nodes(&mut self) {
        for (n, node) in self.nodes.iter().enumerate() {
            let phase = node.look(|node| node.phase());
            if std::mem::replace(&mut self.phases[n], phase) != phase {
                self.links.iter().for_each(|row| row[n].refresh());
            }
        }
    }

    fn holds(&self, step: &Step) -> bool {
        let b = match step.act {
            Act::Link { balancer, node, .. } => return self.nodes[node].holds_effect(balancer),
            Act::Kill(b) | Act::Term(b) | Act::Freeze(b) | Act::HangUp(b) | Act::Site(b, _) => b,
            // Of others no single balancer is meant.
            _ => return true,
        };
        self.nodes.iter().any(|node| node.holds_effect(b))
    }

    async fn conditions(&mut self) {
        let now = Instant::now();
        let pending = std::mem::take(&mut self.pending);
        let (done, left): (Vec<_>, Vec<_>) =
            pending.into_iter().partition(|(step, ..)| self.holds(step));
        self.pending = left;
        for (step, _, end) in done {
            self.act(&step.act).await;
            if let Some(end) = end {
                let time = Duration::from_micros((end.at - step.at).max(0) as u64);
                self.later.push((now + time, end));
            }
        }
        let due: Vec<_> = self.later.extract_if(.., |(due, _)| *due <= now).collect();
        for (_, step) in &due {
            self.act(&step.act).await;
        }
        // Once for each: a reader of the notes sees why so little has happened.
        for (step, since, _) in &mut self.pending {
            if now.duration_since(*since) > CONDITION_WITHIN {
                *since = now + Duration::from_secs(86_400);
                self.notes.push(format!("{} waits for its condition", step.act));
            }
        }
    }

    // ------------------------------------------------------------ the run

    fn sample(&mut self) {
        let now = Instant::now();
        let gap = now.saturating_duration_since(self.sampled).as_micros() as f64;
        self.sampled = now;
        let at = self.micros(now);
        for (n, node) in self.nodes.iter().enumerate() {
            let present = node.present();
            let (sent, here, capacity) =
                node.look(|node| (node.sent(), node.here(), node.nature().shape.capacity()));
            let bears = (capacity * present * gap).max(1.0);
            let row = NodeRow {
                at,
                sent: (sent - self.sent[n]) / bears,
                present,
                here,
                up: self.phases[n] == Phase::Up,
            };
            self.sent[n] = sent;
            self.facts.nodes[n].push(row);
        }
        if self.talk.is_some() {
            let acts = |b: &&(usize, &Balancer)| b.1.life == Life::Up && !b.1.frozen;
            let acting: Vec<_> = self.balancers.iter().enumerate().collect();
            let acting: Vec<_> = acting.iter().filter(acts).collect();
            let digest = |b: usize| self.statuses[b].as_ref()?.pointer("/fleet/digest");
            let views: HashSet<_> =
                acting.iter().filter_map(|(b, _)| digest(*b)?.as_str()).collect();
            let parts = acting.iter().map(|(_, balancer)| balancer.part).sum();
            let row = FleetRow { at, running: acting.len(), parts, views: views.len() };
            let running = acting.len() as u64;
            let agrees = |b: usize| {
                let number = |path| self.statuses[b].as_ref()?.pointer(path)?.as_u64();
                number("/fleet/hears") == Some(running)
                    && number("/fleet/part/balancers") == Some(running)
            };
            let agreed = views.len() == 1 && acting.iter().all(|(b, _)| agrees(*b));
            self.agreed = if agreed { self.agreed.or(Some(now)) } else { None };
            self.fleet.push(row);
        }
        // Each says of itself what can't be seen from outside. An older program may not know the signal,
        // and would end.
        let ask = self.talk.is_some() || self.samples.is_multiple_of(ASK_EVERY);
        self.samples += 1;
        for balancer in &mut self.balancers {
            let own = balancer.binary.is_none() && balancer.agent.is_none() && self.options.own();
            if let Some(child) = &balancer.child
                && ask
                && own
                && balancer.life == Life::Up
            {
                child.signal(Signal::USR1);
            }
            // What was stopped waits for no core.
            if balancer.life != Life::Up || balancer.frozen {
                continue;
            }
            let scheduled = balancer.child.as_ref().and_then(Child::scheduled);
            let (Some((from, base)), Some((_, waited))) = (balancer.judged_from, scheduled) else {
                continue;
            };
            let ran = now.saturating_duration_since(from);
            if ran >= JUDGED_AFTER {
                let waited = waited.saturating_sub(base) as f64;
                self.starved = self.starved.max(waited / ran.as_nanos() as f64);
            }
        }
    }

    async fn run(
        &mut self,
        tells: &mut UnboundedReceiver<Told>,
        progress: &Progress,
        over: impl Fn() -> bool,
    ) {
        let bar = self.bar();
        let mut steps: VecDeque<Step> = self.timeline.steps.clone().into();
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut next_sample = self.start + SAMPLE;
        while !(steps.is_empty() && self.later.is_empty() && over() && self.agrees()) {
            let due = steps.front().map(|step| self.start + Duration::from_micros(step.at as u64));
            let next = async {
                match due {
                    Some(due) => sleep_until(due.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = next => {
                    if let Some(step) = steps.pop_front() {
                        match step.when {
                            None => self.act(&step.act).await,
                            Some(_) => {
                                let ends = |s: &Step| s.ends && s.pair == step.pair;
                                let at = steps.iter().position(ends);
                                let end = at.and_then(|at| steps.remove(at));
                                self.pending.push((step, Instant::now(), end));
                            }
                        }
                    }
                }
                told = tells.recv() => {
                    if let Some((number, said)) = told {
                        self.hear(number, said).await;
                    }
                }
                _ = ticks.tick() => {
                    self.lists_due();
                    self.conditions().await;
                    self.look_at_nodes();
                    let now = Instant::now();
                    if now >= next_sample {
                        self.sample();
                        next_sample = now + SAMPLE;
                        if let Some(bar) = &bar {
                            bar.set_position((self.now().max(0) / MS) as u64);
                            let [sent, served] = [&progress.sent, &progress.served]
                                .map(|n| n.load(Ordering::Relaxed));
                            bar.set_message(format!("{sent} tries, {served} served"));
                        }
                    }
                }
            }
        }
        if let Some(bar) = bar {
            bar.finish_and_clear();
        }
    }

    /// Whether all agree that are expected to, or no longer can in time.
    fn agrees(&self) -> bool {
        let Some(within) = self.script.expect.agree_within else { return true };
        let last = self.timeline.faults().map_or(0, |(_, last)| last);
        self.agreed.is_some() || self.now() > last + within
    }

    fn bar(&self) -> Option<ProgressBar> {
        let bar =
            self.options.progress.then(|| ProgressBar::new((self.script.length / MS) as u64))?;
        let style = ProgressStyle::with_template("{bar:40} {percent:>3}%  {msg}");
        if let Ok(style) = style {
            bar.set_style(style);
        }
        Some(bar)
    }

    /// Ends all processes, as planned.
    async fn finish(&mut self, tells: &mut UnboundedReceiver<Told>) {
        self.ending = true;
        self.twins.clear();
        for b in 0..self.balancers.len() {
            self.thaw(b);
            let balancer = &mut self.balancers[b];
            if balancer.child.is_some() && balancer.life != Life::Killed {
                balancer.life = Life::Ending;
                self.signal(b, Signal::TERM);
            }
        }
        let longest = self.script.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let until = Instant::now() + Duration::from_micros(longest as u64) + ENDS_WITHIN;
        while self.balancers.iter().any(|b| b.child.is_some()) {
            let left = until.saturating_duration_since(Instant::now());
            match timeout(left, tells.recv()).await {
                Ok(Some((number, said))) => self.hear(number, said).await,
                _ => break,
            }
        }
        for b in 0..self.balancers.len() {
            if self.balancers[b].child.take().is_some() {
                let at = self.now();
                let how = format!("it does not end at SIGTERM{}", self.log_of(b));
                self.facts.crashes.push((b, at, how));
            }
        }
    }

    /// The facts that are left to gather.
    fn gather(&mut self, arrivals: &[sableloom_rehearsal::Arrival]) {
        self.facts.agreed = self.agreed.map(|at| self.micros(at));
        self.facts.arrivals = arrivals.iter().map(|a| (a.at, a.class, a.zone)).collect();
        for b in 0..self.balancers.len() {
            if let Some(from) = self.balancers[b].out_since.take() {
                let from = self.micros(from);
                self.facts.outages.push(Outage { balancer: b, from, to: i64::MAX / 2 });
            }
        }
        for ((balancer, node), from) in self.drains.drain() {
            self.facts.drains.push(Drain { balancer, node, from, to: i64::MAX });
        }
        for n in 0..self.nodes.len() {
            let node = self.nodes[n].clone();
            for arrival in node.arrivals() {
                let at = self.micros(arrival.at);
                let (id, from) = (arrival.id, arrival.from);
                self.facts.arrived.push(Arrived { id, node: n, from, at });
            }
            node.look(|node| {
                for (id, times) in node.runs() {
                    *self.facts.runs.entry(id.clone()).or_default() += times;
                }
                self.facts.peaks.push(node.peak());
                self.facts.falls.push(node.falls());
            });
        }
        // Threads told theirs one after the other.
        self.facts.tries.sort_by_key(|one| one.ended);
    }
}
