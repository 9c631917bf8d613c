//! The connection to a control machine: connecting, the hello and the scope, pings, and the end of the connection.

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

/// The maximum number of services that one scope message adds. It is half of the limit, because each added service may
/// be named again with a rejected version.
const MAX_ADDED_PER_MESSAGE: usize = MAX_SERVICES_PER_MESSAGE / 2;

impl Subscriber {
    /// Runs the timers of the connection that have expired: connects, sends a ping, or closes a connection that has
    /// timed out.
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

    /// Sends the hello and the scope on a new connection, once the caller has answered all transactions of the earlier
    /// connection: they may change the versions that the scope reports, and their answers must not be sent on the new
    /// connection.
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

    /// Sends scope messages that add all services of the scope, for the first time or again.
    pub(super) fn send_complete_scope(&mut self, out: &mut Vec<SubscriberOutput>) {
        let all = self.applied.versions().map(|version| version.service).collect();
        self.send_scope(all, Vec::new(), out);
    }

    /// Sends a change of the scope in one or more messages.
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
            // Removals are sent first, so that the scope never exceeds its limit between two messages.
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

    /// Handles the welcome of the control machine, which opens the session.
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
            last_ping_sequence: 0,
            is_current: false,
        };
        out.push(SubscriberOutput::Event(SubscriberEvent::Connected { control_machine, position }));
        Ok(())
    }

    /// Advances the subscriber's position to that of a control machine. Returns an error if the latter is behind the
    /// latest position that any control machine has reported, or diverges from it.
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

    /// Handles the refusal of the session by the control machine. Returns the reason for which the connection is
    /// closed.
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

    /// Makes the caller close the connection, and counts a violation of the protocol.
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

    /// Drops an incomplete transaction of the connection that has ended, and schedules the next connection after a
    /// random delay.
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

    /// Makes the caller connect to the next control machine; without any control machine, no connection is made.
    fn connect(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        let Some(control_machine) = self.selector.pick(now) else {
            self.connection = Connection::Idle;
            return;
        };
        self.counters.connects += 1;
        self.connection = Connection::Connecting { control_machine, since: now };
        out.push(SubscriberOutput::Connect { control_machine });
    }

    /// Returns the versions that a scope message reports of added services: the applied versions, and the rejected
    /// ones.
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

    /// Avoids and counts a control machine that is behind. Returns the reason for which its connection is closed.
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

    /// Avoids, counts and reports a control machine that has diverged. Returns the reason for which its connection is
    /// closed.
    fn avoid_diverged_machine(
        &mut self,
        now: Time,
        control_machine: usize,
        machine_position: Position,
        out: &mut Vec<SubscriberOutput>,
    ) -> DisconnectReason {
        self.selector.avoid(control_machine, now);
        self.counters.diverged += 1;
        let latest_position = self.position;
        let event =
            SubscriberEvent::Diverged { control_machine, latest_position, machine_position };
        out.push(SubscriberOutput::Event(event));
        DisconnectReason::Diverged(machine_position)
    }
}
