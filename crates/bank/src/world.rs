//! The bank in simulated time: clients, balancers with the real decision module, the network, model
//! servers, the list of them, and a script of what goes wrong. One seed makes all of it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

use oorandom::Rand64;
use sableloom_policy::decide::Balancer;
use sableloom_types::*;

use crate::case::{Case, Change, MS, S};
use crate::server::{Job, Server, Shape};
use crate::tally::{End, Tally};

/// A connection that is not up by then has failed.
const CONNECT: Span = Span(120 * MS);
/// One way within a zone, and to another.
const NEAR: f64 = 150.0;
const FAR: f64 = 1000.0;

/// Who chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chooser {
    /// The decision module, one instance a balancer.
    Sableloom,
    /// Any server of the list by lot; nothing is refused.
    Random,
    /// One that sees the true state of every server at every moment, and refuses what none could
    /// serve in time. No real balancer can.
    Seeing,
}

/// The classes that the bank serves: `balance` may be repeated, `redeem` must never run twice.
pub fn settings(case: &Case) -> Settings {
    let class = |aim: i64, worth, effect| Class {
        aim: Span(aim * MS),
        deadline: Span(600 * MS),
        worth,
        late_worth: 0.0,
        effect,
        group: Group::All,
        window: Span(0),
    };
    Settings {
        classes: vec![class(250, 3.0, Effect::Safe), class(300, 9.0, Effect::Unsafe)],
        tenants: vec![],
        balancers: case.balancers as u32,
        zone: 0,
        tick: Span(5 * MS),
        must_ask: false,
        limits: Limits {
            max_attempts: 4,
            second_copies: true,
            cancel: true,
            probes: false,
            retry_after: true,
            max_retry_after: Span(300 * MS),
        },
        rules: Rules {
            cold_from: 0.2,
            cold: Span(15 * S),
            fall_multiple: 3.0,
            tip_after: Span(1500 * MS),
            ask_every: Span(10 * S),
        },
        cross_zone_price: 0.0,
        warm_keys: false,
        t_qos: None,
    }
}

/// Work of each class in microseconds of a core of speed 1, and its wait for other systems.
const WORK: [(f64, f64); 2] =
    [(40.0 * MS as f64, 30.0 * MS as f64), (48.0 * MS as f64, 70.0 * MS as f64)];
/// Share of the requests that are of the first class.
const SAFE: f64 = 0.75;

#[derive(Debug)]
enum Event {
    Arrive,
    Timer { balancer: usize, life: u32, token: u64 },
    Reach(usize),
    Worked { server: usize, version: u64 },
    Waited { server: usize, life: u32, attempt: usize },
    Back { attempt: usize, outcome: Outcome },
    Expire(usize),
    Told { balancer: usize, list: Rc<Vec<Member>> },
    Script(usize),
    Up(usize),
    Zone { zone: u32, cut: bool },
}

struct Item(Time, u64, Event);

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Item {}
impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Asked {
    balancer: usize,
    class: usize,
    arrived: Time,
    work: f64,
    wait: Span,
    attempts: Vec<usize>,
    runs: u32,
    end: Option<End>,
}

struct Attempt {
    request: usize,
    index: usize,
    server: usize,
    server_life: u32,
    sent: Time,
    ended: Option<Outcome>,
    began: bool,
}

struct Place {
    server: Server,
    zone: u32,
    kind: u32,
    status: Status,
    /// Its process runs and can be reached.
    up: bool,
    life: u32,
    started: Option<Time>,
    version: u64,
    /// Share of its answers that are errors, and how many times slower than built.
    failing: f64,
    slower: f64,
    class_slower: [f64; 2],
    /// Work that began here in the last windows, against what it could do: the cold rule.
    pushed: Vec<(Time, f64)>,
}

struct Front {
    mind: Option<Balancer>,
    zone: u32,
    life: u32,
    part: f64,
    told: Rc<Vec<Member>>,
}

/// One play of a case.
pub struct World {
    case: Case,
    settings: Settings,
    chooser: Chooser,
    rng: Rand64,
    now: Time,
    seq: u64,
    queue: BinaryHeap<Reverse<Item>>,
    fronts: Vec<Front>,
    places: Vec<Place>,
    cut: Vec<u32>,
    asked: Vec<Asked>,
    attempts: Vec<Attempt>,
    /// Requests a microsecond at load 1.
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
            // After the last arrival all that is open comes to its end.
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
        let places: Vec<Place> = (0..case.servers)
            .map(|i| Place {
                server: Server::new(shape(case, &mut rng, i), now),
                zone: (i % case.zones) as u32,
                kind: kind(case, i),
                status: Status::Live,
                up: true,
                life: 0,
                started: None,
                version: 0,
                failing: 0.0,
                slower: 1.0,
                class_slower: [1.0; 2],
                pushed: Vec::new(),
            })
            .collect();
        let capacity: f64 = places.iter().map(|p| p.server.shape().capacity()).sum();
        let mean = SAFE * WORK[0].0 + (1.0 - SAFE) * WORK[1].0;
        let list: Rc<Vec<Member>> = Rc::new(Vec::new());
        let fronts = (0..case.balancers)
            .map(|i| Front {
                mind: None,
                zone: (i % case.zones) as u32,
                life: 0,
                part: if i < case.hot.0 { case.hot.1 } else { 1.0 },
                told: list.clone(),
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
            fronts,
            places,
            cut: Vec::new(),
            asked: Vec::new(),
            attempts: Vec::new(),
            full_rate: capacity / mean,
            load: case.load,
            tally: Tally::new(now, case.seconds),
            actions: Vec::new(),
        };
        for i in 0..case.script.len() {
            world.at(now.plus(Span(case.script[i].0 * MS)), Event::Script(i));
        }
        let list = world.list();
        for balancer in 0..case.balancers {
            world.born(balancer, list.clone());
        }
        world.at(now.plus(Span(10 * MS)), Event::Arrive);
        world
    }

    fn at(&mut self, at: Time, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse(Item(at.max(self.now), self.seq, event)));
    }

    fn after(&mut self, us: f64, event: Event) {
        self.at(self.now.plus(Span(us as i64)), event);
    }

    // ------------------------------------------------------------ balancers and lists

    fn list(&self) -> Rc<Vec<Member>> {
        let member = |(i, p): (usize, &Place)| Member {
            id: ServerId(i as u32),
            identity: i as u64 * 7919,
            zone: p.zone,
            kind: p.kind,
            cell: 0,
            status: p.status,
            weight: 1.0,
            started: p.started,
        };
        let listed = self.places.iter().enumerate().filter(|(_, p)| p.status != Status::Gone);
        Rc::new(listed.map(member).collect())
    }

    fn born(&mut self, balancer: usize, list: Rc<Vec<Member>>) {
        let seed = self.rng.rand_u64();
        let front = &mut self.fronts[balancer];
        front.told = list.clone();
        if self.chooser != Chooser::Sableloom {
            return;
        }
        let settings = Settings { zone: front.zone, ..self.settings.clone() };
        let mut mind = Balancer::new(settings, seed, self.now).expect("settings are sound");
        mind.start(self.now, &mut self.actions);
        mind.members(self.now, ListKind::Whole, &list, &mut self.actions);
        front.mind = Some(mind);
        self.obey(balancer);
    }

    /// All balancers hear of the list, each when it does.
    fn publish(&mut self) {
        let list = self.list();
        for balancer in 0..self.fronts.len() {
            let late = self.rng.rand_float() * self.case.late_ms as f64 * MS as f64;
            self.after(late, Event::Told { balancer, list: list.clone() });
        }
    }

    // ------------------------------------------------------------ requests

    fn arrive(&mut self, end: Time) {
        if self.now < end {
            let gap = -(self.rng.rand_float().max(1e-12)).ln() / (self.full_rate * self.load);
            self.after(gap, Event::Arrive);
        } else {
            return;
        }
        let total: f64 = self.fronts.iter().map(|f| f.part).sum();
        let mut lot = self.rng.rand_float() * total;
        let last = self.fronts.len() - 1;
        let balancer = (0..last).find(|&b| {
            lot -= self.fronts[b].part;
            lot < 0.0
        });
        let balancer = balancer.unwrap_or(last);
        let class = usize::from(self.rng.rand_float() >= SAFE);
        let spread = self.noise(0.5);
        let id = self.asked.len();
        let drop_dead = self.now.plus(self.settings.classes[class].deadline);
        self.asked.push(Asked {
            balancer,
            class,
            arrived: self.now,
            work: WORK[class].0 * spread,
            wait: Span::of(WORK[class].1),
            attempts: Vec::new(),
            runs: 0,
            end: None,
        });
        match self.chooser {
            Chooser::Sableloom => {
                let request =
                    Request { id: RequestId(id as u64), class, tenant: 0, key: None, drop_dead };
                self.tell(balancer, |m, now, out| m.request(now, request, out));
            }
            _ => self.choose(id),
        }
    }

    /// Log-normal with mean 1 and this coefficient of variation.
    fn noise(&mut self, cv: f64) -> f64 {
        let (a, b) = (self.rng.rand_float().max(1e-12), self.rng.rand_float());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let var = (1.0 + cv * cv).ln();
        (normal * var.sqrt() - var / 2.0).exp()
    }

    /// For the baselines: sends the request on, or ends it.
    fn choose(&mut self, id: usize) {
        let asked = &self.asked[id];
        let aim_at = asked.arrived.plus(self.settings.classes[asked.class].aim);
        let left = aim_at.since(self.now);
        if left.0 <= 0 || asked.attempts.len() >= self.settings.limits.max_attempts {
            return self.finished(id, End::Failed);
        }
        let server = match self.chooser {
            Chooser::Random => {
                let told = self.fronts[asked.balancer].told.clone();
                let live: Vec<_> = told.iter().filter(|m| m.status == Status::Live).collect();
                let lot = self.rng.rand_float() * live.len() as f64;
                live.get(lot as usize).map(|m| m.id.0 as usize)
            }
            _ => self.soonest(id, left),
        };
        match server {
            Some(server) => self.send(id, server, left),
            None => self.finished(id, End::Refused),
        }
    }

    /// The server that would answer soonest, if it would in time.
    fn soonest(&mut self, id: usize, left: Span) -> Option<usize> {
        let (now, asked) = (self.now, &self.asked[id]);
        let zone = self.fronts[asked.balancer].zone;
        let mut best: Option<(usize, f64)> = None;
        for (i, p) in self.places.iter().enumerate() {
            let seen = p.status == Status::Live && p.up && !self.cut_between(zone, p.zone);
            if !seen || p.failing > 0.2 {
                continue;
            }
            let speed = p.server.shape().speed * self.share(now, p) / p.class_slower[asked.class];
            let crowd = ((p.server.here() + 1) as f64 / p.server.shape().cores).max(1.0);
            let takes = WORK[asked.class].0 * crowd / speed + asked.wait.f() + 2.0 * FAR;
            if best.is_none_or(|(_, t)| takes < t) {
                best = Some((i, takes));
            }
        }
        best.filter(|&(_, takes)| takes < left.f() * 0.9).map(|(i, _)| i)
    }

    fn send(&mut self, id: usize, server: usize, timeout: Span) {
        let attempt = self.attempts.len();
        let asked = &mut self.asked[id];
        let (zone, index) = (self.fronts[asked.balancer].zone, asked.attempts.len());
        asked.attempts.push(attempt);
        let place = &self.places[server];
        let server_life = place.life;
        let (up, there) = (place.up, place.zone);
        self.attempts.push(Attempt {
            request: id,
            index,
            server,
            server_life,
            sent: self.now,
            ended: None,
            began: false,
        });
        self.tally.attempts += 1;
        if up && !self.cut_between(zone, there) {
            let way = self.way(zone, there);
            self.after(way, Event::Reach(attempt));
        } else {
            self.after(CONNECT.f(), Event::Back { attempt, outcome: Outcome::ConnectFailed });
        }
        self.after(timeout.f(), Event::Expire(attempt));
    }

    fn cut_between(&self, a: u32, b: u32) -> bool {
        a != b && (self.cut.contains(&a) || self.cut.contains(&b))
    }

    fn way(&mut self, a: u32, b: u32) -> f64 {
        (if a == b { NEAR } else { FAR }) * (0.9 + 0.2 * self.rng.rand_float())
    }

    // ------------------------------------------------------------ servers

    /// Share of its speed that a server has: it warms evenly, and may be slower than built.
    fn share(&self, now: Time, p: &Place) -> f64 {
        self.present(now, p) / p.slower
    }

    fn present(&self, now: Time, p: &Place) -> f64 {
        let rules = &self.settings.rules;
        p.started.map_or(1.0, |started| {
            let grown = now.since(started).f() / rules.cold.f();
            (rules.cold_from + (1.0 - rules.cold_from) * grown).clamp(rules.cold_from, 1.0)
        })
    }

    fn advance(&mut self, server: usize) {
        let share = self.share(self.now, &self.places[server]);
        self.places[server].server.advance(self.now, share);
    }

    /// Sets when this server is next looked at.
    fn plan(&mut self, server: usize) {
        let place = &mut self.places[server];
        place.version += 1;
        let version = place.version;
        if let Some(at) = place.server.next() {
            self.at(at, Event::Worked { server, version });
        }
    }

    fn reach(&mut self, attempt: usize) {
        let Attempt { request, server, server_life, .. } = self.attempts[attempt];
        let zone = self.fronts[self.asked[request].balancer].zone;
        let place = &self.places[server];
        if !place.up || place.life != server_life || self.cut_between(zone, place.zone) {
            // It went while the request was on its way.
            let outcome = Outcome::Reset;
            return self.after(NEAR, Event::Back { attempt, outcome });
        }
        let back = self.way(zone, self.places[server].zone);
        if self.rng.rand_float() < self.places[server].failing {
            self.asked[request].runs += 1;
            return self.after(back, Event::Back { attempt, outcome: Outcome::Error });
        }
        self.advance(server);
        let asked = &self.asked[request];
        let work = asked.work * self.places[server].class_slower[asked.class] * self.noise(0.3);
        if !self.places[server].server.offer(Job { id: attempt, work }) {
            return self.after(back, Event::Back { attempt, outcome: Outcome::Full });
        }
        self.attempts[attempt].began = true;
        self.asked[request].runs += 1;
        self.weigh(server, work);
        self.plan(server);
    }

    /// The rule on cold servers, as the bank as a whole keeps it.
    fn weigh(&mut self, server: usize, work: f64) {
        let place = &self.places[server];
        let present = self.present(self.now, place);
        if present >= 1.0 {
            return;
        }
        let rules = &self.settings.rules;
        let least = self.now.0 - rules.tip_after.0;
        let bears = place.server.shape().capacity() * present * rules.tip_after.f();
        let place = &mut self.places[server];
        place.pushed.push((self.now, work));
        place.pushed.retain(|(at, _)| at.0 > least);
        let sum: f64 = place.pushed.iter().map(|p| p.1).sum();
        self.tally.pushed = self.tally.pushed.max(sum / bears / rules.fall_multiple);
    }

    fn worked(&mut self, server: usize) {
        self.advance(server);
        while let Some(attempt) = self.places[server].server.worked() {
            let (wait, life) =
                (self.asked[self.attempts[attempt].request].wait, self.places[server].life);
            self.after(wait.f(), Event::Waited { server, life, attempt });
        }
        self.plan(server);
    }

    fn waited(&mut self, server: usize, life: u32, attempt: usize) {
        if self.places[server].life != life {
            return;
        }
        self.advance(server);
        self.places[server].server.release();
        self.plan(server);
        let zone = self.fronts[self.asked[self.attempts[attempt].request].balancer].zone;
        if !self.cut_between(zone, self.places[server].zone) {
            let back = self.way(zone, self.places[server].zone);
            self.after(back, Event::Back { attempt, outcome: Outcome::Ok });
        }
    }

    /// What a server held is gone, and so is whoever waited for it.
    fn fall(&mut self, server: usize) {
        let now = self.now;
        let place = &mut self.places[server];
        place.life += 1;
        place.version += 1;
        place.server = Server::new(*place.server.shape(), now);
        for attempt in 0..self.attempts.len() {
            let a = &self.attempts[attempt];
            if a.server == server && a.ended.is_none() && a.began {
                self.after(NEAR, Event::Back { attempt, outcome: Outcome::Reset });
            }
        }
    }

    // ------------------------------------------------------------ ends

    fn back(&mut self, attempt: usize, outcome: Outcome) {
        let a = &mut self.attempts[attempt];
        if a.ended.is_some() {
            return;
        }
        a.ended = Some(outcome);
        let Attempt { request, index, server, sent, .. } = *a;
        let asked = &self.asked[request];
        let over = asked.end.is_some();
        *self.tally.outcomes.entry(format!("{outcome:?}")).or_default() += 1;
        if outcome == Outcome::Ok && !over {
            let in_time = self.now.since(asked.arrived) <= self.settings.classes[asked.class].aim;
            self.finished(request, if in_time { End::Served } else { End::Late });
        }
        let asked = &self.asked[request];
        let balancer = asked.balancer;
        if self.chooser == Chooser::Sableloom {
            let answer = Answer {
                request: RequestId(request as u64),
                attempt: index,
                server: ServerId(server as u32),
                outcome,
                latency: self.now.since(sent),
                last: outcome == Outcome::Ok,
                report: Report::default(),
            };
            self.tell(balancer, |m, now, out| m.outcome(now, answer, out));
        } else if asked.end.is_none() {
            let again = asked.class == 0 || outcome.never_ran();
            if again { self.choose(request) } else { self.finished(request, End::Failed) }
        }
    }

    fn finished(&mut self, id: usize, end: End) {
        let asked = &mut self.asked[id];
        if asked.end.is_some() {
            self.tally.broken.push(format!("a second final answer for request {id}"));
            return;
        }
        asked.end = Some(end);
        let worth = self.settings.classes[asked.class].worth;
        self.tally.count(asked.arrived, asked.class, worth, end);
    }

    fn tell(&mut self, balancer: usize, what: impl FnOnce(&mut Balancer, Time, &mut Vec<Action>)) {
        if let Some(mind) = self.fronts[balancer].mind.as_mut() {
            what(mind, self.now, &mut self.actions);
        }
        self.obey(balancer);
    }

    fn obey(&mut self, balancer: usize) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { request, server, timeout } => {
                    let id = request.0 as usize;
                    self.check_send(id, server.0 as usize);
                    self.send(id, server.0 as usize, timeout);
                }
                Action::Refuse { request, .. } => {
                    let id = request.0 as usize;
                    if self.asked[id].class == 1 && self.may_have_run(id) {
                        self.tally.broken.push(format!("refused {id}, which may have run"));
                    }
                    self.finished(id, End::Refused);
                }
                Action::Fail { request } => self.finished(request.0 as usize, End::Failed),
                Action::Arm { token, at } => {
                    let life = self.fronts[balancer].life;
                    self.at(at, Event::Timer { balancer, life, token });
                }
                Action::Cancel { .. } | Action::Probe { .. } | Action::Subscribe => {}
            }
        }
    }

    fn may_have_run(&self, id: usize) -> bool {
        let ran = |a: &usize| !self.attempts[*a].ended.is_some_and(Outcome::never_ran);
        self.asked[id].attempts.iter().any(ran)
    }

    fn check_send(&mut self, id: usize, server: usize) {
        if self.asked[id].class == 1 && self.may_have_run(id) {
            self.tally.broken.push(format!("unsafe request {id} sent again"));
        }
        if self.asked[id].end.is_some() {
            self.tally.broken.push(format!("request {id} sent on after its end"));
        }
        let told = &self.fronts[self.asked[id].balancer].told;
        let live = |m: &Member| m.id.0 as usize == server && m.status == Status::Live;
        if !told.iter().any(live) {
            self.tally.broken.push(format!("server {server} got {id}, and was withdrawn"));
        }
    }

    // ------------------------------------------------------------ the script

    fn change(&mut self, change: Change) {
        match change {
            Change::Load(load) => self.load = load,
            Change::Shift { zone, times } => {
                let here = self.fronts.iter_mut().filter(|f| f.zone == zone);
                here.for_each(|f| f.part *= times);
            }
            Change::Bad { first, step, failing, slower } => {
                for i in (first..self.places.len()).step_by(step) {
                    self.advance(i);
                    (self.places[i].failing, self.places[i].slower) = (failing, slower);
                    self.advance(i);
                    self.plan(i);
                }
            }
            Change::KindSlow { kind, class, times } => {
                let kind = |p: &&mut Place| p.kind == kind;
                self.places.iter_mut().filter(kind).for_each(|p| p.class_slower[class] = times);
            }
            Change::Kill { share } => {
                let n = (self.fronts.len() as f64 * share) as usize;
                for balancer in 0..n {
                    self.killed(balancer);
                }
            }
            Change::Replace { from, to, ms } => {
                for i in from..to.min(self.places.len()) {
                    let when = ms * (i - from) as i64 / (to - from) as i64;
                    self.after((when * MS) as f64, Event::Up(i));
                }
            }
            Change::ZoneGone { zone, ms } => {
                for i in 0..self.places.len() {
                    if self.places[i].zone == zone {
                        self.places[i].up = false;
                        self.fall(i);
                    }
                }
                self.after((ms * MS) as f64, Event::Zone { zone, cut: false });
            }
            Change::ZoneCut { zone, ms } => {
                self.cut.push(zone);
                self.after((ms * MS) as f64, Event::Zone { zone, cut: true });
            }
            Change::KindGone { kind } => {
                for i in 0..self.places.len() {
                    if self.places[i].kind == kind {
                        self.places[i].status = Status::Gone;
                    }
                }
                self.publish();
            }
            Change::KindNew { from, kind, shape } => {
                for i in from..self.places.len() {
                    self.fall(i);
                    self.places[i].kind = kind;
                    self.places[i].server = Server::new(shape, self.now);
                    self.places[i].status = Status::Live;
                    self.places[i].started = Some(self.now);
                }
                self.publish();
            }
        }
    }

    fn killed(&mut self, balancer: usize) {
        for id in 0..self.asked.len() {
            if self.asked[id].balancer == balancer && self.asked[id].end.is_none() {
                self.finished(id, End::Failed);
                for attempt in self.asked[id].attempts.clone() {
                    self.attempts[attempt].ended.get_or_insert(Outcome::Moot);
                }
            }
        }
        self.fronts[balancer].life += 1;
        let list = self.fronts[balancer].told.clone();
        self.born(balancer, list);
    }

    /// A machine that takes the place of another, cold.
    fn up(&mut self, i: usize) {
        self.fall(i);
        self.places[i].up = true;
        self.places[i].started = Some(self.now);
        self.places[i].pushed.clear();
        self.publish();
    }

    fn handle(&mut self, event: Event, end: Time) {
        match event {
            Event::Arrive => self.arrive(end),
            Event::Timer { balancer, life, token } => {
                if self.fronts[balancer].life == life {
                    self.tell(balancer, |m, now, out| m.timer(now, token, out));
                }
            }
            Event::Reach(attempt) => self.reach(attempt),
            Event::Worked { server, version } => {
                if self.places[server].version == version {
                    self.worked(server);
                }
            }
            Event::Waited { server, life, attempt } => self.waited(server, life, attempt),
            Event::Back { attempt, outcome } => self.back(attempt, outcome),
            Event::Expire(attempt) => self.back(attempt, Outcome::Timeout),
            Event::Told { balancer, list } => {
                self.fronts[balancer].told = list.clone();
                self.tell(balancer, |m, now, out| m.members(now, ListKind::Whole, &list, out));
            }
            Event::Script(i) => {
                let change = self.case.script[i].1.clone();
                self.change(change);
            }
            Event::Up(i) => self.up(i),
            Event::Zone { zone, cut: true } => self.cut.retain(|z| *z != zone),
            Event::Zone { zone, cut: false } => {
                for i in 0..self.places.len() {
                    if self.places[i].zone == zone {
                        self.places[i].up = true;
                        self.places[i].started = Some(self.now);
                        self.places[i].pushed.clear();
                    }
                }
                self.publish();
            }
        }
    }

    fn finish(mut self) -> Tally {
        for (id, asked) in self.asked.iter().enumerate() {
            if asked.end.is_none() {
                self.tally.broken.push(format!("request {id} has no answer"));
            }
            if asked.class == 1 && asked.runs > 1 {
                self.tally.broken.push(format!("unsafe request {id} ran {} times", asked.runs));
            }
        }
        self.tally
    }
}

/// The kinds in their parts of the fleet: a quarter large, two fifths of medium size, the rest small.
fn kind(case: &Case, i: usize) -> u32 {
    if !case.kinds {
        return 0;
    }
    match i % 20 {
        0..5 => 0,
        5..13 => 1,
        _ => 2,
    }
}

fn shape(case: &Case, rng: &mut Rand64, i: usize) -> Shape {
    let (cores, speed) = [(3.0, 2.0), (3.0, 1.2), (2.0, 0.75)][kind(case, i) as usize];
    let (cores, speed) = if case.kinds { (cores, speed) } else { (3.0, 1.2) };
    let speed = speed * (0.85 + 0.3 * rng.rand_float());
    Shape { cores, speed, slots: (cores * 12.0) as usize, room: (cores * 15.0) as usize }
}
