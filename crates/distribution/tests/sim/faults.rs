//! Changes by the operators, and faults.

use std::collections::BTreeSet;

use sableloom_distribution::{DisconnectReason, PROTOCOL_VERSION, ServiceName};
use sableloom_types::Time;

use super::coverage::{add_publisher, add_subscriber};
use super::history::{SERVICES, service};
use super::link::Way;
use super::world::{Event, MS, World};

impl World {
    pub(crate) fn operator_writes(&mut self) {
        let World { histories, head_log, random, .. } = self;
        if random.rand_range(0..6) == 0 {
            histories[*head_log].push_reversal();
        } else {
            histories[*head_log].push_random(random);
        }
    }

    pub(crate) fn new_epoch(&mut self) {
        let head_log = &self.histories[self.head_log];
        let (number, epoch) = (head_log.number(), head_log.epoch);
        let kept = number - self.random.rand_range(0..number.clamp(1, 10));
        let mut history = self.histories[self.head_log].fork(kept, epoch + 1);
        history.push_random(&mut self.random);
        while history.chains.len() <= kept as usize {
            history.push_random(&mut self.random);
        }
        self.histories.push(history);
        self.head_log = self.histories.len() - 1;
    }

    pub(crate) fn fault(&mut self) {
        if self.quiet {
            return;
        }
        let again = self.after(10 * MS, 700 * MS);
        self.at(again, Event::Fault);
        let control = self.below(self.controls.len() as u64);
        let index = self.below(self.balancers.len() as u64);
        let span = self.after(100 * MS, 9_000 * MS);
        match self.below(22) {
            0..=5 => self.operator_writes(),
            6 if self.below(100) == 0 => (0..1_000).for_each(|_| self.operator_writes()),
            6 => (0..self.below(40) + 2).for_each(|_| self.operator_writes()),
            7 => self.crash_control(control, span),
            8 => self.controls[control].lags_until = span,
            9 => self.controls[control].frozen_until = span,
            10 => self.fork_or_copy(control),
            11 if self.kinds.new_epoch && self.histories.len() < 4 => self.new_epoch(),
            12 => self.crash_subscriber(index, span),
            13 => self.balancers[index].frozen_until = span,
            14 => {
                let to_control = self.below(2) == 0;
                self.cuts.insert((control, index, to_control), span);
            }
            15 => {
                self.cuts.insert((control, index, true), span);
                self.cuts.insert((control, index, false), span);
            }
            16 => (0..self.balancers.len()).for_each(|index| {
                self.cuts.insert((control, index, true), span);
            }),
            17 => self.reset_connection(index),
            18 if !self.kinds.checks_atomicity => self.move_scope(index),
            19 if !self.kinds.checks_atomicity => self.corrupt(index),
            20 => self.garbage(index),
            21 => self.damage_saved_state(index, span),
            _ => {}
        }
    }

    pub(crate) fn crash_control(&mut self, control: usize, until: i64) {
        let Some(publisher) = self.controls[control].publisher.take() else {
            return;
        };
        add_publisher(&mut self.coverage.publisher, publisher.counters());
        let loud = self.below(2) == 0;
        let ids: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| c.control == control)
            .map(|(id, _)| *id)
            .collect();
        for id in ids.into_iter().filter(|_| loud) {
            self.leave(id, Way::PublisherMessage);
        }
        self.at(until, Event::StartControl { control });
    }

    /// A control machine restarts with an older copy of the files, or with a fork of them.
    pub(crate) fn fork_or_copy(&mut self, control: usize) {
        let number = self.histories[self.head_log].number();
        let back = number - self.random.rand_range(0..number.clamp(1, 8));
        let soon = self.now + 50 * MS;
        if !self.kinds.forks {
            self.controls[control].read_up_to = Some(back);
            self.crash_control(control, soon);
            return;
        }
        let epoch = self.histories[self.head_log].epoch;
        let mut fork = self.histories[self.head_log].fork(back, epoch);
        for _ in 0..self.below(6) + 1 {
            fork.push_random(&mut self.random);
        }
        self.histories.push(fork);
        self.controls[control].history = self.histories.len() - 1;
        self.crash_control(control, soon);
    }

    pub(crate) fn crash_subscriber(&mut self, index: usize, until: i64) {
        let Some(subscriber) = self.balancers[index].subscriber.take() else {
            return;
        };
        add_subscriber(&mut self.coverage.subscriber, subscriber.status(Time(self.now)).counters);
        let loud = self.below(2) == 0;
        if let Some(id) = self.balancers[index].connection.take() {
            if loud {
                self.leave(id, Way::SubscriberMessage);
            } else if let Some(connection) = self.connections.get_mut(&id) {
                connection.left_by_subscriber = true;
            }
        }
        self.at(until, Event::StartSubscriber { subscriber: index });
    }

    /// Restarts a balancer with no saved state, or with one in which a body is altered.
    pub(crate) fn damage_saved_state(&mut self, index: usize, until: i64) {
        if self.kinds.checks_atomicity || self.balancers[index].subscriber.is_none() {
            return;
        }
        let lost = self.below(2) == 0;
        self.crash_subscriber(index, until);
        let saved = &mut self.balancers[index].saved;
        if lost {
            *saved = None;
            return;
        }
        let resources =
            saved.iter_mut().flat_map(|saved| &mut saved.services).flat_map(|s| &mut s.resources);
        if let Some(resource) = resources.into_iter().next() {
            resource.body = vec![1, 2, 3].into();
        }
    }

    pub(crate) fn reset_connection(&mut self, index: usize) {
        if let Some(id) = self.balancers[index].connection.take() {
            self.leave(id, Way::SubscriberMessage);
            let why = DisconnectReason::Lost("reset".into());
            self.with_subscriber(index, |subscriber, now, out| {
                subscriber.disconnected(now, why, out)
            });
        }
    }

    pub(crate) fn random_scope(&mut self) -> BTreeSet<ServiceName> {
        (0..self.below(5) + 1).map(|_| service(self.below(SERVICES as u64))).collect()
    }

    pub(crate) fn move_scope(&mut self, index: usize) {
        let scope = self.random_scope();
        let balancer = &mut self.balancers[index];
        balancer.scope = scope.clone();
        if balancer.subscriber.is_some() {
            balancer.applier.set_scope(&scope);
        }
        self.with_subscriber(index, |subscriber, _, out| {
            subscriber.set_scope(scope.into_iter().collect(), out);
        });
    }

    pub(crate) fn corrupt(&mut self, index: usize) {
        let nth = self.below(4);
        let balancer = &mut self.balancers[index];
        let Some(service) = balancer.scope.iter().next().cloned() else {
            return;
        };
        if let Some(subscriber) = &mut balancer.subscriber {
            subscriber.corrupt(&service, nth, vec![9, 9, 9].into());
            balancer.corrupted = true;
        }
    }

    pub(crate) fn garbage(&mut self, index: usize) {
        let Some(id) = self.balancers[index].connection else {
            return;
        };
        let way = if self.below(2) == 0 { Way::SubscriberMessage } else { Way::PublisherMessage };
        let mut bytes = vec![0u8; self.below(200) + 1];
        bytes.iter_mut().for_each(|byte| *byte = self.random.rand_range(0..256) as u8);
        // A plausible length of the frame, so that the message in it is malformed.
        if bytes.len() > 5 && self.below(2) == 0 {
            let length = (bytes.len() - 4) as u32;
            bytes[..4].copy_from_slice(&length.to_be_bytes());
            bytes[4] = PROTOCOL_VERSION;
        }
        self.send(id, way, bytes);
    }
}
