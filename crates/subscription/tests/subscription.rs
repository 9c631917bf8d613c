//! The subscription over real connections to scripted control machines.

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

/// Accepts everything but the services in `rejected`, and sends each transaction and log line to the test.
struct Recorder {
    rejected: RefCell<Vec<ServiceName>>,
    applied: UnboundedSender<Transaction>,
    lines: UnboundedSender<String>,
}

impl Applier for Recorder {
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
        let _ = self.lines.send(line.to_string());
    }
}

struct Subscribed {
    subscription: Rc<Subscription>,
    recorder: Rc<Recorder>,
    applied: UnboundedReceiver<Transaction>,
    lines: UnboundedReceiver<String>,
}

impl Subscribed {
    async fn wait_for_line(&mut self, part: &str) -> String {
        loop {
            let line = self.lines.recv().await.expect("a line");
            if line.contains(part) {
                return line;
            }
        }
    }
}

fn service() -> ServiceName {
    ServiceName::try_from("points").expect("a name")
}

fn name() -> SubscriberName {
    SubscriberName::try_from("balancer-17").expect("a name")
}

/// Reconnects at once, and closes a silent connection after 2 s.
fn timing() -> SubscriberTiming {
    SubscriberTiming {
        first_delay_max: Span(0),
        backoff_base: Span(1000),
        backoff_max: Span(1000),
        silence_timeout: Span(2_000_000),
        ..SubscriberTiming::default()
    }
}

fn subscribe(machines: Vec<SocketAddr>, folder: &Site, rejected: Vec<ServiceName>) -> Subscribed {
    let (applied, transactions) = unbounded_channel();
    let (lines, logged) = unbounded_channel();
    let recorder = Rc::new(Recorder { rejected: RefCell::new(rejected), applied, lines });
    let options = SubscriptionOptions {
        name: name(),
        control_machines: machines,
        scope: vec![service()],
        state_file: Some(folder.path("state.bin")),
        seed: 1,
        timing: timing(),
    };
    let subscription = Subscription::start(options, recorder.clone());
    Subscribed { subscription, recorder, applied: transactions, lines: logged }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A control machine's end of a connection.
struct Session {
    stream: TcpStream,
    reader: FrameReader,
}

impl Session {
    async fn accept(listener: &TcpListener) -> Self {
        let (stream, _) = listener.accept().await.expect("a connection");
        Self { stream, reader: FrameReader::new() }
    }

    /// The next message that is no ping; `None` at the end.
    async fn next(&mut self) -> Option<SubscriberMessage> {
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

    /// Answers a hello, and returns the version that the subscriber has.
    async fn greet(&mut self, position: Position) -> ServiceVersion {
        assert!(matches!(self.next().await, Some(SubscriberMessage::Hello { .. })));
        let Some(SubscriberMessage::Scope { mut add, .. }) = self.next().await else {
            panic!("no scope")
        };
        self.send(PublisherMessage::Welcome { position }).await;
        add.pop().expect("a service")
    }

    /// Sends a snapshot of one resource, and returns the answer and the service's version.
    async fn snapshot(&mut self, position: Position) -> (SubscriberMessage, ServiceVersion) {
        let resource = Resource {
            name: ResourceName::server(service(), "points-1"),
            version: position.number,
            origin: Origin { file: "00000007.toml".into(), line: 3 },
            body: vec![7].into(),
        };
        let digest = resource_digest(&resource);
        let held = ServiceVersion { service: service(), version: position.number, digest };
        let base = ServiceBase { service: service(), base: Base::Snapshot };
        self.send(PublisherMessage::Begin { transaction: 1, generation: 1, services: vec![base] })
            .await;
        self.send(PublisherMessage::Changes {
            transaction: 1,
            changes: vec![Change::Set(resource)],
        })
        .await;
        let services = vec![held.clone()];
        self.send(PublisherMessage::Commit { transaction: 1, position, services }).await;
        (self.next().await.expect("an answer"), held)
    }

    async fn current(&mut self, position: Position, held: &ServiceVersion) {
        let digest = scope_digest_term(&held.service, held.version, held.digest);
        self.send(PublisherMessage::Current { position, generation: 1, digest }).await;
    }
}

const POSITION: Position = Position { epoch: 1, number: 7, chain: 42 };

fn on_local_set(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

#[test]
fn the_state_in_force_is_saved_and_a_restart_begins_from_it() {
    on_local_set(async {
        let folder = Site::new("");
        let (listener, address) = listener().await;
        let mut first = subscribe(vec![address], &folder, Vec::new());
        let mut session = Session::accept(&listener).await;
        assert_eq!(session.greet(POSITION).await.version, 0);
        let (answer, held) = session.snapshot(POSITION).await;
        assert!(matches!(answer, SubscriberMessage::Ack { transaction: 1 }), "{answer:?}");
        assert!(first.applied.recv().await.expect("a transaction").services[0].snapshot);
        session.current(POSITION, &held).await;
        assert_eq!(first.subscription.wait_for_state().await, StateOrigin::ControlMachine);
        let saved = loop {
            match read_state(&folder.path("state.bin"), &name()).expect("a good file") {
                Some(saved) => break saved,
                None => tokio::task::yield_now().await,
            }
        };
        assert_eq!((saved.position, saved.services.len()), (POSITION, 1));
        // The next process has it in force before it connects, and says so in its scope.
        let mut second = subscribe(vec![address], &folder, Vec::new());
        assert_eq!(second.subscription.wait_for_state().await, StateOrigin::File);
        assert_eq!(second.applied.try_recv().expect("a transaction").services[0].version, 7);
        second.wait_for_line("1 services at 1/7").await;
        let mut session = Session::accept(&listener).await;
        assert_eq!(session.greet(POSITION).await, held);
        // A process that rejects it logs why, and requests it again.
        let mut third = subscribe(vec![address], &folder, vec![service()]);
        let said = third.wait_for_line("points not used").await;
        assert!(
            said.contains("00000007.toml:3: server points-1 of points, zone: no such zone"),
            "{said}"
        );
        assert_eq!(third.subscription.status().origin, None);
        let mut session = Session::accept(&listener).await;
        assert_eq!(session.greet(POSITION).await.version, 0);
        let (answer, _) = session.snapshot(POSITION).await;
        assert!(matches!(answer, SubscriberMessage::Nack { transaction: 1, .. }), "{answer:?}");
        assert_eq!(third.subscription.status().subscriber.rejected, [service()]);
        drop(third.recorder);
    });
}

#[test]
fn malformed_bytes_end_the_connection_and_have_no_other_effect() {
    on_local_set(async {
        let folder = Site::new("");
        let (listener, address) = listener().await;
        let mut subscribed = subscribe(vec![address], &folder, Vec::new());
        let frame = encode(&PublisherMessage::Welcome { position: POSITION });
        let too_long = [&[0xff; 4][..], &frame[4..]].concat();
        let mut malformed = frame.clone();
        malformed[5] = 0xee;
        for bytes in [&b"HTTP/1.1 400 Bad Request\\r\\n\\r\\n"[..], &too_long, &malformed] {
            let mut session = Session::accept(&listener).await;
            session.stream.write_all(bytes).await.expect("written");
            // Hello and scope, then the end.
            while session.next().await.is_some() {}
        }
        assert_eq!(subscribed.subscription.status().subscriber.counters.violations, 3);
        // Half a message, and the connection ends.
        let mut session = Session::accept(&listener).await;
        session.stream.write_all(&frame[..frame.len() / 2]).await.expect("written");
        drop(session);
        // A correct control machine is followed.
        let mut session = Session::accept(&listener).await;
        session.greet(POSITION).await;
        let (_, held) = session.snapshot(POSITION).await;
        session.current(POSITION, &held).await;
        subscribed.wait_for_line("all is in force up to 1/7").await;
        assert_eq!(subscribed.subscription.status().subscriber.counters.violations, 3);
    });
}

#[test]
fn a_silent_control_machine_is_replaced_by_another() {
    on_local_set(async {
        let folder = Site::new("");
        let ((silent, first), (good, second)) = (listener().await, listener().await);
        let mut subscribed = subscribe(vec![first, second], &folder, Vec::new());
        // Whichever is chosen first, the silent one accepts connections and sends nothing.
        let sessions = tokio::task::spawn_local(async move {
            let mut kept = Vec::new();
            loop {
                kept.push(Session::accept(&silent).await);
            }
        });
        let mut session = Session::accept(&good).await;
        session.greet(POSITION).await;
        let (_, held) = session.snapshot(POSITION).await;
        session.current(POSITION, &held).await;
        subscribed.wait_for_line("all is in force up to 1/7").await;
        let status = subscribed.subscription.status();
        assert_eq!(status.control_machine, Some(second));
        // The connection ends: the silent one is tried and left, and the good one receives the version that is in force.
        drop(session);
        let mut again = Session::accept(&good).await;
        assert_eq!(again.greet(POSITION).await, held);
        sessions.abort();
    });
}
