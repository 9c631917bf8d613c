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
use super::controls::publisher_options;
use super::coverage::{Coverage, add_publisher, add_subscriber};
use super::history::{History, limits};
use super::link::{Connection, Way};

pub(crate) const MS: i64 = 1_000;
pub(crate) const SECOND: i64 = 1_000 * MS;
/// Bytes of the largest frame that a publisher makes here: its queue exceeds its limit by no more.
pub(crate) const FRAME_SLACK: usize = 3_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Arrive { connection: u64, to_control: bool },
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
pub(crate) struct Kinds {
    /// Changes of several services are checked to be applied at once: the log holds all, and no scope or state is lost.
    pub(crate) checks_atomicity: bool,
    pub(crate) forks: bool,
    pub(crate) new_epoch: bool,
}

pub(crate) struct Control {
    pub(crate) publisher: Option<Publisher>,
    pub(crate) incarnation: u32,
    pub(crate) history: usize,
    pub(crate) read_up_to: Option<u64>,
    pub(crate) lags_until: i64,
    pub(crate) frozen_until: i64,
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
    pub(crate) applying: VecDeque<Transaction>,
    pub(crate) frozen_until: i64,
    pub(crate) timer: Option<i64>,
    pub(crate) seen: Position,
    pub(crate) corrupted: bool,
    /// Transactions that were begun for the balancer.
    pub(crate) begun: u64,
}

pub(crate) struct World {
    pub(crate) random: Rand64,
    pub(crate) now: i64,
    pub(crate) kinds: Kinds,
    pub(crate) histories: Vec<History>,
    pub(crate) head_log: usize,
    pub(crate) controls: Vec<Control>,
    pub(crate) balancers: Vec<Balancer>,
    pub(crate) coverage: Coverage,
    pub(crate) quiet: bool,
    pub(crate) connections: BTreeMap<u64, Connection>,
    pub(crate) next_connection: u64,
    pub(crate) cuts: HashMap<(usize, usize, bool), i64>,
    pub(crate) queue: BinaryHeap<Reverse<(i64, u64, Event)>>,
    pub(crate) sequence: u64,
    pub(crate) options: PublisherOptions,
    pub(crate) limits: StoreLimits,
}

impl World {
    pub(crate) fn new(seed: u64) -> World {
        let mut random = Rand64::new(u128::from(seed));
        let limits = limits(&mut random);
        let checks_atomicity = limits.log_entries > 1_000 && random.rand_range(0..2) == 0;
        let kinds = Kinds {
            checks_atomicity,
            forks: !checks_atomicity && random.rand_range(0..3) == 0,
            new_epoch: !checks_atomicity && random.rand_range(0..4) == 0,
        };
        let options = publisher_options(&mut random, checks_atomicity);
        let mut world = World {
            random,
            now: 0,
            kinds,
            histories: vec![History::of_epoch(1)],
            head_log: 0,
            controls: Vec::new(),
            balancers: Vec::new(),
            coverage: Coverage::default(),
            quiet: false,
            connections: BTreeMap::new(),
            next_connection: 1,
            cuts: HashMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            options,
            limits,
        };
        for _ in 0..world.below(10) + 1 {
            world.operator_writes();
        }
        for control in 0..world.below(3) + 1 {
            world.controls.push(Control {
                publisher: None,
                incarnation: 0,
                history: 0,
                read_up_to: None,
                lags_until: 0,
                frozen_until: 0,
                timer: None,
            });
            world.at(0, Event::StartControl { control });
            world.at(0, Event::Read { control });
        }
        for index in 0..world.below(4) + 1 {
            world.add_balancer(index);
        }
        world.at(10 * MS, Event::Fault);
        world
    }

    pub(crate) fn add_balancer(&mut self, index: usize) {
        let scope = self.random_scope();
        let validates = self.below(3) == 0;
        self.balancers.push(Balancer {
            subscriber: None,
            applier: Applier { validates, ..Applier::default() },
            saved: None,
            scope,
            name: SubscriberName::try_from(format!("balancer-{index}").as_str()).expect("a name"),
            incarnation: 0,
            connection: None,
            applying: VecDeque::new(),
            frozen_until: 0,
            timer: None,
            seen: Position::default(),
            corrupted: false,
            begun: 0,
        });
        self.at(0, Event::StartSubscriber { subscriber: index });
    }

    pub(crate) fn below(&mut self, limit: u64) -> usize {
        self.random.rand_range(0..limit) as usize
    }

    pub(crate) fn at(&mut self, at: i64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at.max(self.now), self.sequence, event)));
    }

    pub(crate) fn after(&mut self, from: i64, to: i64) -> i64 {
        self.now + from + self.below((to - from).max(1) as u64) as i64
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
            Event::Arrive { connection, to_control: true } => {
                self.arrive(connection, Way::SubscriberMessage)
            }
            Event::Arrive { connection, to_control: false } => {
                self.arrive(connection, Way::PublisherMessage)
            }
            Event::Connect { connection } => self.connect(connection),
            Event::ControlTimer { control } => self.control_timer(control),
            Event::SubscriberTimer { subscriber } => self.subscriber_timer(subscriber),
            Event::Apply { subscriber, incarnation } => self.apply(subscriber, incarnation),
            Event::Read { control } => self.read(control),
            Event::StartControl { control } => self.start_control(control),
            Event::StartSubscriber { subscriber } => self.start_subscriber(subscriber),
            Event::Fault => self.fault(),
        }
    }

    /// Ends all faults; no further fault happens.
    pub(crate) fn heal(&mut self) {
        self.quiet = true;
        if self.kinds.forks {
            // A subscriber that has followed a diverged control machine follows no other before the epoch is raised.
            let head_log = &mut self.histories[self.head_log];
            head_log.epoch += 1;
            let number = head_log.number();
            while head_log.number() == number {
                head_log.push_random(&mut self.random);
            }
        }
        self.cuts.clear();
        for index in 0..self.balancers.len() {
            self.balancers[index].frozen_until = 0;
            self.at(self.now, Event::StartSubscriber { subscriber: index });
        }
        for control in 0..self.controls.len() {
            let state = &mut self.controls[control];
            state.read_up_to = None;
            state.lags_until = 0;
            state.frozen_until = 0;
            self.at(self.now, Event::StartControl { control });
        }
    }

    pub(crate) fn finish(&mut self) {
        for control in &self.controls {
            let counters = control
                .publisher
                .as_ref()
                .map_or(PublisherCounters::default(), Publisher::counters);
            add_publisher(&mut self.coverage.publisher, counters);
        }
        for balancer in &self.balancers {
            if let Some(subscriber) = &balancer.subscriber {
                add_subscriber(
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
                && status.bookmark.number == self.histories[self.head_log].number()
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
        let reasons = &self.coverage.reasons;
        let head = self.histories[self.head_log].number();
        format!("head {head}, {subscriber:#?}, {publishers:#?}, {reasons:#?}")
    }

    pub(crate) fn count(&mut self, what: &str) {
        *self.coverage.reasons.entry(what.to_owned()).or_default() += 1;
    }
}
