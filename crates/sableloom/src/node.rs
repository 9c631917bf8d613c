//! The balancer's one mind on sockets: the sole owner of the decision module. What happens on
//! sockets becomes its calls, and its actions are carried out here. Nothing is decided here.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Uri};
use rustc_hash::{FxHashMap, FxHashSet};
use sableloom_policy::decide::Balancer;
use sableloom_types::settings::{Facts, Reports, span, stable_hash, time};
use sableloom_types::{
    Action, Answer, ListKind, Member, Outcome, Report, Request, RequestId, ServerId, Span, Status,
    Time,
};
use tokio::sync::{Notify, OwnedSemaphorePermit, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use crate::config::{ClientLimits, Config};
use crate::discovery::{self, Entry};
use crate::upstream::{self, Pool};
use crate::wire::Task;

/// The monotonic clock, anchored once to Unix time so that `up_since_ms` fits on it.
pub struct Clock {
    start: Instant,
    unix_us: i64,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix_us: unix.as_micros() as i64 }
    }

    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    pub fn at(&self, instant: Instant) -> Time {
        Time(self.unix_us + instant.duration_since(self.start).as_micros() as i64)
    }

    pub fn instant(&self, time: Time) -> Instant {
        self.start + micros(Span(time.0 - self.unix_us))
    }
}

fn micros(span: Span) -> Duration {
    Duration::from_micros(span.0.max(0) as u64)
}

/// A request as it goes on to upstreams.
pub struct Message {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What the body holds of the budget for large ones.
    pub _budget: Option<OwnedSemaphorePermit>,
}

impl Message {
    fn trace_id(&self) -> &HeaderValue {
        static NONE: HeaderValue = HeaderValue::from_static("");
        self.headers.get("x-trace-id").unwrap_or(&NONE)
    }
}

/// What the module is told of a request beside its time.
pub struct Asked {
    pub class: usize,
    pub tenant: usize,
    pub key: Option<u64>,
    pub drop_dead: Time,
}

/// The final answer to a request.
pub enum Reply {
    Served(HeaderMap, Bytes),
    Refused(Option<Duration>),
    Failed,
}

/// Why a request is not taken.
pub enum Turned {
    /// Too many are open.
    TooMany,
    /// Its id is another's that is open.
    SameId,
}

/// An open request.
pub struct Job {
    pub id: RequestId,
    pub message: Message,
    drop_dead: Time,
    reply: RefCell<Option<oneshot::Sender<Reply>>>,
    attempts: RefCell<Vec<Rc<Attempt>>>,
    out: Cell<usize>,
    /// Wakes the attempts that have not been written whole when the request is over.
    pub ended: Notify,
}

impl Job {
    /// Whether its final answer is given or its client gone.
    pub fn is_over(&self) -> bool {
        self.reply.borrow().is_none()
    }
}

/// One sending of a request.
pub struct Attempt {
    pub number: usize,
    pub server: ServerId,
    pub to: SocketAddr,
    pub sent: Instant,
    pub until: Instant,
    pub cancel: Notify,
}

struct Upstream {
    name: Box<str>,
    address: SocketAddr,
    /// Not gone.
    listed: bool,
}

struct State {
    balancer: Balancer,
    jobs: FxHashMap<RequestId, Rc<Job>>,
    next_id: u64,
    /// The ids of the jobs, as clients named them.
    trace_ids: FxHashSet<HeaderValue>,
    upstreams: FxHashMap<ServerId, Upstream>,
    by_name: FxHashMap<Box<str>, ServerId>,
    next_upstream: u32,
    revision: Option<u64>,
    /// The running watch of discovery, if there is one.
    watch: Option<Task>,
}

pub struct Node {
    state: RefCell<State>,
    pub clock: Clock,
    pub facts: Facts,
    pub pool: Pool,
    discovery: Cell<SocketAddr>,
}

impl Node {
    /// A node that knows the list of its configuration and has begun to keep time.
    pub fn start(config: Config) -> Result<(Rc<Self>, ClientLimits), String> {
        let clock = Clock::new();
        let Config { facts, seed, clients, upstreams, discovery, known, .. } = config;
        let balancer = Balancer::new(facts.settings(), seed, clock.now())
            .map_err(|e| format!("field `settings`: {e}"))?;
        let state = State {
            balancer,
            jobs: FxHashMap::default(),
            next_id: 0,
            trace_ids: FxHashSet::default(),
            upstreams: FxHashMap::default(),
            by_name: FxHashMap::default(),
            next_upstream: 0,
            revision: None,
            watch: None,
        };
        let node = Rc::new(Self {
            state: RefCell::new(state),
            clock,
            pool: Pool::new(upstreams, &facts.policy_limits),
            facts,
            discovery: Cell::new(discovery),
        });
        node.tell(|balancer, now, out| balancer.start(now, out));
        if let Some(known) = known {
            let revision = known.revision;
            node.listed(ListKind::Restored, Some(revision), known.entries());
        }
        if !node.must_ask() {
            node.watch(&mut node.state.borrow_mut());
        }
        Ok((node, clients))
    }

    /// Begins to watch discovery where it now is; a watch that runs already ends.
    fn watch(self: &Rc<Self>, state: &mut State) {
        let pushed = !self.must_ask();
        state.watch =
            Some(Task::spawn(discovery::watch(self.clone(), self.discovery.get(), pushed)));
    }

    /// Discovery is at this address from now on, and watched there at once, also if no watch runs.
    /// Its list is asked for whole: versions of one service need not be those of another. Guards
    /// against an old service that still answers for a while, or says nothing more; costs one whole
    /// list if the address is the same.
    pub fn move_discovery(self: &Rc<Self>, at: SocketAddr) {
        self.discovery.set(at);
        let mut state = self.state.borrow_mut();
        state.revision = None;
        self.watch(&mut state);
    }

    fn must_ask(&self) -> bool {
        self.facts.registry_mode == sableloom_types::settings::RegistryMode::Subscribe
    }

    /// Makes one call of the module and carries out what it answers with.
    fn tell(self: &Rc<Self>, call: impl FnOnce(&mut Balancer, Time, &mut Vec<Action>)) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let mut actions = Vec::new();
        call(&mut state.balancer, now, &mut actions);
        for action in actions {
            self.carry_out(&mut state, now, action);
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, now: Time, action: Action) {
        match action {
            Action::Send { request, server, timeout } => {
                let Some(job) = state.jobs.get(&request) else { return };
                let Some(upstream) = state.upstreams.get(&server) else { return };
                let limit = job.drop_dead;
                let until = if timeout.0 == 0 { limit } else { limit.min(now.plus(timeout)) };
                let attempt = Rc::new(Attempt {
                    number: job.attempts.borrow().len(),
                    server,
                    to: upstream.address,
                    sent: self.clock.instant(now),
                    until: self.clock.instant(until),
                    cancel: Notify::new(),
                });
                job.attempts.borrow_mut().push(attempt.clone());
                job.out.set(job.out.get() + 1);
                spawn_local(upstream::attempt(Pending::new(self, job, attempt)));
            }
            Action::Refuse { request, retry_after } => {
                let limits = &self.facts.policy_limits;
                let advice = limits.retry_after && retry_after.0 > 0;
                let advice = advice.then(|| micros(retry_after));
                self.answer(state, request, Reply::Refused(advice));
            }
            Action::Fail { request } => self.answer(state, request, Reply::Failed),
            Action::Cancel { request, attempt } => {
                if let Some(job) = state.jobs.get(&request)
                    && let Some(attempt) = job.attempts.borrow().get(attempt)
                {
                    attempt.cancel.notify_one();
                }
            }
            Action::Arm { token, at } => {
                let (node, at) = (self.clone(), self.clock.instant(at));
                spawn_local(async move {
                    sleep_until(at).await;
                    node.tell(|balancer, now, out| balancer.timer(now, token, out));
                });
            }
            Action::Probe { server } => {
                let upstream = state.upstreams.get(&server);
                if let Some(upstream) = upstream.filter(|_| self.facts.policy_limits.probes) {
                    let to = upstream.address;
                    spawn_local(upstream::probe(self.clone(), server, to));
                }
            }
            Action::Subscribe => {
                if state.watch.is_none() {
                    self.watch(state);
                }
            }
        }
    }

    /// The one place that gives a request its final answer, once.
    fn answer(&self, state: &mut State, id: RequestId, reply: Reply) {
        let Some(job) = state.jobs.get(&id) else { return };
        let Some(waiting) = job.reply.take() else { return };
        // A client that has just left needs none.
        let _ = waiting.send(reply);
        job.ended.notify_waiters();
        Self::forget(state, id);
    }

    /// Drops a request that is over and has no attempt out.
    fn forget(state: &mut State, id: RequestId) {
        if state.jobs.get(&id).is_some_and(|job| job.is_over() && job.out.get() == 0)
            && let Some(job) = state.jobs.remove(&id)
        {
            state.trace_ids.remove(job.message.trace_id());
        }
    }

    // ------------------------------------------------------------ what clients do

    /// Takes a request.
    pub fn request(
        self: &Rc<Self>,
        asked: Asked,
        message: Message,
    ) -> Result<(Taken, oneshot::Receiver<Reply>), Turned> {
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            let most = self.facts.policy_limits.max_open;
            if most > 0 && state.jobs.len() >= most {
                return Err(Turned::TooMany);
            }
            // Whoever goes by the id would take the two for one: an answer, a repeat or a reset
            // of one for the other's. Also while an attempt of a request that is over is out.
            if !state.trace_ids.insert(message.trace_id().clone()) {
                return Err(Turned::SameId);
            }
            let id = RequestId(state.next_id);
            state.next_id += 1;
            let job = Job {
                id,
                message,
                drop_dead: asked.drop_dead,
                reply: RefCell::new(Some(sender)),
                attempts: RefCell::new(Vec::new()),
                out: Cell::new(0),
                ended: Notify::new(),
            };
            state.jobs.insert(id, Rc::new(job));
            id
        };
        let Asked { class, tenant, key, drop_dead } = asked;
        let request = Request { id, class, tenant, key, drop_dead };
        self.tell(|balancer, now, out| balancer.request(now, request, out));
        Ok((Taken { node: self.clone(), id }, receiver))
    }

    /// Requests that are taken and not over.
    pub fn open(&self) -> usize {
        self.state.borrow().jobs.values().filter(|job| !job.is_over()).count()
    }

    // ------------------------------------------------------------ what upstreams do

    fn outcome(self: &Rc<Self>, job: &Job, attempt: &Attempt, end: End) {
        let id = job.id;
        job.out.set(job.out.get() - 1);
        let End { outcome, latency, report, served } = end;
        if let Some((head, body)) = served {
            self.answer(&mut self.state.borrow_mut(), id, Reply::Served(head, body));
        }
        let answer = Answer {
            request: id,
            attempt: attempt.number,
            server: attempt.server,
            outcome,
            latency: Span(latency.as_micros() as i64),
            last: job.is_over(),
            report,
        };
        self.tell(|balancer, now, out| balancer.outcome(now, answer, out));
        Self::forget(&mut self.state.borrow_mut(), id);
    }

    pub fn probed(self: &Rc<Self>, server: ServerId, ok: bool, took: Duration, report: Report) {
        let took = Span(took.as_micros() as i64);
        self.tell(|balancer, now, out| balancer.probed(now, server, ok, took, report, out));
    }

    /// The load report on an answer, where the settings have such.
    pub fn report(&self, headers: &HeaderMap) -> Report {
        let header = headers.get("endpoint-load-metrics").and_then(|h| h.to_str().ok());
        match header {
            Some(text) if self.facts.stats.how == Reports::Piggyback => self.report_text(text),
            _ => Report::default(),
        }
    }

    /// `TEXT inflight=7, util=0.61`; what makes no sense is skipped.
    pub fn report_text(&self, text: &str) -> Report {
        let pairs = text.trim().strip_prefix("TEXT").unwrap_or_default().split(',');
        let value = |pair: &'_ str| -> Option<(usize, f64)> {
            let (name, value) = pair.split_once('=')?;
            let index = self.facts.stats.names.iter().position(|n| n == name.trim())?;
            Some((index, value.trim().parse().ok().filter(|v: &f64| v.is_finite())?))
        };
        let names = &self.facts.stats.names;
        self.facts.stats.report(pairs.filter_map(value).map(|(i, v)| (names[i].as_str(), v)))
    }

    /// Where a probe is answered.
    pub fn probe_path(&self) -> &'static str {
        if self.facts.stats.how != Reports::Silent { "/metrics/load" } else { "/alive" }
    }

    // ------------------------------------------------------------ what discovery does

    pub fn revision(&self) -> Option<u64> {
        self.state.borrow().revision
    }

    /// A list has come, or part of one. `revision` is `None` if it broke off.
    pub fn listed(self: &Rc<Self>, kind: ListKind, revision: Option<u64>, entries: Vec<Entry>) {
        let members: Vec<Member> = {
            let mut state = self.state.borrow_mut();
            state.revision = revision.or(state.revision);
            if kind != ListKind::Update {
                // What a whole list leaves out is gone.
                for (id, upstream) in &mut state.upstreams {
                    upstream.listed = false;
                    self.pool.retire(*id, true);
                }
            }
            entries.iter().map(|entry| self.member(&mut state, entry)).collect()
        };
        // Idle connections to an upstream that drains only hold up its end.
        for member in &members {
            self.pool.retire(member.id, member.status != Status::Live);
        }
        self.tell(|balancer, now, out| balancer.members(now, kind, &members, out));
        self.forget_gone();
    }

    /// Forgets the upstreams that are gone and that the module has forgotten: over a long run ever
    /// new ones come, and what is kept of each would only grow.
    fn forget_gone(&self) {
        let state = &mut *self.state.borrow_mut();
        state.upstreams.retain(|id, upstream| {
            let keep = upstream.listed || state.balancer.knows(*id);
            if !keep {
                state.by_name.remove(&upstream.name);
                self.pool.forget(*id);
            }
            keep
        });
    }

    fn member(&self, state: &mut State, entry: &Entry) -> Member {
        let fresh = ServerId(state.next_upstream);
        let name = || -> Box<str> { entry.id.as_str().into() };
        let id = *state.by_name.entry(name()).or_insert(fresh);
        if id == fresh {
            state.next_upstream += 1;
        }
        let new = || Upstream { name: name(), address: entry.host_port, listed: true };
        let upstream = state.upstreams.entry(id).or_insert_with(new);
        upstream.listed = entry.phase != "DELETED";
        if upstream.address != entry.host_port {
            upstream.address = entry.host_port;
            self.pool.close(id);
        }
        let index = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
        };
        Member {
            id,
            // Not of the address, which differs from one balancer to the next.
            identity: stable_hash(&upstream.name),
            zone: index(&self.facts.zones, &entry.locality),
            kind: index(&self.facts.machine_types, &entry.flavor),
            cell: entry.cell,
            status: match entry.phase.as_str() {
                "SERVING" => Status::Live,
                "DELETED" => Status::Gone,
                // A phase that is not known here is no invitation to send.
                _ => Status::Draining,
            },
            weight: entry.size,
            started: (entry.up_since_ms > 0.0).then(|| time(entry.up_since_ms)),
        }
    }

    /// A list call failed, or the watch broke.
    pub fn list_failed(self: &Rc<Self>) {
        self.state.borrow_mut().watch = None;
        self.tell(|balancer, now, out| balancer.members(now, ListKind::Unavailable, &[], out));
    }
}

/// Keeps the promise to a client: when its connection's task ends with no answer, for whatever
/// reason, the module hears that the client is gone.
pub struct Taken {
    node: Rc<Node>,
    id: RequestId,
}

impl Drop for Taken {
    fn drop(&mut self) {
        let gone = {
            let mut state = self.node.state.borrow_mut();
            let Some(job) = state.jobs.get(&self.id) else { return };
            let gone = job.reply.take().is_some();
            job.ended.notify_waiters();
            Node::forget(&mut state, self.id);
            gone
        };
        if gone {
            self.node.tell(|balancer, now, out| balancer.client_gone(now, self.id, out));
        }
    }
}

/// How an attempt ended.
pub struct End {
    pub outcome: Outcome,
    pub latency: Duration,
    pub report: Report,
    pub served: Option<(HeaderMap, Bytes)>,
}

/// An attempt that owes the module its one outcome. If its task panics, it may have run.
pub struct Pending {
    pub node: Rc<Node>,
    pub job: Rc<Job>,
    pub attempt: Rc<Attempt>,
    owed: bool,
}

impl Pending {
    fn new(node: &Rc<Node>, job: &Rc<Job>, attempt: Rc<Attempt>) -> Self {
        Self { node: node.clone(), job: job.clone(), attempt, owed: true }
    }

    pub fn end(mut self, end: End) {
        self.owed = false;
        self.node.outcome(&self.job, &self.attempt, end);
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if std::mem::take(&mut self.owed) {
            let latency = self.attempt.sent.elapsed();
            let (outcome, report) = (Outcome::Reset, Report::default());
            self.node.outcome(
                &self.job,
                &self.attempt,
                End { outcome, latency, report, served: None },
            );
        }
    }
}

/// The longest that any class lets a client wait.
pub fn longest_deadline(facts: &Facts) -> Duration {
    let longest = facts.services.iter().map(|s| s.deadline).fold(0.0, f64::max);
    micros(span(longest))
}
