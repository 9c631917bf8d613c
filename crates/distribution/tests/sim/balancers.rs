//! The balancers of the simulation: the subscriber, the application of transactions, and the saved state.

use std::collections::BTreeSet;

use sableloom_distribution::{
    Position, Rejection, ServiceName, Subscriber, SubscriberOptions, SubscriberOutput,
    SubscriberTiming, encode,
};
use sableloom_types::{Span, Time};

use super::connection::{Connection, Direction};
use super::coverage::{disconnect_reason_name, event_name};
use super::world::{Event, MILLISECOND, SECOND, World};

impl World {
    /// Starts the process of a balancer from its saved state, unless it is running.
    pub(crate) fn start_subscriber(&mut self, index: usize) {
        if self.balancers[index].subscriber.is_some() {
            return;
        }
        let seed = self.random.rand_u64();
        let machines = self.controls.len();
        let balancer = &mut self.balancers[index];
        balancer.incarnation += 1;
        balancer.seen_position =
            balancer.saved.as_ref().map_or(Position::default(), |saved| saved.position);
        balancer.corrupted = false;
        balancer.apply_queue.clear();
        let scope = balancer.scope.iter().cloned().collect();
        let mut options = SubscriberOptions::new(balancer.name.clone(), machines, scope, seed);
        options.saved_state = balancer.saved.clone();
        options.max_transaction_bytes = 10_000;
        options.timing =
            SubscriberTiming { backoff_max: Span(3 * SECOND), ..SubscriberTiming::default() };
        balancer.subscriber = Some(Subscriber::new(options));
        let scope = balancer.scope.clone();
        balancer.applier.restore(&balancer.saved.clone().unwrap_or_default());
        balancer.applier.set_scope(&scope);
        self.with_subscriber(index, |subscriber, now, out| subscriber.start(now, out));
        let balancer = &mut self.balancers[index];
        // The subscriber restores no service whose digest is wrong in the saved state, and the applier does the same.
        if let Some(subscriber) = &balancer.subscriber {
            let restored: BTreeSet<ServiceName> = subscriber
                .service_versions()
                .filter(|restored| restored.version > 0)
                .map(|restored| restored.service)
                .collect();
            balancer.applier.services.retain(|service, _| restored.contains(service));
        }
    }

    /// Calls a method of a running subscriber, checks its invariants, carries out its outputs and sets its timer.
    pub(crate) fn with_subscriber(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut Subscriber, Time, &mut Vec<SubscriberOutput>),
    ) {
        let mut out = Vec::new();
        let now = self.now;
        let Some(subscriber) = self.balancers[index].subscriber.as_mut() else {
            return;
        };
        act(subscriber, Time(now), &mut out);
        // The subscriber may buffer twice the bytes of a transaction.
        assert!(
            subscriber.buffered_bytes() <= 20_000,
            "{} bytes are buffered, at most 20000 are expected",
            subscriber.buffered_bytes()
        );
        let seen = subscriber.status(Time(now)).position;
        let due = subscriber.due();
        assert!(
            !seen.is_before(self.balancers[index].seen_position),
            "the position of balancer {index} goes back"
        );
        self.balancers[index].seen_position = seen;
        for output in out {
            self.subscriber_output(index, output);
        }
        if let Some(Time(due)) = due
            && self.balancers[index].timer.is_none_or(|timer| due < timer)
        {
            self.balancers[index].timer = Some(due);
            self.schedule(due, Event::SubscriberTimer { subscriber: index });
        }
    }

    /// Calls [`Subscriber::tick`], or postpones the call while the process is paused.
    pub(crate) fn subscriber_timer(&mut self, index: usize) {
        self.balancers[index].timer = None;
        let resume_at = self.balancers[index].paused_until;
        if resume_at > self.now {
            self.balancers[index].timer = Some(resume_at);
            self.schedule(resume_at, Event::SubscriberTimer { subscriber: index });
            return;
        }
        self.with_subscriber(index, |subscriber, now, out| subscriber.tick(now, out));
    }

    /// Carries out an output of a subscriber.
    pub(crate) fn subscriber_output(&mut self, index: usize, output: SubscriberOutput) {
        match output {
            SubscriberOutput::Connect { control_machine } => {
                let id = self.next_connection;
                self.next_connection += 1;
                self.balancers[index].connection = Some(id);
                let connection = Connection {
                    subscriber: index,
                    control: control_machine,
                    accepted_by: None,
                    to_control: Default::default(),
                    to_subscriber: Default::default(),
                    closed_by_subscriber: false,
                    closed_by_control: false,
                };
                self.connections.insert(id, connection);
                let at = self.random_time(MILLISECOND, 100 * MILLISECOND);
                self.schedule(at, Event::Connect { connection: id });
            }
            SubscriberOutput::Send(message) => {
                let Some(connection) = self.balancers[index].connection else {
                    panic!("balancer {index} sends a message without a connection");
                };
                self.send(connection, Direction::ToControl, encode(&message));
            }
            SubscriberOutput::Close { reason } => {
                self.count_occurrence(&disconnect_reason_name(&reason));
                if let Some(connection) = self.balancers[index].connection.take() {
                    self.close_side(connection, Direction::ToControl);
                }
            }
            SubscriberOutput::Apply(transaction) => {
                let at = self.random_time(0, 60 * MILLISECOND);
                let balancer = &mut self.balancers[index];
                balancer.apply_queue.push_back(transaction);
                let incarnation = balancer.incarnation;
                self.schedule(at, Event::Apply { subscriber: index, incarnation });
            }
            SubscriberOutput::Event(event) => self.count_occurrence(event_name(&event)),
            SubscriberOutput::Save => {
                let balancer = &mut self.balancers[index];
                balancer.saved = balancer.subscriber.as_ref().map(Subscriber::saved_state);
            }
        }
    }

    /// Applies the oldest transaction in the queue, unless the process has restarted since it was queued, and checks
    /// that subscriber and applier have the same resources.
    pub(crate) fn apply(&mut self, index: usize, incarnation: u32) {
        let checks_atomicity = self.schedule_options.checks_atomicity;
        let balancer = &mut self.balancers[index];
        if balancer.incarnation != incarnation || balancer.subscriber.is_none() {
            return;
        }
        let Some(transaction) = balancer.apply_queue.pop_front() else {
            return;
        };
        let result: Result<(), Vec<Rejection>> =
            balancer.applier.apply(&transaction, &self.histories, checks_atomicity);
        self.with_subscriber(index, |subscriber, _, out| {
            subscriber.apply_finished(transaction.id, result, out);
        });
        let balancer = &self.balancers[index];
        if let (Some(subscriber), false) = (&balancer.subscriber, balancer.corrupted) {
            for (service, applied) in &balancer.applier.services {
                let resources: Vec<_> = subscriber.resources(service).collect();
                // A service that was removed from the scope and added again is empty until its snapshot is received.
                assert!(
                    resources.is_empty() || resources.iter().copied().eq(applied.contents.values()),
                    "the resources of {service} differ between applier and subscriber {index}"
                );
            }
        }
    }
}
