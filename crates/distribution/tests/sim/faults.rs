//! The changes of the operators and the faults of the simulation.

use std::collections::BTreeSet;

use sableloom_distribution::{DisconnectReason, PROTOCOL_VERSION, ServiceName};
use sableloom_types::Time;

use super::connection::Direction;
use super::coverage::{add_publisher_counters, add_subscriber_counters};
use super::history::{SERVICE_COUNT, service};
use super::world::{Event, MILLISECOND, World};

impl World {
    /// Appends a random change, or the reversal of the last one, to the operators' log.
    pub(crate) fn append_operator_change(&mut self) {
        let World { histories, head_history, random, .. } = self;
        if random.rand_range(0..6) == 0 {
            histories[*head_history].push_reversal();
        } else {
            histories[*head_history].push_random(random);
        }
    }

    /// Continues the operators' log in a higher epoch, without up to nine of its last changes.
    pub(crate) fn start_new_epoch(&mut self) {
        let head_history = &self.histories[self.head_history];
        let (number, epoch) = (head_history.number(), head_history.epoch);
        let kept = number - self.random.rand_range(0..number.clamp(1, 10));
        let mut history = self.histories[self.head_history].fork(kept, epoch + 1);
        history.push_random(&mut self.random);
        while history.chains.len() <= kept as usize {
            history.push_random(&mut self.random);
        }
        self.histories.push(history);
        self.head_history = self.histories.len() - 1;
    }

    /// Makes a random change of the operators or injects a random fault, and schedules the next, until faults have
    /// ended.
    pub(crate) fn inject_fault(&mut self) {
        if self.faults_ended {
            return;
        }
        let next_time = self.random_time(10 * MILLISECOND, 700 * MILLISECOND);
        self.schedule(next_time, Event::Fault);
        let control = self.random_below(self.controls.len() as u64);
        let index = self.random_below(self.balancers.len() as u64);
        let until = self.random_time(100 * MILLISECOND, 9_000 * MILLISECOND);
        match self.random_below(22) {
            0..=5 => self.append_operator_change(),
            6 if self.random_below(100) == 0 => {
                (0..1_000).for_each(|_| self.append_operator_change())
            }
            6 => (0..self.random_below(40) + 2).for_each(|_| self.append_operator_change()),
            7 => self.crash_control(control, until),
            8 => self.controls[control].reading_paused_until = until,
            9 => self.controls[control].paused_until = until,
            10 => self.restart_with_old_log(control),
            11 if self.schedule_options.allows_new_epochs && self.histories.len() < 4 => {
                self.start_new_epoch()
            }
            12 => self.crash_subscriber(index, until),
            13 => self.balancers[index].paused_until = until,
            14 => {
                let to_control = self.random_below(2) == 0;
                self.partitions.insert((control, index, to_control), until);
            }
            15 => {
                self.partitions.insert((control, index, true), until);
                self.partitions.insert((control, index, false), until);
            }
            16 => (0..self.balancers.len()).for_each(|index| {
                self.partitions.insert((control, index, true), until);
            }),
            17 => self.reset_connection(index),
            18 if !self.schedule_options.checks_atomicity => self.change_scope(index),
            19 if !self.schedule_options.checks_atomicity => self.corrupt_subscriber(index),
            20 => self.send_malformed_bytes(index),
            21 => self.damage_saved_state(index, until),
            _ => {}
        }
    }

    /// Ends the process of a control machine and schedules its restart. In half of the cases its connections are
    /// closed; otherwise the balancers receive no end of the connection.
    pub(crate) fn crash_control(&mut self, control: usize, until: i64) {
        let Some(publisher) = self.controls[control].publisher.take() else {
            return;
        };
        add_publisher_counters(&mut self.coverage.publisher, publisher.counters());
        let closes_connections = self.random_below(2) == 0;
        let ids: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| c.control == control)
            .map(|(id, _)| *id)
            .collect();
        for id in ids.into_iter().filter(|_| closes_connections) {
            self.close_side(id, Direction::ToSubscriber);
        }
        self.schedule(until, Event::StartControl { control });
    }

    /// Restarts a control machine with an older copy of the operators' log, or with a fork of it if the schedule allows
    /// forks.
    pub(crate) fn restart_with_old_log(&mut self, control: usize) {
        let number = self.histories[self.head_history].number();
        let kept = number - self.random.rand_range(0..number.clamp(1, 8));
        let restart_at = self.now + 50 * MILLISECOND;
        if !self.schedule_options.allows_forks {
            self.controls[control].read_up_to = Some(kept);
            self.crash_control(control, restart_at);
            return;
        }
        let epoch = self.histories[self.head_history].epoch;
        let mut fork = self.histories[self.head_history].fork(kept, epoch);
        for _ in 0..self.random_below(6) + 1 {
            fork.push_random(&mut self.random);
        }
        self.histories.push(fork);
        self.controls[control].history = self.histories.len() - 1;
        self.crash_control(control, restart_at);
    }

    /// Ends the process of a balancer and schedules its restart. In half of the cases its connection is closed;
    /// otherwise the control machine receives no end of the connection.
    pub(crate) fn crash_subscriber(&mut self, index: usize, until: i64) {
        let Some(subscriber) = self.balancers[index].subscriber.take() else {
            return;
        };
        add_subscriber_counters(
            &mut self.coverage.subscriber,
            subscriber.status(Time(self.now)).counters,
        );
        let closes_connections = self.random_below(2) == 0;
        if let Some(id) = self.balancers[index].connection.take() {
            if closes_connections {
                self.close_side(id, Direction::ToControl);
            } else if let Some(connection) = self.connections.get_mut(&id) {
                connection.closed_by_subscriber = true;
            }
        }
        self.schedule(until, Event::StartSubscriber { subscriber: index });
    }

    /// Restarts a balancer without its saved state, or with a saved state in which one body is altered. Does nothing if
    /// the schedule checks atomicity.
    pub(crate) fn damage_saved_state(&mut self, index: usize, until: i64) {
        if self.schedule_options.checks_atomicity || self.balancers[index].subscriber.is_none() {
            return;
        }
        let loses_state = self.random_below(2) == 0;
        self.crash_subscriber(index, until);
        let saved = &mut self.balancers[index].saved;
        if loses_state {
            *saved = None;
            return;
        }
        let resources =
            saved.iter_mut().flat_map(|saved| &mut saved.services).flat_map(|s| &mut s.resources);
        if let Some(resource) = resources.into_iter().next() {
            resource.body = vec![1, 2, 3].into();
        }
    }

    /// Resets the connection of a balancer: the subscriber is notified at once, and the control machine receives the
    /// end of the stream.
    pub(crate) fn reset_connection(&mut self, index: usize) {
        if let Some(id) = self.balancers[index].connection.take() {
            self.close_side(id, Direction::ToControl);
            let reason = DisconnectReason::Lost("reset".into());
            self.with_subscriber(index, |subscriber, now, out| {
                subscriber.disconnected(now, reason, out)
            });
        }
    }

    /// Returns a scope of one to five random services.
    pub(crate) fn random_scope(&mut self) -> BTreeSet<ServiceName> {
        (0..self.random_below(5) + 1)
            .map(|_| service(self.random_below(SERVICE_COUNT as u64)))
            .collect()
    }

    /// Replaces the scope of a balancer by a random one.
    pub(crate) fn change_scope(&mut self, index: usize) {
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

    /// Alters a body in the memory of a subscriber, so that its state no longer matches its digest.
    pub(crate) fn corrupt_subscriber(&mut self, index: usize) {
        let nth = self.random_below(4);
        let balancer = &mut self.balancers[index];
        let Some(service) = balancer.scope.iter().next().cloned() else {
            return;
        };
        if let Some(subscriber) = &mut balancer.subscriber {
            subscriber.corrupt(&service, nth, vec![9, 9, 9].into());
            balancer.corrupted = true;
        }
    }

    /// Sends random bytes over the connection of a balancer, in a random direction.
    pub(crate) fn send_malformed_bytes(&mut self, index: usize) {
        let Some(id) = self.balancers[index].connection else {
            return;
        };
        let direction =
            if self.random_below(2) == 0 { Direction::ToControl } else { Direction::ToSubscriber };
        let mut bytes = vec![0u8; self.random_below(200) + 1];
        bytes.iter_mut().for_each(|byte| *byte = self.random.rand_range(0..256) as u8);
        // A correct length and version make the receiver decode the message, which is malformed.
        if bytes.len() > 5 && self.random_below(2) == 0 {
            let length = (bytes.len() - 4) as u32;
            bytes[..4].copy_from_slice(&length.to_be_bytes());
            bytes[4] = PROTOCOL_VERSION;
        }
        self.send(id, direction, bytes);
    }
}
