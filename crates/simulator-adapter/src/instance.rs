//! One balancer of the fleet and the names its handles stand for.

use rustc_hash::FxHashMap;
use sableloom_policy::Balancer;
use sableloom_types::settings::{Stats, key_hash, span, stable_hash, time};
use sableloom_types::{self as d, Action, LoadReport, RequestId, ServerId, Time};

use crate::wire::{self, Command};

fn ms(us: i64) -> f64 {
    us as f64 / 1000.0
}

/// A request that may still be named on the wire.
struct Job {
    name: Box<str>,
    out: usize,
    over: bool,
}

pub struct Instance {
    who: u64,
    balancer: Balancer,
    classes: usize,
    stats: Stats,
    servers: FxHashMap<Box<str>, ServerId>,
    server_names: Vec<Box<str>>,
    by_name: FxHashMap<Box<str>, u64>,
    jobs: FxHashMap<u64, Job>,
    next_job: u64,
    actions: Vec<Action>,
    members: Vec<d::Endpoint>,
}

impl Instance {
    pub fn new(
        now: Time,
        init: &wire::Init,
        out: &mut Vec<u8>,
    ) -> Result<Self, d::PolicySettingsError> {
        let settings = &init.settings;
        let mut instance = Self {
            who: init.who,
            balancer: Balancer::new(settings.policy_settings(), init.entropy, now)?,
            classes: settings.services.len(),
            stats: settings.stats.clone(),
            servers: FxHashMap::default(),
            server_names: Vec::new(),
            by_name: FxHashMap::default(),
            jobs: FxHashMap::default(),
            next_job: 0,
            actions: Vec::new(),
            members: Vec::new(),
        };
        instance.balancer.start(now, &mut instance.actions);
        instance.flush(out);
        Ok(instance)
    }

    pub fn order(&mut self, now: Time, m: &wire::Order, out: &mut Vec<u8>) -> Result<(), String> {
        if m.tier_class >= self.classes {
            return Err(format!("field `TierClass`: no class {}", m.tier_class));
        }
        let key = m.object.as_deref();
        let request = d::Request {
            id: RequestId(self.next_job),
            class: m.tier_class,
            tenant: m.party,
            key: key.map(key_hash),
            deadline: time(m.deadline),
        };
        let name: Box<str> = m.job.as_ref().into();
        self.by_name.insert(name.clone(), self.next_job);
        self.jobs.insert(self.next_job, Job { name, out: 0, over: false });
        self.next_job += 1;
        self.balancer.request(now, request, &mut self.actions);
        self.flush(out);
        Ok(())
    }

    pub fn result(
        &mut self,
        now: Time,
        m: &wire::Outcome,
        out: &mut Vec<u8>,
    ) -> Result<(), String> {
        let outcome = outcome(m.rc)?;
        let (Some(&handle), Some(&server)) =
            (self.by_name.get(m.job.as_ref()), self.servers.get(m.upstream.as_ref()))
        else {
            return Ok(());
        };
        let answer = d::AttemptResult {
            request: RequestId(handle),
            attempt: m.go,
            server,
            outcome,
            latency: span(m.latency),
            last: m.last,
            report: self.report(m.metrics.as_ref()),
        };
        self.balancer.attempt_ended(now, answer, &mut self.actions);
        if let Some(job) = self.jobs.get_mut(&handle) {
            job.out = job.out.saturating_sub(1);
            job.over |= m.last;
        }
        self.flush(out);
        self.forget(handle);
        Ok(())
    }

    pub fn left(&mut self, now: Time, job: &str, out: &mut Vec<u8>) {
        let Some(&handle) = self.by_name.get(job) else { return };
        self.balancer.client_gone(now, RequestId(handle), &mut self.actions);
        self.jobs.entry(handle).and_modify(|j| j.over = true);
        self.flush(out);
        self.forget(handle);
    }

    pub fn established(&mut self, now: Time, job: &str, out: &mut Vec<u8>) {
        let Some(&handle) = self.by_name.get(job) else { return };
        self.balancer.stream_started(now, RequestId(handle), &mut self.actions);
        self.flush(out);
    }

    pub fn timer(&mut self, now: Time, token: u64, out: &mut Vec<u8>) {
        self.balancer.timer(now, token, &mut self.actions);
        self.flush(out);
    }

    pub fn sampled(&mut self, m: &wire::Sampled, out: &mut Vec<u8>) {
        let Some(&server) = self.servers.get(m.upstream.as_ref()) else { return };
        let report = self.report(m.metrics.as_ref());
        let ok = m.rc == 200;
        self.balancer.health_checked(server, ok, span(m.latency), report);
        self.flush(out);
    }

    pub fn membership(&mut self, now: Time, m: &wire::Membership, out: &mut Vec<u8>) {
        let mut members = std::mem::take(&mut self.members);
        members.clear();
        members.extend(m.lines.iter().map(|line| self.member(line)));
        let kind = match m.kind {
            wire::ListKind::Update => d::ListKind::Update,
            wire::ListKind::Replace => d::ListKind::Full,
            wire::ListKind::Restored => d::ListKind::Restored,
            wire::ListKind::Unavailable => d::ListKind::Unavailable,
        };
        self.balancer.update_endpoints(now, kind, &members, &mut self.actions);
        self.members = members;
        self.flush(out);
    }

    fn member(&mut self, line: &wire::Line) -> d::Endpoint {
        let name = line.upstream.as_ref();
        let id = self.servers.get(name).copied().unwrap_or_else(|| {
            let id = ServerId(self.server_names.len() as u32);
            self.server_names.push(name.into());
            self.servers.insert(name.into(), id);
            id
        });
        d::Endpoint {
            id,
            identity: stable_hash(name),
            zone: line.az,
            kind: line.kind,
            cell: line.pack,
            status: match line.status {
                wire::Status::Live => d::EndpointStatus::Live,
                wire::Status::Quiescing => d::EndpointStatus::Draining,
                wire::Status::Dead => d::EndpointStatus::Gone,
            },
            weight: line.capacity_hint,
            started: (line.online_since > 0.0).then(|| time(line.online_since)),
        }
    }

    fn report(&self, row: Option<&wire::Row>) -> LoadReport {
        let values = row.into_iter().flatten();
        self.stats.report(self.stats.names.iter().map(String::as_str).zip(values.copied()))
    }

    /// Writes the module's actions in its order, each with a comma behind it.
    fn flush(&mut self, out: &mut Vec<u8>) {
        let who = self.who;
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Forward { request, server, timeout } => {
                    let Some(job) = self.jobs.get_mut(&request.0) else { continue };
                    job.out += 1;
                    let upstream = &self.server_names[server.0 as usize];
                    let allow_for = ms(timeout.0);
                    write(out, &Command::Relay { who, job: &job.name, upstream, allow_for });
                }
                Action::Reject { request, retry_after } => {
                    let Some(job) = self.jobs.get_mut(&request.0) else { continue };
                    job.over = true;
                    let cool_down = ms(retry_after.0);
                    write(out, &Command::NotNow { who, job: &job.name, cool_down });
                    self.forget(request.0);
                }
                Action::Fail { request } => {
                    let Some(job) = self.jobs.get_mut(&request.0) else { continue };
                    job.over = true;
                    write(out, &Command::FinishError { who, job: &job.name });
                    self.forget(request.0);
                }
                Action::Cancel { request, attempt } => {
                    let Some(job) = self.jobs.get(&request.0) else { continue };
                    write(out, &Command::Retract { who, job: &job.name, go: attempt });
                }
                Action::SetTimer { token, at } => {
                    write(out, &Command::Arm { who, token, instant: ms(at.0) });
                }
                Action::CheckHealth { server } => {
                    let upstream = &self.server_names[server.0 as usize];
                    write(out, &Command::Ping { who, upstream });
                }
                Action::Subscribe => write(out, &Command::KeepInformed { who, enable: true }),
            }
        }
        self.actions = actions;
    }

    /// Drops the name of a request that is over and has nothing out.
    fn forget(&mut self, handle: u64) {
        if self.jobs.get(&handle).is_some_and(|j| j.over && j.out == 0)
            && let Some(job) = self.jobs.remove(&handle)
        {
            self.by_name.remove(&job.name);
        }
    }
}

fn write(out: &mut Vec<u8>, command: &Command) {
    // Writing plain structs to memory cannot fail.
    let _ = serde_json::to_writer(&mut *out, command);
    out.push(b',');
}

fn outcome(rc: u16) -> Result<d::Outcome, String> {
    Ok(match rc {
        200 => d::Outcome::Ok,
        500 => d::Outcome::Error,
        503 => d::Outcome::Rejected,
        504 => d::Outcome::Timeout,
        502 => d::Outcome::ConnectFailed,
        598 => d::Outcome::Reset,
        499 => d::Outcome::Cancelled,
        410 => d::Outcome::Superseded,
        _ => return Err(format!("field `Rc`: no outcome {rc}")),
    })
}
