//! A simulation in discrete events: clients, balancers with the real policy, the network, model servers,
//! their list, and a script of faults. Everything is drawn from one seed.

mod attempts;
mod balancers;
mod event;
mod requests;
mod script;
mod servers;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::rc::Rc;

use event::{Event, Item};
use oorandom::Rand64;
use sableloom_emulator::{Completion, Node, kind};
use sableloom_policy::Balancer;
use sableloom_types::{
    Action, Endpoint, EndpointStatus, ListKind, Outcome, PolicySettings, Span, Time,
};
use servers::{capacity_of, profile};

use crate::case::{Case, MS, S};
use crate::settings::{mean_work, settings};
use crate::tally::{End, Tally};

/// One-way network delay within a zone, in microseconds.
const DELAY_WITHIN_ZONE: f64 = 150.0;
/// One-way network delay between zones, in microseconds.
const DELAY_ACROSS_ZONES: f64 = 1000.0;

/// The load-balancing policy of a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chooser {
    /// The policy, one instance for each balancer.
    Sableloom,
    /// A random server of the list; nothing is refused.
    Random,
    /// A baseline that knows the true state of every server at any time, and refuses what no server
    /// could serve in time. No real balancer can do this.
    Omniscient,
}

struct RequestState {
    balancer: usize,
    class: usize,
    arrived: Time,
    work: f64,
    wait: Span,
    attempts: Vec<usize>,
    end: Option<End>,
    /// When the client first sent this request.
    first: Time,
    /// The number of the retry; 0 for the first try.
    time: u32,
}

struct Attempt {
    request: usize,
    index: usize,
    server: usize,
    server_generation: u32,
    sent: Time,
    ended: Option<Outcome>,
    /// Whether it uses a new connection.
    fresh: bool,
}

struct Server {
    node: Node<usize>,
    zone: u32,
    kind: u32,
    status: EndpointStatus,
    /// Whether its machine is reachable.
    up: bool,
    /// Incremented by each crash: connections of an earlier generation are closed.
    generation: u32,
    started: Option<Time>,
    version: u64,
}

struct BalancerSlot {
    policy: Option<Balancer>,
    zone: u32,
    generation: u32,
    traffic_weight: f64,
    server_list: Rc<Vec<Endpoint>>,
}

/// One play of a case.
pub struct World {
    case: Case,
    settings: PolicySettings,
    chooser: Chooser,
    rng: Rand64,
    now: Time,
    seq: u64,
    queue: BinaryHeap<Reverse<Item>>,
    balancers: Vec<BalancerSlot>,
    servers: Vec<Server>,
    partitioned_zones: Vec<u32>,
    requests: Vec<RequestState>,
    attempts: Vec<Attempt>,
    /// Idle connections by balancer and server: the server's generation, and since when each is idle.
    idle: HashMap<(usize, usize), (u32, Vec<Time>)>,
    done: Vec<Completion>,
    /// Servers that crashed from overload and were not started since.
    crashed_servers: HashSet<usize>,
    /// Requests per microsecond at load 1.
    full_rate: f64,
    load: f64,
    tally: Tally,
    actions: Vec<Action>,
}

impl World {
    /// Plays the case to its end.
    pub fn play(case: &Case, chooser: Chooser, seed: u64) -> Tally {
        let mut world = Self::new(case, chooser, seed);
        let end = world.now.plus(Span(case.seconds * S));
        while let Some(Reverse(Item(at, _, event))) = world.queue.pop() {
            // Requests that are open at the last arrival have this time to end.
            if at > end.plus(Span(2 * S)) {
                break;
            }
            world.now = at;
            world.handle(event, end);
        }
        world.finish()
    }

    fn new(case: &Case, chooser: Chooser, seed: u64) -> Self {
        let settings = settings(case);
        let now = Time(1000 * S);
        let mut rng = Rand64::new(u128::from(seed) + 1);
        let servers: Vec<Server> = (0..case.servers)
            .map(|i| Server {
                node: Node::new(profile(case, &settings, capacity_of(case, &mut rng, i)), 2, now),
                zone: (i % case.zones) as u32,
                kind: if case.kinds { kind(i) as u32 } else { 0 },
                status: EndpointStatus::Live,
                up: true,
                generation: 0,
                started: None,
                version: 0,
            })
            .collect();
        let capacity: f64 = servers.iter().map(|p| p.node.profile().capacity.work_rate()).sum();
        let list: Rc<Vec<Endpoint>> = Rc::new(Vec::new());
        let balancers = (0..case.balancers)
            .map(|i| BalancerSlot {
                policy: None,
                zone: (i % case.zones) as u32,
                generation: 0,
                traffic_weight: if i < case.hot.0 { case.hot.1 } else { 1.0 },
                server_list: list.clone(),
            })
            .collect();
        let mut world = Self {
            case: case.clone(),
            settings,
            chooser,
            rng,
            now,
            seq: 0,
            queue: BinaryHeap::new(),
            balancers,
            servers,
            partitioned_zones: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            idle: HashMap::new(),
            done: Vec::new(),
            crashed_servers: HashSet::new(),
            full_rate: capacity / mean_work(),
            load: case.load,
            tally: Tally::new(now, case.seconds),
            actions: Vec::new(),
        };
        for i in 0..case.script.len() {
            world.schedule_at(now.plus(Span(case.script[i].0 * MS)), Event::Change(i));
        }
        let list = world.list();
        for balancer in 0..case.balancers {
            world.start_balancer(balancer, list.clone());
        }
        world.schedule_at(now.plus(Span(10 * MS)), Event::Arrive);
        world
    }

    fn schedule_at(&mut self, at: Time, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse(Item(at.max(self.now), self.seq, event)));
    }

    fn schedule_after(&mut self, us: f64, event: Event) {
        self.schedule_at(self.now.plus(Span(us as i64)), event);
    }

    fn handle(&mut self, event: Event, end: Time) {
        match event {
            Event::Arrive => self.arrive(end),
            Event::Timer { balancer, generation, token } => {
                if self.balancers[balancer].generation == generation {
                    self.notify(balancer, |m, now, out| m.timer_fired(now, token, out));
                }
            }
            Event::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            Event::AdvanceNode { server, version } => {
                if self.servers[server].version == version {
                    self.with_node(server, |node, now, out| node.advance(now, out));
                }
            }
            Event::Retry(id) => {
                let RequestState { balancer, class, work, first, time, .. } = self.requests[id];
                let zone = self.balancers[balancer].zone;
                let balancer = self.pick_balancer(Some(zone));
                self.submit(balancer, class, work, first, time + 1);
            }
            Event::AttemptEnds { attempt, outcome } => self.attempt_ends(attempt, outcome),
            Event::AttemptTimeout(attempt) => self.attempt_ends(attempt, Outcome::Timeout),
            Event::ListArrives { balancer, list } => {
                self.balancers[balancer].server_list = list.clone();
                self.notify(balancer, |m, now, out| {
                    m.update_endpoints(now, ListKind::Full, &list, out)
                });
            }
            Event::Change(i) => {
                let change = self.case.script[i].1.clone();
                self.change(change);
            }
            Event::ReplaceServer(i) => self.replace_server(i),
            Event::ZoneRestored { zone, partition: true } => {
                self.partitioned_zones.retain(|z| *z != zone)
            }
            Event::ZoneRestored { zone, partition: false } => {
                for i in 0..self.servers.len() {
                    if self.servers[i].zone == zone {
                        self.start_server(i);
                    }
                }
                self.publish();
            }
        }
    }

    fn finish(mut self) -> Tally {
        for (id, request_state) in self.requests.iter().enumerate() {
            if request_state.end.is_none() {
                self.tally.broken.push(format!("request {id} has no answer"));
            }
        }
        let mut runs: HashMap<usize, u32> = HashMap::new();
        for server_state in &self.servers {
            let multiple = server_state.node.profile().overload_factor;
            self.tally.excess = self.tally.excess.max(server_state.node.excess());
            self.tally.pushed =
                self.tally.pushed.max(server_state.node.peak_load_factor() / multiple);
            for (id, times) in server_state.node.executions() {
                *runs.entry(*id).or_default() += times;
            }
        }
        let mut twice: Vec<_> = runs.into_iter().filter(|(_, times)| *times > 1).collect();
        twice.sort_unstable();
        let messages = twice.iter().map(|(id, n)| format!("unsafe request {id} ran {n} times"));
        self.tally.broken.extend(messages);
        self.tally
    }
}
