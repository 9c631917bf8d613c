//! The balancer's one mind: the sole owner of the decision module. What happens becomes its calls,
//! and its actions are carried out here. Nothing is decided here.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use sableloom_policy::Balancer;
use sableloom_types::settings::{DeploymentSettings, span, stable_hash, time};
use sableloom_types::{
    Action, AttemptResult, Endpoint, EndpointStatus, Idempotency, ListKind, ListedEndpoint,
    LoadReport, Outcome, PolicySettingsError, Request, RequestId, ServerId, Span, Time,
};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use crate::clock::{Clock, micros};
use crate::fate::{self, Ended};
use crate::idle::{IdleState, Timer};
use crate::message::{Message, Reply, RequestContext, RequestRejection};
use crate::ports::{
    AttemptContext, AttemptOutcome, DispatchAddress, EndpointListener, EndpointSource, Service,
    Transport, Work,
};

/// An open request.
struct Job {
    id: RequestId,
    class: usize,
    message: Rc<Message>,
    deadline: Time,
    reply: RefCell<Option<oneshot::Sender<Reply>>>,
    /// Its final answer is given or its client gone.
    over: Rc<Cell<bool>>,
    attempts: RefCell<Vec<Rc<Attempt>>>,
    out: Cell<usize>,
    /// Wakes the attempts that have not been written whole when the request is over.
    ended: Notify,
}

impl Job {
    fn end(&self) -> Option<oneshot::Sender<Reply>> {
        self.over.set(true);
        self.reply.take()
    }
}

/// One sending of a request.
struct Attempt {
    number: usize,
    server: ServerId,
    sent: Instant,
    /// None if the server wanted nothing new by the time that it was decided.
    call: Option<Rc<AttemptContext>>,
    /// Until it is proven that it never ran.
    may_have_run: Cell<bool>,
    cancel: Notify,
}

struct Upstream {
    name: Box<str>,
    address: SocketAddr,
    /// Where new attempts may go: its address while it is live.
    place: DispatchAddress,
    /// Not gone.
    listed: bool,
}

struct State {
    balancer: Balancer,
    /// When the part of the servers that the module was told ends, and what it is then.
    part_ends: Option<(Time, u32)>,
    jobs: FxHashMap<RequestId, Rc<Job>>,
    next_id: u64,
    /// The ids of the jobs, as clients named them.
    trace_ids: FxHashSet<Bytes>,
    upstreams: FxHashMap<ServerId, Upstream>,
    by_name: FxHashMap<Box<str>, ServerId>,
    next_upstream: u32,
    idle: IdleState,
}

/// What an exchange is made of.
pub struct Options {
    /// The deployment's settings.
    pub settings: Rc<DeploymentSettings>,
    /// For random numbers.
    pub seed: u64,
    /// The clock that all parts share.
    pub clock: Clock,
    /// Carries attempts.
    pub transport: Rc<dyn Transport>,
    /// Names servers.
    pub source: Rc<dyn EndpointSource>,
}

/// One pool of servers, its decision module and its open requests.
pub struct Exchange {
    state: RefCell<State>,
    clock: Clock,
    settings: Rc<DeploymentSettings>,
    transport: Rc<dyn Transport>,
    source: Rc<dyn EndpointSource>,
    closed: Cell<bool>,
    /// Nothing is sent on any more, as this process is about to end.
    given_up: Cell<bool>,
}

impl Exchange {
    /// An exchange that knows no server yet and has begun to keep time, and to listen to its source.
    pub fn start(options: Options) -> Result<Rc<Self>, PolicySettingsError> {
        let Options { settings, seed, clock, transport, source } = options;
        let now = clock.now();
        let balancer = Balancer::new(settings.policy_settings(), seed, now)?;
        let idle = IdleState::new(&settings, now);
        let state = State {
            balancer,
            part_ends: None,
            jobs: FxHashMap::default(),
            next_id: 0,
            trace_ids: FxHashSet::default(),
            upstreams: FxHashMap::default(),
            by_name: FxHashMap::default(),
            next_upstream: 0,
            idle,
        };
        let state = RefCell::new(state);
        let (closed, given_up) = (Cell::new(false), Cell::new(false));
        let exchange =
            Rc::new(Self { state, clock, settings, transport, source, closed, given_up });
        exchange.tell(|balancer, now, out| balancer.start(now, out));
        // At once, whether the list comes unasked or not: the source knows when it is its turn.
        exchange.source.clone().subscribe(exchange.clone());
        Ok(exchange)
    }

    /// Makes one call of the module and carries out what it answers with.
    fn tell(self: &Rc<Self>, call: impl FnOnce(&mut Balancer, Time, &mut Vec<Action>)) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        Self::end_part(&mut state, now);
        let mut actions = Vec::new();
        Self::end_rest(&mut state, now, &mut actions);
        call(&mut state.balancer, now, &mut actions);
        for action in actions {
            self.carry_out(&mut state, now, action);
        }
    }

    /// Looked at before each call and not by a timer: a process that was stopped and goes on may be asked
    /// for something before any timer of its own is due.
    fn end_part(state: &mut State, now: Time) {
        if let Some((_, after)) = state.part_ends.take_if(|(ends, _)| now >= *ends) {
            state.balancer.set_balancers(after);
        }
    }

    /// Makes up for the timer that was held back while the pool rested.
    fn end_rest(state: &mut State, now: Time, out: &mut Vec<Action>) {
        match state.idle.end() {
            Some(Timer { token, at }) if at <= now => state.balancer.timer(now, token, out),
            Some(Timer { token, at }) => out.push(Action::SetTimer { token, at }),
            None => {}
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, now: Time, action: Action) {
        match action {
            Action::Forward { request, server, timeout } => {
                let Some(job) = state.jobs.get(&request) else { return };
                let Some(upstream) = state.upstreams.get(&server) else { return };
                let limit = job.deadline;
                let until = if timeout.0 == 0 { limit } else { limit.min(now.plus(timeout)) };
                let until = self.clock.instant(until);
                let to = (server, &upstream.place);
                let call = AttemptContext::new(job.message.clone(), to, until, job.over.clone());
                let by = self.known_for_a_repeat_until(job);
                let attempt = Rc::new(Attempt {
                    number: job.attempts.borrow().len(),
                    server,
                    sent: self.clock.instant(now),
                    call: call.map(|call| Rc::new(call.whole_by(by))),
                    may_have_run: Cell::new(true),
                    cancel: Notify::new(),
                });
                job.attempts.borrow_mut().push(attempt.clone());
                job.out.set(job.out.get() + 1);
                spawn_local(carry(Pending::new(self, job, attempt)));
            }
            Action::Reject { request, retry_after } => {
                let limits = &self.settings.policy_limits;
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
            Action::SetTimer { .. } if self.closed.get() => {}
            Action::SetTimer { token, at } => {
                let open = !state.jobs.is_empty();
                if state.idle.hold(now, open, Timer { token, at }) {
                    return;
                }
                let (exchange, at) = (self.clone(), self.clock.instant(at));
                spawn_local(async move {
                    sleep_until(at).await;
                    exchange.tell(|balancer, now, out| balancer.timer(now, token, out));
                });
            }
            Action::CheckHealth { server } => {
                let upstream = state.upstreams.get(&server);
                if let Some(upstream) =
                    upstream.filter(|_| self.settings.policy_limits.health_checks)
                {
                    let probe = self.transport.clone().probe(server, upstream.address);
                    let (exchange, sent) = (self.clone(), Instant::now());
                    spawn_local(async move {
                        let report = probe.await;
                        exchange.health_checked(server, report, sent.elapsed());
                    });
                }
            }
            Action::Subscribe => {
                // Not from within the call: a source may tell something at once.
                let exchange = self.clone();
                spawn_local(async move {
                    exchange.source.clone().subscribe(exchange.clone());
                });
            }
        }
    }

    /// Until when servers know a further attempt for a repeat: they drop what comes within the class's
    /// window of the first that may have run. The decision module looks at it when it decides; a
    /// connection may come up, or a blocked one take the last byte, long after.
    fn known_for_a_repeat_until(&self, job: &Job) -> Option<Instant> {
        if job.message.idempotency != Idempotency::Keyed {
            return None;
        }
        let attempts = job.attempts.borrow();
        let first = attempts.iter().filter(|a| a.may_have_run.get()).map(|a| a.sent).min()?;
        let window =
            self.settings.services.get(job.class).map_or(0.0, |service| service.dedup_window);
        Some(first + micros(span(window)))
    }

    /// The one place that gives a request its final answer, once.
    fn answer(&self, state: &mut State, id: RequestId, reply: Reply) {
        let Some(job) = state.jobs.get(&id) else { return };
        let Some(waiting) = job.end() else { return };
        // A client that has just left needs none.
        let _ = waiting.send(reply);
        job.ended.notify_waiters();
        Self::forget(state, self.clock.now(), id);
    }

    /// Drops a request that is over and has no attempt out.
    fn forget(state: &mut State, now: Time, id: RequestId) {
        if state.jobs.get(&id).is_some_and(|job| job.over.get() && job.out.get() == 0)
            && let Some(job) = state.jobs.remove(&id)
        {
            state.trace_ids.remove(&job.message.id);
            state.idle.busy(now);
        }
    }

    /// Ends the module's timers, after which nothing holds the exchange any more. To be called once
    /// it is given no more requests and none is open.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// So many balancers share the servers from now on, and another number from a time on unless this is
    /// called again before.
    pub fn shared_by(&self, balancers: u32, ends: Option<(Time, u32)>) {
        let mut state = self.state.borrow_mut();
        // First what ended before: in a pool at rest nothing has looked at it since.
        Self::end_part(&mut state, self.clock.now());
        state.balancer.set_balancers(balancers);
        state.part_ends = ends;
    }

    /// Whether it keeps no time, as nothing has been open for long and no server warms up.
    pub fn rests(&self) -> bool {
        self.state.borrow().idle.is_on()
    }

    /// Requests that are taken and not over.
    pub fn open(&self) -> usize {
        self.state.borrow().jobs.values().filter(|job| !job.over.get()).count()
    }

    // ------------------------------------------------------------ what servers do

    fn outcome(self: &Rc<Self>, job: &Job, attempt: &Attempt, attempt_outcome: AttemptOutcome) {
        let id = job.id;
        job.out.set(job.out.get() - 1);
        let facts = fate::AttemptFacts {
            ended: attempt_outcome.ended,
            left_whole: attempt.call.as_ref().is_some_and(|call| call.left_whole()),
            not_executed: attempt_outcome.not_executed,
        };
        let outcome = fate::judge(facts);
        attempt.may_have_run.set(!outcome.not_executed());
        if attempt_outcome.ended == Ended::NotBegun && job.message.client_is_gone() {
            self.left(id);
        }
        let latency = Span(attempt.sent.elapsed().as_micros() as i64);
        if outcome == Outcome::Ok {
            let answer = attempt_outcome.answer.unwrap_or_default();
            self.answer(&mut self.state.borrow_mut(), id, Reply::Served(answer));
        }
        let answer = AttemptResult {
            request: id,
            attempt: attempt.number,
            server: attempt.server,
            outcome,
            latency,
            last: job.over.get(),
            report: attempt_outcome.report,
        };
        self.tell(|balancer, now, out| balancer.attempt_ended(now, answer, out));
        Self::forget(&mut self.state.borrow_mut(), self.clock.now(), id);
    }

    /// The client of this request has left: nothing more is sent for it.
    fn left(self: &Rc<Self>, id: RequestId) {
        let gone = {
            let mut state = self.state.borrow_mut();
            let Some(job) = state.jobs.get(&id) else { return };
            let gone = job.end().is_some();
            job.ended.notify_waiters();
            Self::forget(&mut state, self.clock.now(), id);
            gone
        };
        if gone {
            self.tell(|balancer, now, out| balancer.client_gone(now, id, out));
        }
    }

    /// Answers all that is open, as this process is about to end: what was never tried is refused, the
    /// rest has failed. Nothing is sent for any of it afterwards, and what comes from here on is refused at
    /// once. Failure: a request read in the last 60 ms was sent on, and its answer found nobody.
    pub fn give_up(self: &Rc<Self>) {
        self.given_up.set(true);
        let open: Vec<_> = {
            let state = self.state.borrow();
            let open = state.jobs.values().filter(|job| !job.over.get());
            open.map(|job| (job.id, job.attempts.borrow().is_empty())).collect()
        };
        for (id, untried) in open {
            let reply = if untried { Reply::Refused(None) } else { Reply::Failed };
            self.answer(&mut self.state.borrow_mut(), id, reply);
            self.tell(|balancer, now, out| balancer.client_gone(now, id, out));
        }
    }

    fn health_checked(
        self: &Rc<Self>,
        server: ServerId,
        report: Option<LoadReport>,
        took: Duration,
    ) {
        let took = Span(took.as_micros() as i64);
        let (alive, report) = (report.is_some(), report.unwrap_or_default());
        self.tell(|balancer, _, _| balancer.health_checked(server, alive, took, report));
    }

    // ------------------------------------------------------------ what sources tell

    /// Forgets the upstreams that are gone and that the module has forgotten: over a long run ever
    /// new ones come, and what is kept of each would only grow.
    fn forget_gone(&self) {
        let state = &mut *self.state.borrow_mut();
        state.upstreams.retain(|id, upstream| {
            let keep = upstream.listed || state.balancer.knows(*id);
            if !keep {
                state.by_name.remove(&upstream.name);
                self.transport.forget(*id);
            }
            keep
        });
    }

    fn member(&self, state: &mut State, entry: &ListedEndpoint) -> Endpoint {
        let fresh = ServerId(state.next_upstream);
        let id = *state.by_name.entry(entry.id.clone()).or_insert(fresh);
        if id == fresh {
            state.next_upstream += 1;
        }
        let new = || Upstream {
            name: entry.id.clone(),
            address: entry.address,
            place: DispatchAddress::default(),
            listed: true,
        };
        let upstream = state.upstreams.entry(id).or_insert_with(new);
        upstream.listed = entry.status != EndpointStatus::Gone;
        upstream.place.set((entry.status == EndpointStatus::Live).then_some(entry.address));
        if upstream.address != entry.address {
            upstream.address = entry.address;
            self.transport.moved(id);
        }
        let index = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
        };
        Endpoint {
            id,
            // Not of the address, which differs from one balancer to the next.
            identity: stable_hash(&upstream.name),
            zone: index(&self.settings.zones, &entry.zone),
            kind: index(&self.settings.machine_types, &entry.kind),
            cell: entry.cell,
            status: entry.status,
            weight: entry.size,
            started: (entry.up_since_ms > 0.0).then(|| time(entry.up_since_ms)),
        }
    }
}

impl Service for Exchange {
    fn call(
        self: Rc<Self>,
        asked: RequestContext,
        message: Message,
    ) -> Result<Work<Reply>, RequestRejection> {
        if self.given_up.get() {
            return Ok(Box::pin(std::future::ready(Reply::Refused(None))));
        }
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            let most = self.settings.policy_limits.max_open;
            if most > 0 && state.jobs.len() >= most {
                return Err(RequestRejection::TooMany);
            }
            // Whoever goes by the id would take the two for one: an answer, a repeat or a reset
            // of one for the other's. Also while an attempt of a request that is over is out.
            if !state.trace_ids.insert(message.id.clone()) {
                return Err(RequestRejection::SameId);
            }
            let id = RequestId(state.next_id);
            state.next_id += 1;
            let job = Job {
                id,
                class: asked.class,
                message: Rc::new(message),
                deadline: asked.deadline,
                reply: RefCell::new(Some(sender)),
                over: Rc::new(Cell::new(false)),
                attempts: RefCell::new(Vec::new()),
                out: Cell::new(0),
                ended: Notify::new(),
            };
            state.jobs.insert(id, Rc::new(job));
            state.idle.busy(self.clock.now());
            id
        };
        let RequestContext { class, tenant, key, deadline } = asked;
        let request = Request { id, class, tenant, key, deadline };
        self.tell(|balancer, now, out| balancer.request(now, request, out));
        Ok(Box::pin(Taken { exchange: self, id, receiver }))
    }
}

impl EndpointListener for Exchange {
    fn listed(self: Rc<Self>, kind: ListKind, entries: Vec<ListedEndpoint>) {
        let members: Vec<Endpoint> = {
            let mut state = self.state.borrow_mut();
            if kind != ListKind::Update {
                state.upstreams.values_mut().for_each(|upstream| upstream.listed = false);
            }
            let members: Vec<Endpoint> =
                entries.iter().map(|entry| self.member(&mut state, entry)).collect();
            state.idle.listed(matches!(kind, ListKind::Full | ListKind::Restored), &members);
            // What a whole list leaves out is gone. Only that: to retire all of them first would
            // close every connection at rest, and each whole list would cost as many new ones.
            for (id, upstream) in state.upstreams.iter().filter(|(_, upstream)| !upstream.listed) {
                upstream.place.set(None);
                self.transport.retire(*id, true);
            }
            members
        };
        // Idle connections to a server that drains only hold up its end.
        for member in &members {
            self.transport.retire(member.id, member.status != EndpointStatus::Live);
        }
        self.tell(|balancer, now, out| balancer.update_endpoints(now, kind, &members, out));
        self.forget_gone();
    }
}

/// Carries out one attempt, to its one outcome.
async fn carry(pending: Pending) {
    let outcome = pending.carry().await;
    pending.end(outcome);
}

/// The wait for a final answer. It keeps the promise to a client: when it ends with no answer, for
/// whatever reason, the module hears that the client is gone.
struct Taken {
    exchange: Rc<Exchange>,
    id: RequestId,
    receiver: oneshot::Receiver<Reply>,
}

impl Future for Taken {
    type Output = Reply;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Reply> {
        Pin::new(&mut self.receiver).poll(cx).map(|reply| reply.unwrap_or(Reply::Failed))
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.exchange.left(self.id);
    }
}

/// An attempt that owes the module its one outcome. If its task panics, it may have run.
struct Pending {
    exchange: Rc<Exchange>,
    job: Rc<Job>,
    attempt: Rc<Attempt>,
    owed: bool,
}

impl Pending {
    fn new(exchange: &Rc<Exchange>, job: &Rc<Job>, attempt: Rc<Attempt>) -> Self {
        Self { exchange: exchange.clone(), job: job.clone(), attempt, owed: true }
    }

    async fn carry(&self) -> AttemptOutcome {
        let Self { exchange, job, attempt, .. } = self;
        let call = attempt.call.as_ref();
        let allowed = attempt.number < exchange.settings.policy_limits.max_attempts;
        let Some(call) = call.filter(|_| allowed) else {
            return AttemptOutcome::nothing(Ended::NotBegun);
        };
        let ended = async {
            job.ended.notified().await;
            if call.left_whole() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            // After the final answer no byte goes out: what is half written stays so. First of all:
            // the transport may be about to write in this very turn.
            () = ended => AttemptOutcome::nothing(Ended::Over),
            outcome = exchange.transport.clone().attempt(call.clone()) => outcome,
            () = attempt.cancel.notified() => AttemptOutcome::nothing(Ended::Withdrawn),
            () = sleep_until(call.until) => AttemptOutcome::nothing(Ended::TimeUp),
        }
    }

    fn end(mut self, outcome: AttemptOutcome) {
        self.owed = false;
        self.exchange.outcome(&self.job, &self.attempt, outcome);
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if std::mem::take(&mut self.owed) {
            let outcome = AttemptOutcome::nothing(Ended::Broke);
            self.exchange.outcome(&self.job, &self.attempt, outcome);
        }
    }
}

/// The longest that any class lets a client wait.
pub fn longest_deadline(settings: &DeploymentSettings) -> Duration {
    let longest = settings.services.iter().map(|s| s.deadline).fold(0.0, f64::max);
    micros(span(longest))
}
