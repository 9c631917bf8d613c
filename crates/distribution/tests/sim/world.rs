//! The simulated world: operators, control machines, balancers, links and faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use oorandom::Rand64;
use sableloom_distribution::{
    ConnectionState, Position, Publisher, PublisherCounters, PublisherOptions, SavedState,
    ServiceName, StoreLimits, Subscriber, SubscriberName, Transaction,
};
use sableloom_types::Time;

use super::applier::Applier;
use super::controls::random_publisher_options;
use super::coverage::{Coverage, add_publisher_counters, add_subscriber_counters};
use super::history::{History, random_limits};
use super::link::{Connection, Direction};

pub(crate) const MILLISECOND: i64 = 1_000;
pub(crate) const SECOND: i64 = 1_000 * MILLISECOND;
/// Bytes of the largest frame that a publisher makes here: its queue exceeds its limit by no more.
pub(crate) const LARGEST_FRAME_BYTES: usize = 3_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Deliver { connection: u64, to_control: bool },
    Connect { connection: u64 },
    ControlTimer { control: usize },
    SubscriberTimer { subscriber: usize },
    Apply { subscriber: usize, incarnation: u32 },
    Read { control: usize },
    StartControl { control: usize },
    StartSubscriber { subscriber: usize },
    Fault,
}

/// What may happen in a schedule.
#[derive(Clone, Copy)]
pub(crate) struct ScheduleOptions {
    /// Changes of several services are checked to be applied at once: the log holds all, and no scope or state is lost.
    pub(crate) checks_atomicity: bool,
    pub(crate) allows_forks: bool,
    pub(crate) allows_new_epochs: bool,
}

pub(crate) struct Control {
    pub(crate) publisher: Option<Publisher>,
    pub(crate) incarnation: u32,
    pub(crate) history: usize,
    pub(crate) read_up_to: Option<u64>,
    pub(crate) reading_paused_until: i64,
    pub(crate) paused_until: i64,
    pub(crate) timer: Option<i64>,
}

pub(crate) struct Balancer {
    pub(crate) subscriber: Option<Subscriber>,
    pub(crate) applier: Applier,
    pub(crate) saved: Option<SavedState>,
    pub(crate) scope: BTreeSet<ServiceName>,
    pub(crate) name: SubscriberName,
    pub(crate) incarnation: u32,
    pub(crate) connection: Option<u64>,
    pub(crate) apply_queue: VecDeque<Transaction>,
    pub(crate) paused_until: i64,
    pub(crate) timer: Option<i64>,
    pub(crate) seen_position: Position,
    pub(crate) corrupted: bool,
    /// Transactions that were begun for the balancer.
    pub(crate) begun_transactions: u64,
}

pub(crate) struct World {
    pub(crate) random: Rand64,
    pub(crate) now: i64,
    pub(crate) schedule_options: ScheduleOptions,
    pub(crate) histories: Vec<History>,
    pub(crate) head_history: usize,
    pub(crate) controls: Vec<Control>,
    pub(crate) balancers: Vec<Balancer>,
    pub(crate) coverage: Coverage,
    pub(crate) faults_ended: bool,
    pub(crate) connections: BTreeMap<u64, Connection>,
    pub(crate) next_connection: u64,
    pub(crate) partitions: HashMap<(usize, usize, bool), i64>,
    pub(crate) queue: BinaryHeap<Reverse<(i64, u64, Event)>>,
    pub(crate) sequence: u64,
    pub(crate) options: PublisherOptions,
    pub(crate) limits: StoreLimits,
}

impl World {
    pub(crate) fn new(seed: u64) -> World {
        let mut random = Rand64::new(u128::from(seed));
        let limits = random_limits(&mut random);
        let checks_atomicity = limits.log_entries > 1_000 && random.rand_range(0..2) == 0;
        let schedule_options = ScheduleOptions {
            checks_atomicity,
            allows_forks: !checks_atomicity && random.rand_range(0..3) == 0,
            allows_new_epochs: !checks_atomicity && random.rand_range(0..4) == 0,
        };
        let options = random_publisher_options(&mut random, checks_atomicity);
        let mut world = World {
            random,
            now: 0,
            schedule_options,
            histories: vec![History::with_epoch(1)],
            head_history: 0,
            controls: Vec::new(),
            balancers: Vec::new(),
            coverage: Coverage::default(),
            faults_ended: false,
            connections: BTreeMap::new(),
            next_connection: 1,
            partitions: HashMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            options,
            limits,
        };
        for _ in 0..world.random_below(10) + 1 {
            world.append_operator_change();
        }
        for control in 0..world.random_below(3) + 1 {
            world.controls.push(Control {
                publisher: None,
                incarnation: 0,
                history: 0,
                read_up_to: None,
                reading_paused_until: 0,
                paused_until: 0,
                timer: None,
            });
            world.schedule(0, Event::StartControl { control });
            world.schedule(0, Event::Read { control });
        }
        for index in 0..world.random_below(4) + 1 {
            world.add_balancer(index);
        }
        world.schedule(10 * MILLISECOND, Event::Fault);
        world
    }

    pub(crate) fn add_balancer(&mut self, index: usize) {
        let scope = self.random_scope();
        let validates = self.random_below(3) == 0;
        self.balancers.push(Balancer {
            subscriber: None,
            applier: Applier { validates, ..Applier::default() },
            saved: None,
            scope,
            name: SubscriberName::try_from(format!("balancer-{index}").as_str()).expect("a name"),
            incarnation: 0,
            connection: None,
            apply_queue: VecDeque::new(),
            paused_until: 0,
            timer: None,
            seen_position: Position::default(),
            corrupted: false,
            begun_transactions: 0,
        });
        self.schedule(0, Event::StartSubscriber { subscriber: index });
    }

    pub(crate) fn random_below(&mut self, limit: u64) -> usize {
        self.random.rand_range(0..limit) as usize
    }

    pub(crate) fn schedule(&mut self, at: i64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at.max(self.now), self.sequence, event)));
    }

    pub(crate) fn random_time(&mut self, from: i64, to: i64) -> i64 {
        self.now + from + self.random_below((to - from).max(1) as u64) as i64
    }

    pub(crate) fn run_until(&mut self, end: i64) {
        while let Some(Reverse((at, _, _))) = self.queue.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                return;
            };
            self.now = at;
            self.coverage.events += 1;
            self.handle(event);
        }
        self.now = end;
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { connection, to_control: true } => {
                self.deliver(connection, Direction::ToControl)
            }
            Event::Deliver { connection, to_control: false } => {
                self.deliver(connection, Direction::ToSubscriber)
            }
            Event::Connect { connection } => self.connect(connection),
            Event::ControlTimer { control } => self.control_timer(control),
            Event::SubscriberTimer { subscriber } => self.subscriber_timer(subscriber),
            Event::Apply { subscriber, incarnation } => self.apply(subscriber, incarnation),
            Event::Read { control } => self.read_log(control),
            Event::StartControl { control } => self.start_control(control),
            Event::StartSubscriber { subscriber } => self.start_subscriber(subscriber),
            Event::Fault => self.inject_fault(),
        }
    }

    /// Ends all faults; no further fault happens.
    pub(crate) fn end_faults(&mut self) {
        self.faults_ended = true;
        if self.schedule_options.allows_forks {
            // A subscriber that has followed a diverged control machine follows no other before the epoch is raised.
            let head_history = &mut self.histories[self.head_history];
            head_history.epoch += 1;
            let number = head_history.number();
            while head_history.number() == number {
                head_history.push_random(&mut self.random);
            }
        }
        self.partitions.clear();
        for index in 0..self.balancers.len() {
            self.balancers[index].paused_until = 0;
            self.schedule(self.now, Event::StartSubscriber { subscriber: index });
        }
        for control in 0..self.controls.len() {
            let state = &mut self.controls[control];
            state.read_up_to = None;
            state.reading_paused_until = 0;
            state.paused_until = 0;
            self.schedule(self.now, Event::StartControl { control });
        }
    }

    pub(crate) fn collect_counters(&mut self) {
        for control in &self.controls {
            let counters = control
                .publisher
                .as_ref()
                .map_or(PublisherCounters::default(), Publisher::counters);
            add_publisher_counters(&mut self.coverage.publisher, counters);
        }
        for balancer in &self.balancers {
            if let Some(subscriber) = &balancer.subscriber {
                add_subscriber_counters(
                    &mut self.coverage.subscriber,
                    subscriber.status(Time(self.now)).counters,
                );
            }
        }
    }

    /// Whether a balancer is in a session and its last bookmark is at the head of the log.
    pub(crate) fn is_current(&self, index: usize) -> bool {
        let status = self.balancers[index]
            .subscriber
            .as_ref()
            .map(|subscriber| subscriber.status(Time(self.now)));
        status.is_some_and(|status| {
            matches!(status.connection, ConnectionState::Current { .. })
                && status.current.number == self.histories[self.head_history].number()
        })
    }

    /// The state of a balancer and of the control machines, for the message of a failure.
    pub(crate) fn describe(&self, index: usize) -> String {
        let now = Time(self.now);
        let subscriber =
            self.balancers[index].subscriber.as_ref().map(|subscriber| subscriber.status(now));
        let publishers: Vec<_> = self
            .controls
            .iter()
            .filter_map(|c| c.publisher.as_ref())
            .map(Publisher::status)
            .collect();
        let occurrences = &self.coverage.occurrences;
        let head = self.histories[self.head_history].number();
        format!("head {head}, {subscriber:#?}, {publishers:#?}, {occurrences:#?}")
    }

    pub(crate) fn count_occurrence(&mut self, what: &str) {
        *self.coverage.occurrences.entry(what.to_owned()).or_default() += 1;
    }
}
