//! Balancers: a subscriber, the part that applies transactions, and the saved state.

use std::collections::BTreeSet;

use sableloom_distribution::{
    Position, Rejection, ServiceName, Subscriber, SubscriberOptions, SubscriberOutput,
    SubscriberTiming, encode,
};
use sableloom_types::{Span, Time};

use super::coverage::{event_name, reason_name};
use super::link::{Connection, Way};
use super::world::{Event, MS, SECOND, World};

impl World {
    pub(crate) fn start_subscriber(&mut self, index: usize) {
        if self.balancers[index].subscriber.is_some() {
            return;
        }
        let seed = self.random.rand_u64();
        let machines = self.controls.len();
        let balancer = &mut self.balancers[index];
        balancer.incarnation += 1;
        balancer.seen = balancer.saved.as_ref().map_or(Position::default(), |saved| saved.position);
        balancer.corrupted = false;
        balancer.applying.clear();
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
        if let Some(subscriber) = &balancer.subscriber {
            let restored: BTreeSet<ServiceName> = subscriber
                .service_versions()
                .filter(|restored| restored.version > 0)
                .map(|restored| restored.service)
                .collect();
            balancer.applier.services.retain(|service, _| restored.contains(service));
        }
    }

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
        assert!(
            subscriber.buffered_bytes() <= 20_000,
            "{} bytes are buffered",
            subscriber.buffered_bytes()
        );
        let seen = subscriber.status(Time(now)).position;
        let due = subscriber.due();
        assert!(!seen.is_before(self.balancers[index].seen), "a position goes back");
        self.balancers[index].seen = seen;
        for output in out {
            self.subscriber_output(index, output);
        }
        if let Some(Time(due)) = due
            && self.balancers[index].timer.is_none_or(|timer| due < timer)
        {
            self.balancers[index].timer = Some(due);
            self.at(due, Event::SubscriberTimer { subscriber: index });
        }
    }

    pub(crate) fn subscriber_timer(&mut self, index: usize) {
        self.balancers[index].timer = None;
        let thaw = self.balancers[index].frozen_until;
        if thaw > self.now {
            self.balancers[index].timer = Some(thaw);
            self.at(thaw, Event::SubscriberTimer { subscriber: index });
            return;
        }
        self.with_subscriber(index, |subscriber, now, out| subscriber.tick(now, out));
    }

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
                    left_by_subscriber: false,
                    left_by_control: false,
                };
                self.connections.insert(id, connection);
                let at = self.after(MS, 100 * MS);
                self.at(at, Event::Connect { connection: id });
            }
            SubscriberOutput::Send(message) => {
                let Some(connection) = self.balancers[index].connection else {
                    panic!("a message without a connection");
                };
                self.send(connection, Way::SubscriberMessage, encode(&message));
            }
            SubscriberOutput::Close { reason } => {
                self.count(&reason_name(&reason));
                if let Some(connection) = self.balancers[index].connection.take() {
                    self.leave(connection, Way::SubscriberMessage);
                }
            }
            SubscriberOutput::Apply(transaction) => {
                let at = self.after(0, 60 * MS);
                let balancer = &mut self.balancers[index];
                balancer.applying.push_back(transaction);
                let incarnation = balancer.incarnation;
                self.at(at, Event::Apply { subscriber: index, incarnation });
            }
            SubscriberOutput::Event(event) => self.count(event_name(&event)),
            SubscriberOutput::Save => {
                let balancer = &mut self.balancers[index];
                balancer.saved = balancer.subscriber.as_ref().map(Subscriber::saved_state);
            }
        }
    }

    pub(crate) fn apply(&mut self, index: usize, incarnation: u32) {
        let checks_atomicity = self.kinds.checks_atomicity;
        let balancer = &mut self.balancers[index];
        if balancer.incarnation != incarnation || balancer.subscriber.is_none() {
            return;
        }
        let Some(transaction) = balancer.applying.pop_front() else {
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
                // A service that has left the scope and returned is empty until its snapshot comes.
                assert!(
                    resources.is_empty() || resources.iter().copied().eq(applied.contents.values()),
                    "applier and subscriber differ"
                );
            }
        }
    }
}
