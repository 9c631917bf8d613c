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
use super::connection::{Connection, Direction};
use super::controls::random_publisher_options;
use super::coverage::{Coverage, add_publisher_counters, add_subscriber_counters};
use super::history::{History, random_limits};

/// One millisecond in microseconds.
pub(crate) const MILLISECOND: i64 = 1_000;
/// One second in microseconds.
pub(crate) const SECOND: i64 = 1_000 * MILLISECOND;
/// The most bytes of a frame that a publisher sends in a schedule. A session's queue exceeds its limit by at most one
/// frame.
pub(crate) const LARGEST_FRAME_BYTES: usize = 3_000;

/// A simulated event. Control machines and balancers are identified by their indices.
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

/// The optional faults of a schedule, and the optional check of atomicity, which excludes some faults.
#[derive(Clone, Copy)]
pub(crate) struct ScheduleOptions {
    /// Whether changes of several services are checked to be applied together. This requires a log that holds all
    /// changes, and excludes forks, new epochs, changes of scopes, and lost or altered state.
    pub(crate) checks_atomicity: bool,
    /// Whether a control machine may read a fork of the operators' log.
    pub(crate) allows_forks: bool,
    /// Whether the operators may continue the log in a new epoch.
    pub(crate) allows_new_epochs: bool,
}

/// A control machine. All times are in microseconds.
pub(crate) struct Control {
    /// The publisher; none while the process is not running.
    pub(crate) publisher: Option<Publisher>,
    /// The number of starts of the process.
    pub(crate) incarnation: u32,
    /// The index of the history that it reads.
    pub(crate) history: usize,
    /// The number of the last change that it can read; none if it can read all.
    pub(crate) read_up_to: Option<u64>,
    /// The time until which it reads no new changes.
    pub(crate) reading_paused_until: i64,
    /// The time until which the process is paused.
    pub(crate) paused_until: i64,
    /// The time of the scheduled timer event.
    pub(crate) timer: Option<i64>,
}

/// A balancer. All times are in microseconds.
pub(crate) struct Balancer {
    /// The subscriber; none while the process is not running.
    pub(crate) subscriber: Option<Subscriber>,
    pub(crate) applier: Applier,
    /// The state that the subscriber saved last.
    pub(crate) saved: Option<SavedState>,
    pub(crate) scope: BTreeSet<ServiceName>,
    pub(crate) name: SubscriberName,
    /// The number of starts of the process.
    pub(crate) incarnation: u32,
    /// The id of the current connection.
    pub(crate) connection: Option<u64>,
    /// The transactions that are being applied, the oldest first.
    pub(crate) apply_queue: VecDeque<Transaction>,
    /// The time until which the process is paused.
    pub(crate) paused_until: i64,
    /// The time of the scheduled timer event.
    pub(crate) timer: Option<i64>,
    /// The furthest position that the process has seen.
    pub(crate) seen_position: Position,
    /// Whether a body in the memory of the subscriber has been altered since the process started.
    pub(crate) corrupted: bool,
    /// The number of transactions of which publishers have sent the first frame to the balancer.
    pub(crate) begun_transactions: u64,
}

/// The state of a schedule.
pub(crate) struct World {
    pub(crate) random: Rand64,
    /// The virtual time in microseconds.
    pub(crate) now: i64,
    pub(crate) schedule_options: ScheduleOptions,
    /// The operators' log with its earlier epochs and forks.
    pub(crate) histories: Vec<History>,
    /// The index of the history that the operators append to.
    pub(crate) head_history: usize,
    pub(crate) controls: Vec<Control>,
    pub(crate) balancers: Vec<Balancer>,
    pub(crate) coverage: Coverage,
    /// Whether [`Self::end_faults`] has been called.
    pub(crate) faults_ended: bool,
    /// The connections by id.
    pub(crate) connections: BTreeMap<u64, Connection>,
    pub(crate) next_connection: u64,
    /// The end of each partition, in microseconds, by control machine, balancer and whether it holds back the bytes to
    /// the control machine.
    pub(crate) partitions: HashMap<(usize, usize, bool), i64>,
    /// The scheduled events, ordered by time and sequence number.
    pub(crate) queue: BinaryHeap<Reverse<(i64, u64, Event)>>,
    /// The sequence number of the last scheduled event.
    pub(crate) sequence: u64,
    pub(crate) options: PublisherOptions,
    pub(crate) limits: StoreLimits,
}

impl World {
    /// Creates the schedule of a seed, with random options, control machines and balancers.
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

    /// Adds a balancer with a random scope, and schedules its start.
    pub(crate) fn add_balancer(&mut self, index: usize) {
        let scope = self.random_scope();
        let validates = self.random_below(3) == 0;
        self.balancers.push(Balancer {
            subscriber: None,
            applier: Applier { validates, ..Applier::default() },
            saved: None,
            scope,
            name: SubscriberName::try_from(format!("balancer-{index}").as_str())
                .expect("a valid name"),
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

    /// Returns a random number below a limit.
    pub(crate) fn random_below(&mut self, limit: u64) -> usize {
        self.random.rand_range(0..limit) as usize
    }

    /// Schedules an event at a time in microseconds, or now if that time has passed.
    pub(crate) fn schedule(&mut self, at: i64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at.max(self.now), self.sequence, event)));
    }

    /// Returns a random time from `from` to `to` microseconds after now, without `to`.
    pub(crate) fn random_time(&mut self, from: i64, to: i64) -> i64 {
        self.now + from + self.random_below((to - from).max(1) as u64) as i64
    }

    /// Handles all events up to a time, and sets the virtual time to it.
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

    /// Handles one event.
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

    /// Ends all faults, prevents further ones, and restarts all processes that are not running.
    pub(crate) fn end_faults(&mut self) {
        self.faults_ended = true;
        if self.schedule_options.allows_forks {
            // A subscriber that has followed a diverged control machine follows no other until the epoch is raised.
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

    /// Adds the counters of all running processes to the coverage.
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

    /// Returns whether a balancer is connected and its last bookmark is at the end of the operators' log.
    pub(crate) fn is_current(&self, index: usize) -> bool {
        let status = self.balancers[index]
            .subscriber
            .as_ref()
            .map(|subscriber| subscriber.status(Time(self.now)));
        status.is_some_and(|status| {
            matches!(status.connection, ConnectionState::Current { .. })
                && status.bookmark.number == self.histories[self.head_history].number()
        })
    }

    /// Returns the state of a balancer and of the control machines, for the message of a failed check.
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

    /// Counts a close reason or an event under its name.
    pub(crate) fn count_occurrence(&mut self, name: &str) {
        *self.coverage.occurrences.entry(name.to_owned()).or_default() += 1;
    }
}
