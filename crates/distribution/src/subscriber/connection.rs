//! Which control machine, when, and what its greeting means.

use oorandom::Rand64;
use sableloom_types::{Span, Time};

use super::options::{
    ConnectionState, DisconnectReason, SubscriberEvent, SubscriberOutput, SubscriberTiming,
};
use super::{Subscriber, SubscriberCounters};
use crate::message::{MAX_SERVICES_PER_MESSAGE, Refusal, SubscriberMessage};
use crate::name::ServiceName;
use crate::resource::{Position, ServiceVersion};

/// A control machine that is behind, diverged or full is passed over for so long if there are others.
const AVOID: Span = Span(10_000_000);
/// Failures in a row after which control is said to be unreachable.
const UNREACHABLE_AFTER: u32 = 3;
/// Services added by one scope message: each may also be named as refused.
const MAX_ADDED_PER_MESSAGE: usize = MAX_SERVICES_PER_MESSAGE / 2;
/// Doublings after which any backoff is at its limit; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 16;

/// What the connection is at.
#[derive(Clone, Copy, Debug)]
pub(super) enum Link {
    Idle,
    Waiting { until: Time },
    Connecting { control: usize, since: Time },
    Greeting { control: usize, since: Time, greeted: bool },
    Open { control: usize, heard: Time, next_ping: Time, sequence: u32, current: bool },
}

impl Link {
    pub(super) fn control(&self) -> Option<usize> {
        match *self {
            Link::Idle | Link::Waiting { .. } => None,
            Link::Connecting { control, .. }
            | Link::Greeting { control, .. }
            | Link::Open { control, .. } => Some(control),
        }
    }

    /// Whether hello and scope have been sent.
    pub(super) fn greeted(&self) -> bool {
        matches!(self, Link::Greeting { greeted: true, .. } | Link::Open { .. })
    }

    pub(super) fn heard(&mut self, now: Time) {
        if let Link::Open { heard, .. } = self {
            *heard = now;
        }
    }

    /// Notes that all is in force; whether that is new on this connection.
    pub(super) fn becomes_current(&mut self) -> bool {
        match self {
            Link::Open { current, .. } => !std::mem::replace(current, true),
            _ => false,
        }
    }

    pub(super) fn due(&self, timing: &SubscriberTiming) -> Option<Time> {
        match *self {
            Link::Idle => None,
            Link::Waiting { until } => Some(until),
            Link::Connecting { since, .. } | Link::Greeting { since, .. } => {
                Some(since.plus(timing.silence_timeout))
            }
            Link::Open { heard, next_ping, .. } => {
                Some(heard.plus(timing.silence_timeout).min(next_ping))
            }
        }
    }

    pub(super) fn connection(&self) -> ConnectionState {
        match *self {
            Link::Idle => ConnectionState::Idle,
            Link::Waiting { until } => ConnectionState::Waiting { until },
            Link::Connecting { control, .. } => ConnectionState::Connecting { control },
            Link::Greeting { control, .. } => ConnectionState::Greeting { control },
            Link::Open { control, current: false, .. } => ConnectionState::Syncing { control },
            Link::Open { control, current: true, .. } => ConnectionState::Current { control },
        }
    }
}

/// The choice of control machine: at random, so that a machine's subscribers spread over all others when it dies.
#[derive(Debug)]
pub(super) struct Choice {
    random: Rand64,
    /// By machine: until when it is passed over.
    avoided_until: Vec<Option<Time>>,
    last: Option<usize>,
    /// Connections in a row that did not come to have everything.
    failures: u32,
    unreachable_said: bool,
}

impl Choice {
    pub(super) fn new(machines: usize, seed: u64) -> Self {
        Choice {
            random: Rand64::new(u128::from(seed)),
            avoided_until: vec![None; machines],
            last: None,
            failures: 0,
            unreachable_said: false,
        }
    }

    /// A random time up to a limit.
    pub(super) fn within(&mut self, limit: Span) -> Span {
        Span(self.random.rand_range(0..limit.0.max(0) as u64 + 1) as i64)
    }

    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.unreachable_said = false;
    }

    /// Full jitter: a random time up to a limit that doubles with each failure. Guards against all subscribers of a
    /// dead control machine, or of a region that comes back, coming at once.
    fn backoff(&mut self, timing: &SubscriberTiming) -> Span {
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let limit = (timing.backoff_base.0 << doublings).min(timing.backoff_max.0);
        self.within(Span(limit))
    }

    fn avoid(&mut self, control: usize, now: Time) {
        if let Some(until) = self.avoided_until.get_mut(control) {
            *until = Some(now.plus(AVOID));
        }
    }

    /// One of those that are neither avoided nor the last; if there is none, of all but the last.
    fn pick(&mut self, now: Time) -> Option<usize> {
        let machines = self.avoided_until.len();
        let other = |control: &usize| self.last != Some(*control) || machines == 1;
        let others: Vec<usize> = (0..machines).filter(other).collect();
        let usable =
            |control: &usize| self.avoided_until[*control].is_none_or(|until| until <= now);
        let mut candidates: Vec<usize> = others.iter().copied().filter(usable).collect();
        if candidates.is_empty() {
            candidates = others;
        }
        if candidates.is_empty() {
            return None;
        }
        let index = self.random.rand_range(0..candidates.len() as u64) as usize;
        self.last = candidates.get(index).copied();
        self.last
    }
}

impl Subscriber {
    pub(super) fn tick_connection(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        let silence = self.timing.silence_timeout;
        match self.link {
            Link::Waiting { until } if until <= now => self.connect(now, out),
            Link::Connecting { since, .. } | Link::Greeting { since, .. }
                if now.since(since) >= silence =>
            {
                self.close(now, DisconnectReason::Silent, out);
            }
            Link::Open { heard, .. } if now.since(heard) >= silence => {
                self.close(now, DisconnectReason::Silent, out);
            }
            Link::Open { .. } => self.ping(now, out),
            _ => {}
        }
    }

    fn ping(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        if let Link::Open { next_ping, sequence, .. } = &mut self.link
            && *next_ping <= now
        {
            *next_ping = now.plus(self.timing.ping_interval);
            *sequence = sequence.wrapping_add(1);
            out.push(SubscriberOutput::Send(SubscriberMessage::Ping { sequence: *sequence }));
        }
    }

    fn connect(&mut self, now: Time, out: &mut Vec<SubscriberOutput>) {
        let Some(control) = self.choice.pick(now) else {
            self.link = Link::Idle;
            return;
        };
        self.counters.connects += 1;
        self.link = Link::Connecting { control, since: now };
        out.push(SubscriberOutput::Connect { control });
    }

    /// Says hello and scope on a new connection, once the shell has answered all of the earlier one: what is held must
    /// not change by an earlier connection's transactions after it has been said, nor are those answered on this one.
    pub(super) fn greet(&mut self, out: &mut Vec<SubscriberOutput>) {
        let Link::Greeting { greeted, .. } = &mut self.link else {
            return;
        };
        if *greeted || !self.applying.is_empty() {
            return;
        }
        *greeted = true;
        self.generation = 0;
        self.misfits = 0;
        let hello = SubscriberMessage::Hello { subscriber: self.name.clone(), position: self.seen };
        out.push(SubscriberOutput::Send(hello));
        self.send_whole_scope(out);
    }

    pub(super) fn send_whole_scope(&mut self, out: &mut Vec<SubscriberOutput>) {
        let all = self.holding.held().map(|held| held.service).collect();
        self.send_scope(all, Vec::new(), out);
    }

    /// Names services that are wanted, with what is held of them, and services that are not wanted any more; in as many
    /// messages as that takes, at least one.
    pub(super) fn send_scope(
        &mut self,
        added: Vec<ServiceName>,
        removed: Vec<ServiceName>,
        out: &mut Vec<SubscriberOutput>,
    ) {
        let mut removed = removed.chunks(MAX_ADDED_PER_MESSAGE).peekable();
        let mut added = added.chunks(MAX_ADDED_PER_MESSAGE).peekable();
        loop {
            self.generation += 1;
            let remove = removed.next().map_or(Vec::new(), <[_]>::to_vec);
            // Those that leave go first: the scope may not be larger than allowed in between.
            let add =
                if removed.peek().is_none() && remove.is_empty() { added.next() } else { None };
            let (add, rejected) = self.name_services(add.unwrap_or(&[]));
            let last = removed.peek().is_none() && added.peek().is_none();
            let generation = self.generation;
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

    fn name_services(
        &mut self,
        services: &[ServiceName],
    ) -> (Vec<ServiceVersion>, Vec<ServiceVersion>) {
        let generation = self.generation;
        let named =
            services.iter().filter_map(|service| self.holding.name(service, generation)).collect();
        let rejected =
            services.iter().filter_map(|service| self.holding.rejected_of(service)).collect();
        (named, rejected)
    }

    pub(super) fn welcome(
        &mut self,
        now: Time,
        control: usize,
        position: Position,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<(), DisconnectReason> {
        let Link::Greeting { greeted: true, .. } = self.link else {
            return Err(DisconnectReason::Violation("a welcome without a hello".into()));
        };
        self.see(now, control, position, out)?;
        self.counters.sessions += 1;
        let next_ping = now.plus(self.choice.within(self.timing.ping_interval));
        self.link = Link::Open { control, heard: now, next_ping, sequence: 0, current: false };
        out.push(SubscriberOutput::Event(SubscriberEvent::Connected { control, position }));
        Ok(())
    }

    /// Takes a control machine's position, unless it lies before what has been seen or contradicts it.
    pub(super) fn see(
        &mut self,
        now: Time,
        control: usize,
        position: Position,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<(), DisconnectReason> {
        if position.is_before(self.seen) {
            self.counters.behind += 1;
            self.choice.avoid(control, now);
            return Err(DisconnectReason::Behind(position));
        }
        if position.diverges_from(self.seen) {
            return Err(self.diverged(now, control, position, out));
        }
        self.seen = position;
        Ok(())
    }

    pub(super) fn refusal(
        &mut self,
        now: Time,
        control: usize,
        refusal: Refusal,
        out: &mut Vec<SubscriberOutput>,
    ) -> DisconnectReason {
        self.choice.avoid(control, now);
        match refusal {
            Refusal::Behind { position } => {
                self.counters.behind += 1;
                DisconnectReason::Behind(position)
            }
            Refusal::Diverged { position } => self.diverged(now, control, position, out),
            Refusal::Full | Refusal::ScopeTooLarge { .. } | Refusal::Version { .. } => {
                DisconnectReason::Refused(refusal)
            }
        }
    }

    fn diverged(
        &mut self,
        now: Time,
        control: usize,
        other: Position,
        out: &mut Vec<SubscriberOutput>,
    ) -> DisconnectReason {
        self.choice.avoid(control, now);
        let SubscriberCounters { diverged, .. } = &mut self.counters;
        *diverged += 1;
        let event = SubscriberEvent::Diverged { control, seen: self.seen, other };
        out.push(SubscriberOutput::Event(event));
        DisconnectReason::Diverged(other)
    }

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
        self.lose(now, reason, out);
    }

    /// The connection is gone: what was half received is dropped, and another is ordered after a random time.
    pub(super) fn lose(
        &mut self,
        now: Time,
        reason: DisconnectReason,
        out: &mut Vec<SubscriberOutput>,
    ) {
        if let Some(control) = self.link.control() {
            let event = SubscriberEvent::Disconnected { control, reason };
            out.push(SubscriberOutput::Event(event));
        }
        self.staging = None;
        self.choice.failures = self.choice.failures.saturating_add(1);
        let enough = UNREACHABLE_AFTER.min(self.choice.avoided_until.len() as u32);
        if self.choice.failures >= enough && !self.choice.unreachable_said {
            self.choice.unreachable_said = true;
            out.push(SubscriberOutput::Event(SubscriberEvent::Unreachable));
        }
        self.link = Link::Waiting { until: now.plus(self.choice.backoff(&self.timing)) };
    }
}
