//! Histories of the policy: random requests, answers, endpoint lists and timers before servers of two kinds.

use oorandom::Rand64;
use sableloom_policy::Balancer;
use sableloom_types::{
    Action, AttemptLimits, AttemptResult, DedupScope, Endpoint, EndpointStatus, Idempotency,
    ListKind, LoadReport, Outcome, PolicySettings, Request, RequestClass, RequestId, SafetyRules,
    ServerId, Span, TenantQuota, Time,
};

use crate::trace::Trace;

const HISTORIES: u64 = 200;
const STEPS: usize = 4000;
const MILLISECOND: i64 = 1000;
const SECOND: i64 = 1_000_000;
const SERVERS: u32 = 24;

/// Digest of all histories.
pub(crate) fn digest() -> String {
    let mut trace = Trace::default();
    for seed in 0..HISTORIES {
        History::new(seed).play(&mut trace);
    }
    trace.finish()
}

fn class(
    idempotency: Idempotency,
    scope: DedupScope,
    objective_ms: i64,
    weight: f64,
) -> RequestClass {
    RequestClass {
        latency_objective: Span(objective_ms * MILLISECOND),
        deadline: Span(3 * objective_ms * MILLISECOND),
        priority_weight: weight,
        late_priority_weight: if weight > 2.0 { 0.3 } else { 0.0 },
        idempotency,
        dedup_scope: scope,
        dedup_window: Span(400 * MILLISECOND),
    }
}

fn settings(rng: &mut Rand64, seed: u64) -> PolicySettings {
    let scope = [DedupScope::All, DedupScope::Zone, DedupScope::Cell][seed as usize % 3];
    let classes = [
        class(Idempotency::Idempotent, DedupScope::All, 60, 1.0),
        class(Idempotency::Keyed, scope, 100, 3.0),
        class(Idempotency::NonIdempotent, DedupScope::All, 150, 9.0),
    ];
    let tenants = match seed % 4 {
        0 => vec![TenantQuota { quota_rps: 40.0 }, TenantQuota { quota_rps: 400.0 }],
        _ => Vec::new(),
    };
    PolicySettings {
        classes: classes[..1 + rng.rand_range(0..3) as usize].to_vec(),
        tenants,
        balancers: 1 + rng.rand_range(0..5) as u32,
        zone: 0,
        tick: Span(MILLISECOND),
        polls_endpoint_list: seed.is_multiple_of(2),
        limits: AttemptLimits {
            max_attempts: 1 + rng.rand_range(0..5) as usize,
            hedging: seed % 5 == 1,
            cancel: true,
            health_checks: false,
            retry_after: !seed.is_multiple_of(7),
            max_retry_after: Span(if seed % 3 == 1 { 300 * MILLISECOND } else { 0 }),
        },
        safety_rules: SafetyRules {
            slow_start_initial_share: 0.2,
            slow_start: Span(3 * SECOND),
            overload_factor: 3.0,
            overload_window: Span(SECOND),
            poll_interval: Span(SECOND),
        },
        cross_zone_price: if seed % 3 == 2 { 0.02 } else { 0.0 },
        key_affinity: seed % 6 == 3,
        t_qos: (seed % 5 == 4).then_some(Span(80 * MILLISECOND)),
    }
}

/// An attempt that has no result yet.
struct OpenAttempt {
    request: RequestId,
    number: usize,
    server: ServerId,
    sent: Time,
    due: Time,
    outcome: Outcome,
}

struct History {
    rng: Rand64,
    policy: Balancer,
    classes: usize,
    now: Time,
    endpoints: Vec<Endpoint>,
    attempts: Vec<OpenAttempt>,
    numbers: Vec<usize>,
    timers: Vec<(u64, Time)>,
    actions: Vec<Action>,
    /// Requests a thousand steps, about.
    load: u64,
    /// Factor on the latency of all servers.
    slowness: f64,
    /// Whether some servers can't be reached at all.
    has_dead_servers: bool,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed) + 1000);
        let settings = settings(&mut rng, seed);
        let now = Time(SECOND);
        let classes = settings.classes.len();
        let policy = Balancer::new(settings, seed, now).expect("sound settings");
        let load = 200 + rng.rand_range(0..600);
        Self {
            rng,
            policy,
            classes,
            now,
            endpoints: Vec::new(),
            attempts: Vec::new(),
            numbers: Vec::new(),
            timers: Vec::new(),
            actions: Vec::new(),
            load,
            slowness: [1.0, 0.1, 5.0][(seed / 3) as usize % 3],
            has_dead_servers: seed % 4 == 2,
        }
    }

    fn chance(&mut self, in_a_thousand: u64) -> bool {
        self.rng.rand_range(0..1000) < in_a_thousand
    }

    fn play(mut self, trace: &mut Trace) {
        self.policy.start(self.now, &mut self.actions);
        self.list(ListKind::Restored, trace);
        for step in 0..STEPS {
            if step == STEPS / 2 {
                self.slowness *= 2.0;
            }
            self.now = self.now.plus(Span(self.rng.rand_range(0..2 * MILLISECOND as u64) as i64));
            self.end_due_attempts(trace);
            self.fire_timers(trace);
            if self.chance(self.load) {
                self.request(trace);
            }
            if self.chance(4) {
                let kind = match self.rng.rand_range(0..8) {
                    0 => ListKind::Unavailable,
                    1 => ListKind::Full,
                    _ => ListKind::Update,
                };
                self.list(kind, trace);
            }
            if self.chance(3) {
                self.leave(trace);
            }
            if self.chance(1) {
                let balancers = self.rng.rand_range(0..9) as u32;
                self.policy.set_balancers(balancers);
            }
            self.record(trace);
        }
        for id in 0..SERVERS {
            if let Some(gauge) = self.policy.server_gauge(ServerId(id), Span(SECOND)) {
                trace.integer(i64::from(gauge.in_flight));
                trace.integer(i64::from(gauge.max_in_flight));
                trace.float(gauge.admission_limit);
            }
            trace.integer(i64::from(self.policy.has_server(ServerId(id))));
        }
    }

    fn request(&mut self, trace: &mut Trace) {
        let id = RequestId(self.numbers.len() as u64);
        self.numbers.push(0);
        let class = self.rng.rand_range(0..self.classes as u64 + 1) as usize;
        let wait = [60, 200, 450][self.rng.rand_range(0..3) as usize] * MILLISECOND;
        let request = Request {
            id,
            class: class.min(self.classes),
            tenant: self.rng.rand_range(0..3) as usize,
            key: Some(self.rng.rand_range(0..40)),
            deadline: self.now.plus(Span(wait)),
        };
        self.policy.request_arrived(self.now, request, &mut self.actions);
        self.record(trace);
    }

    fn leave(&mut self, trace: &mut Trace) {
        let Some(id) = self.numbers.len().checked_sub(1 + self.rng.rand_range(0..20) as usize)
        else {
            return;
        };
        let id = RequestId(id as u64);
        if self.chance(500) {
            self.policy.client_gone(self.now, id, &mut self.actions);
        } else {
            self.policy.stream_started(self.now, id, &mut self.actions);
        }
        self.record(trace);
    }

    fn endpoint(&mut self, id: u32) -> Endpoint {
        let status = match self.rng.rand_range(0..10) {
            0 => EndpointStatus::Gone,
            1 | 2 => EndpointStatus::Draining,
            _ => EndpointStatus::Live,
        };
        let started = self.chance(250).then_some(self.now);
        Endpoint {
            id: ServerId(id),
            name_hash: u64::from(id) * 7919,
            zone: id % 3,
            machine_type: id % 2,
            cell: id / 4,
            status,
            weight: [0.0, 1.0, 1.5, 2.0][id as usize % 4],
            started,
        }
    }

    fn list(&mut self, kind: ListKind, trace: &mut Trace) {
        let ids: Vec<u32> = match kind {
            ListKind::Update => {
                (0..2).map(|_| self.rng.rand_range(0..SERVERS as u64) as u32).collect()
            }
            ListKind::Unavailable => Vec::new(),
            ListKind::Full | ListKind::Restored => {
                (0..SERVERS).filter(|_| self.rng.rand_range(0..3) > 0).collect()
            }
        };
        self.endpoints = ids.into_iter().map(|id| self.endpoint(id)).collect();
        self.policy.update_endpoints(self.now, kind, &self.endpoints, &mut self.actions);
        self.record(trace);
    }

    fn fire_timers(&mut self, trace: &mut Trace) {
        let now = self.now;
        let due: Vec<u64> =
            self.timers.iter().filter(|(_, at)| *at <= now).map(|(token, _)| *token).collect();
        self.timers.retain(|(_, at)| *at > now);
        for token in due {
            self.policy.timer_fired(self.now, token, &mut self.actions);
            self.record(trace);
        }
    }

    fn end_due_attempts(&mut self, trace: &mut Trace) {
        let now = self.now;
        let mut due = Vec::new();
        let mut open = Vec::new();
        for attempt in self.attempts.drain(..) {
            if attempt.due <= now { due.push(attempt) } else { open.push(attempt) }
        }
        self.attempts = open;
        for attempt in due {
            let result = AttemptResult {
                request: attempt.request,
                attempt: attempt.number,
                server: attempt.server,
                outcome: attempt.outcome,
                latency: now.since(attempt.sent),
                ends_request: attempt.outcome == Outcome::Ok,
                report: LoadReport::default(),
            };
            self.policy.attempt_ended(now, result, &mut self.actions);
            self.record(trace);
        }
    }

    /// Draws how an attempt will end. Servers of the second kind are slow, and one in eight is bad.
    fn forward(&mut self, request: RequestId, server: ServerId, timeout: Span) {
        let number = self.numbers[request.0 as usize];
        self.numbers[request.0 as usize] += 1;
        let bad = server.0 % 8 == 5;
        let outcome = match self.rng.rand_range(0..if bad { 12 } else { 90 }) {
            0 => Outcome::Error,
            1 => Outcome::Rejected,
            2 => Outcome::ConnectFailed,
            3 => Outcome::Reset,
            4 => Outcome::Timeout,
            5 => Outcome::Cancelled,
            6 => Outcome::Superseded,
            _ => Outcome::Ok,
        };
        let is_dead = self.has_dead_servers && server.0 % 6 == 4;
        let outcome = if is_dead { Outcome::ConnectFailed } else { outcome };
        let mean = if server.0 % 2 == 1 { 25.0 } else { 10.0 } * self.slowness;
        let takes = -self.rng.rand_float().max(1e-9).ln() * mean * MILLISECOND as f64;
        let takes = match outcome {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Superseded => takes / 20.0,
            _ => takes,
        };
        let takes = (takes as i64).max(200);
        let (takes, outcome) = match outcome {
            Outcome::Timeout => (timeout.0, outcome),
            _ if takes >= timeout.0 => (timeout.0, Outcome::Timeout),
            _ => (takes, outcome),
        };
        let due = self.now.plus(Span(takes));
        self.attempts.push(OpenAttempt { request, number, server, sent: self.now, due, outcome });
    }

    /// Writes the actions to the trace and carries them out.
    fn record(&mut self, trace: &mut Trace) {
        for action in std::mem::take(&mut self.actions) {
            trace.integer(self.now.0);
            match action {
                Action::Forward { request, server, timeout } => {
                    for value in [1, request.0 as i64, i64::from(server.0), timeout.0] {
                        trace.integer(value);
                    }
                    self.forward(request, server, timeout);
                }
                Action::Reject { request, retry_after } => {
                    for value in [2, request.0 as i64, retry_after.0] {
                        trace.integer(value);
                    }
                }
                Action::Fail { request } => {
                    for value in [3, request.0 as i64] {
                        trace.integer(value);
                    }
                }
                Action::Cancel { request, attempt } => {
                    for value in [4, request.0 as i64, attempt as i64] {
                        trace.integer(value);
                    }
                }
                Action::SetTimer { token, at } => {
                    for value in [5, token as i64, at.0] {
                        trace.integer(value);
                    }
                    self.timers.push((token, at));
                }
                Action::CheckHealth { server } => {
                    for value in [6, i64::from(server.0)] {
                        trace.integer(value);
                    }
                }
                Action::Subscribe => trace.integer(7),
            }
        }
    }
}
