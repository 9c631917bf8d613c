//! What a play needs before its first process starts: nodes, links, folders, addresses.

use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use oorandom::Rand64;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use sableloom_emulator::Phase;
use sableloom_rehearsal::{Arrival, Facts, Idempotency, Lists, Script, Timeline};
use sableloom_stand_ins::{Agent, Class as NodeClass, Options as NodeOptions, Shell};
use tokio::sync::mpsc::UnboundedSender;

use super::{Balancer, Options, Play, ProcessState, RegisteredNode};
use crate::clients::{Class, LoadGenerator, Progress};
use crate::endpoints::Endpoints;
use crate::error::PlayError;
use crate::listener_gate::reserve_port;
use crate::net::Link;
use crate::process::ProcessMessage;
use crate::site::Folder;

/// Descriptors of this process besides links and connections.
const DESCRIPTORS_OTHER: u64 = 200;

/// Raises the limit of descriptors as far as the system permits; an error if that is not enough.
pub(super) fn ensure_descriptors(script: &Script) -> Result<(), PlayError> {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let (balancers, nodes) = (script.fleet.balancers, script.nodes.count);
    let pairs = (balancers * nodes) as u64;
    // For each pair a gate and its listener, and for some both ends of a connection.
    let peer_network = if script.fleet.members { balancers.pow(2) as u64 } else { 0 };
    let needed = pairs * 4 + peer_network + DESCRIPTORS_OTHER;
    let granted = maximum.unwrap_or(u64::MAX);
    if granted < needed {
        return Err(PlayError::TooFewDescriptors { balancers, nodes, needed, granted });
    }
    if current.is_none_or(|now| now < granted) {
        let all = Rlimit { current: maximum, maximum };
        setrlimit(Resource::Nofile, all)
            .map_err(|errno| PlayError::io("descriptors")(errno.into()))?;
    }
    Ok(())
}

/// Starts the nodes.
fn start_nodes(script: &Script, seed: u64) -> Vec<Rc<Shell>> {
    let classes: Vec<NodeClass> = script
        .classes
        .iter()
        .map(|class| NodeClass {
            name: class.name.clone(),
            work: class.work,
            spread: class.spread,
            wait: Duration::from_micros(class.wait as u64),
            effect: class.idempotency == Idempotency::NonIdempotent,
        })
        .collect();
    let node = |i: usize| {
        Shell::start(NodeOptions {
            name: format!("n{}", i + 1),
            profile: script.nodes.profiles[i],
            classes: classes.clone(),
            seed: seed.wrapping_mul(31).wrapping_add(i as u64),
        })
    };
    let nodes: Vec<Rc<Shell>> = (0..script.nodes.count).map(node).collect();
    if script.nodes.cold {
        nodes.iter().for_each(|node| node.restart());
    }
    nodes
}

/// Starts a link from each balancer to each node.
fn start_links(
    script: &Script,
    nodes: &[Rc<Shell>],
    seed: u64,
) -> Result<Vec<Vec<Rc<Link>>>, PlayError> {
    let mut links = Vec::new();
    for b in 0..script.fleet.balancers {
        let link = |(n, node): (usize, &Rc<Shell>)| {
            let seed = seed.wrapping_mul(65_537).wrapping_add((b * nodes.len() + n) as u64);
            Link::start(b, node.clone(), seed)
        };
        let row: Result<Vec<_>, _> = nodes.iter().enumerate().map(link).collect();
        links.push(row.map_err(PlayError::io("a link"))?);
    }
    Ok(links)
}

/// A balancer with its folder and its address, whose process is not started yet.
fn prepare_balancer(
    script: &Script,
    timeline: &Timeline,
    options: &Options,
    b: usize,
) -> Result<Balancer, PlayError> {
    let path = options.out.join(format!("b{}", b + 1));
    let folder = Folder::new(path.clone()).map_err(PlayError::io(path.display().to_string()))?;
    let (held, address) = reserve_port().map_err(PlayError::io("a free port"))?;
    let mut announced = script.fleet.announced;
    let mut binary = None;
    for special in &script.processes {
        if timeline.groups[special.group].contains(&b) {
            announced = special.announced.unwrap_or(announced);
            binary = special.binary.clone().or(binary);
        }
    }
    Ok(Balancer {
        state: ProcessState::Down,
        process: None,
        binary,
        address,
        _held: held,
        folder,
        agent: match script.fleet.lists {
            Lists::Files => None,
            Lists::Discovery => Some(Agent::start(&[]).map_err(PlayError::io("an agent"))?),
        },
        announced,
        start_again: false,
        pending_loss: None,
        frozen: false,
        unavailable_since: None,
        log: VecDeque::new(),
        list_held_back: false,
        list_truncated: false,
        site_refused: false,
        list_refused: false,
        unanswered_hangup: None,
        list_delay: script.nodes.list_late,
        clock_offset: 0,
        wall_clock_offset: 0,
        capacity_share: 0.0,
        judged_from: None,
    })
}

impl<'s> Play<'s> {
    /// Starts the nodes and links, and prepares the balancers.
    pub(super) fn prepare(
        script: &'s Script,
        timeline: &'s Timeline,
        options: &'s Options,
        events: UnboundedSender<ProcessMessage>,
    ) -> Result<Self, PlayError> {
        let seed = options.seed;
        let nodes = start_nodes(script, seed);
        let links = start_links(script, &nodes, seed)?;
        let balancers = (0..script.fleet.balancers)
            .map(|b| prepare_balancer(script, timeline, options, b))
            .collect::<Result<Vec<_>, _>>()?;
        let addresses: Vec<_> = balancers.iter().map(|b| b.address).collect();
        let notice = Duration::from_micros(script.clients.notice as u64);
        let zones = script.fleet.zones.len();
        let started = script.nodes.cold.then(SystemTime::now);
        let registered = || RegisteredNode { started, drains: false, listed: true };
        Ok(Self {
            endpoints: Endpoints::new(&addresses, zones, notice, script.load.uneven),
            registry: nodes.iter().map(|_| registered()).collect(),
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
            peer_network: None,
            fleet: Vec::new(),
            agreed: None,
            events,
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

    pub(super) fn generator(&self, arrivals: Arc<Vec<Arrival>>) -> LoadGenerator {
        let classes = self.script.classes.iter().map(|class| Class {
            name: class.name.clone(),
            deadline: Duration::from_micros(class.deadline as u64),
            idempotency: class.idempotency,
        });
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        LoadGenerator {
            arrivals,
            classes: Arc::new(classes.collect()),
            clients: self.script.clients,
            slack: Duration::from_micros(self.script.machine.slack as u64),
            endpoints: self.endpoints.clone(),
            start: self.start,
            run: unix.as_millis() as u64 & 0xffff_ffff,
            progress: Arc::new(Progress::default()),
        }
    }
}
