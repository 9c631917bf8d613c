//! The facade of a pool and the only owner of its policy. It reports events to the policy and carries out the actions
//! that the policy returns. It makes no decisions itself.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use sableloom_policy::Balancer;
use sableloom_types::settings::{DeploymentSettings, span_from_ms};
use sableloom_types::{
    Action, AttemptResult, Endpoint, EndpointStatus, Idempotency, ListKind, ListedEndpoint,
    LoadReport, Outcome, PolicySettingsError, Request, RequestId, ServerId, Span, Time,
};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use crate::address_book::AddressBook;
use crate::attempt::Attempt;
use crate::attempt_context::AttemptContext;
use crate::attempt_run::PendingAttempt;
use crate::clock::{Clock, duration_of};
use crate::deadlines::longest_deadline_span;
use crate::idle::{IdleState, Timer};
use crate::message::{Message, Reply, RequestContext, RequestRejection};
use crate::open_requests::{OpenRequest, OpenRequests};
use crate::outcome::{self, AttemptEnd};
use crate::reply_future::ReplyFuture;
use crate::traits::{
    AttemptOutcome, EndpointListener, EndpointSource, LocalFuture, Service, Transport,
};

/// The time at which this balancer's proven share of the servers expires, and the share that applies afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareExpiry {
    /// When the share expires.
    pub at: Time,
    /// The number of balancers that count as sharing the servers from then on.
    pub balancers_after: u32,
}

struct State {
    balancer: Balancer,
    share_expiry: Option<ShareExpiry>,
    requests: OpenRequests,
    endpoints: AddressBook,
    idle: IdleState,
}

/// The settings and components from which an [`Exchange`] is started.
pub struct ExchangeOptions {
    /// The deployment's settings.
    pub settings: Rc<DeploymentSettings>,
    /// The seed of the policy's random numbers.
    pub seed: u64,
    /// The clock that all components share.
    pub clock: Clock,
    /// Runs the attempts.
    pub transport: Rc<dyn Transport>,
    /// Provides the endpoint list.
    pub source: Rc<dyn EndpointSource>,
}

/// One pool of servers, its policy and its open requests.
pub struct Exchange {
    state: RefCell<State>,
    clock: Clock,
    settings: Rc<DeploymentSettings>,
    transport: Rc<dyn Transport>,
    source: Rc<dyn EndpointSource>,
    /// Whether the exchange was closed, so that no further timer of the policy is started.
    closed: Cell<bool>,
    /// Whether the process is about to terminate, so that new requests are rejected at once.
    shutting_down: Cell<bool>,
}

impl Exchange {
    /// Starts an exchange without any servers: its policy's timers run, and it subscribes to its endpoint source.
    ///
    /// # Errors
    ///
    /// Returns the setting that the policy does not support.
    pub fn start(options: ExchangeOptions) -> Result<Rc<Self>, PolicySettingsError> {
        let ExchangeOptions { settings, seed, clock, transport, source } = options;
        let now = clock.now();
        let state = State {
            balancer: Balancer::new(settings.policy_settings(), seed, now)?,
            share_expiry: None,
            requests: OpenRequests::new(longest_deadline_span(&settings)),
            endpoints: AddressBook::default(),
            idle: IdleState::new(&settings, now),
        };
        let exchange = Rc::new(Self {
            state: RefCell::new(state),
            clock,
            settings,
            transport,
            source,
            closed: Cell::new(false),
            shutting_down: Cell::new(false),
        });
        exchange.with_policy(|balancer, now, actions| balancer.start(now, actions));
        // The exchange subscribes at once, even if the policy polls for the list: the source decides whether it
        // waits for the policy's request (`Action::Subscribe`).
        exchange.source.clone().subscribe(exchange.clone());
        Ok(exchange)
    }

    /// Starts no further timer of the policy, so that no task keeps a reference to the exchange once the pending
    /// timer has fired. Must be called only when no request is open and no further one will arrive.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Sets the number of balancers that share the servers, and when that number expires; `None` for no expiry.
    pub fn set_balancers(&self, balancers: u32, expiry: Option<ShareExpiry>) {
        let mut state = self.state.borrow_mut();
        // The previous share may have expired while the pool was idle, during which its expiry is not checked.
        state.expire_share(self.clock.now());
        state.balancer.set_balancers(balancers);
        state.share_expiry = expiry;
    }

    /// Whether the pool is idle, in which case none of its timers runs.
    pub fn is_idle(&self) -> bool {
        self.state.borrow().idle.is_idle()
    }

    /// The number of requests that were not answered and whose clients have not disconnected.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().requests.unfinished().count()
    }

    /// The number of servers of which state is kept: those of the list, and those that left it with an attempt in flight.
    pub fn servers(&self) -> usize {
        self.state.borrow().endpoints.len()
    }

    /// Answers all open requests because the process is about to terminate: requests that were never forwarded are
    /// rejected, the others fail. Afterwards nothing is forwarded, and new requests are rejected at once. Without
    /// this, a request that was read in the last 60 ms before the termination was forwarded, and its answer arrived
    /// after the process had terminated.
    pub fn abort_open_requests(self: &Rc<Self>) {
        self.shutting_down.set(true);
        let open: Vec<_> = {
            let state = self.state.borrow();
            let open = state.requests.unfinished();
            open.map(|request| (request.id, request.has_no_attempt())).collect()
        };
        for (id, never_forwarded) in open {
            let reply = if never_forwarded { Reply::Rejected(None) } else { Reply::Failed };
            self.send_final_answer(&mut self.state.borrow_mut(), id, reply);
            self.with_policy(|balancer, now, actions| balancer.client_gone(now, id, actions));
        }
    }

    /// Calls the policy once and carries out the actions that it returns.
    fn with_policy(self: &Rc<Self>, call: impl FnOnce(&mut Balancer, Time, &mut Vec<Action>)) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        state.expire_share(now);
        let mut actions = Vec::new();
        state.run_deferred_timer(now, &mut actions);
        call(&mut state.balancer, now, &mut actions);
        for action in actions {
            self.apply_action(&mut state, now, action);
        }
    }

    fn apply_action(self: &Rc<Self>, state: &mut State, now: Time, action: Action) {
        match action {
            Action::Forward { request, server, timeout } => {
                self.forward(state, now, request, server, timeout);
            }
            Action::Reject { request, retry_after } => {
                let enabled = self.settings.policy_limits.retry_after && retry_after.0 > 0;
                let retry_after = enabled.then(|| duration_of(retry_after));
                self.send_final_answer(state, request, Reply::Rejected(retry_after));
            }
            Action::Fail { request } => self.send_final_answer(state, request, Reply::Failed),
            Action::Cancel { request, attempt } => {
                if let Some(request) = state.requests.get(request)
                    && let Some(attempt) = request.attempts.borrow().get(attempt)
                {
                    attempt.cancel.notify_one();
                }
            }
            Action::SetTimer { token, at } => self.set_timer(state, now, Timer { token, at }),
            Action::CheckHealth { server } => self.check_health(state, server),
            Action::Subscribe => {
                // The subscription is opened in a task of its own: a source may report a list at once, while this
                // call still borrows the state.
                let exchange = self.clone();
                spawn_local(async move {
                    exchange.source.clone().subscribe(exchange.clone());
                });
            }
        }
    }

    fn forward(
        self: &Rc<Self>,
        state: &State,
        now: Time,
        id: RequestId,
        server: ServerId,
        timeout: Span,
    ) {
        let Some(request) = state.requests.get(id) else { return };
        let Some(dispatch_address) = state.endpoints.dispatch_address(server) else { return };
        let request_deadline = request.deadline;
        let deadline =
            if timeout.0 == 0 { request_deadline } else { request_deadline.min(now.plus(timeout)) };
        let deadline = self.clock.instant_of(deadline);
        let (message, finished) = (request.message.clone(), request.finished.clone());
        let context = AttemptContext::new(message, server, dispatch_address, deadline, finished);
        let window_end = self.dedup_window_end(request);
        let attempt = Rc::new(Attempt {
            number: request.attempts.borrow().len(),
            server,
            forwarded_at: self.clock.instant_of(now),
            context: context.map(|context| Rc::new(context.complete_before(window_end))),
            may_have_executed: Cell::new(true),
            cancel: Notify::new(),
        });
        request.attempts.borrow_mut().push(attempt.clone());
        request.attempts_in_flight.set(request.attempts_in_flight.get() + 1);
        let exchange = self.clone();
        let report = move |request: &OpenRequest, attempt: &Attempt, outcome: AttemptOutcome| {
            exchange.attempt_ended(request, attempt, outcome);
        };
        let pending = PendingAttempt::new(request.clone(), attempt, report);
        let max_attempts = self.settings.policy_limits.max_attempts;
        spawn_local(pending.run_attempt(self.transport.clone(), max_attempts));
    }

    /// The time until which servers recognize a further attempt as a retry: they drop attempts that arrive within the
    /// class's deduplication window of the first attempt that may have been executed. The policy checks the window
    /// when it decides, but the connection may be established, or a blocked connection may accept the last byte, long
    /// after that.
    fn dedup_window_end(&self, request: &OpenRequest) -> Option<Instant> {
        if request.message.idempotency != Idempotency::Keyed {
            return None;
        }
        let first = request.first_possible_execution()?;
        let class = self.settings.classes.get(request.class);
        let window = class.map_or(0.0, |class| class.dedup_window);
        Some(first + duration_of(span_from_ms(window)))
    }

    fn set_timer(self: &Rc<Self>, state: &mut State, now: Time, timer: Timer) {
        if self.closed.get() {
            return;
        }
        let any_open = !state.requests.is_empty();
        if state.idle.defer_timer_if_idle(now, any_open, timer) {
            return;
        }
        let (exchange, due) = (self.clone(), self.clock.instant_of(timer.at));
        spawn_local(async move {
            sleep_until(due).await;
            exchange.with_policy(|balancer, now, actions| {
                balancer.timer_fired(now, timer.token, actions)
            });
        });
    }

    fn check_health(self: &Rc<Self>, state: &State, server: ServerId) {
        let Some(address) = state.endpoints.address(server) else { return };
        if !self.settings.policy_limits.health_checks {
            return;
        }
        let check = self.transport.clone().check_health(server, address);
        let (exchange, sent) = (self.clone(), Instant::now());
        spawn_local(async move {
            let report = check.await;
            exchange.health_checked(server, report, sent.elapsed());
        });
    }

    fn health_checked(
        self: &Rc<Self>,
        server: ServerId,
        report: Option<LoadReport>,
        latency: Duration,
    ) {
        let latency = Span(latency.as_micros() as i64);
        let (healthy, report) = (report.is_some(), report.unwrap_or_default());
        self.with_policy(|balancer, _, _| {
            balancer.health_checked(server, healthy, latency, report)
        });
    }

    /// Reports the outcome of an attempt to the policy, and answers the request if the attempt succeeded.
    fn attempt_ended(
        self: &Rc<Self>,
        request: &OpenRequest,
        attempt: &Attempt,
        attempt_outcome: AttemptOutcome,
    ) {
        let id = request.id;
        request.attempts_in_flight.set(request.attempts_in_flight.get() - 1);
        let outcome = outcome::classify(outcome::AttemptFacts {
            ended: attempt_outcome.ended,
            fully_written: attempt.context.as_ref().is_some_and(|context| context.fully_written()),
            not_executed: attempt_outcome.not_executed,
        });
        attempt.may_have_executed.set(!outcome.not_executed());
        if attempt_outcome.ended == AttemptEnd::NotStarted && request.message.client_is_gone() {
            self.client_disconnected(id);
        }
        let latency = Span(attempt.forwarded_at.elapsed().as_micros() as i64);
        if outcome == Outcome::Ok {
            let answer = attempt_outcome.answer.unwrap_or_default();
            self.send_final_answer(&mut self.state.borrow_mut(), id, Reply::Served(answer));
        }
        let result = AttemptResult {
            request: id,
            attempt: attempt.number,
            server: attempt.server,
            outcome,
            latency,
            ends_request: request.finished.get(),
            report: attempt_outcome.report,
        };
        self.with_policy(|balancer, now, actions| balancer.attempt_ended(now, result, actions));
        self.state.borrow_mut().remove_if_done(self.clock.now(), id);
    }

    /// Sends the final answer to a request unless one was sent before. No other function sends final answers.
    fn send_final_answer(&self, state: &mut State, id: RequestId, reply: Reply) {
        let Some(request) = state.requests.get(id) else { return };
        let Some(sender) = request.finish() else { return };
        // The send fails if the client has just disconnected, which needs no answer.
        let _ = sender.send(reply);
        request.finish_signal.notify_waiters();
        state.remove_if_done(self.clock.now(), id);
    }

    /// Finishes a request whose client has disconnected: no further byte is sent for it.
    fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        let was_open = {
            let mut state = self.state.borrow_mut();
            let Some(request) = state.requests.get(id) else { return };
            let was_open = request.client_disconnected();
            request.finish_signal.notify_waiters();
            state.remove_if_done(self.clock.now(), id);
            was_open
        };
        if was_open {
            self.with_policy(|balancer, now, actions| balancer.client_gone(now, id, actions));
        }
    }

    /// Records the entries of a list in the address book, and reports to the transport which servers changed their
    /// address or left the list.
    fn record_endpoints(&self, kind: ListKind, entries: &[ListedEndpoint]) -> Vec<Endpoint> {
        let mut state = self.state.borrow_mut();
        if kind != ListKind::Update {
            state.endpoints.begin_full_list();
        }
        let mut endpoints = Vec::with_capacity(entries.len());
        for entry in entries {
            let recorded = state.endpoints.record(&self.settings, entry);
            if recorded.address_changed {
                self.transport.address_changed(recorded.endpoint.id);
            }
            endpoints.push(recorded.endpoint);
        }
        let superseded = state.endpoints.withdraw_superseded();
        endpoints.retain(|endpoint| superseded.iter().all(|gone| gone.id != endpoint.id));
        endpoints.extend(superseded);
        let full = matches!(kind, ListKind::Full | ListKind::Restored);
        state.idle.endpoints_updated(full, &endpoints);
        // Only the servers that a full list omits are retired. Retiring all servers first would close every idle
        // connection, and each full list would cost as many new connections.
        for server in state.endpoints.withdraw_unlisted() {
            self.transport.set_retired(server, true);
        }
        endpoints
    }

    /// Removes the servers that are not listed and for which the policy has no state any more.
    fn remove_unlisted(&self) {
        let state = &mut *self.state.borrow_mut();
        for server in state.endpoints.remove_unlisted(|server| state.balancer.has_server(server)) {
            self.transport.forget(server);
        }
    }
}

impl State {
    /// Applies the expiry of the balancer's share if it is due. The expiry is checked before each call of the policy
    /// rather than by a timer, because a process that was stopped and resumed may receive a request before any of its
    /// timers fires.
    fn expire_share(&mut self, now: Time) {
        if let Some(expiry) = self.share_expiry.take_if(|expiry| now >= expiry.at) {
            self.balancer.set_balancers(expiry.balancers_after);
        }
    }

    /// Ends the idle period of the pool: runs the deferred timer if it is due, and sets it again otherwise.
    fn run_deferred_timer(&mut self, now: Time, actions: &mut Vec<Action>) {
        match self.idle.take_deferred_timer() {
            Some(Timer { token, at }) if at <= now => {
                self.balancer.timer_fired(now, token, actions)
            }
            Some(Timer { token, at }) => actions.push(Action::SetTimer { token, at }),
            None => {}
        }
    }

    /// Removes a request that is finished and has no attempt in flight.
    fn remove_if_done(&mut self, now: Time, id: RequestId) {
        if self.requests.remove_if_done(now, id) {
            self.idle.record_request_change(now);
        }
    }
}

impl Service for Exchange {
    fn call(
        self: Rc<Self>,
        context: RequestContext,
        message: Message,
    ) -> Result<LocalFuture<Reply>, RequestRejection> {
        if self.shutting_down.get() {
            return Ok(Box::pin(std::future::ready(Reply::Rejected(None))));
        }
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            let limit = self.settings.policy_limits.max_open;
            let now = self.clock.now();
            let id = state.requests.open(now, &context, message, sender, limit)?;
            state.idle.record_request_change(now);
            id
        };
        let RequestContext { class, tenant, key, deadline } = context;
        let request = Request { id, class, tenant, key, deadline };
        self.with_policy(|balancer, now, actions| balancer.request_arrived(now, request, actions));
        Ok(Box::pin(ReplyFuture::new(receiver, move || self.client_disconnected(id))))
    }
}

impl EndpointListener for Exchange {
    fn endpoints_updated(self: Rc<Self>, kind: ListKind, entries: Vec<ListedEndpoint>) {
        let endpoints = self.record_endpoints(kind, &entries);
        // Draining servers are retired too, because idle connections to them would only delay their shutdown.
        for endpoint in &endpoints {
            self.transport.set_retired(endpoint.id, endpoint.status != EndpointStatus::Live);
        }
        self.with_policy(|balancer, now, actions| {
            balancer.update_endpoints(now, kind, &endpoints, actions);
        });
        self.remove_unlisted();
    }

    fn list_outdated_from(&self, time: Option<Time>) {
        self.state.borrow_mut().balancer.set_list_outdated_from(time);
    }
}
