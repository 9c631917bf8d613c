//! What goes on and goes wrong in a history: changes, other scopes, lost connections, restarts, drift.

use sableloom_distribution::{
    DisconnectReason, Position, Publisher, PublisherMessage, ResourceBody, SessionId, StatusQuery,
    Store, SubscriberMessage, SubscriberName, encode,
};

use super::operator::{SERVICES, service};
use super::{History, MILLISECOND, record};
use crate::trace::Trace;

impl History {
    /// Does at random one of the things that disturb a fleet, or nothing.
    pub(super) fn disturb(&mut self, trace: &mut Trace) {
        match self.below(100) {
            0..12 => self.operator.append_random(&mut self.rng),
            12..15 => (0..5).for_each(|_| self.operator.append_random(&mut self.rng)),
            15 => self.operator.append_reversal(),
            16 | 17 => self.change_scope(trace),
            18 => self.break_link(trace),
            19 => self.disturb_link(),
            20 if self.chance(300) => self.restart_balancer(trace),
            21 if self.chance(200) => self.restart_machine(trace),
            22 => {
                let machine = self.below(self.machines.len());
                let pause = self.below(5_000) as i64 * MILLISECOND;
                self.machines[machine].paused_until = self.now + pause;
            }
            23 if self.chance(80) => self.raise_epoch(trace),
            24 => self.corrupt_resource(),
            25 => self.append_wrong_change(trace),
            26 => self.send_out_of_order(),
            _ => {}
        }
    }

    fn change_scope(&mut self, trace: &mut Trace) {
        let index = self.below(self.balancers.len());
        let scope = self.random_scope();
        self.balancers[index].scope = scope.clone();
        self.with_subscriber(index, trace, |subscriber, _, out| {
            subscriber.set_scope(scope.into_iter().collect(), out);
        });
    }

    fn random_link(&mut self) -> Option<u64> {
        let open: Vec<u64> =
            self.links.iter().filter(|(_, link)| link.is_open).map(|(id, _)| *id).collect();
        if open.is_empty() {
            return None;
        }
        let index = self.below(open.len());
        open.get(index).copied()
    }

    /// Both ends of a connection learn that it has failed.
    fn break_link(&mut self, trace: &mut Trace) {
        let Some(link) = self.random_link() else {
            return;
        };
        self.close_by_subscriber(link, trace);
        let state = &self.links[&link];
        let (balancer, left) = (state.balancer, state.subscriber_left);
        if !left && self.balancers[balancer].link == Some(link) {
            self.balancers[balancer].link = None;
            let reason = DisconnectReason::Lost("reset".into());
            self.with_subscriber(balancer, trace, |subscriber, now, out| {
                subscriber.disconnected(now, reason, out);
            });
        }
        self.links.remove(&link);
    }

    /// The publisher of a link learns at once that the subscriber's end is gone.
    pub(super) fn close_by_subscriber(&mut self, id: u64, trace: &mut Trace) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let tells = link.is_open && !link.publisher_left;
        link.publisher_left = true;
        let machine = link.machine;
        if tells {
            self.with_publisher(machine, trace, |publisher, now, out| {
                publisher.disconnected(now, SessionId(id), out);
            });
        }
    }

    /// A link stalls, loses what is sent in one direction, or corrupts a byte.
    fn disturb_link(&mut self) {
        let Some(id) = self.random_link() else {
            return;
        };
        let kind = self.below(6);
        let until = self.now + self.below(14_000) as i64 * MILLISECOND;
        let at = self.below(64);
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        match kind {
            0 => link.to_publisher.stall(until),
            1 => link.to_subscriber.stall(until),
            2 => link.to_publisher.corrupt(at),
            3 => link.to_subscriber.corrupt(at),
            4 => link.to_publisher.lose_last(),
            _ => link.to_subscriber.lose_last(),
        }
    }

    fn restart_balancer(&mut self, trace: &mut Trace) {
        let index = self.below(self.balancers.len());
        if self.chance(200)
            && let Some(saved) = self.balancers[index].saved.services.first_mut()
        {
            saved.digest ^= 1;
        }
        self.start_balancer(index, trace);
    }

    /// A machine starts anew and reads the operator's log from its first change.
    fn restart_machine(&mut self, trace: &mut Trace) {
        let machine = self.below(self.machines.len());
        for link in self.links.values_mut().filter(|link| link.machine == machine) {
            link.to_subscriber.close(self.now);
            link.publisher_left = true;
        }
        let changes = self.below_log();
        let store = self.read_log(changes);
        let read = store.position().number as usize;
        self.machines[machine].publisher = Publisher::new(store, self.options);
        self.machines[machine].read = read;
        trace.integer(read as i64);
    }

    fn below_log(&mut self) -> usize {
        let length = self.operator.log.len();
        length - self.below(length.min(3))
    }

    fn read_log(&self, changes: usize) -> Store {
        let mut store = Store::new(self.limits);
        for entry in self.operator.log.iter().take(changes) {
            store.append(entry.clone()).expect("a sound change");
        }
        store
    }

    /// The operator rewrites the last changes: a log of a higher epoch, read anew by each machine.
    fn raise_epoch(&mut self, trace: &mut Trace) {
        let keep = self.below_log();
        self.operator.fork(keep);
        self.operator.append_random(&mut self.rng);
        for machine in 0..self.machines.len() {
            let store = self.read_log(self.operator.log.len());
            self.machines[machine].read = self.operator.log.len();
            self.with_publisher(machine, trace, |publisher, now, out| {
                publisher.replace_store(now, store, out);
            });
        }
    }

    fn corrupt_resource(&mut self) {
        let index = self.below(self.balancers.len());
        let (service, resource) = (service(self.below(SERVICES)), self.below(3));
        let body = ResourceBody::from(vec![self.rng.rand_range(0..100) as u8]);
        self.balancers[index].subscriber.corrupt(&service, resource, body);
    }

    /// A change that no store may take leaves it as it was.
    fn append_wrong_change(&mut self, trace: &mut Trace) {
        let machine = self.below(self.machines.len());
        let kind = self.below(7);
        let position = self.machines[machine].publisher.store().position();
        let entry = self.operator.wrong_entry(position, kind);
        let mut error_number = 0;
        self.with_publisher(machine, trace, |publisher, now, out| {
            let result = publisher.append(now, entry, out);
            error_number = result.err().map_or(0, |error| record::append_error(&error));
        });
        trace.integer(error_number);
    }

    /// A message that may not be sent at this point.
    fn send_out_of_order(&mut self) {
        let Some(id) = self.random_link() else {
            return;
        };
        let (kind, arrives) = (self.below(4), self.now + 20 * MILLISECOND);
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let subscriber = SubscriberName::try_from("second").expect("a sound name");
        let position = Position::default();
        match kind {
            0 => {
                let hello = SubscriberMessage::Hello { subscriber, position };
                link.to_publisher.send(arrives, encode(&hello));
            }
            1 => {
                let ack = SubscriberMessage::Ack { transaction: 99_999 };
                link.to_publisher.send(arrives, encode(&ack));
            }
            2 => {
                let changes =
                    PublisherMessage::Changes { transaction: 99_999, changes: Vec::new() };
                link.to_subscriber.send(arrives, encode(&changes));
            }
            _ => {
                let query = SubscriberMessage::StatusRequest(StatusQuery::Sessions { from: 0 });
                link.to_publisher.send(arrives, encode(&query));
            }
        }
    }
}
