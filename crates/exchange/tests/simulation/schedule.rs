//! One seeded schedule: requests, clients that disconnect, and changes of the endpoint list.

use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use oorandom::Rand64;
use sableloom_exchange::{
    Client, Clock, EndpointListener, Exchange, ExchangeOptions, ListedEndpoint, Reply,
    RequestContext, Service,
};
use sableloom_types::settings::DeploymentSettings;
use sableloom_types::{EndpointStatus, Idempotency, ListKind, Span};
use serde_json::json;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use crate::recorder::Recorder;
use crate::support::{SilentSource, endpoint, message};
use crate::transport::FaultyTransport;

const DEADLINE_MS: i64 = 400;
/// How long servers recognize a retry of a keyed request, in milliseconds.
pub(crate) const DEDUP_WINDOW_MS: u64 = 120;
const REQUESTS: u64 = 25;
const CLASSES: [(&str, Idempotency); 3] = [
    ("balance", Idempotency::Idempotent),
    ("keyed", Idempotency::Keyed),
    ("redeem", Idempotency::NonIdempotent),
];

/// A client that can disconnect without closing its reply future.
struct ConnectedClient {
    connected: Cell<bool>,
}

impl Client for ConnectedClient {
    fn is_gone(&self) -> bool {
        !self.connected.get()
    }
}

fn settings() -> DeploymentSettings {
    let class = |name: &str, idempotency: &str| {
        json!({"Name": name, "Aim": 200.0, "Deadline": DEADLINE_MS, "Effect": idempotency,
               "Group": "all", "Window": DEDUP_WINDOW_MS})
    };
    serde_json::from_value(json!({
        "Balancers": 1, "Tick": 1.0, "RegistryMode": "automatic",
        "Services": [class("balance", "retryable"), class("keyed", "dedup"),
                     class("redeem", "fragile")],
        "PolicyLimits": {"MaxAttempts": 4, "SecondCopies": true, "Cancelling": true,
                         "RetryAfter": true, "MaxRetryAfter": 300.0},
        "Safety": {"AskEvery": 5000.0, "Cold": 2000.0, "ColdFrom": 0.2, "FallMultiple": 3.0,
                   "TipAfter": 1000.0},
    }))
    .expect("settings")
}

/// Returns the endpoint of a server whose address has changed this many times.
fn server(number: u64, address_changes: u16, status: EndpointStatus) -> ListedEndpoint {
    endpoint(number as u8, 9000 + address_changes, status, 0.0)
}

pub(crate) async fn run(seed: u64, recorder: Rc<Recorder>) {
    let mut schedule = Schedule::new(seed, recorder);
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        sleep(Duration::from_micros(schedule.random_below(25_000))).await;
        if schedule.random_below(40) == 0 {
            schedule.let_pool_become_idle().await;
        }
        if schedule.random_below(12) == 0 {
            schedule.change_random_server();
        }
        clients.push(schedule.send_request(number));
    }
    for client in clients {
        if let Err(e) = client.await {
            schedule.recorder.record_violation(format!("a client task failed: {e}"));
        }
    }
    // Attempts that are still in flight end in this time, and must not break a rule either.
    sleep(Duration::from_secs(3)).await;
    schedule.check_end();
}

struct Schedule {
    rng: Rand64,
    clock: Clock,
    recorder: Rc<Recorder>,
    exchange: Rc<Exchange>,
    servers: u64,
    address_changes: u16,
    idle_periods: usize,
}

impl Schedule {
    fn new(seed: u64, recorder: Rc<Recorder>) -> Self {
        let mut rng = Rand64::new(u128::from(seed) + 1);
        let clock = Clock::new();
        let options = ExchangeOptions {
            settings: Rc::new(settings()),
            seed,
            clock,
            transport: Rc::new(FaultyTransport::new(seed, recorder.clone())),
            source: Rc::new(SilentSource),
        };
        let exchange = Exchange::start(options).expect("an exchange");
        let servers = 1 + rng.rand_range(0..4);
        let schedule =
            Self { rng, clock, recorder, exchange, servers, address_changes: 0, idle_periods: 0 };
        let list = (0..servers).map(|number| server(number, 0, EndpointStatus::Live)).collect();
        schedule.report_list(ListKind::Full, list);
        schedule
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.rand_range(0..bound)
    }

    /// Returns a random time below `max_ms` milliseconds in one of `n` cases.
    fn random_time_one_in(&mut self, n: u64, max_ms: u64) -> Option<Duration> {
        (self.random_below(n) == 0).then(|| Duration::from_millis(self.random_below(max_ms)))
    }

    fn report_list(&self, kind: ListKind, entries: Vec<ListedEndpoint>) {
        for entry in &entries {
            let mut live = self.recorder.live_servers.borrow_mut();
            match entry.status {
                EndpointStatus::Live => live.insert(entry.id.clone(), entry.address),
                _ => live.remove(&entry.id),
            };
        }
        self.exchange.clone().endpoints_updated(kind, entries);
    }

    async fn let_pool_become_idle(&mut self) {
        sleep(Duration::from_millis(3 * DEADLINE_MS as u64)).await;
        self.idle_periods += usize::from(self.exchange.is_idle());
    }

    fn change_random_server(&mut self) {
        let statuses = [EndpointStatus::Live, EndpointStatus::Draining, EndpointStatus::Gone];
        let status = statuses[self.random_below(3) as usize];
        self.address_changes += u16::from(self.random_below(3) == 0);
        let number = self.random_below(self.servers);
        self.report_list(ListKind::Update, vec![server(number, self.address_changes, status)]);
    }

    fn send_request(&mut self, number: u64) -> JoinHandle<()> {
        let class = self.random_below(3) as usize;
        let (name, idempotency) = CLASSES[class];
        let id = Bytes::from(format!("{name}-{number}"));
        let client = Rc::new(ConnectedClient { connected: Cell::new(true) });
        let weak: Weak<dyn Client> = Rc::<ConnectedClient>::downgrade(&client);
        let message = message(id.clone(), idempotency, Some(weak));
        let deadline = self.clock.now().plus(Span(DEADLINE_MS * 1000));
        let context = RequestContext { class, tenant: 0, key: None, deadline };
        let drop_reply_after = self.random_time_one_in(8, 150);
        // Some clients disconnect after sending bytes that their front end does not read. It therefore does not notice,
        // and keeps waiting for the reply.
        if let Some(after) = self.random_time_one_in(8, 150) {
            let client = client.clone();
            spawn_local(async move {
                sleep(after).await;
                client.connected.set(false);
            });
        }
        let (exchange, recorder) = (self.exchange.clone(), self.recorder.clone());
        spawn_local(async move {
            let (sent, _connected) = (Instant::now(), client);
            let wait = exchange.call(context, message).expect("the request is accepted");
            if let Some(after) = drop_reply_after {
                let _ = timeout(after, wait).await;
                return;
            }
            let reply = wait.await;
            check_reply(&recorder, &id, idempotency, &reply, sent.elapsed());
        })
    }

    fn check_end(&self) {
        if self.idle_periods > 0 {
            *self.recorder.paths.borrow_mut().entry("idle").or_default() += self.idle_periods;
        }
        if !self.exchange.is_idle() {
            self.recorder.record_violation("the pool is not idle at the end".into());
        }
        if self.exchange.open_requests() > 0 {
            self.recorder.record_violation(format!(
                "{} requests are still open",
                self.exchange.open_requests()
            ));
        }
        for (id, times) in self.recorder.executions.borrow().iter().filter(|(_, times)| **times > 1)
        {
            if id.starts_with(b"redeem") {
                self.recorder.record_violation(format!(
                    "{id:?} is not idempotent and was executed {times} times"
                ));
            }
        }
    }
}

fn check_reply(
    recorder: &Recorder,
    id: &Bytes,
    idempotency: Idempotency,
    reply: &Reply,
    latency: Duration,
) {
    let executions = recorder.executions.borrow().get(id).copied().unwrap_or(0);
    // The answer is due by the deadline, plus a margin for a tick of the policy's clock.
    if latency > Duration::from_millis(DEADLINE_MS as u64 + 20) {
        recorder.record_violation(format!("{id:?} was answered after {latency:?}"));
    }
    match reply {
        Reply::Served(answer) if answer.body != *id => {
            recorder.record_violation(format!("{id:?} got the answer of {:?}", answer.body));
        }
        Reply::Served(_) if executions == 0 => {
            recorder.record_violation(format!("{id:?} was answered and never executed"));
        }
        Reply::Rejected(_) if idempotency == Idempotency::NonIdempotent && executions > 0 => {
            recorder
                .record_violation(format!("{id:?} was executed {executions} times and rejected"));
        }
        _ => {}
    }
}
