//! Polling of a discovery service over HTTP, in simulated time: the connections are pipes and the clock stands still
//! until all wait, so that each run is the same. The stand-in records when each change was made or counted as notified by
//! the platform's page, the listener when it came; the check is on these records.

mod discovery_stand_in;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sableloom_discovery::{Dial, Discovery, DiscoveryOptions};
use sableloom_discovery_schedule::{PollSchedule, PollTiming, ScheduleOptions};
use sableloom_exchange::{Clock, EndpointListener, EndpointSource, ListedEndpoint};
use sableloom_types::{EndpointStatus, ListKind, Span};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

use discovery_stand_in::{DiscoveryStandIn, Fault, ok};

const GRACE: Duration = Duration::from_millis(1000);

/// How long discovery handles a new poll; an agent answers at once.
fn poll_time(pushed: bool, s: f64) -> Duration {
    if pushed { Duration::ZERO } else { secs(s) }
}

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// What a balancer was notified of.
#[derive(Default)]
struct RecordingListener {
    drains: RefCell<BTreeMap<String, Instant>>,
    live: RefCell<Vec<String>>,
    full_lists: Cell<usize>,
}

impl EndpointListener for RecordingListener {
    fn endpoints_updated(self: Rc<Self>, kind: ListKind, entries: Vec<ListedEndpoint>) {
        self.full_lists.set(self.full_lists.get() + usize::from(kind == ListKind::Full));
        for entry in entries {
            if entry.status == EndpointStatus::Live {
                self.live.borrow_mut().push(entry.id.to_string());
            } else {
                self.drains.borrow_mut().entry(entry.id.to_string()).or_insert_with(Instant::now);
            }
        }
    }
}

struct Balancer {
    listener: Rc<RecordingListener>,
    discovery: Rc<Discovery>,
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A balancer that polls what it reaches by `dial`, from this time of the clock on.
fn balancer(dial: Dial, pushed: bool, position: u32, balancers: u32, started: i64) -> Balancer {
    let options = ScheduleOptions {
        local_agent: pushed,
        poll_interval: Span(10_000_000),
        drain_grace: Span(GRACE.as_micros() as i64),
        position,
        balancers,
    };
    let discovery = Discovery::new(DiscoveryOptions {
        address: address(1),
        clock: Clock::anchored_at(1_796_000_000_000_000 + started),
        dial,
        max_answer_bytes: 1 << 20,
        revision: Some(1),
        schedule: PollSchedule::new(PollTiming::new(&options), u64::from(position), false),
    });
    let listener = Rc::new(RecordingListener::default());
    discovery.clone().subscribe(listener.clone());
    Balancer { listener, discovery }
}

/// Runs a case for an agent and for a service, started at several points of the period in which waits end.
fn run_case(case: impl AsyncFn(bool, i64)) {
    for pushed in [false, true] {
        for started in [0, 1_700_000, 4_999_000, 9_900_000] {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()
                .expect("a runtime");
            runtime.block_on(LocalSet::new().run_until(case(pushed, started)));
        }
    }
}

/// Waits until a drain is known, and checks that against when it counts as notified.
async fn check_known(balancer: &Balancer, id: &str, notified: Instant) {
    sleep_until(notified + secs(60.0)).await;
    let at = balancer.listener.drains.borrow().get(id).copied().expect("it is known at the end");
    let late = at.saturating_duration_since(notified + GRACE);
    assert!(late.is_zero(), "a request would have been forwarded for {late:?} too long");
}

#[test]
fn a_poll_that_goes_silent_hides_no_drain_past_its_notification_and_the_grace() {
    run_case(async |pushed, started| {
        // A slow service, with a single balancer.
        let service = DiscoveryStandIn::new(poll_time(pushed, 1.6));
        let balancer = balancer(service.dial(), pushed, 0, 1, started);
        sleep(secs(3.0)).await;
        let notified = service.go_silent();
        sleep(secs(0.1)).await;
        service.drain("s");
        check_known(&balancer, "s", notified).await;
    });
}

#[test]
fn two_silent_polls_in_a_row_are_detected_by_the_hedge() {
    run_case(async |pushed, started| {
        let service = DiscoveryStandIn::new(Duration::ZERO);
        let balancer = balancer(service.dial(), pushed, 0, 1, started);
        sleep(secs(2.0)).await;
        let notified = service.go_silent();
        service.drain("s");
        // The next poll goes silent as well.
        let polls = service.polls.get();
        service.fault.replace(Fault::Silent);
        while service.polls.get() == polls {
            sleep(secs(0.01)).await;
        }
        service.fault.replace(Fault::None);
        check_known(&balancer, "s", notified).await;
    });
}

#[test]
fn a_reset_just_before_a_drain_hides_it_no_longer_than_the_poll_interval() {
    run_case(async |pushed, started| {
        let service = DiscoveryStandIn::new(Duration::ZERO);
        let balancer = balancer(service.dial(), pushed, 0, 1, started);
        sleep(secs(2.0)).await;
        service.reset();
        let drained_at = service.drain("s");
        check_known(&balancer, "s", if pushed { drained_at } else { drained_at + secs(10.0) })
            .await;
    });
}

#[test]
fn drains_during_an_outage_of_discovery_are_known_after_its_return() {
    run_case(async |pushed, started| {
        for fault in [Fault::Rejecting, Fault::Silent] {
            let service = DiscoveryStandIn::new(Duration::ZERO);
            let balancer = balancer(service.dial(), pushed, 0, 1, started);
            sleep(secs(2.0)).await;
            if fault == Fault::Silent {
                // Polls that are open then stay open.
                service.go_silent();
                service.fault.replace(fault);
            } else {
                service.set_fault(fault);
            }
            sleep(secs(8.13)).await;
            service.drain("while it was down");
            service.set_fault(Fault::None);
            let back = Instant::now();
            let notified = if pushed { back } else { back + secs(10.0) };
            check_known(&balancer, "while it was down", notified).await;
        }
    });
}

#[test]
fn after_a_move_drains_of_the_new_service_are_known_in_time() {
    run_case(async |pushed, started| {
        let (old, new) =
            (DiscoveryStandIn::new(Duration::ZERO), DiscoveryStandIn::new(poll_time(pushed, 0.3)));
        let dials = [old.dial(), new.dial()];
        let dial: Dial = Rc::new(move |address| dials[usize::from(address.port()) - 1](address));
        let balancer = balancer(dial, pushed, 0, 1, started);
        sleep(secs(2.0)).await;
        // It rejects polls at first.
        new.set_fault(Fault::Rejecting);
        new.drain("before");
        balancer.discovery.move_to(address(2));
        let notified = Instant::now() + secs(4.0);
        sleep(secs(1.0)).await;
        new.set_fault(Fault::None);
        check_known(&balancer, "before", notified).await;
        assert!(balancer.listener.full_lists.get() > 0, "the full list");
    });
}

#[test]
fn thirty_balancers_whose_polls_go_silent_at_once_poll_a_slow_service_one_by_one() {
    run_case(async |pushed, started| {
        // It handles a poll of each in 6 s.
        let service = DiscoveryStandIn::new(poll_time(pushed, 0.2));
        let balancers: Vec<_> =
            (0..30).map(|i| balancer(service.dial(), pushed, i, 30, started)).collect();
        sleep(secs(31.0)).await;
        let drained_at = Instant::now();
        let notified = service.go_silent();
        service.drain("s");
        for balancer in &balancers {
            // Each detects it at the end of its own wait.
            check_known(balancer, "s", notified).await;
        }
        let first = balancers
            .iter()
            .map(|balancer| balancer.listener.drains.borrow()["s"])
            .min()
            .expect("some");
        assert!(first - drained_at < secs(2.0), "the first detects it at once");
    });
}

#[test]
fn invalid_answers_change_nothing_and_are_not_polled_for_in_a_tight_loop() {
    let server = r#"{"id":"s","host_port":"127.0.0.1:1","phase":"SERVING"}"#;
    let cut = ok(&format!(r#"{{"revision":9,"complete":true,"members":[{server},{server}]}}"#));
    let answers = [
        (ok("nonsense"), false),
        (ok(""), false),
        (ok(r#"{"revision":-1,"complete":false,"members":[]}"#), false),
        (ok(r#"{"revision":99999999999999999999999,"complete":true,"members":[]}"#), false),
        (ok(r#"{"complete":true}"#), false),
        (ok(r#"{"revision":0,"complete":false,"members":[]}"#), false),
        (cut[..cut.len() - 9].to_string(), true),
        (cut[..cut.len() - 9].to_string(), false),
        ("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n[".to_string(), false),
        ("HTTP/1.1 200 OK\r\n".to_string(), false),
        ("noise\0\0\r\n\r\n".to_string(), false),
        (String::new(), true),
    ];
    run_case(async |pushed, started| {
        for (bytes, closes) in &answers {
            let service = DiscoveryStandIn::new(Duration::ZERO);
            let balancer = balancer(service.dial(), pushed, 0, 1, started);
            sleep(secs(2.0)).await;
            let polls = service.polls.get();
            service.set_fault(Fault::Answering { bytes: bytes.clone(), closes: *closes });
            sleep(secs(20.0)).await;
            let polls = service.polls.get() - polls;
            let max = if pushed { 1000 } else { 60 };
            assert!((3..max).contains(&polls), "{polls} polls in 20 s: {bytes:?}");
            assert_eq!(balancer.listener.full_lists.get(), 0, "no list: {bytes:?}");
            assert!(
                balancer.listener.live.borrow().is_empty(),
                "no server comes into use by it: {bytes:?}"
            );
            service.set_fault(Fault::None);
            let drained_at = service.drain("s");
            check_known(&balancer, "s", if pushed { drained_at } else { drained_at + secs(10.0) })
                .await;
        }
    });
}

#[test]
fn answers_without_a_change_at_once_are_not_polled_for_in_a_tight_loop() {
    run_case(async |pushed, started| {
        let service = DiscoveryStandIn::new(Duration::ZERO);
        let _balancer = balancer(service.dial(), pushed, 0, 1, started);
        let bytes = ok(r#"{"revision":1,"complete":false,"members":[]}"#);
        service.set_fault(Fault::Answering { bytes, closes: false });
        sleep(secs(20.0)).await;
        let polls = service.polls.get();
        assert!((10..250).contains(&polls), "{polls} polls in 20 s");
    });
}
