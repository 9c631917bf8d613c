//! Pools without requests: when they rest, what a rest costs, and that decisions after one are those of a
//! pool that kept time all along. Simulated time; counts, no durations.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sableloom_exchange::fate::AttemptEnd;
use sableloom_exchange::*;
use sableloom_types::settings::DeploymentSettings;
use sableloom_types::{EndpointStatus, Idempotency, ListKind, LoadReport, ServerId, Span};
use serde_json::json;
use tokio::runtime::Handle;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

const DEADLINE_MS: u64 = 400;
const COLD_MS: u64 = 20_000;
/// Longer than a pool takes to come to rest, its last timer included.
const LONG: Duration = Duration::from_millis(3 * DEADLINE_MS);

/// Serves each attempt, a server of a higher number slower, and writes down where it went and when.
#[derive(Default)]
struct Servers {
    began: RefCell<Vec<(ServerId, Duration)>>,
    epoch: Option<Instant>,
    /// No attempt is answered.
    silent: bool,
}

impl Transport for Servers {
    fn attempt(self: Rc<Self>, call: Rc<AttemptContext>) -> LocalFuture<AttemptOutcome> {
        Box::pin(async move {
            if !call.may_send_first_byte() {
                return AttemptOutcome::without_answer(AttemptEnd::NotStarted);
            }
            call.set_connection(Rc::new(Written));
            let since = self.epoch.map_or(Duration::ZERO, |epoch| epoch.elapsed());
            self.began.borrow_mut().push((call.server, since));
            if self.silent {
                std::future::pending::<()>().await;
            }
            sleep(Duration::from_millis(20 * (1 + u64::from(call.server.0)))).await;
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

/// A connection that all bytes have left on.
struct Written;

impl AttemptConnection for Written {
    fn fully_written(&self) -> bool {
        true
    }
}

struct Silent;

impl EndpointSource for Silent {
    fn subscribe(self: Rc<Self>, _: Rc<dyn EndpointListener>) {}
}

fn settings(registry: &str) -> DeploymentSettings {
    serde_json::from_value(json!({
        "Balancers": 1, "Tick": 1.0, "RegistryMode": registry,
        "Services": [{"Name": "a", "Aim": 200.0, "Deadline": DEADLINE_MS, "Effect": "retryable",
                      "LateValue": 0.5}],
        "PolicyLimits": {"MaxAttempts": 3, "RetryAfter": true, "MaxRetryAfter": 300.0},
        "Safety": {"AskEvery": 5000.0, "Cold": COLD_MS, "ColdFrom": 0.2, "FallMultiple": 3.0,
                   "TipAfter": 1000.0},
    }))
    .expect("settings")
}

fn entry(n: u8, status: EndpointStatus, up_since_ms: f64) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("s-{n}").into(),
        address: SocketAddr::from(([127, 0, 0, 1 + n], 9000)),
        zone: "".into(),
        kind: "".into(),
        cell: 0,
        status,
        size: 1.0,
        up_since_ms,
    }
}

fn whole(exchange: &Rc<Exchange>, entries: Vec<ListedEndpoint>) {
    exchange.clone().endpoints_updated(ListKind::Full, entries);
}

fn warm(n: u8) -> Vec<ListedEndpoint> {
    (0..n).map(|i| entry(i, EndpointStatus::Live, 0.0)).collect()
}

fn start(clock: Clock, registry: &str, servers: &Rc<Servers>) -> Rc<Exchange> {
    let settings = Rc::new(settings(registry));
    let (transport, source) = (servers.clone(), Rc::new(Silent));
    Exchange::start(ExchangeOptions { settings, seed: 1, clock, transport, source })
        .expect("an exchange")
}

fn ask(exchange: &Rc<Exchange>, clock: Clock, id: u32) -> LocalFuture<Reply> {
    ask_for(exchange, clock, id, DEADLINE_MS)
}

fn ask_for(exchange: &Rc<Exchange>, clock: Clock, id: u32, ms: u64) -> LocalFuture<Reply> {
    let message = Message {
        id: Bytes::from(id.to_string()),
        idempotency: Idempotency::Idempotent,
        method: Bytes::from_static(b"GET"),
        target: Bytes::from_static(b"/x"),
        fields: Fields::default(),
        body: Bytes::new(),
        attachment: None,
        client: None,
    };
    let deadline = clock.now().plus(Span(ms as i64 * 1000));
    let asked = RequestContext { class: 0, tenant: 0, key: None, deadline };
    exchange.clone().call(asked, message).expect("a new id")
}

/// In simulated time on one thread.
fn play(work: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work);
}

#[test]
fn three_hundred_pools_at_rest_have_no_timer_and_no_task() {
    play(async {
        let (clock, servers) = (Clock::anchored_at(0), Rc::new(Servers::default()));
        let pools: Vec<_> = (0..300).map(|_| start(clock, "automatic", &servers)).collect();
        pools.iter().for_each(|pool| whole(pool, warm(20)));
        assert!(pools.iter().all(|pool| !pool.is_idle()), "all keep time at first");
        sleep(LONG).await;
        assert!(pools.iter().all(|pool| pool.is_idle()));
        assert_eq!(Handle::current().metrics().num_alive_tasks(), 0);
        // One of them is asked for something: it alone goes on.
        let reply = ask(&pools[7], clock, 1).await;
        assert!(matches!(reply, Reply::Served(_)));
        sleep(Duration::from_millis(DEADLINE_MS)).await;
        assert!(!pools[7].is_idle(), "it keeps time for two deadlines from its last answer");
        assert_eq!(pools.iter().filter(|pool| !pool.is_idle()).count(), 1);
        sleep(LONG).await;
        assert!(pools[7].is_idle());
        // News of its servers alone is taken in and ends no rest for long.
        whole(&pools[3], warm(5));
        assert!(pools[3].is_idle());
    });
}

#[test]
fn a_pool_with_a_server_that_warms_up_keeps_time_until_it_is_warm() {
    play(async {
        let (clock, servers) = (Clock::anchored_at(1_000_000_000), Rc::new(Servers::default()));
        let pool = start(clock, "automatic", &servers);
        whole(&pool, warm(3));
        sleep(LONG).await;
        assert!(pool.is_idle());
        let mut list = warm(3);
        list.push(entry(3, EndpointStatus::Live, clock.now().0 as f64 / 1000.0));
        whole(&pool, list);
        assert!(!pool.is_idle());
        sleep(Duration::from_millis(COLD_MS) - LONG).await;
        assert!(!pool.is_idle());
        sleep(2 * LONG).await;
        assert!(pool.is_idle());
        // One that goes leaves nothing to wait for; nor does a list without any.
        let mut list = warm(3);
        list.push(entry(4, EndpointStatus::Live, clock.now().0 as f64 / 1000.0));
        whole(&pool, list);
        assert!(!pool.is_idle());
        whole(&pool, Vec::new());
        sleep(LONG).await;
        assert!(pool.is_idle());
    });
}

#[test]
fn a_pool_with_an_open_request_keeps_time_however_long_that_waits() {
    play(async {
        let clock = Clock::anchored_at(0);
        let servers = Rc::new(Servers { silent: true, ..Servers::default() });
        let pool = start(clock, "automatic", &servers);
        whole(&pool, warm(1));
        let waits = spawn_local(ask_for(&pool, clock, 1, 10 * DEADLINE_MS));
        for _ in 0..99 {
            sleep(Duration::from_millis(DEADLINE_MS / 10)).await;
            assert!(!pool.is_idle());
        }
        assert!(!matches!(waits.await.expect("an answer"), Reply::Served(_)));
        sleep(LONG).await;
        assert!(pool.is_idle());
    });
}

#[test]
fn a_pool_that_must_ask_for_its_list_never_rests() {
    play(async {
        let pool = start(Clock::anchored_at(0), "subscribe", &Rc::new(Servers::default()));
        whole(&pool, warm(3));
        sleep(20 * LONG).await;
        assert!(!pool.is_idle());
    });
}

#[test]
fn a_server_that_leaves_during_a_rest_gets_nothing_after_it() {
    play(async {
        let (clock, servers) = (Clock::anchored_at(0), Rc::new(Servers::default()));
        let pool = start(clock, "automatic", &servers);
        whole(&pool, warm(2));
        sleep(LONG).await;
        assert!(pool.is_idle());
        let list =
            vec![entry(0, EndpointStatus::Draining, 0.0), entry(1, EndpointStatus::Live, 0.0)];
        whole(&pool, list);
        for id in 0..40 {
            assert!(matches!(ask(&pool, clock, id).await, Reply::Served(_)));
        }
        assert!(servers.began.borrow().iter().all(|(server, _)| *server == ServerId(1)));
    });
}

/// A burst's answers, and where and when its attempts began.
type Burst = (Vec<Reply>, Vec<(ServerId, Duration)>);

/// What becomes of a burst after busy seconds and a time without requests, in which a share of the servers
/// may end and a new one come. A pool that is `kept_awake` has its sums brought up to date every millisecond.
fn burst_after(idle: Duration, share_ends: bool, kept_awake: bool) -> Burst {
    let seen = Rc::new(RefCell::new(Burst::default()));
    let of_burst = seen.clone();
    play(async move {
        let clock = Clock::anchored_at(0);
        let servers = Rc::new(Servers { epoch: Some(Instant::now()), ..Servers::default() });
        let pool = start(clock, "automatic", &servers);
        whole(&pool, warm(4));
        for id in 0..10_000 {
            sleep(Duration::from_millis(1)).await;
            drop(spawn_local(ask(&pool, clock, id)));
        }
        if share_ends {
            let ends = clock.now().plus(Span(idle.as_micros() as i64 / 2));
            pool.set_balancers(2, Some(ShareExpiry { at: ends, balancers_after: 40 }));
        }
        for ms in 0..idle.as_millis() {
            if share_ends && ms == idle.as_millis() - 20 {
                pool.set_balancers(2, None);
            }
            sleep(Duration::from_millis(1)).await;
            if kept_awake {
                // News of no server: the module refreshes its sums and changes nothing else.
                pool.clone().endpoints_updated(ListKind::Update, Vec::new());
            }
        }
        assert!(pool.is_idle());
        servers.began.borrow_mut().clear();
        let burst = (0..400).map(|id| spawn_local(ask(&pool, clock, 20_000 + id)));
        let mut replies = Vec::new();
        for waiting in burst.collect::<Vec<_>>() {
            replies.push(waiting.await.expect("an answer"));
        }
        *of_burst.borrow_mut() = (replies, servers.began.borrow().clone());
    });
    seen.take()
}

/// What tells two bursts apart, in short.
fn differing(a: &Burst, b: &Burst) -> String {
    let served = |burst: &Burst| burst.0.iter().filter(|r| matches!(r, Reply::Served(_))).count();
    let (starts, others) = (&a.1, &b.1);
    let first = starts.iter().zip(others).position(|(a, b)| a != b);
    format!("{} and {} served, attempts differ from {first:?} on", served(a), served(b))
}

#[test]
fn after_a_rest_all_is_decided_as_if_time_had_been_kept() {
    let idle = Duration::from_millis(3 * COLD_MS);
    let (rested, awake) = (burst_after(idle, false, false), burst_after(idle, false, true));
    assert!(rested.0.contains(&Reply::Served(Answer::default())));
    assert!(
        rested.0.iter().any(|reply| matches!(reply, Reply::Rejected(_))),
        "more than it can do"
    );
    assert!(rested == awake, "{}", differing(&rested, &awake));
}

#[test]
fn a_share_that_ends_during_a_rest_has_ended() {
    let idle = Duration::from_millis(3 * COLD_MS);
    let (rested, awake) = (burst_after(idle, true, false), burst_after(idle, true, true));
    assert!(rested == awake, "{}", differing(&rested, &awake));
    assert!(rested != burst_after(idle, false, false));
}
