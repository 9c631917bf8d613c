//! The cost of publisher and subscriber by size, as lines of JSON. Processor time is that of this thread, so that other
//! work on the machine affects it little; bytes and memory are exact. Times named `model` come from the token bucket
//! and not from this machine.
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

const SERVERS: usize = 48;
const ROUTES: usize = 84;
const SERVER_BYTES: usize = 40;
const ROUTE_BYTES: usize = 90;
const POOL_BYTES: usize = 120;
/// Services in the scope of a balancer.
const SCOPE: usize = 50;
/// Subscribers of one of 57 control machines, twice as many, and the whole fleet.
const FAN_OUT: [usize; 3] = [133, 267, 7_600];

fn processor_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

fn service(index: usize) -> ServiceName {
    ServiceName::try_from(format!("service-{index:04}").as_str()).expect("a name")
}

fn resource(name: ResourceName, version: u64, bytes: usize) -> Resource {
    let origin = Origin { file: "00000001.toml".into(), line: 1 };
    Resource { name, version, origin, body: vec![version as u8; bytes].into() }
}

fn server(of: usize, index: usize, version: u64) -> Change {
    let name = ResourceName::server(service(of), &format!("server-{index}"));
    Change::Set(resource(name, version, SERVER_BYTES))
}

fn entry(number: u64, changes: Vec<Change>) -> LogEntry {
    LogEntry { number, epoch: 1, changes, hash: number }
}

fn whole_service(of: usize, version: u64, servers: usize, routes: usize) -> Vec<Change> {
    let mut changes =
        vec![Change::Set(resource(ResourceName::pool(service(of)), version, POOL_BYTES))];
    changes.extend((0..servers).map(|index| server(of, index, version)));
    let route = |index| ResourceName::route(service(of), &format!("route-{index}"));
    changes
        .extend((0..routes).map(|index| Change::Set(resource(route(index), version, ROUTE_BYTES))));
    changes
}

fn store(services: usize) -> Store {
    store_of(services, SERVERS, ROUTES)
}

fn store_of(services: usize, servers: usize, routes: usize) -> Store {
    let mut store = Store::new(StoreLimits::default());
    for index in 0..services {
        let number = index as u64 + 1;
        store
            .append(entry(number, whole_service(index, number, servers, routes)))
            .expect("a change");
    }
    store
}

/// A subscriber with its connection.
struct End {
    subscriber: Subscriber,
    reader: FrameReader,
}

/// One control machine and its subscribers, connected without delay; time passes only where the publisher waits.
struct Net {
    publisher: Publisher,
    ends: Vec<End>,
    now: i64,
    next_ping: i64,
    publisher_us: f64,
    subscriber_us: f64,
    bytes_down: u64,
    bytes_up: u64,
}

impl Net {
    fn new(store: Store, options: PublisherOptions) -> Net {
        let publisher = Publisher::new(store, options);
        let (ends, now, next_ping) = (Vec::new(), 0, 1_000_000);
        Net {
            publisher,
            ends,
            now,
            next_ping,
            publisher_us: 0.0,
            subscriber_us: 0.0,
            bytes_down: 0,
            bytes_up: 0,
        }
    }

    fn add(&mut self, scope: Vec<ServiceName>) {
        let index = self.ends.len();
        let name = SubscriberName::try_from(format!("balancer-{index}").as_str()).expect("a name");
        let subscriber = Subscriber::new(SubscriberOptions::new(name, 1, scope, index as u64));
        self.ends.push(End { subscriber, reader: FrameReader::new() });
    }

    /// Starts or reconnects all subscribers at once, and runs until nothing is left to do.
    fn connect_all(&mut self, first_session: u64) {
        let mut queue = Vec::new();
        for index in 0..self.ends.len() {
            let session = SessionId(first_session + index as u64);
            self.publisher.connected(Time(self.now), session);
            let end = &mut self.ends[index];
            let mut out = Vec::new();
            end.reader = FrameReader::new();
            let started = processor_us();
            end.subscriber.start(Time(self.now), &mut out);
            end.subscriber.tick(Time(self.now + 1_000_000), &mut out);
            end.subscriber.connected(Time(self.now + 1_000_000), &mut out);
            self.subscriber_us += processor_us() - started;
            self.deliver_up(session, out, &mut queue);
        }
        self.run(first_session, queue);
    }

    fn change(&mut self, first_session: u64, changes: Vec<Change>) {
        let number = self.publisher.store().position().number + 1;
        let mut queue = Vec::new();
        let started = processor_us();
        self.publisher
            .append(Time(self.now), entry(number, changes), &mut queue)
            .expect("a change");
        self.publisher_us += processor_us() - started;
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
                    self.deliver(first_session, session, &frame, &mut next);
                }
                queue = next;
            }
            // Waits for bandwidth take milliseconds; all other timers run for seconds.
            let Some(due) = self.publisher.due().filter(|due| due.0 < self.now + 500_000) else {
                return;
            };
            self.now = self.now.max(due.0) + 1_000;
            let started = processor_us();
            self.publisher.tick(Time(self.now), &mut queue);
            self.publisher_us += processor_us() - started;
            if self.now >= self.next_ping {
                self.next_ping = self.now + 1_000_000;
                self.ping_all(first_session, &mut queue);
            }
        }
    }

    fn ping_all(&mut self, first_session: u64, queue: &mut Vec<PublisherOutput>) {
        for index in 0..self.ends.len() {
            let ping = SubscriberOutput::Send(SubscriberMessage::Ping { sequence: 1 });
            self.deliver_up(SessionId(first_session + index as u64), vec![ping], queue);
        }
    }

    fn deliver(
        &mut self,
        first_session: u64,
        session: SessionId,
        frame: &[u8],
        next: &mut Vec<PublisherOutput>,
    ) {
        self.bytes_down += frame.len() as u64;
        let end = &mut self.ends[(session.0 - first_session) as usize];
        let mut out = Vec::new();
        let started = processor_us();
        end.reader.push(frame);
        while let Some(message) = end.reader.next_message().expect("a message") {
            end.subscriber.message(Time(self.now), message, &mut out);
        }
        let applied: Vec<u64> = out.iter().filter_map(transaction_id).collect();
        for transaction_id in applied {
            end.subscriber.apply_finished(transaction_id, Ok(()), &mut out);
        }
        let ended = processor_us();
        self.subscriber_us += ended - started;
        self.publisher.written(Time(self.now), session, frame.len(), next);
        self.publisher_us += processor_us() - ended;
        self.deliver_up(session, out, next);
    }

    fn deliver_up(
        &mut self,
        session: SessionId,
        out: Vec<SubscriberOutput>,
        next: &mut Vec<PublisherOutput>,
    ) {
        for output in out {
            if let SubscriberOutput::Send(message) = output {
                self.bytes_up += encode(&message).len() as u64;
                let started = processor_us();
                self.publisher.message(Time(self.now), session, message, next);
                self.publisher_us += processor_us() - started;
            }
        }
    }

    fn reset(&mut self) {
        (self.publisher_us, self.subscriber_us, self.bytes_down, self.bytes_up) = (0.0, 0.0, 0, 0);
    }

    fn lose_all(&mut self, first_session: u64) {
        for index in 0..self.ends.len() {
            let session = SessionId(first_session + index as u64);
            self.publisher.disconnected(Time(self.now), session, &mut Vec::new());
            let reason = sableloom_distribution::DisconnectReason::Lost("reset".into());
            self.ends[index].subscriber.disconnected(Time(self.now), reason, &mut Vec::new());
        }
    }
}

fn transaction_id(output: &SubscriberOutput) -> Option<u64> {
    match output {
        SubscriberOutput::Apply(transaction) => Some(transaction.id),
        _ => None,
    }
}

/// Enough bandwidth that nothing waits for it.
fn unlimited() -> PublisherOptions {
    PublisherOptions {
        bytes_per_second: 1 << 40,
        burst_bytes: 1 << 40,
        ..PublisherOptions::default()
    }
}

fn scope(from: usize, services: usize, of: usize) -> Vec<ServiceName> {
    (0..services).map(|index| service((from + index) % of)).collect()
}

fn print(line: Value) {
    println!("{line}");
}

/// One changed server: bytes and processor time by the number of subscribers of its service.
fn change_by_subscribers() {
    for subscribers in [1, 10, 133, 267, 1_000, 7_600] {
        let mut net = Net::new(store(1), unlimited());
        for _ in 0..subscribers {
            net.add(scope(0, 1, 1));
        }
        net.connect_all(1);
        net.reset();
        let changes = (40_000 / subscribers).clamp(5, 400);
        for change in 0..changes {
            let number = net.publisher.store().position().number + 1;
            net.change(1, vec![server(0, change % SERVERS, number)]);
        }
        let per = |value: f64| value / changes as f64;
        print(json!({
            "what": "one changed server by subscribers in scope", "subscribers": subscribers, "changes": changes,
            "publisher_us_per_change": per(net.publisher_us),
            "publisher_us_per_subscriber": per(net.publisher_us) / subscribers as f64,
            "subscriber_us_per_change": per(net.subscriber_us) / subscribers as f64,
            "bytes_down_per_subscriber": per(net.bytes_down as f64) / subscribers as f64,
            "bytes_up_per_subscriber": per(net.bytes_up as f64) / subscribers as f64,
        }));
    }
}

/// One changed server with ten subscribers, by the size of the store and of their scope.
fn change_by_store() {
    for services in [25, 250, 2_500] {
        let mut net = Net::new(store(services), unlimited());
        for _ in 0..10 {
            net.add(scope(0, 25, services));
        }
        net.connect_all(1);
        net.reset();
        let changes = 2_000;
        for change in 0..changes {
            let number = net.publisher.store().position().number + 1;
            net.change(1, vec![server(change % 25, change % SERVERS, number)]);
        }
        print(json!({
            "what": "one changed server by services in the store", "services": services,
            "resources": net.publisher.store().resource_count(), "subscribers": 10,
            "publisher_us_per_change": net.publisher_us / changes as f64,
            "subscriber_us_per_change": net.subscriber_us / changes as f64 / 10.0,
            "bytes_down_per_subscriber": net.bytes_down as f64 / changes as f64 / 10.0,
        }));
    }
}

/// Memory of a store, a session and a subscriber; bytes and processor time of a snapshot.
fn memory_and_snapshots() {
    for services in [25, 250, 2_500] {
        let mut kept = None;
        let memory = allocation_counter::measure(|| kept = Some(store(services)));
        print(json!({
            "what": "memory of a store", "services": services, "resources": kept.map(|store| store.resource_count()),
            "bytes": memory.bytes_current,
        }));
    }
    for services in [1, 10, 50, 250, 2_500] {
        let mut net = Net::new(store(services), unlimited());
        net.add(scope(0, services, services));
        let both = allocation_counter::measure(|| net.connect_all(1));
        let (down, subscriber_us, publisher_us) =
            (net.bytes_down, net.subscriber_us, net.publisher_us);
        let mut session = 0;
        let freed = allocation_counter::measure(|| {
            net.publisher.disconnected(Time(net.now), SessionId(1), &mut Vec::new());
        });
        session -= freed.bytes_current;
        print(json!({
            "what": "memory and snapshot by scope", "services": services,
            "session_bytes": session, "subscriber_bytes": both.bytes_current - session,
            "subscriber_bytes_peak": both.bytes_max, "snapshot_bytes_down": down,
            "publisher_us": publisher_us, "subscriber_us": subscriber_us,
        }));
    }
}

/// All subscribers of a machine at once: without any state, with the latest state, and ten changes behind.
fn resume() {
    let all = 2_500;
    for subscribers in FAN_OUT {
        // The states of the whole fleet would not fit into this process: the services are small here, and the cost of
        // a resume follows their number.
        let (servers, routes) = if subscribers > 1_000 { (4, 1) } else { (SERVERS, ROUTES) };
        let mut net = Net::new(store_of(all, servers, routes), PublisherOptions::default());
        for index in 0..subscribers {
            net.add(scope(index * SCOPE, SCOPE, all));
        }
        let mut rows = BTreeMap::new();
        net.connect_all(1);
        rows.insert("from nothing", take(&mut net, 0));
        net.lose_all(1);
        let before = net.now;
        net.connect_all(10_001);
        rows.insert("with all", take(&mut net, before));
        net.lose_all(10_001);
        for change in 0..500 {
            let number = net.publisher.store().position().number + 1;
            net.change(10_001, vec![server(change * 5 % all, change % servers, number)]);
        }
        net.reset();
        let before = net.now;
        net.connect_all(20_001);
        rows.insert("ten changes behind each", take(&mut net, before));
        for (how, row) in rows {
            print(json!({ "what": "resume at once", "subscribers": subscribers, "scope": SCOPE,
                "resources_a_service": 1 + servers + routes, "how": how, "all": row }));
        }
    }
}

fn take(net: &mut Net, since: i64) -> Value {
    let row = json!({
        "publisher_us": net.publisher_us, "subscriber_us_each": net.subscriber_us / net.ends.len() as f64,
        "bytes_down": net.bytes_down, "bytes_up": net.bytes_up,
        "model_seconds": (net.now - since) as f64 / 1e6,
    });
    net.reset();
    row
}

fn main() {
    change_by_subscribers();
    change_by_store();
    memory_and_snapshots();
    resume();
}
