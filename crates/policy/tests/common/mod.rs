//! A driver for one balancer, which checks every action against the rules on final answers, deadlines, draining
//! servers, attempts and repeats.
#![allow(dead_code, reason = "no test file uses all of it")]

use std::collections::BTreeMap;

use sableloom_policy::Balancer;
use sableloom_types::{
    Action, AttemptLimits, AttemptResult, DedupScope, Endpoint, EndpointStatus, Idempotency,
    ListKind, LoadReport, Outcome, PolicySettings, Request, RequestClass, RequestId, SafetyRules,
    ServerId, Span, Time,
};

/// Microseconds in a millisecond.
pub(crate) const MS: i64 = 1000;

/// A class with a latency objective of 200 ms and a deadline of 600 ms.
pub(crate) fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: Span(200 * MS),
        deadline: Span(600 * MS),
        priority_weight: 1.0,
        late_priority_weight: 0.0,
        idempotency,
        dedup_scope: DedupScope::Zone,
        dedup_window: Span(300 * MS),
    }
}

/// Settings of one balancer with an idempotent, a keyed and a non-idempotent class, in this order.
pub(crate) fn settings() -> PolicySettings {
    PolicySettings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed),
            class(Idempotency::NonIdempotent),
        ],
        tenants: vec![],
        balancers: 1,
        zone: 0,
        tick: Span(MS),
        polls_endpoint_list: false,
        limits: AttemptLimits {
            max_attempts: 3,
            hedging: true,
            cancel: true,
            health_checks: false,
            retry_after: true,
            max_retry_after: Span(300 * MS),
        },
        safety_rules: SafetyRules {
            slow_start_initial_share: 0.2,
            slow_start: Span(10_000 * MS),
            overload_factor: 3.0,
            overload_window: Span(1000 * MS),
            poll_interval: Span(10_000 * MS),
        },
        cross_zone_price: 0.0,
        key_affinity: false,
        t_qos: None,
    }
}

/// A live, warm server; two servers share a cell.
pub(crate) fn endpoint(id: u32, zone: u32) -> Endpoint {
    Endpoint {
        id: ServerId(id),
        name_hash: u64::from(id) * 7919,
        zone,
        machine_type: 0,
        cell: id / 2,
        status: EndpointStatus::Live,
        weight: 1.0,
        started: None,
    }
}

/// An attempt as the driver observed it.
#[derive(Clone, Debug)]
pub(crate) struct TrackedAttempt {
    pub server: ServerId,
    pub sent: Time,
    /// `None` while the attempt is in flight.
    pub ended: Option<Outcome>,
}

/// A request as the driver observed it.
#[derive(Clone, Debug)]
pub(crate) struct TrackedRequest {
    pub class: usize,
    pub deadline: Time,
    pub attempts: Vec<TrackedAttempt>,
    /// Whether the request has its final answer or its client no longer waits.
    pub finished: bool,
}

/// A balancer with its clock, servers and clients.
pub(crate) struct World {
    pub settings: PolicySettings,
    pub balancer: Balancer,
    pub now: Time,
    pub endpoints: BTreeMap<u32, Endpoint>,
    pub requests: BTreeMap<u64, TrackedRequest>,
    pub timers: Vec<(u64, Time)>,
    /// All actions that the balancer has returned.
    pub log: Vec<Action>,
    /// The tenant of the following requests.
    pub tenant: usize,
    actions: Vec<Action>,
}

impl World {
    pub(crate) fn new(settings: PolicySettings) -> Self {
        let now = Time(1_000_000 * MS);
        let balancer = Balancer::new(settings.clone(), 7, now).expect("valid settings");
        let mut world = Self {
            settings,
            balancer,
            now,
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: vec![],
            log: vec![],
            tenant: 0,
            actions: vec![],
        };
        world.balancer.start(now, &mut world.actions);
        world.apply_actions();
        world
    }

    /// A balancer with `n` servers, alternating between zones 0 and 1.
    pub(crate) fn with_servers(settings: PolicySettings, n: u32) -> Self {
        let mut world = Self::new(settings);
        let list: Vec<_> = (0..n).map(|i| endpoint(i, i % 2)).collect();
        world.update_list(ListKind::Restored, &list);
        world
    }

    pub(crate) fn update_list(&mut self, kind: ListKind, list: &[Endpoint]) {
        if matches!(kind, ListKind::Full | ListKind::Restored) {
            self.endpoints.values_mut().for_each(|m| m.status = EndpointStatus::Gone);
        }
        if kind != ListKind::Unavailable {
            self.endpoints.extend(list.iter().map(|m| (m.id.0, *m)));
        }
        self.balancer.update_endpoints(self.now, kind, list, &mut self.actions);
        self.apply_actions();
    }

    /// Sends a request with the deadline of its class.
    pub(crate) fn request(&mut self, id: u64, class: usize) {
        let wait = self.settings.classes[class].deadline;
        self.request_until(id, class, self.now.plus(wait));
    }

    pub(crate) fn request_until(&mut self, id: u64, class: usize, deadline: Time) {
        let tracked = TrackedRequest { class, deadline, attempts: vec![], finished: false };
        assert!(self.requests.insert(id, tracked).is_none(), "request ids are unique");
        let tenant = self.tenant;
        let request = Request { id: RequestId(id), class, tenant, key: Some(id % 5), deadline };
        self.balancer.request_arrived(self.now, request, &mut self.actions);
        self.apply_actions();
    }

    /// Ends an attempt that is in flight; does nothing if it is not.
    pub(crate) fn end_attempt(&mut self, id: u64, attempt: usize, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(t) = request.attempts.get_mut(attempt).filter(|t| t.ended.is_none()) else {
            return;
        };
        t.ended = Some(outcome);
        request.finished |= outcome == Outcome::Ok;
        let result = AttemptResult {
            request: RequestId(id),
            attempt,
            server: t.server,
            outcome,
            latency: self.now.since(t.sent),
            ends_request: request.finished,
            report: LoadReport::default(),
        };
        self.balancer.attempt_ended(self.now, result, &mut self.actions);
        self.apply_actions();
    }

    pub(crate) fn client_gone(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.finished = true;
        }
        self.balancer.client_gone(self.now, RequestId(id), &mut self.actions);
        self.apply_actions();
    }

    /// Advances the clock and fires timers; attempts time out at the deadline of their request.
    pub(crate) fn advance(&mut self, span: Span) {
        let end = self.now.plus(span);
        while let Some(i) = (0..self.timers.len()).min_by_key(|&i| self.timers[i].1) {
            if self.timers[i].1 > end {
                break;
            }
            let (token, at) = self.timers.swap_remove(i);
            self.now = self.now.max(at);
            self.time_out_attempts();
            self.balancer.timer_fired(self.now, token, &mut self.actions);
            self.apply_actions();
        }
        self.now = end;
        self.time_out_attempts();
    }

    fn time_out_attempts(&mut self) {
        let due = |a: &TrackedRequest| a.deadline <= self.now;
        let late: Vec<u64> =
            self.requests.iter().filter(|(_, request)| due(request)).map(|(id, _)| *id).collect();
        for id in late {
            for attempt in 0..self.requests[&id].attempts.len() {
                self.end_attempt(id, attempt, Outcome::Timeout);
            }
        }
    }

    fn apply_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            self.log.push(action);
            match action {
                Action::Forward { request, server, timeout } => {
                    self.check_forward(request.0, server, timeout)
                }
                Action::Reject { request, .. } => {
                    let class = &self.settings.classes[self.requests[&request.0].class];
                    let may_have_executed_before =
                        self.requests[&request.0].attempts.iter().any(may_have_executed);
                    let is_repeatable = class.idempotency == Idempotency::Idempotent
                        || (class.idempotency == Idempotency::Keyed
                            && class.dedup_scope == DedupScope::All);
                    assert!(
                        is_repeatable || !may_have_executed_before,
                        "rejected {request:?}, which may have been executed"
                    );
                    self.record_final_answer(request.0);
                }
                Action::Fail { request } => self.record_final_answer(request.0),
                Action::SetTimer { token, at } => self.timers.push((token, at)),
                Action::Cancel { request, attempt } => {
                    assert!(
                        attempt < self.requests[&request.0].attempts.len(),
                        "cancelled an attempt that was not sent"
                    );
                }
                Action::CheckHealth { .. } | Action::Subscribe => {}
            }
        }
    }

    fn record_final_answer(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("the request is known");
        assert!(!request.finished, "a second final answer for {id}");
        request.finished = true;
    }

    fn check_forward(&mut self, id: u64, server: ServerId, timeout: Span) {
        let request = &self.requests[&id];
        assert!(!request.finished, "forwarded {id} after its final answer");
        assert!(self.now < request.deadline && timeout.0 > 0);
        assert!(
            self.now.plus(timeout) <= request.deadline,
            "the timeout ends after the client's deadline"
        );
        assert_eq!(
            self.endpoints[&server.0].status,
            EndpointStatus::Live,
            "forwarded to a server that is not live"
        );
        assert!(request.attempts.len() < self.settings.limits.max_attempts);
        if !self.settings.limits.hedging {
            assert!(
                request.attempts.iter().all(|t| t.ended.is_some()),
                "two attempts in flight without hedging"
            );
        }
        let class = &self.settings.classes[request.class];
        for before in request.attempts.iter().filter(|t| may_have_executed(t)) {
            let in_dedup_scope = match class.dedup_scope {
                DedupScope::All => true,
                DedupScope::Zone => self.zone(before.server) == self.zone(server),
                DedupScope::Cell => {
                    self.endpoints[&before.server.0].cell == self.endpoints[&server.0].cell
                }
            };
            let in_dedup_window = self.now.since(before.sent) < class.dedup_window;
            let allowed = match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::Keyed => in_dedup_scope && in_dedup_window,
                Idempotency::NonIdempotent => false,
            };
            assert!(allowed, "{id} may be executed twice");
        }
        let attempt = TrackedAttempt { server, sent: self.now, ended: None };
        self.requests.get_mut(&id).expect("the request is known").attempts.push(attempt);
    }

    fn zone(&self, id: ServerId) -> u32 {
        self.endpoints[&id.0].zone
    }

    /// The server of the latest attempt that is in flight.
    pub(crate) fn in_flight_server(&self, id: u64) -> Option<ServerId> {
        self.requests[&id].attempts.iter().rev().find(|t| t.ended.is_none()).map(|t| t.server)
    }

    pub(crate) fn rejected(&self, id: u64) -> bool {
        self.log.iter().any(|a| matches!(a, Action::Reject { request, .. } if request.0 == id))
    }

    pub(crate) fn failed(&self, id: u64) -> bool {
        self.log.contains(&Action::Fail { request: RequestId(id) })
    }

    /// The number of attempts that were forwarded to a server.
    pub(crate) fn forwards_to(&self, server: u32) -> usize {
        let to = |a: &&Action| matches!(a, Action::Forward { server: s, .. } if s.0 == server);
        self.log.iter().filter(to).count()
    }
}

fn may_have_executed(t: &TrackedAttempt) -> bool {
    !t.ended.is_some_and(Outcome::not_executed)
}
