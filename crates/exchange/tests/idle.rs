//! Tests of pools without requests: when they are idle, that they have no timer and no task then, and that decisions
//! afterwards equal those of a pool whose timers never stopped. The tests run in simulated time and check counts, not
//! durations.

mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sableloom_exchange::outcome::AttemptEnd;
use sableloom_exchange::{
    Answer, AttemptConnection, AttemptContext, AttemptOutcome, Clock, EndpointListener, Exchange,
    ExchangeOptions, ListedEndpoint, LocalFuture, Reply, RequestContext, Service, ShareExpiry,
    Transport,
};
use sableloom_types::settings::DeploymentSettings;
use sableloom_types::{EndpointStatus, Idempotency, ListKind, LoadReport, ServerId, Span};
use serde_json::json;
use tokio::runtime::Handle;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use support::{SilentSource, endpoint, message};

const DEADLINE_MS: u64 = 400;
const SLOW_START_MS: u64 = 20_000;
/// Longer than a pool takes to become idle: two deadlines after the last answer, and the time to its next timer.
const TIME_TO_IDLE: Duration = Duration::from_millis(3 * DEADLINE_MS);

/// Answers each attempt, later for a server with a higher number, and records its server and its start.
#[derive(Default)]
struct RecordingTransport {
    /// The server of each attempt, and the time from `epoch` to the start of the attempt.
    started: RefCell<Vec<(ServerId, Duration)>>,
    /// The start of the recorded times; without it all recorded times are zero.
    epoch: Option<Instant>,
    /// Whether no attempt is answered.
    silent: bool,
}

impl Transport for RecordingTransport {
    fn attempt(self: Rc<Self>, context: Rc<AttemptContext>) -> LocalFuture<AttemptOutcome> {
        Box::pin(async move {
            if !context.may_send_first_byte() {
                return AttemptOutcome::without_answer(AttemptEnd::NotStarted);
            }
            context.set_connection(Rc::new(FullyWrittenConnection));
            let started_at = self.epoch.map_or(Duration::ZERO, |epoch| epoch.elapsed());
            self.started.borrow_mut().push((context.server, started_at));
            if self.silent {
                std::future::pending::<()>().await;
            }
            sleep(Duration::from_millis(20 * (1 + u64::from(context.server.0)))).await;
            AttemptOutcome {
                answer: Some(Answer::default()),
                ..AttemptOutcome::without_answer(AttemptEnd::Answered)
            }
        })
    }
    fn check_health(self: Rc<Self>, _: ServerId, _: SocketAddr) -> LocalFuture<Option<LoadReport>> {
        Box::pin(async { None })
    }
    fn set_retired(&self, _: ServerId, _: bool) {}
    fn address_changed(&self, _: ServerId) {}
    fn forget(&self, _: ServerId) {}
}

/// A connection to which all bytes were written.
struct FullyWrittenConnection;

impl AttemptConnection for FullyWrittenConnection {
    fn fully_written(&self) -> bool {
        true
    }
}

fn settings(registry_mode: &str) -> DeploymentSettings {
    serde_json::from_value(json!({
        "Balancers": 1, "Tick": 1.0, "RegistryMode": registry_mode,
        "Services": [{"Name": "a", "Aim": 200.0, "Deadline": DEADLINE_MS, "Effect": "retryable",
                      "LateValue": 0.5}],
        "PolicyLimits": {"MaxAttempts": 3, "RetryAfter": true, "MaxRetryAfter": 300.0},
        "Safety": {"AskEvery": 5000.0, "Cold": SLOW_START_MS, "ColdFrom": 0.2, "FallMultiple": 3.0,
                   "TipAfter": 1000.0},
    }))
    .expect("settings")
}

const PORT: u16 = 9000;

fn report_full_list(exchange: &Rc<Exchange>, entries: Vec<ListedEndpoint>) {
    exchange.clone().endpoints_updated(ListKind::Full, entries);
}

fn warm_servers(n: u8) -> Vec<ListedEndpoint> {
    (0..n).map(|i| endpoint(i, PORT, EndpointStatus::Live, 0.0)).collect()
}

fn start(clock: Clock, registry_mode: &str, transport: &Rc<RecordingTransport>) -> Rc<Exchange> {
    let settings = Rc::new(settings(registry_mode));
    let (transport, source) = (transport.clone(), Rc::new(SilentSource));
    Exchange::start(ExchangeOptions { settings, seed: 1, clock, transport, source })
        .expect("an exchange")
}

fn send(exchange: &Rc<Exchange>, clock: Clock, id: u32) -> LocalFuture<Reply> {
    send_with_deadline(exchange, clock, id, DEADLINE_MS)
}

fn send_with_deadline(
    exchange: &Rc<Exchange>,
    clock: Clock,
    id: u32,
    deadline_ms: u64,
) -> LocalFuture<Reply> {
    let id = Bytes::from(id.to_string());
    let message = message(id, Idempotency::Idempotent, None);
    let deadline = clock.now().plus(Span(deadline_ms as i64 * 1000));
    let context = RequestContext { class: 0, tenant: 0, key: None, deadline };
    exchange.clone().call(context, message).expect("the request is accepted")
}

/// Runs a future in simulated time on one thread.
fn run_simulated(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn three_hundred_idle_pools_have_no_timer_and_no_task() {
    run_simulated(async {
        let (clock, transport) = (Clock::anchored_at(0), Rc::new(RecordingTransport::default()));
        let pools: Vec<_> = (0..300).map(|_| start(clock, "automatic", &transport)).collect();
        pools.iter().for_each(|pool| report_full_list(pool, warm_servers(20)));
        assert!(pools.iter().all(|pool| !pool.is_idle()), "the timers of all pools run at first");
        sleep(TIME_TO_IDLE).await;
        assert!(pools.iter().all(|pool| pool.is_idle()));
        assert_eq!(Handle::current().metrics().num_alive_tasks(), 0);
        // A request to one pool resumes that pool alone.
        let reply = send(&pools[7], clock, 1).await;
        assert!(matches!(reply, Reply::Served(_)));
        sleep(Duration::from_millis(DEADLINE_MS)).await;
        assert!(!pools[7].is_idle(), "its timers run for two deadlines after its last answer");
        assert_eq!(pools.iter().filter(|pool| !pool.is_idle()).count(), 1);
        sleep(TIME_TO_IDLE).await;
        assert!(pools[7].is_idle());
        // An endpoint list without a request is applied, and the pool is idle again at once.
        report_full_list(&pools[3], warm_servers(5));
        assert!(pools[3].is_idle());
    });
}

#[test]
fn a_pool_is_not_idle_while_a_server_is_in_slow_start() {
    run_simulated(async {
        let (clock, transport) =
            (Clock::anchored_at(1_000_000_000), Rc::new(RecordingTransport::default()));
        let pool = start(clock, "automatic", &transport);
        report_full_list(&pool, warm_servers(3));
        sleep(TIME_TO_IDLE).await;
        assert!(pool.is_idle());
        let mut list = warm_servers(3);
        list.push(endpoint(3, PORT, EndpointStatus::Live, clock.now().0 as f64 / 1000.0));
        report_full_list(&pool, list);
        assert!(!pool.is_idle());
        sleep(Duration::from_millis(SLOW_START_MS) - TIME_TO_IDLE).await;
        assert!(!pool.is_idle());
        sleep(2 * TIME_TO_IDLE).await;
        assert!(pool.is_idle());
        // After an empty list, the slow start of a server that was removed does not delay the idle state.
        let mut list = warm_servers(3);
        list.push(endpoint(4, PORT, EndpointStatus::Live, clock.now().0 as f64 / 1000.0));
        report_full_list(&pool, list);
        assert!(!pool.is_idle());
        report_full_list(&pool, Vec::new());
        sleep(TIME_TO_IDLE).await;
        assert!(pool.is_idle());
    });
}

#[test]
fn a_pool_with_an_open_request_is_not_idle_however_long_the_request_waits() {
    run_simulated(async {
        let clock = Clock::anchored_at(0);
        let transport =
            Rc::new(RecordingTransport { silent: true, ..RecordingTransport::default() });
        let pool = start(clock, "automatic", &transport);
        report_full_list(&pool, warm_servers(1));
        let waiting = spawn_local(send_with_deadline(&pool, clock, 1, 10 * DEADLINE_MS));
        for _ in 0..99 {
            sleep(Duration::from_millis(DEADLINE_MS / 10)).await;
            assert!(!pool.is_idle());
        }
        assert!(!matches!(waiting.await.expect("an answer"), Reply::Served(_)));
        sleep(TIME_TO_IDLE).await;
        assert!(pool.is_idle());
    });
}

#[test]
fn a_pool_that_polls_for_its_list_is_never_idle() {
    run_simulated(async {
        let pool =
            start(Clock::anchored_at(0), "subscribe", &Rc::new(RecordingTransport::default()));
        report_full_list(&pool, warm_servers(3));
        sleep(20 * TIME_TO_IDLE).await;
        assert!(!pool.is_idle());
    });
}

#[test]
fn a_server_that_drains_while_its_pool_is_idle_gets_no_request() {
    run_simulated(async {
        let (clock, transport) = (Clock::anchored_at(0), Rc::new(RecordingTransport::default()));
        let pool = start(clock, "automatic", &transport);
        report_full_list(&pool, warm_servers(2));
        sleep(TIME_TO_IDLE).await;
        assert!(pool.is_idle());
        let list = vec![
            endpoint(0, PORT, EndpointStatus::Draining, 0.0),
            endpoint(1, PORT, EndpointStatus::Live, 0.0),
        ];
        report_full_list(&pool, list);
        for id in 0..40 {
            assert!(matches!(send(&pool, clock, id).await, Reply::Served(_)));
        }
        assert!(transport.started.borrow().iter().all(|(server, _)| *server == ServerId(1)));
    });
}

/// The answers to a burst, and the servers and start times of its attempts.
type Burst = (Vec<Reply>, Vec<(ServerId, Duration)>);

/// Returns the result of a burst of requests after 10 s with a request each millisecond and a time `idle` without
/// requests. If `share_expires`, the balancer's share of the servers expires in the middle of that time, and a share
/// without expiry is set shortly before its end. If `refreshed`, the policy updates its decaying sums every millisecond
/// of that time.
fn run_burst(idle: Duration, share_expires: bool, refreshed: bool) -> Burst {
    let outcome = Rc::new(RefCell::new(Burst::default()));
    let result = outcome.clone();
    run_simulated(async move {
        let clock = Clock::anchored_at(0);
        let transport = Rc::new(RecordingTransport {
            epoch: Some(Instant::now()),
            ..RecordingTransport::default()
        });
        let pool = start(clock, "automatic", &transport);
        report_full_list(&pool, warm_servers(4));
        for id in 0..10_000 {
            sleep(Duration::from_millis(1)).await;
            drop(spawn_local(send(&pool, clock, id)));
        }
        if share_expires {
            let expires_at = clock.now().plus(Span(idle.as_micros() as i64 / 2));
            pool.set_balancers(2, Some(ShareExpiry { at: expires_at, balancers_after: 40 }));
        }
        for ms in 0..idle.as_millis() {
            if share_expires && ms == idle.as_millis() - 20 {
                pool.set_balancers(2, None);
            }
            sleep(Duration::from_millis(1)).await;
            if refreshed {
                // At an update without an endpoint, the policy updates its decaying sums and changes nothing else.
                pool.clone().endpoints_updated(ListKind::Update, Vec::new());
            }
        }
        assert!(pool.is_idle());
        transport.started.borrow_mut().clear();
        let burst = (0..400).map(|id| spawn_local(send(&pool, clock, 20_000 + id)));
        let mut replies = Vec::new();
        for waiting in burst.collect::<Vec<_>>() {
            replies.push(waiting.await.expect("an answer"));
        }
        *result.borrow_mut() = (replies, transport.started.borrow().clone());
    });
    outcome.take()
}

/// Returns a short description of the difference between two bursts.
fn describe_difference(a: &Burst, b: &Burst) -> String {
    let served = |burst: &Burst| burst.0.iter().filter(|r| matches!(r, Reply::Served(_))).count();
    let first = a.1.iter().zip(&b.1).position(|(a, b)| a != b);
    format!("{} and {} served, attempts differ from {first:?} on", served(a), served(b))
}

#[test]
fn decisions_after_an_idle_period_equal_those_of_a_pool_whose_timers_ran() {
    let idle = Duration::from_millis(3 * SLOW_START_MS);
    let (after_idle, refreshed) = (run_burst(idle, false, false), run_burst(idle, false, true));
    assert!(after_idle.0.contains(&Reply::Served(Answer::default())));
    assert!(
        after_idle.0.iter().any(|reply| matches!(reply, Reply::Rejected(_))),
        "the burst exceeds the capacity"
    );
    assert!(after_idle == refreshed, "{}", describe_difference(&after_idle, &refreshed));
}

#[test]
fn a_share_that_expires_while_the_pool_is_idle_has_expired_for_the_next_request() {
    let idle = Duration::from_millis(3 * SLOW_START_MS);
    let (after_idle, refreshed) = (run_burst(idle, true, false), run_burst(idle, true, true));
    assert!(after_idle == refreshed, "{}", describe_difference(&after_idle, &refreshed));
    assert!(after_idle != run_burst(idle, false, false));
}
