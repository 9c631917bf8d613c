//! The facade of the policy: takes in what happened, asks the parts in order, and returns the actions.

use oorandom::Rand64;
use sableloom_types::{
    Action, AttemptResult, Endpoint, ListKind, LoadReport, Outcome, PolicySettings,
    PolicySettingsError, Request, RequestId, ServerId, Span, Time,
};

use crate::admission::Admission;
use crate::capacity::{Capacity, ServerGauge};
use crate::concurrency_limit::{ConcurrencyLimit, LatencySample};
use crate::deadlines::Deadlines;
use crate::endpoints::ServerTable;
use crate::in_flight::InFlight;
use crate::list_polling::ListPolling;
use crate::outlier::ZoneOutliers;
use crate::presence;
use crate::queue::RequestQueue;
use crate::request::{Attempt, AttemptState, EndedAttempt, OpenRequest, OpenRequests};
use crate::retry::RetryRules;
use crate::selection::Selection;
use crate::server::Server;
use crate::service_time::ServiceTimes;
use crate::settings;
use crate::slow_start::{self, SlowStart};
use crate::tenant_quota::TenantQuotas;

/// Token of the housekeeping timer.
const HOUSEKEEPING: u64 = 1;
/// The decisions of one balancer for one pool of servers. Times that are passed in must not go back.
#[derive(Debug)]
pub struct Balancer {
    settings: PolicySettings,
    rng: Rand64,
    servers: ServerTable,
    zones: ZoneOutliers,
    requests: OpenRequests,
    queue: RequestQueue,
    in_flight: InFlight,
    service_times: ServiceTimes,
    limit: ConcurrencyLimit,
    slow_start: SlowStart,
    admission: Admission,
    quotas: TenantQuotas,
    polling: ListPolling,
    /// When the estimates were last brought up to date.
    refreshed: Time,
}

impl Balancer {
    /// A balancer that knows its settings and nothing else yet; the seed decides what is drawn by chance.
    ///
    /// # Errors
    ///
    /// If the settings name no class, or a class whose latency objective or deadline is not above zero.
    pub fn new(
        settings: PolicySettings,
        seed: u64,
        now: Time,
    ) -> Result<Self, PolicySettingsError> {
        let settings = settings::checked(settings)?;
        let target_time = settings::target_time(&settings);
        let classes = settings.classes.len();
        let service_times = ServiceTimes::new(target_time, classes);
        Ok(Self {
            rng: Rand64::new(u128::from(seed)),
            servers: ServerTable::default(),
            zones: ZoneOutliers::default(),
            requests: OpenRequests::default(),
            queue: RequestQueue::new(classes),
            in_flight: InFlight::default(),
            limit: ConcurrencyLimit::new(classes),
            slow_start: SlowStart::new(&settings.safety_rules),
            admission: Admission::new(service_times.overall(), classes),
            quotas: TenantQuotas::new(&settings.tenants, target_time, now),
            polling: ListPolling::new(&settings, now),
            refreshed: now,
            service_times,
            settings,
        })
    }

    /// Sets the first timer and, where the list must be polled, the time of the first poll. To be called once, right
    /// after [`Balancer::new`].
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.polling.start(now, &mut self.rng);
        self.set_timer(now, out);
    }

    /// A timer is due. Tokens that this balancer did not set are ignored.
    pub fn timer_fired(&mut self, now: Time, token: u64, out: &mut Vec<Action>) {
        if token != HOUSEKEEPING {
            return;
        }
        self.in_flight.release_abandoned(now, self.servers.all_mut());
        self.refresh(now);
        self.abandon_overdue(now, out);
        self.dispatch(now, out);
        if self.polling.is_due(now, &mut self.rng) {
            out.push(Action::Subscribe);
        }
        self.set_timer(now, out);
    }

    fn set_timer(&self, now: Time, out: &mut Vec<Action>) {
        let at = now.plus(settings::housekeeping_interval(&self.settings));
        out.push(Action::SetTimer { token: HOUSEKEEPING, at });
    }

    /// A client's request has arrived; it is forwarded, queued or rejected.
    pub fn request_arrived(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
        if request.class >= self.settings.classes.len() {
            out.push(Action::Reject { request: request.id, retry_after: Span(0) });
            return;
        }
        if self.requests.contains(request.id) {
            return;
        }
        let class_mean = self.service_times.class_mean(request.class);
        let deadlines = Deadlines::new(now, &request, &self.settings, class_mean);
        self.requests.insert(request.id, OpenRequest::new(&request, &deadlines));
        let within_quota = self.quotas.is_within(now, request.tenant, self.settings.balancers);
        let class = &self.settings.classes[request.class];
        let misses = self.admission.cannot_meet_objective(now, &request, class, class_mean);
        let in_vain =
            deadlines.is_too_late(now) && !self.is_worth_a_trial(now, &request, &deadlines);
        if !self.admits(request.class, within_quota && !misses) || in_vain {
            self.reject(request.id, out);
            return;
        }
        if within_quota {
            self.quotas.admitted(request.tenant);
        }
        self.enqueue(request.id);
        self.dispatch(now, out);
    }

    /// Whether a request that seems to come too late for its objective is tried all the same: one of a class at a
    /// time, where none of the class has time enough, or no answer would ever show otherwise. Failure: after answers
    /// slower than its objective a class was rejected for good, by idle servers.
    fn is_worth_a_trial(&self, now: Time, request: &Request, deadlines: &Deadlines) -> bool {
        let class = request.class;
        let objective = self.settings.classes[class].latency_objective;
        let usually = objective.min(self.admission.usual_timeout(class));
        deadlines.rests_on_latency_alone(now, usually) && !self.requests.has_class_in_flight(class)
    }

    fn admits(&self, class: usize, full_share: bool) -> bool {
        let open = self.queue.competing_with(class) + self.in_flight.total();
        self.admission.admits(class, self.service_times.overall(), full_share, open)
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: Time, result: AttemptResult, out: &mut Vec<Action>) {
        let Some(attempt) = self.requests.close_attempt(&result) else { return };
        self.learn(now, &attempt, &result);
        if result.ends_request || result.outcome == Outcome::Ok {
            self.end(result.request);
        } else {
            self.retry_or_finish(now, result.request, out);
        }
        self.dispatch(now, out);
    }

    /// Takes the result of an attempt into every estimate, and frees its slot.
    fn learn(&mut self, now: Time, attempt: &EndedAttempt, result: &AttemptResult) {
        let latency = result.latency.as_micros_f64();
        match result.outcome {
            Outcome::Timeout => self.learn_timeout(attempt, latency),
            Outcome::Ok => self.learn_served(now, attempt, latency),
            _ => {}
        }
        let &EndedAttempt { class, server: index, sent } = attempt;
        let server = &mut self.servers.all_mut()[index];
        self.service_times.observe_server(server, class, result.outcome, latency);
        let service_time = self.service_times.overall();
        server.connect_failures.attempt_ended(result.outcome, now, service_time);
        self.zones.attempt_ended(server.zone, result.outcome, now, sent, service_time);
        server.outliers[class].class_attempt_ended(result.outcome, now, sent, service_time);
        if result.outcome == Outcome::Timeout {
            self.in_flight.abandon(now, index, latency);
        } else {
            self.in_flight.end(server);
        }
    }

    /// A timeout lowers the limit too, unless its server stands out: one that hangs tells of itself. Failure: once
    /// all is overloaded nothing answers, and a limit that only answers move stays.
    fn learn_timeout(&mut self, attempt: &EndedAttempt, latency: f64) {
        let server = &self.servers.all()[attempt.server];
        if !self.service_times.is_typical(server) {
            return;
        }
        let kind = server.kind;
        self.adjust_limit(attempt.class, latency);
        self.service_times.observe_timeout(attempt.class, kind, latency);
        self.slow_start.know_kinds(self.service_times.kinds());
    }

    fn learn_served(&mut self, now: Time, attempt: &EndedAttempt, latency: f64) {
        let kind = self.servers.all()[attempt.server].kind;
        self.service_times.observe_served(attempt.class, kind, latency);
        self.slow_start.know_kinds(self.service_times.kinds());
        self.adjust_limit(attempt.class, latency);
        self.slow_start.served(now, &self.servers.all()[attempt.server]);
        if !self.service_times.is_settled() {
            // The first answers move too much for sums of the last housekeeping.
            self.refresh_capacity();
        }
    }

    fn adjust_limit(&mut self, class: usize, latency: f64) {
        let sample = LatencySample {
            class,
            latency,
            objective: self.settings.classes[class].latency_objective.as_micros_f64(),
            unloaded: self.service_times.unloaded(class),
            open: self.in_flight.total() + self.queue.len(),
        };
        self.limit.adjust(&sample, self.settings.balancers);
    }

    /// After an attempt that did not serve the request: queues it for a retry, or answers it.
    fn retry_or_finish(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if request.ended {
            return self.end(id);
        }
        if request.queued || request.in_flight() {
            return;
        }
        let rules = self.retry_rules();
        let servers = self.servers.all();
        let mut live = (0..servers.len()).filter(|index| servers[*index].is_live());
        let may_retry = live.any(|index| rules.may_forward(now, request, index));
        if may_retry && now < request.queue_deadline {
            self.enqueue_retry(id);
        } else {
            self.abandon(id, out);
        }
    }

    /// Answers a request that is not served: with a rejection where it may safely be repeated.
    fn abandon(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if self.retry_rules().may_reject(request) {
            self.reject(id, out);
        } else {
            out.push(Action::Fail { request: id });
            self.end(id);
        }
    }

    fn reject(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let class = self.requests.get(id).map_or(0, |request| request.class);
        let open = self.queue.len() + self.in_flight.total();
        let service_time = self.service_times.overall();
        let limits = &self.settings.limits;
        let retry_after = self.admission.retry_after(class, service_time, open, limits);
        out.push(Action::Reject { request: id, retry_after });
        self.end(id);
    }

    /// The client no longer waits; no answer is due.
    pub fn client_gone(&mut self, _now: Time, id: RequestId, _out: &mut Vec<Action>) {
        self.end(id);
    }

    /// The answer has begun to stream to the client: no other attempt may answer.
    pub fn stream_started(&mut self, _now: Time, id: RequestId, _out: &mut Vec<Action>) {
        self.end(id);
    }

    /// Notes that a request has its final answer; it is forgotten once no attempt of it is in flight.
    fn end(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.ended = true;
        if std::mem::take(&mut request.queued) {
            self.queue.left(request.class);
        }
        if !request.in_flight() {
            self.requests.remove(id);
        }
    }

    /// Answers requests that were queued for too long.
    fn abandon_overdue(&mut self, now: Time, out: &mut Vec<Action>) {
        let overdue = |request: &OpenRequest| request.queued && now >= request.queue_deadline;
        let is_overdue = |id: &RequestId| self.requests.get(*id).is_some_and(overdue);
        let ids: Vec<RequestId> = self.queue.entries().filter(is_overdue).collect();
        for id in ids {
            self.abandon(id, out);
        }
    }

    fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.queued = true;
        self.queue.push(id, request.class);
    }

    fn enqueue_retry(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.queued = true;
        self.queue.push_retry(id, request.class);
    }

    /// First come, first served, while some server has a free slot. A class that no server takes does not hold up
    /// the classes behind it.
    fn dispatch(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut position = 0;
        let mut blocked = vec![false; self.settings.classes.len()];
        while let Some(id) = self.queue.get(position) {
            if self.in_flight.total() as f64 >= self.limit.limit().max(1.0) {
                break;
            }
            let Some(request) = self.requests.get(id).filter(|request| request.queued) else {
                self.queue.remove_at(position);
                continue;
            };
            let (class, is_retry) = (request.class, !request.attempts.is_empty());
            if blocked[class] {
                position += 1;
                continue;
            }
            if let Some(server) = self.select(now, id) {
                self.queue.remove_at(position);
                self.forward(now, id, server, out);
                continue;
            }
            // A retry may merely be bound to other servers: it blocks nothing.
            blocked[class] |= !is_retry;
            if blocked.iter().all(|blocked| *blocked) {
                break;
            }
            position += 1;
        }
    }

    fn select(&mut self, now: Time, id: RequestId) -> Option<usize> {
        let initial_rate = self.initial_rate();
        let request = self.requests.get(id)?;
        let selection = Selection {
            now,
            settings: &self.settings,
            servers: self.servers.all(),
            zones: &self.zones,
            capacity: Capacity { service_times: &self.service_times, limit: &self.limit },
            slow_start: &self.slow_start,
            initial_rate,
            retry_rules: RetryRules::new(&self.settings, self.servers.all()),
        };
        selection.select(request, &mut self.rng)
    }

    fn forward(&mut self, now: Time, id: RequestId, index: usize, out: &mut Vec<Action>) {
        let initial_rate = self.initial_rate();
        let server = &mut self.servers.all_mut()[index];
        self.slow_start.forwarded(now, server, initial_rate);
        let Some(request) = self.requests.get_mut(id) else { return };
        request.queued = false;
        self.queue.left(request.class);
        request.attempts.push(Attempt { server: index, sent: now, state: AttemptState::InFlight });
        self.in_flight.begin(server);
        server.outliers[request.class].attempt_began();
        self.zones.attempt_began(server.zone, now);
        let timeout = request.valuable_until.since(now);
        out.push(Action::Forward { request: id, server: server.id, timeout });
    }

    fn retry_rules(&self) -> RetryRules<'_> {
        RetryRules::new(&self.settings, self.servers.all())
    }

    fn initial_rate(&self) -> f64 {
        slow_start::initial_rate(self.settings.balancers, self.service_times.overall())
    }

    /// The endpoint list, or a change to it.
    pub fn update_endpoints(
        &mut self,
        now: Time,
        kind: ListKind,
        list: &[Endpoint],
        out: &mut Vec<Action>,
    ) {
        match kind {
            ListKind::Unavailable => return self.polling.failed(now, &mut self.rng),
            ListKind::Restored => {}
            ListKind::Update | ListKind::Full => self.polling.listed(),
        }
        let before = self.slow_start.warm_weights(now, self.servers.all());
        if kind != ListKind::Update {
            self.servers.withdraw_all();
        }
        let classes = self.settings.classes.len();
        for endpoint in list {
            if self.servers.is_irrelevant(endpoint) {
                continue;
            }
            // Spread over all balancers: a random part of the first request's token is there at once.
            let initial_tokens = self.rng.rand_float();
            self.servers.update(endpoint, classes, initial_tokens, now);
        }
        self.slow_start.list_changed(now, self.servers.all(), &before);
        self.refresh(now);
        self.dispatch(now, out);
        let requests = &self.requests;
        self.servers.forget_gone(|server| requests.any_tried(server));
    }

    /// Brings up to date what is summed over all servers.
    fn refresh(&mut self, now: Time) {
        for class in 0..self.settings.classes.len() {
            let ejected = self.servers.eject_everywhere(class, now);
            self.queue.set_ejected_everywhere(class, ejected);
        }
        let elapsed = now.since(self.refreshed);
        let slow_start = self.settings.safety_rules.slow_start;
        self.service_times.refresh(self.servers.all_mut(), elapsed, slow_start);
        presence::refresh(self.servers.all_mut(), &self.zones, &self.slow_start, now);
        let initial_rate = self.initial_rate();
        self.slow_start.refresh(now, elapsed, self.servers.all_mut(), initial_rate);
        self.refreshed = now;
        self.refresh_capacity();
    }

    fn refresh_capacity(&mut self) {
        let servers = self.servers.all();
        self.service_times.refresh_round_trip(servers);
        self.limit.refresh(servers, self.settings.balancers);
        let capacity = Capacity { service_times: &self.service_times, limit: &self.limit };
        let rate = self.servers.live().map(|server| capacity.admission_rate(server)).sum();
        self.admission.refresh(rate, &self.settings.classes, &self.service_times);
    }

    /// The servers are shared by this many balancers from now on.
    pub fn set_balancers(&mut self, balancers: u32) {
        let before = std::mem::replace(&mut self.settings.balancers, balancers.max(1));
        self.limit.set_balancers(before, self.settings.balancers);
    }

    /// Whether a server is on the list or something of it is still open.
    pub fn has_server(&self, id: ServerId) -> bool {
        self.servers.has_server(id)
    }

    /// A server's requests in flight, `K_i`, and `N_i` within a time, for gauges; `None` if it is not known.
    pub fn server_gauge(&self, id: ServerId, time: Span) -> Option<ServerGauge> {
        let capacity = Capacity { service_times: &self.service_times, limit: &self.limit };
        self.servers.by_id(id).map(|server: &Server| capacity.gauge(server, time))
    }

    /// A health check was answered. The policy draws no conclusion from it so far.
    pub fn health_checked(
        &mut self,
        _server: ServerId,
        _healthy: bool,
        _latency: Span,
        _report: LoadReport,
    ) {
    }
}
