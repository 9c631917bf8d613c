//! One balancer, and the names on the wire that its handles stand for.

use rustc_hash::FxHashMap;
use sableloom_policy::Balancer;
use sableloom_types::settings::{
    LoadReportSettings, key_hash, span_from_ms, stable_hash, time_from_ms,
};
use sableloom_types::{
    self as types, Action, AttemptResult, Endpoint, EndpointStatus, LoadReport, Outcome,
    PolicySettingsError, Request, RequestId, ServerId, Time,
};

use crate::error::MessageError;
use crate::wire::{self, Command};

/// The result code of a health check that was answered.
const HEALTHY: u16 = 200;

fn milliseconds(micros: i64) -> f64 {
    micros as f64 / 1000.0
}

/// A request that may still be named on the wire.
struct OpenRequest {
    name: Box<str>,
    /// Attempts in flight.
    in_flight: usize,
    /// Its final answer is given, or its client has left.
    ended: bool,
}

/// One balancer.
pub(crate) struct Instance {
    who: u64,
    balancer: Balancer,
    classes: usize,
    stats: LoadReportSettings,
    servers: FxHashMap<Box<str>, ServerId>,
    server_names: Vec<Box<str>>,
    by_name: FxHashMap<Box<str>, u64>,
    requests: FxHashMap<u64, OpenRequest>,
    next_request: u64,
    actions: Vec<Action>,
    endpoints: Vec<Endpoint>,
}

impl Instance {
    /// Starts the balancer of an instance.
    pub(crate) fn new(
        now: Time,
        init: &wire::Init,
        out: &mut Vec<u8>,
    ) -> Result<Self, PolicySettingsError> {
        let settings = &init.settings;
        let mut instance = Self {
            who: init.who,
            balancer: Balancer::new(settings.policy_settings(), init.entropy, now)?,
            classes: settings.classes.len(),
            stats: settings.load_reports.clone(),
            servers: FxHashMap::default(),
            server_names: Vec::new(),
            by_name: FxHashMap::default(),
            requests: FxHashMap::default(),
            next_request: 0,
            actions: Vec::new(),
            endpoints: Vec::new(),
        };
        instance.balancer.start(now, &mut instance.actions);
        instance.flush(out);
        Ok(instance)
    }

    /// A client has sent a request.
    pub(crate) fn order(
        &mut self,
        now: Time,
        message: &wire::Order,
        out: &mut Vec<u8>,
    ) -> Result<(), MessageError> {
        if message.tier_class >= self.classes {
            return Err(MessageError::UnknownClass(message.tier_class));
        }
        let key = message.object.as_deref();
        let request = Request {
            id: RequestId(self.next_request),
            class: message.tier_class,
            tenant: message.party,
            key: key.map(key_hash),
            deadline: time_from_ms(message.deadline),
        };
        let name: Box<str> = message.job.as_ref().into();
        self.by_name.insert(name.clone(), self.next_request);
        self.requests.insert(self.next_request, OpenRequest { name, in_flight: 0, ended: false });
        self.next_request += 1;
        self.balancer.request_arrived(now, request, &mut self.actions);
        self.flush(out);
        Ok(())
    }

    /// An attempt has ended. One of a request or server that is not known is ignored.
    pub(crate) fn result(
        &mut self,
        now: Time,
        message: &wire::Outcome,
        out: &mut Vec<u8>,
    ) -> Result<(), MessageError> {
        let outcome = outcome(message.rc)?;
        let (Some(&handle), Some(&server)) =
            (self.by_name.get(message.job.as_ref()), self.servers.get(message.upstream.as_ref()))
        else {
            return Ok(());
        };
        let answer = AttemptResult {
            request: RequestId(handle),
            attempt: message.go,
            server,
            outcome,
            latency: span_from_ms(message.latency),
            ends_request: message.last,
            report: self.report(message.metrics.as_ref()),
        };
        self.balancer.attempt_ended(now, answer, &mut self.actions);
        if let Some(open) = self.requests.get_mut(&handle) {
            open.in_flight = open.in_flight.saturating_sub(1);
            open.ended |= message.last;
        }
        self.flush(out);
        self.forget(handle);
        Ok(())
    }

    /// A client has left.
    pub(crate) fn client_left(&mut self, now: Time, job: &str, out: &mut Vec<u8>) {
        let Some(&handle) = self.by_name.get(job) else { return };
        self.balancer.client_gone(now, RequestId(handle), &mut self.actions);
        self.requests.entry(handle).and_modify(|request| request.ended = true);
        self.flush(out);
        self.forget(handle);
    }

    /// An answer has begun to stream.
    pub(crate) fn stream_started(&mut self, now: Time, job: &str, out: &mut Vec<u8>) {
        let Some(&handle) = self.by_name.get(job) else { return };
        self.balancer.stream_started(now, RequestId(handle), &mut self.actions);
        self.flush(out);
    }

    /// A timer is due.
    pub(crate) fn timer(&mut self, now: Time, token: u64, out: &mut Vec<u8>) {
        self.balancer.timer_fired(now, token, &mut self.actions);
        self.flush(out);
    }

    /// A health check was answered.
    pub(crate) fn health_checked(&mut self, message: &wire::Sampled, out: &mut Vec<u8>) {
        let Some(&server) = self.servers.get(message.upstream.as_ref()) else { return };
        let report = self.report(message.metrics.as_ref());
        let healthy = message.rc == HEALTHY;
        self.balancer.health_checked(server, healthy, span_from_ms(message.latency), report);
        self.flush(out);
    }

    /// An endpoint list has come, or a change to it.
    pub(crate) fn list_changed(
        &mut self,
        now: Time,
        message: &wire::Membership,
        out: &mut Vec<u8>,
    ) {
        let mut endpoints = std::mem::take(&mut self.endpoints);
        endpoints.clear();
        endpoints.extend(message.lines.iter().map(|line| self.endpoint(line)));
        let kind = match message.kind {
            wire::ListKind::Update => types::ListKind::Update,
            wire::ListKind::Replace => types::ListKind::Full,
            wire::ListKind::Restored => types::ListKind::Restored,
            wire::ListKind::Unavailable => types::ListKind::Unavailable,
        };
        self.balancer.update_endpoints(now, kind, &endpoints, &mut self.actions);
        self.endpoints = endpoints;
        self.flush(out);
    }

    fn endpoint(&mut self, line: &wire::Line) -> Endpoint {
        let name = line.upstream.as_ref();
        let id = self.servers.get(name).copied().unwrap_or_else(|| {
            let id = ServerId(self.server_names.len() as u32);
            self.server_names.push(name.into());
            self.servers.insert(name.into(), id);
            id
        });
        Endpoint {
            id,
            name_hash: stable_hash(name),
            zone: line.az,
            machine_type: line.kind,
            cell: line.pack,
            status: match line.status {
                wire::Status::Live => EndpointStatus::Live,
                wire::Status::Quiescing => EndpointStatus::Draining,
                wire::Status::Dead => EndpointStatus::Gone,
            },
            weight: line.capacity_hint,
            started: (line.online_since > 0.0).then(|| time_from_ms(line.online_since)),
        }
    }

    fn report(&self, row: Option<&wire::Row>) -> LoadReport {
        let values = row.into_iter().flatten();
        self.stats.report(self.stats.values.iter().map(String::as_str).zip(values.copied()))
    }

    /// Writes the actions of the policy in order, each with a comma behind it.
    fn flush(&mut self, out: &mut Vec<u8>) {
        let who = self.who;
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Forward { request, server, timeout } => {
                    let Some(open) = self.requests.get_mut(&request.0) else { continue };
                    open.in_flight += 1;
                    let upstream = &self.server_names[server.0 as usize];
                    let allow_for = milliseconds(timeout.0);
                    write(out, &Command::Relay { who, job: &open.name, upstream, allow_for });
                }
                Action::Reject { request, retry_after } => {
                    let Some(open) = self.requests.get_mut(&request.0) else { continue };
                    open.ended = true;
                    let cool_down = milliseconds(retry_after.0);
                    write(out, &Command::NotNow { who, job: &open.name, cool_down });
                    self.forget(request.0);
                }
                Action::Fail { request } => {
                    let Some(open) = self.requests.get_mut(&request.0) else { continue };
                    open.ended = true;
                    write(out, &Command::FinishError { who, job: &open.name });
                    self.forget(request.0);
                }
                Action::Cancel { request, attempt } => {
                    let Some(open) = self.requests.get(&request.0) else { continue };
                    write(out, &Command::Retract { who, job: &open.name, go: attempt });
                }
                Action::SetTimer { token, at } => {
                    write(out, &Command::Arm { who, token, instant: milliseconds(at.0) });
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

    /// Forgets the name of a request that has ended and has no attempt in flight.
    fn forget(&mut self, handle: u64) {
        if self.requests.get(&handle).is_some_and(|request| request.ended && request.in_flight == 0)
            && let Some(open) = self.requests.remove(&handle)
        {
            self.by_name.remove(&open.name);
        }
    }
}

fn write(out: &mut Vec<u8>, command: &Command) {
    // Writing plain structs to memory cannot fail.
    let _ = serde_json::to_writer(&mut *out, command);
    out.push(b',');
}

/// The outcome that a result code stands for.
fn outcome(code: u16) -> Result<Outcome, MessageError> {
    Ok(match code {
        200 => Outcome::Ok,
        500 => Outcome::Error,
        503 => Outcome::Rejected,
        504 => Outcome::Timeout,
        502 => Outcome::ConnectFailed,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::Superseded,
        _ => return Err(MessageError::UnknownOutcome(code)),
    })
}
