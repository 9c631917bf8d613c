//! Measures how the cost of the publisher and of the subscriber grows with the number of subscribers, the size of the
//! store and the size of a scope, and prints lines of JSON. Processor time is that of this thread, so that other work
//! on the machine has little effect on it; bytes and memory are exact. `model_seconds` is simulated time, which passes
//! where the token bucket of the publisher delays frames.
//!
//! `cargo run --release -p sableloom-distribution --example slopes`

use std::collections::BTreeMap;

use rustix::time::{ClockId, clock_gettime};
use sableloom_distribution::{
    Change, FrameReader, LogEntry, Origin, Publisher, PublisherOptions, PublisherOutput, Resource,
    ResourceName, ServiceName, SessionId, Store, StoreLimits, Subscriber, SubscriberMessage,
    SubscriberName, SubscriberOptions, SubscriberOutput, encode,
};
use sableloom_types::Time;
use serde_json::{Value, json};

/// The resources of a service, and the lengths of their bodies.
const SERVERS_PER_SERVICE: usize = 48;
const ROUTES_PER_SERVICE: usize = 84;
const SERVER_BODY_BYTES: usize = 40;
const ROUTE_BODY_BYTES: usize = 90;
const POOL_BODY_BYTES: usize = 120;
/// The number of services in the scope of a balancer.
const SERVICES_PER_SCOPE: usize = 50;
/// The numbers of subscribers of one control machine: its share of a fleet with 57 control machines, twice that share,
/// and the whole fleet.
const SUBSCRIBER_COUNTS: [usize; 3] = [133, 267, 7_600];

/// Returns the processor time of this thread in microseconds.
fn thread_cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

fn service(index: usize) -> ServiceName {
    ServiceName::try_from(format!("service-{index:04}").as_str()).expect("a valid name")
}

fn resource(name: ResourceName, version: u64, bytes: usize) -> Resource {
    let origin = Origin { file: "00000001.toml".into(), line: 1 };
    Resource { name, version, origin, body: vec![version as u8; bytes].into() }
}

fn server(service_index: usize, index: usize, version: u64) -> Change {
    let name = ResourceName::server(service(service_index), &format!("server-{index}"));
    Change::Set(resource(name, version, SERVER_BODY_BYTES))
}

fn entry(number: u64, changes: Vec<Change>) -> LogEntry {
    LogEntry { number, epoch: 1, changes, hash: number }
}

/// Returns the changes that create a service.
fn whole_service(service_index: usize, version: u64, servers: usize, routes: usize) -> Vec<Change> {
    let mut changes = vec![Change::Set(resource(
        ResourceName::pool(service(service_index)),
        version,
        POOL_BODY_BYTES,
    ))];
    changes.extend((0..servers).map(|index| server(service_index, index, version)));
    let route = |index| ResourceName::route(service(service_index), &format!("route-{index}"));
    changes.extend(
        (0..routes).map(|index| Change::Set(resource(route(index), version, ROUTE_BODY_BYTES))),
    );
    changes
}

fn store(services: usize) -> Store {
    store_with(services, SERVERS_PER_SERVICE, ROUTES_PER_SERVICE)
}

fn store_with(services: usize, servers: usize, routes: usize) -> Store {
    let mut store = Store::new(StoreLimits::default());
    for index in 0..services {
        let number = index as u64 + 1;
        store
            .append(entry(number, whole_service(index, number, servers, routes)))
            .expect("the store accepts the change");
    }
    store
}

/// A subscriber with the reader of its connection.
struct SubscriberEnd {
    subscriber: Subscriber,
    reader: FrameReader,
}

/// One control machine and its subscribers, connected by links without delay. Time passes only while the publisher
/// waits for bandwidth.
struct Network {
    publisher: Publisher,
    subscribers: Vec<SubscriberEnd>,
    /// The simulated time in microseconds.
    now: i64,
    /// The simulated time in microseconds at which all subscribers send a ping.
    next_ping: i64,
    /// The processor time of the publisher since the last reset, in microseconds.
    publisher_us: f64,
    /// The processor time of all subscribers since the last reset, in microseconds.
    subscriber_us: f64,
    /// The bytes of frames to subscribers since the last reset.
    bytes_down: u64,
    /// The bytes of frames to the publisher since the last reset.
    bytes_up: u64,
}

impl Network {
    fn new(store: Store, options: PublisherOptions) -> Network {
        let publisher = Publisher::new(store, options);
        let (subscribers, now, next_ping) = (Vec::new(), 0, 1_000_000);
        Network {
            publisher,
            subscribers,
            now,
            next_ping,
            publisher_us: 0.0,
            subscriber_us: 0.0,
            bytes_down: 0,
            bytes_up: 0,
        }
    }

    fn add_subscriber(&mut self, scope: Vec<ServiceName>) {
        let index = self.subscribers.len();
        let name =
            SubscriberName::try_from(format!("balancer-{index}").as_str()).expect("a valid name");
        let subscriber = Subscriber::new(SubscriberOptions::new(name, 1, scope, index as u64));
        self.subscribers.push(SubscriberEnd { subscriber, reader: FrameReader::new() });
    }

    /// Starts or reconnects all subscribers at the same time, and runs until the publisher is idle.
    fn connect_all(&mut self, first_session: u64) {
        let mut queue = Vec::new();
        for index in 0..self.subscribers.len() {
            let session = SessionId(first_session + index as u64);
            self.publisher.connected(Time(self.now), session);
            let subscriber_end = &mut self.subscribers[index];
            let mut out = Vec::new();
            subscriber_end.reader = FrameReader::new();
            let started = thread_cpu_us();
            subscriber_end.subscriber.start(Time(self.now), &mut out);
            // The random delay before the first connection, at most 0.2 s by default, has passed by then.
            subscriber_end.subscriber.tick(Time(self.now + 1_000_000), &mut out);
            subscriber_end.subscriber.connected(Time(self.now + 1_000_000), &mut out);
            self.subscriber_us += thread_cpu_us() - started;
            self.deliver_to_publisher(session, out, &mut queue);
        }
        self.run(first_session, queue);
    }

    /// Appends a change, and runs until the publisher is idle.
    fn append_change(&mut self, first_session: u64, changes: Vec<Change>) {
        let number = self.publisher.store().position().number + 1;
        let mut queue = Vec::new();
        let started = thread_cpu_us();
        self.publisher
            .append(Time(self.now), entry(number, changes), &mut queue)
            .expect("the store accepts the change");
        self.publisher_us += thread_cpu_us() - started;
        self.run(first_session, queue);
    }

    fn run(&mut self, first_session: u64, mut queue: Vec<PublisherOutput>) {
        loop {
            while !queue.is_empty() {
                let mut next = Vec::new();
                for output in queue {
                    let PublisherOutput::Send { session, frame } = output else {
                        panic!("{output:?}");
                    };
                    self.deliver_to_subscriber(first_session, session, &frame, &mut next);
                }
                queue = next;
            }
            // A timer that expires within 0.5 s is a wait for bandwidth, which takes milliseconds; all others run for
            // seconds.
            let Some(due) = self.publisher.due().filter(|due| due.0 < self.now + 500_000) else {
                return;
            };
            self.now = self.now.max(due.0) + 1_000;
            let started = thread_cpu_us();
            self.publisher.tick(Time(self.now), &mut queue);
            self.publisher_us += thread_cpu_us() - started;
            if self.now >= self.next_ping {
                self.next_ping = self.now + 1_000_000;
                self.ping_all(first_session, &mut queue);
            }
        }
    }

    fn ping_all(&mut self, first_session: u64, queue: &mut Vec<PublisherOutput>) {
        for index in 0..self.subscribers.len() {
            let ping = SubscriberOutput::Send(SubscriberMessage::Ping { sequence: 1 });
            self.deliver_to_publisher(SessionId(first_session + index as u64), vec![ping], queue);
        }
    }

    fn deliver_to_subscriber(
        &mut self,
        first_session: u64,
        session: SessionId,
        frame: &[u8],
        next: &mut Vec<PublisherOutput>,
    ) {
        self.bytes_down += frame.len() as u64;
        let subscriber_end = &mut self.subscribers[(session.0 - first_session) as usize];
        let mut out = Vec::new();
        let started = thread_cpu_us();
        subscriber_end.reader.push(frame);
        while let Some(message) =
            subscriber_end.reader.next_message().expect("the frame holds a message")
        {
            subscriber_end.subscriber.message(Time(self.now), message, &mut out);
        }
        let applied: Vec<u64> = out.iter().filter_map(transaction_id).collect();
        for transaction_id in applied {
            subscriber_end.subscriber.apply_finished(transaction_id, Ok(()), &mut out);
        }
        let ended = thread_cpu_us();
        self.subscriber_us += ended - started;
        self.publisher.written(Time(self.now), session, frame.len(), next);
        self.publisher_us += thread_cpu_us() - ended;
        self.deliver_to_publisher(session, out, next);
    }

    fn deliver_to_publisher(
        &mut self,
        session: SessionId,
        out: Vec<SubscriberOutput>,
        next: &mut Vec<PublisherOutput>,
    ) {
        for output in out {
            if let SubscriberOutput::Send(message) = output {
                self.bytes_up += encode(&message).len() as u64;
                let started = thread_cpu_us();
                self.publisher.message(Time(self.now), session, message, next);
                self.publisher_us += thread_cpu_us() - started;
            }
        }
    }

    fn reset_measurements(&mut self) {
        (self.publisher_us, self.subscriber_us, self.bytes_down, self.bytes_up) = (0.0, 0.0, 0, 0);
    }

    fn disconnect_all(&mut self, first_session: u64) {
        for index in 0..self.subscribers.len() {
            let session = SessionId(first_session + index as u64);
            self.publisher.disconnected(Time(self.now), session, &mut Vec::new());
            let reason = sableloom_distribution::DisconnectReason::Lost("reset".into());
            self.subscribers[index].subscriber.disconnected(
                Time(self.now),
                reason,
                &mut Vec::new(),
            );
        }
    }
}

fn transaction_id(output: &SubscriberOutput) -> Option<u64> {
    match output {
        SubscriberOutput::Apply(transaction) => Some(transaction.id),
        _ => None,
    }
}

/// Returns options with a bandwidth limit that delays no frame.
fn unlimited_bandwidth() -> PublisherOptions {
    PublisherOptions {
        bytes_per_second: 1 << 40,
        burst_bytes: 1 << 40,
        ..PublisherOptions::default()
    }
}

fn scope(first: usize, services: usize, services_in_store: usize) -> Vec<ServiceName> {
    (0..services).map(|index| service((first + index) % services_in_store)).collect()
}

fn print_line(line: Value) {
    println!("{line}");
}

/// Measures bytes and processor time of a change to one server, by the number of subscribers of its service.
fn change_cost_by_subscribers() {
    for subscribers in [1, 10, 133, 267, 1_000, 7_600] {
        let mut network = Network::new(store(1), unlimited_bandwidth());
        for _ in 0..subscribers {
            network.add_subscriber(scope(0, 1, 1));
        }
        network.connect_all(1);
        network.reset_measurements();
        // Fewer changes are made with more subscribers, because each change is sent to each of them.
        let changes = (40_000 / subscribers).clamp(5, 400);
        for change in 0..changes {
            let number = network.publisher.store().position().number + 1;
            network.append_change(1, vec![server(0, change % SERVERS_PER_SERVICE, number)]);
        }
        let per_change = |value: f64| value / changes as f64;
        print_line(json!({
            "what": "one changed server by subscribers in scope", "subscribers": subscribers, "changes": changes,
            "publisher_us_per_change": per_change(network.publisher_us),
            "publisher_us_per_subscriber": per_change(network.publisher_us) / subscribers as f64,
            "subscriber_us_per_change": per_change(network.subscriber_us) / subscribers as f64,
            "bytes_down_per_subscriber": per_change(network.bytes_down as f64) / subscribers as f64,
            "bytes_up_per_subscriber": per_change(network.bytes_up as f64) / subscribers as f64,
        }));
    }
}

/// Measures bytes and processor time of a change to one server with ten subscribers, by the size of the store.
fn change_cost_by_store_size() {
    for services in [25, 250, 2_500] {
        let mut network = Network::new(store(services), unlimited_bandwidth());
        for _ in 0..10 {
            network.add_subscriber(scope(0, 25, services));
        }
        network.connect_all(1);
        network.reset_measurements();
        let changes = 2_000;
        for change in 0..changes {
            let number = network.publisher.store().position().number + 1;
            network
                .append_change(1, vec![server(change % 25, change % SERVERS_PER_SERVICE, number)]);
        }
        print_line(json!({
            "what": "one changed server by services in the store", "services": services,
            "resources": network.publisher.store().resource_count(), "subscribers": 10,
            "publisher_us_per_change": network.publisher_us / changes as f64,
            "subscriber_us_per_change": network.subscriber_us / changes as f64 / 10.0,
            "bytes_down_per_subscriber": network.bytes_down as f64 / changes as f64 / 10.0,
        }));
    }
}

/// Measures the memory of a store, by its size, and the memory of a session and a subscriber and the bytes and
/// processor time of a snapshot, by the size of the scope.
fn memory_and_snapshot_cost() {
    for services in [25, 250, 2_500] {
        let mut created_store = None;
        let memory = allocation_counter::measure(|| created_store = Some(store(services)));
        print_line(json!({
            "what": "memory of a store", "services": services, "resources": created_store.map(|store| store.resource_count()),
            "bytes": memory.bytes_current,
        }));
    }
    for services in [1, 10, 50, 250, 2_500] {
        let mut network = Network::new(store(services), unlimited_bandwidth());
        network.add_subscriber(scope(0, services, services));
        let both = allocation_counter::measure(|| network.connect_all(1));
        let (down, subscriber_us, publisher_us) =
            (network.bytes_down, network.subscriber_us, network.publisher_us);
        let mut session_bytes = 0;
        let freed = allocation_counter::measure(|| {
            network.publisher.disconnected(Time(network.now), SessionId(1), &mut Vec::new());
        });
        session_bytes -= freed.bytes_current;
        print_line(json!({
            "what": "memory and snapshot by scope", "services": services,
            "session_bytes": session_bytes, "subscriber_bytes": both.bytes_current - session_bytes,
            "subscriber_bytes_peak": both.bytes_max, "snapshot_bytes_down": down,
            "publisher_us": publisher_us, "subscriber_us": subscriber_us,
        }));
    }
}

/// Measures the resume of all subscribers of a control machine at the same time: without any state, with the latest
/// state, and with each of them ten changes behind.
fn simultaneous_resumes() {
    let services = 2_500;
    for subscribers in SUBSCRIBER_COUNTS {
        // The services are smaller for the whole fleet, whose states would otherwise not fit into the memory of this
        // process. The cost of a resume depends on the number of services.
        let (servers, routes) =
            if subscribers > 1_000 { (4, 1) } else { (SERVERS_PER_SERVICE, ROUTES_PER_SERVICE) };
        let mut network =
            Network::new(store_with(services, servers, routes), PublisherOptions::default());
        for index in 0..subscribers {
            network.add_subscriber(scope(index * SERVICES_PER_SCOPE, SERVICES_PER_SCOPE, services));
        }
        let mut rows = BTreeMap::new();
        network.connect_all(1);
        rows.insert("from nothing", take_measurements(&mut network, 0));
        network.disconnect_all(1);
        let before = network.now;
        network.connect_all(10_001);
        rows.insert("with all", take_measurements(&mut network, before));
        network.disconnect_all(10_001);
        // Every fifth service changes, which are ten of the 50 in each scope.
        for change in 0..500 {
            let number = network.publisher.store().position().number + 1;
            network.append_change(
                10_001,
                vec![server(change * 5 % services, change % servers, number)],
            );
        }
        network.reset_measurements();
        let before = network.now;
        network.connect_all(20_001);
        rows.insert("ten changes behind each", take_measurements(&mut network, before));
        for (how, row) in rows {
            print_line(
                json!({ "what": "resume at once", "subscribers": subscribers, "scope": SERVICES_PER_SCOPE,
                "resources_a_service": 1 + servers + routes, "how": how, "all": row }),
            );
        }
    }
}

/// Returns the measurements since the last reset as JSON, with the simulated time since `since`, and resets them.
fn take_measurements(network: &mut Network, since: i64) -> Value {
    let row = json!({
        "publisher_us": network.publisher_us, "subscriber_us_each": network.subscriber_us / network.subscribers.len() as f64,
        "bytes_down": network.bytes_down, "bytes_up": network.bytes_up,
        "model_seconds": (network.now - since) as f64 / 1e6,
    });
    network.reset_measurements();
    row
}

fn main() {
    change_cost_by_subscribers();
    change_cost_by_store_size();
    memory_and_snapshot_cost();
    simultaneous_resumes();
}
