//! Drives one balancer and holds it to the four rules on every action.
#![allow(dead_code)] // each test file uses its own part

use std::collections::BTreeMap;

use sableloom_policy::decide::Balancer;
use sableloom_types::*;

pub const MS: i64 = 1000;

pub fn class(idempotency: Idempotency) -> RequestClass {
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

pub fn settings() -> PolicySettings {
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
        polls: false,
        limits: AttemptLimits {
            max_attempts: 3,
            hedging: true,
            cancel: true,
            health_checks: false,
            retry_after: true,
            max_retry_after: Span(300 * MS),
        },
        rules: SafetyRules {
            slow_start_initial_share: 0.2,
            slow_start: Span(10_000 * MS),
            overload_factor: 3.0,
            overload_window: Span(1000 * MS),
            poll_interval: Span(10_000 * MS),
        },
        cross_zone_price: 0.0,
        warm_keys: false,
        t_qos: None,
    }
}

pub fn member(id: u32, zone: u32) -> Endpoint {
    Endpoint {
        id: ServerId(id),
        identity: u64::from(id) * 7919,
        zone,
        kind: 0,
        cell: id / 2,
        status: EndpointStatus::Live,
        weight: 1.0,
        started: None,
    }
}

#[derive(Clone, Debug)]
pub struct Try {
    pub server: ServerId,
    pub sent: Time,
    pub ended: Option<Outcome>,
}

#[derive(Clone, Debug)]
pub struct Asked {
    pub class: usize,
    pub deadline: Time,
    pub tries: Vec<Try>,
    pub over: bool,
}

pub struct World {
    pub settings: PolicySettings,
    pub balancer: Balancer,
    pub now: Time,
    pub members: BTreeMap<u32, Endpoint>,
    pub asked: BTreeMap<u64, Asked>,
    pub timers: Vec<(u64, Time)>,
    pub log: Vec<Action>,
    /// Tenant of the requests to come.
    pub tenant: usize,
    actions: Vec<Action>,
}

impl World {
    pub fn new(settings: PolicySettings) -> Self {
        let now = Time(1_000_000 * MS);
        let balancer = Balancer::new(settings.clone(), 7, now).expect("settings are sound");
        let mut world = Self {
            settings,
            balancer,
            now,
            members: BTreeMap::new(),
            asked: BTreeMap::new(),
            timers: vec![],
            log: vec![],
            tenant: 0,
            actions: vec![],
        };
        world.balancer.start(now, &mut world.actions);
        world.obey();
        world
    }

    pub fn with_servers(settings: PolicySettings, n: u32) -> Self {
        let mut world = Self::new(settings);
        let list: Vec<_> = (0..n).map(|i| member(i, i % 2)).collect();
        world.list(ListKind::Restored, &list);
        world
    }

    pub fn list(&mut self, kind: ListKind, list: &[Endpoint]) {
        if matches!(kind, ListKind::Full | ListKind::Restored) {
            self.members.values_mut().for_each(|m| m.status = EndpointStatus::Gone);
        }
        if kind != ListKind::Unavailable {
            self.members.extend(list.iter().map(|m| (m.id.0, *m)));
        }
        self.balancer.update_endpoints(self.now, kind, list, &mut self.actions);
        self.obey();
    }

    pub fn request(&mut self, id: u64, class: usize) {
        let wait = self.settings.classes[class].deadline;
        self.request_until(id, class, self.now.plus(wait));
    }

    pub fn request_until(&mut self, id: u64, class: usize, deadline: Time) {
        let asked = Asked { class, deadline, tries: vec![], over: false };
        assert!(self.asked.insert(id, asked).is_none(), "ids are not repeated");
        let tenant = self.tenant;
        let request = Request { id: RequestId(id), class, tenant, key: Some(id % 5), deadline };
        self.balancer.request(self.now, request, &mut self.actions);
        self.obey();
    }

    /// Ends an attempt that is out; does nothing if there is none such.
    pub fn outcome(&mut self, id: u64, attempt: usize, outcome: Outcome) {
        let Some(asked) = self.asked.get_mut(&id) else { return };
        let Some(t) = asked.tries.get_mut(attempt).filter(|t| t.ended.is_none()) else { return };
        t.ended = Some(outcome);
        asked.over |= outcome == Outcome::Ok;
        let answer = AttemptResult {
            request: RequestId(id),
            attempt,
            server: t.server,
            outcome,
            latency: self.now.since(t.sent),
            last: asked.over,
            report: LoadReport::default(),
        };
        self.balancer.attempt_ended(self.now, answer, &mut self.actions);
        self.obey();
    }

    pub fn gone(&mut self, id: u64) {
        if let Some(asked) = self.asked.get_mut(&id) {
            asked.over = true;
        }
        self.balancer.client_gone(self.now, RequestId(id), &mut self.actions);
        self.obey();
    }

    /// Lets time pass, firing timers; attempts end as time-outs at their request's end.
    pub fn pass(&mut self, span: Span) {
        let end = self.now.plus(span);
        while let Some(i) = (0..self.timers.len()).min_by_key(|&i| self.timers[i].1) {
            if self.timers[i].1 > end {
                break;
            }
            let (token, at) = self.timers.swap_remove(i);
            self.now = self.now.max(at);
            self.time_out();
            self.balancer.timer(self.now, token, &mut self.actions);
            self.obey();
        }
        self.now = end;
        self.time_out();
    }

    fn time_out(&mut self) {
        let due = |a: &Asked| a.deadline <= self.now;
        let late: Vec<u64> = self.asked.iter().filter(|(_, a)| due(a)).map(|(id, _)| *id).collect();
        for id in late {
            for attempt in 0..self.asked[&id].tries.len() {
                self.outcome(id, attempt, Outcome::Timeout);
            }
        }
    }

    fn obey(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            self.log.push(action);
            match action {
                Action::Forward { request, server, timeout } => {
                    self.sent(request.0, server, timeout)
                }
                Action::Reject { request, .. } => {
                    let class = &self.settings.classes[self.asked[&request.0].class];
                    let ran = self.asked[&request.0].tries.iter().any(may_have_run);
                    let harmless = class.idempotency == Idempotency::Idempotent
                        || (class.idempotency == Idempotency::Keyed
                            && class.dedup_scope == DedupScope::All);
                    assert!(harmless || !ran, "refused {request:?} that may have run");
                    self.end(request.0);
                }
                Action::Fail { request } => self.end(request.0),
                Action::SetTimer { token, at } => self.timers.push((token, at)),
                Action::Cancel { request, attempt } => {
                    assert!(attempt < self.asked[&request.0].tries.len(), "cancels what was sent");
                }
                Action::CheckHealth { .. } | Action::Subscribe => {}
            }
        }
    }

    fn end(&mut self, id: u64) {
        let asked = self.asked.get_mut(&id).expect("a known request");
        assert!(!asked.over, "a second final answer for {id}");
        asked.over = true;
    }

    fn sent(&mut self, id: u64, server: ServerId, timeout: Span) {
        let asked = &self.asked[&id];
        assert!(!asked.over, "sent {id} after its end");
        assert!(self.now < asked.deadline && timeout.0 > 0);
        assert!(self.now.plus(timeout) <= asked.deadline, "time-out past the client's");
        assert_eq!(
            self.members[&server.0].status,
            EndpointStatus::Live,
            "sent to a drained upstream"
        );
        assert!(asked.tries.len() < self.settings.limits.max_attempts);
        if !self.settings.limits.hedging {
            assert!(asked.tries.iter().all(|t| t.ended.is_some()), "two copies out");
        }
        let class = &self.settings.classes[asked.class];
        for before in asked.tries.iter().filter(|t| may_have_run(t)) {
            let same = match class.dedup_scope {
                DedupScope::All => true,
                DedupScope::Zone => self.zone(before.server) == self.zone(server),
                DedupScope::Cell => {
                    self.members[&before.server.0].cell == self.members[&server.0].cell
                }
            };
            let kept = self.now.since(before.sent) < class.dedup_window;
            let allowed = match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::Keyed => same && kept,
                Idempotency::NonIdempotent => false,
            };
            assert!(allowed, "effect of {id} may happen twice");
        }
        let sent = Try { server, sent: self.now, ended: None };
        self.asked.get_mut(&id).expect("known").tries.push(sent);
    }

    fn zone(&self, id: ServerId) -> u32 {
        self.members[&id.0].zone
    }

    pub fn out(&self, id: u64) -> Option<ServerId> {
        self.asked[&id].tries.iter().rev().find(|t| t.ended.is_none()).map(|t| t.server)
    }

    pub fn refused(&self, id: u64) -> bool {
        self.log.iter().any(|a| matches!(a, Action::Reject { request, .. } if request.0 == id))
    }

    pub fn failed(&self, id: u64) -> bool {
        self.log.contains(&Action::Fail { request: RequestId(id) })
    }

    pub fn sends_to(&self, server: u32) -> usize {
        let to = |a: &&Action| matches!(a, Action::Forward { server: s, .. } if s.0 == server);
        self.log.iter().filter(to).count()
    }
}

fn may_have_run(t: &Try) -> bool {
    !t.ended.is_some_and(Outcome::not_executed)
}
