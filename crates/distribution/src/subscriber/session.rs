//! The connection to a control machine: connecting, hello and scope, pings, the end.

use sableloom_types::Time;

use super::Subscriber;
use super::connection::Connection;
use super::disconnect_reason::DisconnectReason;
use super::event::SubscriberEvent;
use super::output::SubscriberOutput;
use crate::message::{MAX_SERVICES_PER_MESSAGE, Refusal, SubscriberMessage};
use crate::name::ServiceName;
use crate::position::{Position, ServiceVersion};
use crate::violation::PublisherViolation;

/// Services added by one scope message: each may also be named as rejected.
const MAX_ADDED_PER_MESSAGE: usize = MAX_SERVICES_PER_MESSAGE / 2;

impl Subscriber {
    /// Connects, sends a ping or closes a silent connection, if that is due.
    pub(super) fn tick_connection(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        if self.connection.silence_deadline(&self.timing).is_some_and(|at| at <= now) {
            self.close(now, DisconnectReason::Silent, out);
            return;
        }
        match self.connection {
            Connection::Waiting { until } if until <= now => self.connect(now, out),
            _ => {
                if let Some(sequence) = self.connection.next_ping(now, &self.timing) {
                    out.push(SubscriberOutput::Send(SubscriberMessage::Ping { sequence }));
                }
            }
        }
    }

    /// Sends hello and scope on a new connection, once the caller has answered all transactions of the earlier one:
    /// these may change the versions that the scope reports, and their answers don't belong on this connection.
    pub(super) fn send_hello_if_ready(&mut self, out: &mut Vec<SubscriberOutput>) {
        let Connection::Greeting { hello_sent, .. } = &mut self.connection else {
            return;
        };
        if *hello_sent || !self.pending.is_empty() {
            return;
        }
        *hello_sent = true;
        self.scope_generation = 0;
        self.mismatched_bookmarks = 0;
        let hello =
            SubscriberMessage::Hello { subscriber: self.name.clone(), position: self.position };
        out.push(SubscriberOutput::Send(hello));
        self.send_complete_scope(out);
    }

    /// Adds all services of the scope, again or for the first time.
    pub(super) fn send_complete_scope(&mut self, out: &mut Vec<SubscriberOutput>) {
        let all = self.applied.versions().map(|version| version.service).collect();
        self.send_scope(all, Vec::new(), out);
    }

    /// Sends a change of the scope in as many messages as it takes, at least one.
    pub(super) fn send_scope(
        &mut self,
        added: Vec<ServiceName>,
        removed: Vec<ServiceName>,
        out: &mut Vec<SubscriberOutput>,
    ) {
        let mut removed = removed.chunks(MAX_ADDED_PER_MESSAGE).peekable();
        let mut added = added.chunks(MAX_ADDED_PER_MESSAGE).peekable();
        loop {
            self.scope_generation += 1;
            let remove = removed.next().map_or(Vec::new(), <[_]>::to_vec);
            // Removals go first: the scope must not exceed its limit in between.
            let add =
                if removed.peek().is_none() && remove.is_empty() { added.next() } else { None };
            let (add, rejected) = self.report_versions(add.unwrap_or(&[]));
            let last = removed.peek().is_none() && added.peek().is_none();
            let generation = self.scope_generation;
            out.push(SubscriberOutput::Send(SubscriberMessage::Scope {
                generation,
                add,
                remove,
                rejected,
                last,
            }));
            if last {
                return;
            }
        }
    }

    /// The control machine has welcomed the subscriber.
    pub(super) fn handle_welcome(
        &mut self,
        now: Time,
        control_machine: usize,
        position: Position,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<(), DisconnectReason> {
        let Connection::Greeting { hello_sent: true, .. } = self.connection else {
            return Err(PublisherViolation::UnexpectedWelcome.into());
        };
        self.advance_position(now, control_machine, position, out)?;
        self.counters.sessions += 1;
        let next_ping = now.plus(self.selector.random_delay(self.timing.ping_interval));
        self.connection = Connection::Open {
            control_machine,
            last_received: now,
            next_ping,
            sequence: 0,
            is_current: false,
        };
        out.push(SubscriberOutput::Event(SubscriberEvent::Connected { control_machine, position }));
        Ok(())
    }

    /// Takes the position of a control machine over, unless it is behind the furthest one or contradicts it.
    pub(super) fn advance_position(
        &mut self,
        now: Time,
        control_machine: usize,
        position: Position,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<(), DisconnectReason> {
        if position.is_before(self.position) {
            return Err(self.avoid_behind_machine(now, control_machine, position));
        }
        if position.diverges_from(self.position) {
            return Err(self.avoid_diverged_machine(now, control_machine, position, out));
        }
        self.position = position;
        Ok(())
    }

    /// The control machine has refused the session; returns why the connection is closed.
    pub(super) fn handle_refusal(
        &mut self,
        now: Time,
        control_machine: usize,
        refusal: Refusal,
        out: &mut Vec<SubscriberOutput>,
    ) -> DisconnectReason {
        match refusal {
            Refusal::Behind { position } => {
                self.avoid_behind_machine(now, control_machine, position)
            }
            Refusal::Diverged { position } => {
                self.avoid_diverged_machine(now, control_machine, position, out)
            }
            Refusal::Full | Refusal::ScopeTooLarge { .. } | Refusal::Version { .. } => {
                self.selector.avoid(control_machine, now);
                DisconnectReason::Refused(refusal)
            }
        }
    }

    /// Closes the connection.
    pub(super) fn close(
        &mut self,
        now: Time,
        reason: DisconnectReason,
        out: &mut Vec<SubscriberOutput>,
    ) {
        if matches!(reason, DisconnectReason::Violation(_)) {
            self.counters.violations += 1;
        }
        out.push(SubscriberOutput::Close { reason: reason.clone() });
        self.connection_ended(now, reason, out);
    }

    /// The connection has ended: an incomplete transaction is dropped, and the next connection is made after a random
    /// delay.
    pub(super) fn connection_ended(
        &mut self,
        now: Time,
        reason: DisconnectReason,
        out: &mut Vec<SubscriberOutput>,
    ) {
        if let Some(control_machine) = self.connection.control_machine() {
            let event = SubscriberEvent::Disconnected { control_machine, reason };
            out.push(SubscriberOutput::Event(event));
        }
        self.incoming = None;
        if self.selector.record_failure() {
            out.push(SubscriberOutput::Event(SubscriberEvent::Unreachable));
        }
        self.connection =
            Connection::Waiting { until: now.plus(self.selector.backoff(&self.timing)) };
    }

    fn connect(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        let Some(control_machine) = self.selector.pick(now) else {
            self.connection = Connection::Idle;
            return;
        };
        self.counters.connects += 1;
        self.connection = Connection::Connecting { control_machine, since: now };
        out.push(SubscriberOutput::Connect { control_machine });
    }

    /// The versions of services that a scope message reports: those applied, and those rejected.
    fn report_versions(
        &mut self,
        services: &[ServiceName],
    ) -> (Vec<ServiceVersion>, Vec<ServiceVersion>) {
        let generation = self.scope_generation;
        let applied = services
            .iter()
            .filter_map(|service| self.applied.record_scope_generation(service, generation))
            .collect();
        let rejected =
            services.iter().filter_map(|service| self.applied.rejected_version(service)).collect();
        (applied, rejected)
    }

    fn avoid_behind_machine(
        &mut self,
        now: Time,
        control_machine: usize,
        position: Position,
    ) -> DisconnectReason {
        self.selector.avoid(control_machine, now);
        self.counters.behind += 1;
        DisconnectReason::Behind(position)
    }

    fn avoid_diverged_machine(
        &mut self,
        now: Time,
        control_machine: usize,
        other: Position,
        out: &mut Vec<SubscriberOutput>,
    ) -> DisconnectReason {
        self.selector.avoid(control_machine, now);
        self.counters.diverged += 1;
        let event = SubscriberEvent::Diverged { control_machine, seen: self.position, other };
        out.push(SubscriberOutput::Event(event));
        DisconnectReason::Diverged(other)
    }
}
