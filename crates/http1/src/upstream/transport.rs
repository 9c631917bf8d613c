//! The HTTP/1.1 transport: attempts and health checks.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri, header};
use sableloom_exchange::outcome::AttemptEnd;
use sableloom_exchange::{
    Answer, AttemptConnection, AttemptContext, AttemptOutcome, LocalFuture, Transport,
};
use sableloom_types::settings::{
    DeploymentSettings, LoadReportSettings, LoadReportSource, PolicyLimits,
};
use sableloom_types::{LoadReport, ServerId};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use super::answer::{discard_body, read_body};
use super::connection_budget::ConnectionBudget;
use super::idle_pool::IdlePool;
use super::load_report::parse_load_report;
use super::outgoing_request::OutgoingRequest;
use super::upstream_connection::UpstreamConnection;
use crate::fields;
use crate::limits::MAX_BODY_BYTES;
use crate::reuse_guard::ReuseGuard;

/// The idle timeout is this fraction of the time after which servers close idle connections: some close sooner.
const IDLE_TIMEOUT_FRACTION_OF_KEEPALIVE: f64 = 0.5;
/// After this time, in seconds, servers close idle connections if the settings don't say.
const DEFAULT_KEEPALIVE_S: f64 = 15.0;
/// The connect timeout in seconds if the settings don't say.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 1.0;
/// How long reading the rest of an answer that is not passed on may take before its connection is closed instead of
/// kept.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a health check may take.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// The HTTP/1.1 transport of one pool.
pub struct Http1Transport {
    idle: Rc<IdlePool>,
    budget: Rc<ConnectionBudget>,
    connect_timeout: Duration,
    stats: LoadReportSettings,
    guard: Rc<ReuseGuard>,
}

/// Why a request that was sent has no answer.
enum SendError {
    /// The reused connection had been closed, or an answer to the request before came on it, before this request was
    /// complete: the attempt has not been made yet.
    StaleConnection,
    /// The attempt has ended.
    Ended(AttemptEnd),
}

impl Http1Transport {
    /// A transport whose connections count against this budget.
    pub fn new(budget: Rc<ConnectionBudget>, settings: &DeploymentSettings) -> Rc<Self> {
        let stated = |ms: f64, default_s: f64| {
            Duration::from_secs_f64(if ms > 0.0 { ms / 1000.0 } else { default_s })
        };
        let limits: &PolicyLimits = &settings.policy_limits;
        let keepalive = stated(limits.keepalive, DEFAULT_KEEPALIVE_S);
        let idle_timeout = keepalive.mul_f64(IDLE_TIMEOUT_FRACTION_OF_KEEPALIVE);
        let guard = Rc::new(ReuseGuard::new());
        Rc::new(Self {
            idle: IdlePool::new(budget.clone(), guard.clone(), idle_timeout),
            budget,
            connect_timeout: stated(limits.connect_timeout, DEFAULT_CONNECT_TIMEOUT_S),
            stats: settings.load_reports.clone(),
            guard,
        })
    }

    /// Closes idle connections that were idle too long, or were closed by their server.
    pub fn sweep(&self) {
        self.idle.sweep();
    }

    async fn connect(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        UpstreamConnection::open(address, self.connect_timeout, &self.budget, &self.guard).await
    }

    /// Runs an attempt. It is made on a new connection if a reused one turns out to be stale before the request is
    /// complete.
    async fn run_attempt(&self, context: &Rc<AttemptContext>) -> AttemptOutcome {
        let mut may_reuse = true;
        loop {
            if !context.is_dispatchable() {
                return AttemptOutcome::without_answer(AttemptEnd::NotStarted);
            }
            let kept = match may_reuse {
                true => self.idle.take(context.server, context.address),
                false => None,
            };
            let reused = kept.is_some();
            let connection = match kept {
                Some(connection) => Some(connection),
                None => self.connect(context.address).await,
            };
            let Some(mut connection) = connection else {
                return AttemptOutcome::without_answer(AttemptEnd::ConnectFailed);
            };
            // A connection may come up long after the attempt was decided.
            if !context.is_dispatchable() {
                self.idle.put(context.server, connection);
                return AttemptOutcome::without_answer(AttemptEnd::NotStarted);
            }
            match self.send(context, &mut connection, reused).await {
                Ok(answer) => return self.read_answer(context.server, connection, answer).await,
                Err(SendError::StaleConnection) => may_reuse = false,
                Err(SendError::Ended(ended)) => return AttemptOutcome::without_answer(ended),
            }
        }
    }

    /// Sends the request of an attempt, and waits for the head of its answer.
    async fn send(
        &self,
        context: &Rc<AttemptContext>,
        connection: &mut UpstreamConnection,
        reused: bool,
    ) -> Result<Response<Incoming>, SendError> {
        let time_left = context.deadline.saturating_duration_since(Instant::now());
        let Some(outgoing) = OutgoingRequest::new(&context.message, time_left) else {
            return Err(SendError::Ended(AttemptEnd::NotStarted));
        };
        let idle_time = connection.idle_time();
        let idempotency = context.message.idempotency;
        let hold = || self.guard.last_byte_hold(Instant::now(), idle_time, idempotency);
        let hold = reused.then(hold).flatten();
        connection.stream.begin_request(outgoing.bytes, hold, Some(context));
        connection.memory.begin_request(outgoing.bytes as usize);
        context.set_connection(connection.stream.clone());
        let result = connection.sender.send_request(outgoing.request).await;
        connection.memory.head_complete();
        let progress = connection.stream.request();
        match result {
            // It answers the request before: no server has seen this one completely.
            Ok(_) if progress.holds_last_byte() => {
                self.guard.unsolicited_bytes(Instant::now(), connection.idle_time());
                Err(SendError::StaleConnection)
            }
            Ok(answer) => Ok(answer),
            // The permission ended between the check above and hyper's turn to write.
            Err(_) if !progress.has_started() && !context.may_send_first_byte() => {
                Err(SendError::Ended(AttemptEnd::NotStarted))
            }
            // The server had closed the idle connection.
            Err(_) if reused && !progress.fully_written() => {
                self.idle.look_for_duplicate_answer(connection);
                Err(SendError::StaleConnection)
            }
            Err(e) if e.is_parse() => Err(SendError::Ended(AttemptEnd::UnusableAnswer)),
            Err(_) => Err(SendError::Ended(AttemptEnd::ConnectionLost)),
        }
    }

    /// Reads an answer.
    async fn read_answer(
        &self,
        server: ServerId,
        connection: UpstreamConnection,
        answer: Response<Incoming>,
    ) -> AttemptOutcome {
        let (head, mut body) = answer.into_parts();
        let report = self.load_report(&head.headers);
        if head.status != StatusCode::OK || !connection.stream.fully_written() {
            let not_executed = states_not_executed(&head);
            self.discard(server, connection, body);
            let outcome = AttemptOutcome::without_answer(AttemptEnd::UnusableAnswer);
            return AttemptOutcome { not_executed, report, ..outcome };
        }
        let head_bytes = fields::header_bytes(&head.headers);
        match read_body(self.budget.memory(), head_bytes, &mut body).await {
            Ok(body) => {
                self.idle.put(server, connection);
                let answer = Answer { fields: fields::end_to_end(head.headers), body };
                let outcome = AttemptOutcome::without_answer(AttemptEnd::Answered);
                AttemptOutcome { answer: Some(answer), report, ..outcome }
            }
            Err(ended) => AttemptOutcome { report, ..AttemptOutcome::without_answer(ended) },
        }
    }

    /// Reads the rest of an answer that is not passed on, and keeps its connection.
    fn discard(&self, server: ServerId, connection: UpstreamConnection, mut body: Incoming) {
        if !connection.stream.fully_written() {
            return;
        }
        let idle = self.idle.clone();
        spawn_local(async move {
            if let Ok(true) = timeout(DISCARD_TIMEOUT, discard_body(&mut body)).await {
                idle.put(server, connection);
            }
        });
    }

    /// The load report on an answer, where the settings have such.
    fn load_report(&self, headers: &HeaderMap) -> LoadReport {
        let header = headers.get("endpoint-load-metrics").and_then(|h| h.to_str().ok());
        match header {
            Some(text) if self.stats.source == LoadReportSource::Piggyback => {
                parse_load_report(&self.stats, text)
            }
            _ => LoadReport::default(),
        }
    }

    async fn run_health_check(&self, server: ServerId, address: SocketAddr) -> Option<LoadReport> {
        let mut connection = match self.idle.take(server, address) {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        let silent = self.stats.source == LoadReportSource::Silent;
        let path = if silent { "/alive" } else { "/metrics/load" };
        let mut request = Request::new(Full::<Bytes>::default());
        *request.uri_mut() = Uri::from_static(path);
        request.headers_mut().insert(header::HOST, address.to_string().parse().ok()?);
        connection.stream.begin_request(0, None, None);
        connection.memory.begin_request(0);
        let (head, body) = connection.sender.send_request(request).await.ok()?.into_parts();
        connection.memory.head_complete();
        let text = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?.to_bytes();
        self.idle.put(server, connection);
        let text = if silent { "" } else { std::str::from_utf8(&text).unwrap_or_default() };
        (head.status == StatusCode::OK).then(|| parse_load_report(&self.stats, text))
    }
}

/// Whether the server states that it did not execute the request.
fn states_not_executed(head: &Parts) -> bool {
    let stated = head.headers.get("x-never-ran").is_some_and(|value| value == "1");
    let may_state = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT];
    stated && may_state.contains(&head.status)
}

impl Transport for Http1Transport {
    fn attempt(self: Rc<Self>, context: Rc<AttemptContext>) -> LocalFuture<AttemptOutcome> {
        Box::pin(async move { self.run_attempt(&context).await })
    }

    fn check_health(
        self: Rc<Self>,
        server: ServerId,
        address: SocketAddr,
    ) -> LocalFuture<Option<LoadReport>> {
        Box::pin(async move {
            let check = self.run_health_check(server, address);
            timeout(HEALTH_CHECK_TIMEOUT, check).await.ok().flatten()
        })
    }

    fn set_retired(&self, server: ServerId, retired: bool) {
        self.idle.set_retired(server, retired);
    }

    fn address_changed(&self, server: ServerId) {
        self.idle.close(server);
    }

    fn forget(&self, server: ServerId) {
        self.idle.set_retired(server, false);
        self.idle.close(server);
    }
}
