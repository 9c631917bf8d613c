//! Histories of the distribution of configuration: publishers over stores and subscribers that talk over links which
//! delay, corrupt and lose what is sent, while operators append changes.

mod faults;
mod network;
mod operator;
mod record;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oorandom::Rand64;
use sableloom_distribution::{
    Change, DisconnectReason, Publisher, PublisherMessage, PublisherOptions, PublisherOutput,
    Rejection, SavedState, ServiceName, SessionId, Store, StoreLimits, Subscriber,
    SubscriberMessage, SubscriberName, SubscriberOptions, SubscriberOutput, SubscriberTiming,
    encode,
};
use sableloom_types::{Span, Time};

use crate::trace::Trace;
use network::{Link, Receiver};
use operator::{Operator, SERVICES, service};

const HISTORIES: u64 = 120;
const STEPS: usize = 1_500;
const MILLISECOND: i64 = 1_000;
const SECOND: i64 = 1_000_000;
/// Steps between two records of all statuses.
const STATUS_EVERY: usize = 50;

/// Digest of all histories.
pub(crate) fn digest() -> String {
    let mut trace = Trace::default();
    for seed in 0..HISTORIES {
        History::new(seed).play(&mut trace);
    }
    trace.finish()
}

/// A control machine.
struct Machine {
    publisher: Publisher,
    /// Changes of the operator's log that it has read.
    read: usize,
    /// No change is read before this time.
    paused_until: i64,
}

/// A balancer with its subscription.
struct Balancer {
    subscriber: Subscriber,
    name: SubscriberName,
    scope: BTreeSet<ServiceName>,
    saved: SavedState,
    /// The link of its present connection.
    link: Option<u64>,
    /// Transactions to be answered, in order, with the time of the answer.
    applying: VecDeque<(i64, u64, Result<(), Vec<Rejection>>)>,
    /// Whether it rejects transactions with a bad body.
    validates: bool,
}

struct History {
    rng: Rand64,
    now: i64,
    limits: StoreLimits,
    options: PublisherOptions,
    operator: Operator,
    machines: Vec<Machine>,
    balancers: Vec<Balancer>,
    links: BTreeMap<u64, Link>,
    next_link: u64,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed) + 7_000);
        let log_entries = [10_000, 12, 3, 1][seed as usize % 4];
        let limits = StoreLimits { log_entries, service_bytes: 4_000, ..StoreLimits::default() };
        let options = publisher_options(&mut rng, seed);
        let mut history = History {
            rng,
            now: SECOND,
            limits,
            options,
            operator: Operator::new(1),
            machines: Vec::new(),
            balancers: Vec::new(),
            links: BTreeMap::new(),
            next_link: 1,
        };
        for _ in 0..1 + seed % 3 {
            history.operator.append_random(&mut history.rng);
        }
        for _ in 0..1 + seed % 3 {
            let publisher = Publisher::new(Store::new(limits), options);
            history.machines.push(Machine { publisher, read: 0, paused_until: 0 });
        }
        history
    }

    fn below(&mut self, limit: usize) -> usize {
        self.rng.rand_range(0..limit as u64) as usize
    }

    fn chance(&mut self, in_a_thousand: u64) -> bool {
        self.rng.rand_range(0..1_000) < in_a_thousand
    }

    fn play(mut self, trace: &mut Trace) {
        for index in 0..1 + self.below(4) {
            self.add_balancer(index, trace);
        }
        for step in 0..STEPS {
            self.now += self.rng.rand_range(0..60 * MILLISECOND as u64) as i64;
            self.read_changes(trace);
            self.deliver(trace);
            self.answer_transactions(trace);
            self.fire_timers(trace);
            self.disturb(trace);
            if step.is_multiple_of(STATUS_EVERY) {
                self.record_status(trace);
            }
        }
        self.record_status(trace);
    }

    fn random_scope(&mut self) -> BTreeSet<ServiceName> {
        (0..SERVICES).filter(|_| self.rng.rand_range(0..2) == 0).map(service).collect()
    }

    fn add_balancer(&mut self, index: usize, trace: &mut Trace) {
        let name = format!("balancer-{index}");
        let name = SubscriberName::try_from(name.as_str()).expect("a sound name");
        let scope = self.random_scope();
        let options = SubscriberOptions::new(name.clone(), 1, Vec::new(), 0);
        self.balancers.push(Balancer {
            subscriber: Subscriber::new(options),
            name,
            scope,
            saved: SavedState::default(),
            link: None,
            applying: VecDeque::new(),
            validates: index.is_multiple_of(2),
        });
        self.start_balancer(index, trace);
    }

    /// Starts a balancer, or restarts it from its saved state.
    fn start_balancer(&mut self, index: usize, trace: &mut Trace) {
        if let Some(link) = self.balancers[index].link.take() {
            self.close_by_subscriber(link, trace);
        }
        let seed = self.rng.rand_u64();
        let machines = self.machines.len();
        let balancer = &mut self.balancers[index];
        balancer.applying.clear();
        let scope = balancer.scope.iter().cloned().collect();
        let mut options = SubscriberOptions::new(balancer.name.clone(), machines, scope, seed);
        options.saved_state = Some(balancer.saved.clone());
        options.max_transaction_bytes = 9_000;
        options.timing =
            SubscriberTiming { backoff_max: Span(2 * SECOND), ..SubscriberTiming::default() };
        balancer.subscriber = Subscriber::new(options);
        self.with_subscriber(index, trace, |subscriber, now, out| subscriber.start(now, out));
    }

    fn with_subscriber(
        &mut self,
        index: usize,
        trace: &mut Trace,
        act: impl FnOnce(&mut Subscriber, Time, &mut Vec<SubscriberOutput>),
    ) {
        let mut out = Vec::new();
        let subscriber = &mut self.balancers[index].subscriber;
        act(subscriber, Time(self.now), &mut out);
        trace.integer(subscriber.due().map_or(-1, |at| at.0));
        trace.integer(subscriber.buffered_bytes() as i64);
        for output in out {
            trace.integer(index as i64);
            record::subscriber_output(trace, &output);
            self.subscriber_output(index, output);
        }
    }

    fn subscriber_output(&mut self, index: usize, output: SubscriberOutput) {
        match output {
            SubscriberOutput::Connect { control_machine } => {
                let id = self.next_link;
                self.next_link += 1;
                let delay = self.below(80) as i64 * MILLISECOND;
                self.links.insert(id, Link::new(index, control_machine, self.now + delay));
                self.balancers[index].link = Some(id);
            }
            SubscriberOutput::Send(message) => {
                let frame = encode(&message);
                let arrives = self.now + self.below(40) as i64 * MILLISECOND;
                if let Some(link) = self.present_link(index) {
                    link.to_publisher.send(arrives, frame);
                }
            }
            SubscriberOutput::Close { .. } => {
                let arrives = self.now + self.below(40) as i64 * MILLISECOND;
                if let Some(link) = self.present_link(index) {
                    link.to_publisher.close(arrives);
                    link.subscriber_left = true;
                }
                self.balancers[index].link = None;
            }
            SubscriberOutput::Apply(transaction) => {
                let rejections: Vec<Rejection> = transaction
                    .services
                    .iter()
                    .flat_map(|update| &update.changes)
                    .filter_map(operator::rejection_of)
                    .collect();
                let answers_at = self.now + self.below(60) as i64 * MILLISECOND;
                let balancer = &mut self.balancers[index];
                let rejects = balancer.validates && !rejections.is_empty();
                let result = if rejects { Err(rejections) } else { Ok(()) };
                balancer.applying.push_back((answers_at, transaction.id, result));
            }
            SubscriberOutput::Save => {
                let balancer = &mut self.balancers[index];
                balancer.saved = balancer.subscriber.saved_state();
            }
            _ => {}
        }
    }

    fn present_link(&mut self, index: usize) -> Option<&mut Link> {
        let id = self.balancers[index].link?;
        self.links.get_mut(&id)
    }

    fn with_publisher(
        &mut self,
        machine: usize,
        trace: &mut Trace,
        act: impl FnOnce(&mut Publisher, Time, &mut Vec<PublisherOutput>),
    ) {
        let mut out = Vec::new();
        let publisher = &mut self.machines[machine].publisher;
        act(publisher, Time(self.now), &mut out);
        trace.integer(publisher.due().map_or(-1, |at| at.0));
        for output in out {
            trace.integer(machine as i64);
            record::publisher_output(trace, &output);
            let arrives = self.now + self.below(40) as i64 * MILLISECOND;
            match output {
                PublisherOutput::Send { session, frame } => {
                    if let Some(link) = self.links.get_mut(&session.0) {
                        link.to_subscriber.send(arrives, frame);
                    }
                }
                PublisherOutput::Close { session, .. } => {
                    if let Some(link) = self.links.get_mut(&session.0) {
                        link.to_subscriber.close(arrives);
                        link.publisher_left = true;
                    }
                }
            }
        }
    }

    /// Lets each machine read the operator's log as far as it has got.
    fn read_changes(&mut self, trace: &mut Trace) {
        for machine in 0..self.machines.len() {
            let state = &self.machines[machine];
            if state.paused_until > self.now || state.read >= self.operator.log.len() {
                continue;
            }
            let entry = self.operator.log[state.read].clone();
            self.machines[machine].read += 1;
            self.with_publisher(machine, trace, |publisher, now, out| {
                publisher.append(now, entry, out).expect("a sound change");
            });
        }
    }

    fn deliver(&mut self, trace: &mut Trace) {
        let ids: Vec<u64> = self.links.keys().copied().collect();
        for id in ids {
            self.open_link(id, trace);
            self.deliver_to_publisher(id, trace);
            self.deliver_to_subscriber(id, trace);
        }
        self.links.retain(|_, link| !link.is_over());
    }

    fn open_link(&mut self, id: u64, trace: &mut Trace) {
        let now = self.now;
        let Some(link) = self.links.get_mut(&id).filter(|link| link.opens_at(now)) else {
            return;
        };
        link.is_open = true;
        let (machine, balancer) = (link.machine, link.balancer);
        self.with_publisher(machine, trace, |publisher, now, _| {
            publisher.connected(now, SessionId(id));
        });
        self.with_subscriber(balancer, trace, |subscriber, now, out| {
            subscriber.connected(now, out);
        });
    }

    fn deliver_to_publisher(&mut self, id: u64, trace: &mut Trace) {
        loop {
            let now = self.now;
            let Some(link) = self.links.get_mut(&id).filter(|link| link.is_open) else {
                return;
            };
            let (machine, left) = (link.machine, link.publisher_left);
            match link.to_publisher.receive::<SubscriberMessage>(now) {
                _ if left => return,
                Receiver::Nothing => return,
                Receiver::Message(message) => {
                    self.with_publisher(machine, trace, |publisher, now, out| {
                        publisher.message(now, SessionId(id), message, out);
                    });
                }
                Receiver::Malformed(error) => {
                    self.with_publisher(machine, trace, |publisher, now, out| {
                        publisher.malformed(now, SessionId(id), error, out);
                    });
                    return;
                }
                Receiver::Closed => {
                    link.publisher_left = true;
                    self.with_publisher(machine, trace, |publisher, now, out| {
                        publisher.disconnected(now, SessionId(id), out);
                    });
                    return;
                }
            }
        }
    }

    fn deliver_to_subscriber(&mut self, id: u64, trace: &mut Trace) {
        loop {
            let now = self.now;
            let Some(link) = self.links.get_mut(&id).filter(|link| link.is_open) else {
                return;
            };
            let (machine, balancer) = (link.machine, link.balancer);
            let taken = link.to_subscriber.bytes_taken(now);
            if taken > 0 && !link.publisher_left {
                self.with_publisher(machine, trace, |publisher, now, out| {
                    publisher.written(now, SessionId(id), taken, out);
                });
            }
            let Some(link) = self.links.get_mut(&id) else {
                return;
            };
            let left = link.subscriber_left;
            match link.to_subscriber.receive::<PublisherMessage>(now) {
                _ if left => return,
                Receiver::Nothing => return,
                Receiver::Message(message) => {
                    self.with_subscriber(balancer, trace, |subscriber, now, out| {
                        subscriber.message(now, message, out);
                    });
                }
                Receiver::Malformed(error) => {
                    self.with_subscriber(balancer, trace, |subscriber, now, out| {
                        subscriber.malformed(now, error, out);
                    });
                    return;
                }
                Receiver::Closed => {
                    link.subscriber_left = true;
                    self.balancers[balancer].link = None;
                    let reason = DisconnectReason::Lost("closed".into());
                    self.with_subscriber(balancer, trace, |subscriber, now, out| {
                        subscriber.disconnected(now, reason, out);
                    });
                    return;
                }
            }
        }
    }

    fn answer_transactions(&mut self, trace: &mut Trace) {
        for index in 0..self.balancers.len() {
            while let Some((at, transfer, result)) = self.balancers[index].applying.pop_front() {
                if at > self.now {
                    self.balancers[index].applying.push_front((at, transfer, result));
                    break;
                }
                self.with_subscriber(index, trace, |subscriber, _, out| {
                    subscriber.apply_finished(transfer, result, out);
                });
            }
        }
    }

    fn fire_timers(&mut self, trace: &mut Trace) {
        for machine in 0..self.machines.len() {
            if self.machines[machine].publisher.due().is_some_and(|at| at.0 <= self.now) {
                self.with_publisher(machine, trace, |publisher, now, out| {
                    publisher.tick(now, out);
                });
            }
        }
        for index in 0..self.balancers.len() {
            if self.balancers[index].subscriber.due().is_some_and(|at| at.0 <= self.now) {
                self.with_subscriber(index, trace, |subscriber, now, out| {
                    subscriber.tick(now, out);
                });
            }
        }
    }

    fn record_status(&mut self, trace: &mut Trace) {
        let now = Time(self.now);
        for machine in &self.machines {
            record::publisher(trace, &machine.publisher, now);
        }
        for balancer in &self.balancers {
            record::subscriber(trace, &balancer.subscriber, now);
            for service in &balancer.scope {
                for resource in balancer.subscriber.resources(service) {
                    record::change(trace, &Change::Set(resource.clone()));
                }
            }
        }
    }
}

fn publisher_options(rng: &mut Rand64, seed: u64) -> PublisherOptions {
    let mut options = PublisherOptions {
        max_transaction_bytes: 4_500,
        chunk_bytes: [400, 90][seed as usize % 2],
        max_queued_bytes: 300 + rng.rand_range(0..2_000) as usize,
        max_concurrent_snapshots: 1 + rng.rand_range(0..2) as usize,
        max_unacknowledged: 1 + rng.rand_range(0..3) as usize,
        ..PublisherOptions::default()
    };
    match seed % 5 {
        0 => (options.bytes_per_second, options.burst_bytes) = (4_000, 500),
        1 => options.max_transaction_services = 2,
        2 => options.max_scope_services = 4,
        3 => options.stall_timeout = Span(SECOND),
        4 => options.acknowledge_timeout = Span(50 * MILLISECOND),

        _ => {}
    }
    options
}
