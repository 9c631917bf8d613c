//! Hollow subscribers to configuration: the shell and state machine of `sableloom-subscription` that `serve`
//! runs, many on one loop. What they are given they hold and put in force nowhere.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sableloom_distribution::{
    ConnectionState, Rejection, ServiceName, SubscriberName, SubscriberTiming, Transaction,
};
use sableloom_subscription::{Applier, Subscription, SubscriptionOptions};
use serde::{Deserialize, Serialize};

use crate::source;
use crate::worst_second::SecondWindow;

/// Subscribers that a worker is to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubscriberSet {
    /// The first one's number.
    pub first: usize,
    /// How many to start.
    pub count: usize,
    /// Services at the source.
    pub services: usize,
    /// Services that each one subscribes to.
    pub scope: usize,
    /// The control machines.
    pub machines: Vec<SocketAddr>,
    /// Where a set of one keeps its last good state, if it does.
    pub state: Option<PathBuf>,
}

/// What a worker's subscribers have received and hold, summed over them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SubscribersReport {
    /// How many were started.
    pub started: usize,
    /// How many are in a session with all of their scope in force.
    pub current: usize,
    /// The lowest change up to which all of one's scope is in force.
    pub lowest: u64,
    /// Bytes received from control machines, without headers of the network.
    pub received_bytes: u64,
    /// Bytes sent to them.
    pub sent_bytes: u64,
    /// Connections ordered.
    pub connects: u64,
    /// Sessions begun.
    pub sessions: u64,
    /// Transactions in force.
    pub applied: u64,
    /// Services that came as a snapshot.
    pub snapshots: u64,
    /// Transactions refused, that did not fit, or that showed drift.
    pub refused: u64,
    /// Resources held.
    pub resources: u64,
    /// Bytes both ways of the subscriber that had most in the second before this report.
    pub most_loaded_bytes: f64,
    /// When services came in force, since the last report.
    pub in_force: Vec<InForce>,
}

/// A version of a service came in force at a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The subscriber's number.
    pub subscriber: usize,
    /// The service's number.
    pub service: usize,
    /// The last change that it has.
    pub version: u64,
    /// Unix time in microseconds.
    pub at_us: u64,
}

/// Unix time in microseconds.
pub fn unix_us() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    unix.as_micros() as u64
}

/// Notes when services come in force; holds nothing and refuses nothing.
struct Recorder {
    subscriber: usize,
    in_force: Rc<RefCell<Vec<InForce>>>,
}

impl Applier for Recorder {
    fn apply(&self, transaction: &Transaction) -> Result<(), Vec<Rejection>> {
        let (subscriber, at_us) = (self.subscriber, unix_us());
        let updates = transaction.services.iter().filter(|update| !update.snapshot);
        let seen = updates.filter_map(|update| {
            let service = source::number_of(update.service.as_str())?;
            Some(InForce { subscriber, service, version: update.version, at_us })
        });
        self.in_force.borrow_mut().extend(seen);
        Ok(())
    }

    fn log(&self, _: &str) {}
}

/// A subscription that runs, and its bytes both ways at the last reports.
struct Hollow {
    subscription: Rc<Subscription>,
    bytes: RefCell<SecondWindow<f64>>,
}

impl Hollow {
    fn bytes(&self) -> f64 {
        let traffic = self.subscription.traffic();
        (traffic.received_bytes + traffic.sent_bytes) as f64
    }

    /// Its bytes both ways in the second before now.
    fn bytes_in_last_second(&self, now: Instant) -> f64 {
        self.bytes.borrow_mut().rate(now, self.bytes())
    }
}

/// The subscribers of a worker.
#[derive(Default)]
pub struct HollowSubscribers {
    each: RefCell<Vec<Hollow>>,
    in_force: Rc<RefCell<Vec<InForce>>>,
    failed: Cell<usize>,
}

impl HollowSubscribers {
    /// Starts subscribers, all at once. To be called on a `LocalSet`.
    pub fn start(&self, set: &SubscriberSet) {
        for number in set.first..set.first + set.count {
            match self.start_one(set, number) {
                Some(subscription) => {
                    let bytes = RefCell::new(SecondWindow::new(Instant::now(), 0.0));
                    self.each.borrow_mut().push(Hollow { subscription, bytes });
                }
                None => self.failed.set(self.failed.get() + 1),
            }
        }
    }

    fn start_one(&self, set: &SubscriberSet, number: usize) -> Option<Rc<Subscription>> {
        let scope = source::scope_of(number, set.services, set.scope);
        let scope: Result<Vec<ServiceName>, _> =
            scope.map(|service| ServiceName::try_from(source::service(service).as_str())).collect();
        let options = SubscriptionOptions {
            name: SubscriberName::try_from(format!("balancer-{number}").as_str()).ok()?,
            control_machines: set.machines.clone(),
            scope: scope.ok()?,
            state_file: set.state.clone(),
            seed: number as u64,
            timing: SubscriberTiming::default(),
        };
        let recorder = Recorder { subscriber: number, in_force: self.in_force.clone() };
        Some(Subscription::start(options, Rc::new(recorder)))
    }

    /// Begins a stretch of time: bytes before it are in no second of it.
    pub fn begin_stretch(&self) {
        let now = Instant::now();
        for hollow in self.each.borrow().iter() {
            hollow.bytes.replace(SecondWindow::new(now, hollow.bytes()));
        }
    }

    /// What they have received and hold.
    pub fn report(&self) -> SubscribersReport {
        let (each, now) = (self.each.borrow(), Instant::now());
        let mut report = SubscribersReport {
            started: each.len(),
            lowest: u64::MAX,
            in_force: self.in_force.take(),
            ..SubscribersReport::default()
        };
        for hollow in each.iter() {
            let subscription = &hollow.subscription;
            let bytes = hollow.bytes_in_last_second(now);
            report.most_loaded_bytes = report.most_loaded_bytes.max(bytes);
            let status = subscription.status().subscriber;
            let traffic = subscription.traffic();
            let counters = status.counters;
            let is_current = matches!(status.connection, ConnectionState::Current { .. });
            report.current += usize::from(is_current);
            report.lowest = report.lowest.min(status.bookmark.number);
            report.received_bytes += traffic.received_bytes;
            report.sent_bytes += traffic.sent_bytes;
            report.connects += counters.connects;
            report.sessions += counters.sessions;
            report.applied += counters.applied;
            report.snapshots += counters.snapshots;
            report.refused += counters.rejected + counters.mismatches + counters.drifts;
            report.resources += status.resources as u64;
        }
        report
    }
}

impl SubscribersReport {
    /// Adds another worker's.
    pub fn add(&mut self, other: &mut Self) {
        self.started += other.started;
        self.current += other.current;
        self.lowest = self.lowest.min(other.lowest);
        self.received_bytes += other.received_bytes;
        self.sent_bytes += other.sent_bytes;
        self.connects += other.connects;
        self.sessions += other.sessions;
        self.applied += other.applied;
        self.snapshots += other.snapshots;
        self.refused += other.refused;
        self.resources += other.resources;
        self.most_loaded_bytes = self.most_loaded_bytes.max(other.most_loaded_bytes);
        self.in_force.append(&mut other.in_force);
    }

    /// What was counted since then; states as they are now.
    pub fn since(mut self, before: &Self) -> Self {
        self.received_bytes -= before.received_bytes.min(self.received_bytes);
        self.sent_bytes -= before.sent_bytes.min(self.sent_bytes);
        self.connects -= before.connects.min(self.connects);
        self.sessions -= before.sessions.min(self.sessions);
        self.applied -= before.applied.min(self.applied);
        self.snapshots -= before.snapshots.min(self.snapshots);
        self.refused -= before.refused.min(self.refused);
        self
    }

    /// Bytes both ways.
    pub fn bytes(&self) -> u64 {
        self.received_bytes + self.sent_bytes
    }

    /// Whether so many have all of their scope in force up to this change.
    pub fn all_at(&self, subscribers: usize, change: u64) -> bool {
        self.started == subscribers && self.current == subscribers && self.lowest >= change
    }
}

/// For how long one may look for all to be current, before a run gives up on it.
pub const PATIENCE: Duration = Duration::from_secs(60);
