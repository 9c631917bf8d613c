//! The simulated world: an operator, control machines, subscribers, links, and what goes wrong.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use oorandom::Rand64;
use sableloom_distribution::{
    ConnectionState, Position, Publisher, PublisherCounters, PublisherOptions, SavedState,
    ServiceName, StoreLimits, Subscriber, SubscriberName, Transaction,
};
use sableloom_types::Time;

use super::controls::publisher_options;
use super::coverage::{Coverage, add_publisher, add_subscriber};
use super::history::{History, limits};
use super::link::{Connection, Way};
use super::shell::Shell;

pub(super) const MS: i64 = 1_000;
pub(super) const SECOND: i64 = 1_000 * MS;
/// Bytes of the largest frame that a publisher makes here, beyond which its queue may not grow.
pub(super) const FRAME_SLACK: usize = 3_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
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
pub struct Kinds {
    /// Changes of several services are checked to come in force at once: the log holds all, nothing is lost or moved.
    pub whole: bool,
    pub forks: bool,
    pub new_epoch: bool,
}

pub struct Control {
    pub(super) publisher: Option<Publisher>,
    pub(super) incarnation: u32,
    pub(super) history: usize,
    pub(super) read_up_to: Option<u64>,
    pub(super) lags_until: i64,
    pub(super) frozen_until: i64,
    pub(super) timer: Option<i64>,
}

pub struct Balancer {
    pub subscriber: Option<Subscriber>,
    pub shell: Shell,
    pub saved: Option<SavedState>,
    pub scope: BTreeSet<ServiceName>,
    pub(super) name: SubscriberName,
    pub(super) incarnation: u32,
    pub(super) connection: Option<u64>,
    pub(super) applying: VecDeque<Transaction>,
    pub(super) frozen_until: i64,
    pub(super) timer: Option<i64>,
    pub(super) seen: Position,
    pub(super) corrupted: bool,
    /// Transactions begun for it.
    pub begun: u64,
}

pub struct World {
    pub random: Rand64,
    pub now: i64,
    pub kinds: Kinds,
    pub histories: Vec<History>,
    pub canon: usize,
    pub controls: Vec<Control>,
    pub balancers: Vec<Balancer>,
    pub coverage: Coverage,
    pub quiet: bool,
    pub(super) connections: BTreeMap<u64, Connection>,
    pub(super) next_connection: u64,
    pub(super) cuts: HashMap<(usize, usize, bool), i64>,
    pub(super) queue: BinaryHeap<Reverse<(i64, u64, Event)>>,
    pub(super) sequence: u64,
    pub(super) options: PublisherOptions,
    pub(super) limits: StoreLimits,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut random = Rand64::new(u128::from(seed));
        let limits = limits(&mut random);
        let whole = limits.log_entries > 1_000 && random.rand_range(0..2) == 0;
        let kinds = Kinds {
            whole,
            forks: !whole && random.rand_range(0..3) == 0,
            new_epoch: !whole && random.rand_range(0..4) == 0,
        };
        let options = publisher_options(&mut random, whole);
        let mut world = World {
            random,
            now: 0,
            kinds,
            histories: vec![History::of_epoch(1)],
            canon: 0,
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

    pub(super) fn add_balancer(&mut self, index: usize) {
        let scope = self.random_scope();
        let picky = self.below(3) == 0;
        self.balancers.push(Balancer {
            subscriber: None,
            shell: Shell { picky, ..Shell::default() },
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

    pub fn below(&mut self, limit: u64) -> usize {
        self.random.rand_range(0..limit) as usize
    }

    pub(super) fn at(&mut self, at: i64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at.max(self.now), self.sequence, event)));
    }

    pub(super) fn after(&mut self, from: i64, to: i64) -> i64 {
        self.now + from + self.below((to - from).max(1) as u64) as i64
    }

    pub fn run_until(&mut self, end: i64) {
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

    pub(super) fn handle(&mut self, event: Event) {
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

    /// Everything is mended and nothing more goes wrong.
    pub fn heal(&mut self) {
        self.quiet = true;
        if self.kinds.forks {
            // Who has followed a diverged control machine trusts no other before the operator raises the epoch.
            let canon = &mut self.histories[self.canon];
            canon.epoch += 1;
            let number = canon.number();
            while canon.number() == number {
                canon.push_random(&mut self.random);
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

    pub fn finish(&mut self) {
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

    /// Whether a balancer is in a session and has all by its last bookmark.
    pub fn is_current(&self, index: usize) -> bool {
        let status = self.balancers[index]
            .subscriber
            .as_ref()
            .map(|subscriber| subscriber.status(Time(self.now)));
        status.is_some_and(|status| {
            matches!(status.connection, ConnectionState::Current { .. })
                && status.current.number == self.histories[self.canon].number()
        })
    }

    /// How a balancer and the control machines are, for the message of a failure.
    pub fn describe(&self, index: usize) -> String {
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
        let head = self.histories[self.canon].number();
        format!("head {head}, {subscriber:#?}, {publishers:#?}, {reasons:#?}")
    }

    pub(super) fn count(&mut self, what: &str) {
        *self.coverage.reasons.entry(what.to_owned()).or_default() += 1;
    }
}
