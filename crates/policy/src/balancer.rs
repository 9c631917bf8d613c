//! The facade of the policy: it receives events, calls the parts in order and returns the actions.

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
use crate::queue::RequestQueue;
use crate::request::{Attempt, AttemptState, EndedAttempt, OpenRequest, OpenRequests};
use crate::retry::RetryRules;
use crate::selection::Selection;
use crate::server::Server;
use crate::service_time::ServiceTimes;
use crate::settings;
use crate::slow_start::{self, SlowStart};
use crate::tenant_quota::TenantQuotas;
use crate::usable_share;

/// The token of the housekeeping timer.
const HOUSEKEEPING_TIMER: u64 = 1;

/// Makes the decisions of one balancer for one pool of servers. The times that are passed to its methods must not
/// decrease.
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
    /// When the estimates were last refreshed.
    last_refresh: Time,
}

impl Balancer {
    /// Creates a balancer without servers and requests. The seed determines its random choices.
    ///
    /// # Errors
    ///
    /// [`PolicySettingsError`] if the settings contain no class, or a class whose latency objective or deadline is not
    /// above zero.
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
            last_refresh: now,
            service_times,
            settings,
        })
    }

    /// Sets the first timer and, where the list has to be polled, the time of the first poll. The caller calls this
    /// once, right after [`Balancer::new`].
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.polling.start(now, &mut self.rng);
        self.set_timer(now, out);
    }

    /// Handles a timer that is due. Tokens that this balancer did not set are ignored.
    pub fn timer_fired(&mut self, now: Time, token: u64, out: &mut Vec<Action>) {
        if token != HOUSEKEEPING_TIMER {
            return;
        }
        self.in_flight.release_abandoned(now, self.servers.all_mut());
        self.refresh(now);
        self.reject_or_fail_overdue(now, out);
        self.dispatch(now, out);
        if self.polling.is_due(now, &mut self.rng) {
            out.push(Action::Subscribe);
        }
        self.set_timer(now, out);
    }

    fn set_timer(&self, now: Time, out: &mut Vec<Action>) {
        let at = now.plus(settings::housekeeping_interval(&self.settings));
        out.push(Action::SetTimer { token: HOUSEKEEPING_TIMER, at });
    }

    /// Handles the arrival of a client's request, which is forwarded, queued or rejected. A request of an unknown class
    /// is rejected, and one whose id is already open is ignored.
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
        let misses_objective =
            self.admission.cannot_meet_objective(now, &request, class, class_mean);
        let too_late = deadlines.is_too_late(now) && !self.may_probe(now, &request, &deadlines);
        if !self.admits(request.class, within_quota && !misses_objective) || too_late {
            self.reject(request.id, out);
            return;
        }
        if within_quota {
            self.quotas.record_admitted(request.tenant);
        }
        self.enqueue(request.id);
        self.dispatch(now, out);
    }

    /// Whether a request that seems too late for its objective is admitted as a probe. If the latency of earlier
    /// answers makes every request of the class too late, one request of the class at a time is admitted, since the
    /// estimate changes only with new answers.
    fn may_probe(&self, now: Time, request: &Request, deadlines: &Deadlines) -> bool {
        let class = request.class;
        let objective = self.settings.classes[class].latency_objective;
        let usual_time = objective.min(self.admission.median_timeout(class));
        deadlines.is_late_by_estimate_only(now, usual_time)
            && !self.requests.has_class_in_flight(class)
    }

    fn admits(&self, class: usize, full_share: bool) -> bool {
        let open = self.queue.competing_with(class) + self.in_flight.total();
        self.admission.admits(class, self.service_times.overall(), full_share, open)
    }

    /// Handles the end of an attempt. A result for an unknown attempt, or a second result for one, is ignored.
    pub fn attempt_ended(&mut self, now: Time, result: AttemptResult, out: &mut Vec<Action>) {
        let Some(attempt) = self.requests.close_attempt(&result) else { return };
        self.record_result(now, &attempt, &result);
        if result.ends_request || result.outcome == Outcome::Ok {
            self.end(result.request);
        } else {
            self.retry_or_finish(now, result.request, out);
        }
        self.dispatch(now, out);
    }

    /// Updates all estimates with the result of an attempt, and frees its slot.
    fn record_result(&mut self, now: Time, attempt: &EndedAttempt, result: &AttemptResult) {
        let latency = result.latency.as_micros_f64();
        match result.outcome {
            Outcome::Timeout => self.record_timeout(attempt, latency),
            Outcome::Ok => self.record_served(now, attempt, latency),
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

    /// Lowers the concurrency limit after a timeout, unless the server is much slower than its machine type, since then
    /// its timeouts say nothing about the others. Once all servers are overloaded there are no answers, so a limit that
    /// only answers adjust would stay too high.
    fn record_timeout(&mut self, attempt: &EndedAttempt, latency: f64) {
        let server = &self.servers.all()[attempt.server];
        if !self.service_times.is_typical(server) {
            return;
        }
        let machine_type = server.machine_type;
        self.adjust_limit(attempt.class, latency);
        self.service_times.observe_timeout(attempt.class, machine_type, latency);
        self.slow_start.ensure_machine_types(self.service_times.machine_types());
    }

    fn record_served(&mut self, now: Time, attempt: &EndedAttempt, latency: f64) {
        let machine_type = self.servers.all()[attempt.server].machine_type;
        self.service_times.observe_served(attempt.class, machine_type, latency);
        self.slow_start.ensure_machine_types(self.service_times.machine_types());
        self.adjust_limit(attempt.class, latency);
        self.slow_start.record_served(now, &self.servers.all()[attempt.server]);
        if !self.service_times.is_settled() {
            // The first answers change the estimates so much that the sums cannot wait for the next housekeeping.
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

    /// Queues a request for a retry after an attempt that did not serve it, or answers it.
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
            self.reject_or_fail(id, out);
        }
    }

    /// Answers a request that is not served: rejects it if its client may safely repeat it, else fails it.
    fn reject_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
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

    /// Handles a client that no longer waits: its request gets no answer.
    pub fn client_gone(&mut self, _now: Time, id: RequestId, _out: &mut Vec<Action>) {
        self.end(id);
    }

    /// Handles the start of an answer that is streamed to the client: no other attempt may answer the request.
    pub fn stream_started(&mut self, _now: Time, id: RequestId, _out: &mut Vec<Action>) {
        self.end(id);
    }

    /// Marks a request as finished, and removes it once none of its attempts is in flight.
    fn end(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.ended = true;
        if std::mem::take(&mut request.queued) {
            self.queue.request_left(request.class);
        }
        if !request.in_flight() {
            self.requests.remove(id);
        }
    }

    /// Answers the queued requests whose queue deadline has passed.
    fn reject_or_fail_overdue(&mut self, now: Time, out: &mut Vec<Action>) {
        let overdue = |request: &OpenRequest| request.queued && now >= request.queue_deadline;
        let is_overdue = |id: &RequestId| self.requests.get(*id).is_some_and(overdue);
        let ids: Vec<RequestId> = self.queue.entries().filter(is_overdue).collect();
        for id in ids {
            self.reject_or_fail(id, out);
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

    /// Forwards queued requests in order while a server has a free slot. A class that no server takes does not block
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
            // A retry may be restricted to servers that are busy, while new requests of its class are not.
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
            retry_rules: RetryRules::new(&self.settings, &self.servers),
        };
        selection.select(request, &mut self.rng)
    }

    fn forward(&mut self, now: Time, id: RequestId, index: usize, out: &mut Vec<Action>) {
        let initial_rate = self.initial_rate();
        let server = &mut self.servers.all_mut()[index];
        self.slow_start.record_forwarded(now, server, initial_rate);
        let Some(request) = self.requests.get_mut(id) else { return };
        request.queued = false;
        self.queue.request_left(request.class);
        let (place, state) = (server.place(), AttemptState::InFlight);
        request.attempts.push(Attempt { server: index, place, sent: now, state });
        self.in_flight.begin(server);
        server.outliers[request.class].attempt_began();
        self.zones.attempt_began(server.zone, now);
        let timeout = request.answer_deadline.since(now);
        out.push(Action::Forward { request: id, server: server.id, timeout });
    }

    fn retry_rules(&self) -> RetryRules<'_> {
        RetryRules::new(&self.settings, &self.servers)
    }

    fn initial_rate(&self) -> f64 {
        slow_start::initial_rate(self.settings.balancers, self.service_times.overall())
    }

    /// Applies an endpoint list or a change to it, and forwards queued requests to the new servers.
    pub fn update_endpoints(
        &mut self,
        now: Time,
        kind: ListKind,
        list: &[Endpoint],
        out: &mut Vec<Action>,
    ) {
        match kind {
            ListKind::Unavailable => return self.polling.poll_failed(now, &mut self.rng),
            ListKind::Restored => {}
            ListKind::Update | ListKind::Full => self.polling.list_received(),
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
            // A server that has just started begins with a random part of its first token, so that the first requests
            // of all balancers do not reach it at the same time.
            let initial_tokens = self.rng.rand_float();
            self.servers.update(endpoint, classes, initial_tokens, now);
        }
        self.slow_start.list_changed(now, self.servers.all(), &before);
        self.refresh(now);
        self.dispatch(now, out);
        let requests = &self.requests;
        self.servers.remove_gone(|server| requests.any_tried(server));
    }

    /// Sets from when the list may lack changes of which the balancer counts as notified; `None` if it lacks none. From
    /// then on no keyed request that may have been executed is repeated within a zone or cell.
    pub fn set_list_outdated_from(&mut self, time: Option<Time>) {
        self.servers.set_outdated_from(time);
    }

    /// Refreshes the estimates and sums over all servers.
    fn refresh(&mut self, now: Time) {
        for class in 0..self.settings.classes.len() {
            let ejected = self.servers.is_ejected_everywhere(class, now);
            self.queue.set_ejected_everywhere(class, ejected);
        }
        let elapsed = now.since(self.last_refresh);
        let slow_start = self.settings.safety_rules.slow_start;
        self.service_times.refresh(self.servers.all_mut(), elapsed, slow_start);
        usable_share::refresh(self.servers.all_mut(), &self.zones, &self.slow_start, now);
        let initial_rate = self.initial_rate();
        self.slow_start.refresh(now, elapsed, self.servers.all_mut(), initial_rate);
        self.last_refresh = now;
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

    /// Sets the number of balancers that share the servers; 0 counts as 1.
    pub fn set_balancers(&mut self, balancers: u32) {
        let before = std::mem::replace(&mut self.settings.balancers, balancers.max(1));
        self.limit.set_balancers(before, self.settings.balancers);
    }

    /// Whether a server is on the list, or an open request or attempt still refers to it.
    pub fn has_server(&self, id: ServerId) -> bool {
        self.servers.has_server(id)
    }

    /// The requests in flight at a server, its `K_i`, and its `N_i` with `time` for T_QoS, for gauges; `None` if the
    /// server is unknown.
    pub fn server_gauge(&self, id: ServerId, time: Span) -> Option<ServerGauge> {
        let capacity = Capacity { service_times: &self.service_times, limit: &self.limit };
        self.servers.by_id(id).map(|server: &Server| capacity.gauge(server, time))
    }

    /// Handles the answer to a health check. The policy does not use it yet.
    pub fn health_checked(
        &mut self,
        _server: ServerId,
        _healthy: bool,
        _latency: Span,
        _report: LoadReport,
    ) {
    }
}
