//! Tests of a subscription over TCP connections to control machines that the tests simulate.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use sableloom_distribution::{
    Base, Change, FrameReader, Origin, Position, PublisherMessage, Rejection, Resource,
    ResourceName, ServiceBase, ServiceName, ServiceVersion, SubscriberMessage, SubscriberName,
    SubscriberTiming, Transaction, encode, resource_digest, scope_digest_term,
};
use sableloom_subscription::{Applier, StateOrigin, Subscription, SubscriptionOptions, read_state};
use sableloom_testkit::Site;
use sableloom_types::Span;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

/// An applier that rejects transactions that set resources of the services in `rejected`, and sends each accepted
/// transaction and each log line to the test.
struct RecordingApplier {
    rejected: RefCell<Vec<ServiceName>>,
    applied: UnboundedSender<Transaction>,
    log_lines: UnboundedSender<String>,
}

impl Applier for RecordingApplier {
    fn apply(&self, transaction: &Transaction) -> Result<(), Vec<Rejection>> {
        let rejected = self.rejected.borrow();
        for update in &transaction.services {
            if let (true, Some(Change::Set(resource))) =
                (rejected.contains(&update.service), update.changes.first())
            {
                return Err(vec![Rejection {
                    resource: resource.name.clone(),
                    origin: resource.origin.clone(),
                    field: "zone".into(),
                    problem: "no such zone".into(),
                }]);
            }
        }
        let _ = self.applied.send(transaction.clone());
        Ok(())
    }

    fn log(&self, line: &str) {
        let _ = self.log_lines.send(line.to_string());
    }
}

/// A subscription with its applier, and the receivers of accepted transactions and log lines.
struct TestSubscription {
    subscription: Rc<Subscription>,
    applier: Rc<RecordingApplier>,
    applied: UnboundedReceiver<Transaction>,
    log_lines: UnboundedReceiver<String>,
}

impl TestSubscription {
    /// Returns the next log line that contains `part`, and discards the lines before it.
    async fn wait_for_line(&mut self, part: &str) -> String {
        loop {
            let line = self.log_lines.recv().await.expect("a line");
            if line.contains(part) {
                return line;
            }
        }
    }
}

fn service_name() -> ServiceName {
    ServiceName::try_from("points").expect("a name")
}

fn subscriber_name() -> SubscriberName {
    SubscriberName::try_from("balancer-17").expect("a name")
}

/// Delays of at most 1 ms before a connection, and a silence timeout of 2 s, which keep the tests short.
fn timing() -> SubscriberTiming {
    SubscriberTiming {
        first_delay_max: Span(0),
        backoff_base: Span(1000),
        backoff_max: Span(1000),
        silence_timeout: Span(2_000_000),
        ..SubscriberTiming::default()
    }
}

fn subscribe(
    control_machines: Vec<SocketAddr>,
    folder: &Site,
    rejected: Vec<ServiceName>,
) -> TestSubscription {
    let (applied, applied_receiver) = unbounded_channel();
    let (log_lines, log_lines_receiver) = unbounded_channel();
    let applier =
        Rc::new(RecordingApplier { rejected: RefCell::new(rejected), applied, log_lines });
    let options = SubscriptionOptions {
        name: subscriber_name(),
        control_machines,
        scope: vec![service_name()],
        state_file: Some(folder.path("state.bin")),
        seed: 1,
        timing: timing(),
    };
    let subscription = Subscription::start(options, applier.clone());
    TestSubscription {
        subscription,
        applier,
        applied: applied_receiver,
        log_lines: log_lines_receiver,
    }
}

async fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// The control machine's end of a connection.
struct Session {
    stream: TcpStream,
    reader: FrameReader,
}

impl Session {
    async fn accept(listener: &TcpListener) -> Self {
        let (stream, _) = listener.accept().await.expect("a connection");
        Self { stream, reader: FrameReader::new() }
    }

    /// Answers pings, and returns the next other message; `None` if the subscriber closed the connection.
    async fn next_message(&mut self) -> Option<SubscriberMessage> {
        loop {
            match self.reader.next_message().expect("a message") {
                Some(SubscriberMessage::Ping { sequence }) => {
                    self.send(PublisherMessage::Pong { sequence }).await
                }
                Some(message) => return Some(message),
                None => {
                    let mut bytes = [0; 4096];
                    let read = self.stream.read(&mut bytes).await.unwrap_or(0);
                    if read == 0 {
                        return None;
                    }
                    self.reader.push(&bytes[..read]);
                }
            }
        }
    }

    async fn send(&mut self, message: PublisherMessage) {
        let _ = self.stream.write_all(&encode(&message)).await;
    }

    /// Receives a hello and a scope, answers with a welcome, and returns the version of the service that the subscriber
    /// has in force; version 0 if none.
    async fn accept_hello(&mut self, position: Position) -> ServiceVersion {
        assert!(matches!(self.next_message().await, Some(SubscriberMessage::Hello { .. })));
        let Some(SubscriberMessage::Scope { mut add, .. }) = self.next_message().await else {
            panic!("no scope")
        };
        self.send(PublisherMessage::Welcome { position }).await;
        add.pop().expect("a service")
    }

    /// Sends a snapshot of one resource, and returns the subscriber's answer and the version that was sent.
    async fn send_snapshot(&mut self, position: Position) -> (SubscriberMessage, ServiceVersion) {
        let resource = Resource {
            name: ResourceName::server(service_name(), "points-1"),
            version: position.number,
            origin: Origin { file: "00000007.toml".into(), line: 3 },
            body: vec![7].into(),
        };
        let digest = resource_digest(&resource);
        let sent_version =
            ServiceVersion { service: service_name(), version: position.number, digest };
        let base = ServiceBase { service: service_name(), base: Base::Snapshot };
        self.send(PublisherMessage::Begin { transaction: 1, generation: 1, services: vec![base] })
            .await;
        self.send(PublisherMessage::Changes {
            transaction: 1,
            changes: vec![Change::Set(resource)],
        })
        .await;
        let services = vec![sent_version.clone()];
        self.send(PublisherMessage::Commit { transaction: 1, position, services }).await;
        (self.next_message().await.expect("an answer"), sent_version)
    }

    /// Reports that all changes up to `position` have been sent.
    async fn send_current(&mut self, position: Position, sent_version: &ServiceVersion) {
        let digest =
            scope_digest_term(&sent_version.service, sent_version.version, sent_version.digest);
        self.send(PublisherMessage::Current { position, generation: 1, digest }).await;
    }
}

const POSITION: Position = Position { epoch: 1, number: 7, chain: 42 };

fn run_on_local_set(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

#[test]
fn a_restart_applies_the_saved_state_and_requests_a_rejected_saved_service_again() {
    run_on_local_set(async {
        let folder = Site::new("");
        let (listener, address) = bind_listener().await;
        let mut first = subscribe(vec![address], &folder, Vec::new());
        let mut session = Session::accept(&listener).await;
        assert_eq!(session.accept_hello(POSITION).await.version, 0);
        let (answer, sent_version) = session.send_snapshot(POSITION).await;
        assert!(matches!(answer, SubscriberMessage::Ack { transaction: 1 }), "{answer:?}");
        assert!(first.applied.recv().await.expect("a transaction").services[0].snapshot);
        session.send_current(POSITION, &sent_version).await;
        assert_eq!(first.subscription.wait_for_state().await, StateOrigin::ControlMachine);
        let saved = loop {
            match read_state(&folder.path("state.bin"), &subscriber_name()).expect("a good file") {
                Some(saved) => break saved,
                None => tokio::task::yield_now().await,
            }
        };
        assert_eq!((saved.position, saved.services.len()), (POSITION, 1));
        // The second subscription restores the saved state before it connects, and sends the restored version in its
        // scope.
        let mut second = subscribe(vec![address], &folder, Vec::new());
        assert_eq!(second.subscription.wait_for_state().await, StateOrigin::File);
        assert_eq!(second.applied.try_recv().expect("a transaction").services[0].version, 7);
        second.wait_for_line("1 services at 1/7").await;
        let mut session = Session::accept(&listener).await;
        assert_eq!(session.accept_hello(POSITION).await, sent_version);
        // The applier of the third subscription rejects the saved service. The subscription logs the problem, and
        // requests the service with version 0.
        let mut third = subscribe(vec![address], &folder, vec![service_name()]);
        let line = third.wait_for_line("points not used").await;
        assert!(
            line.contains("00000007.toml:3: server points-1 of points, zone: no such zone"),
            "{line}"
        );
        assert_eq!(third.subscription.status().origin, None);
        let mut session = Session::accept(&listener).await;
        assert_eq!(session.accept_hello(POSITION).await.version, 0);
        let (answer, _) = session.send_snapshot(POSITION).await;
        assert!(matches!(answer, SubscriberMessage::Nack { transaction: 1, .. }), "{answer:?}");
        assert_eq!(third.subscription.status().subscriber.rejected, [service_name()]);
        drop(third.applier);
    });
}

#[test]
fn malformed_bytes_close_the_connection_and_the_next_session_synchronizes() {
    run_on_local_set(async {
        let folder = Site::new("");
        let (listener, address) = bind_listener().await;
        let mut test_subscription = subscribe(vec![address], &folder, Vec::new());
        let frame = encode(&PublisherMessage::Welcome { position: POSITION });
        // The length in the header is 2^32 - 1, over the maximum length of a frame.
        let oversized_frame = [&[0xff; 4][..], &frame[4..]].concat();
        let mut malformed_frame = frame.clone();
        // Byte 5, after the length and the protocol version, begins the number of the message variant. No variant has a
        // number that begins with 0xee.
        malformed_frame[5] = 0xee;
        for bytes in
            [&b"HTTP/1.1 400 Bad Request\\r\\n\\r\\n"[..], &oversized_frame, &malformed_frame]
        {
            let mut session = Session::accept(&listener).await;
            session.stream.write_all(bytes).await.expect("written");
            // The subscriber sends a hello and a scope, then closes the connection.
            while session.next_message().await.is_some() {}
        }
        assert_eq!(test_subscription.subscription.status().subscriber.counters.violations, 3);
        // A connection that ends within a frame is not a protocol violation.
        let mut session = Session::accept(&listener).await;
        session.stream.write_all(&frame[..frame.len() / 2]).await.expect("written");
        drop(session);
        // A session with valid messages is synchronized.
        let mut session = Session::accept(&listener).await;
        session.accept_hello(POSITION).await;
        let (_, sent_version) = session.send_snapshot(POSITION).await;
        session.send_current(POSITION, &sent_version).await;
        test_subscription.wait_for_line("all is in force up to 1/7").await;
        assert_eq!(test_subscription.subscription.status().subscriber.counters.violations, 3);
    });
}

#[test]
fn a_subscription_leaves_a_silent_control_machine_and_synchronizes_with_another() {
    run_on_local_set(async {
        let folder = Site::new("");
        let ((silent, silent_address), (good, good_address)) =
            (bind_listener().await, bind_listener().await);
        let mut test_subscription =
            subscribe(vec![silent_address, good_address], &folder, Vec::new());
        // The silent control machine accepts connections and sends nothing. It runs in a task of its own, because the
        // subscription may choose either control machine first.
        let silent_machine = tokio::task::spawn_local(async move {
            let mut open_sessions = Vec::new();
            loop {
                open_sessions.push(Session::accept(&silent).await);
            }
        });
        let mut session = Session::accept(&good).await;
        session.accept_hello(POSITION).await;
        let (_, sent_version) = session.send_snapshot(POSITION).await;
        session.send_current(POSITION, &sent_version).await;
        test_subscription.wait_for_line("all is in force up to 1/7").await;
        let status = test_subscription.subscription.status();
        assert_eq!(status.control_machine, Some(good_address));
        // After this connection ends, the subscription may try the silent control machine again; the good one then
        // receives the version in force.
        drop(session);
        let mut next_session = Session::accept(&good).await;
        assert_eq!(next_session.accept_hello(POSITION).await, sent_version);
        silent_machine.abort();
    });
}
