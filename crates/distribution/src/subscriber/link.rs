//! The states of a subscriber's connection.

use sableloom_types::Time;

use super::options::SubscriberTiming;
use super::status::ConnectionState;

/// The connection and what has happened on it.
#[derive(Clone, Copy, Debug)]
pub(super) enum Link {
    /// Not started.
    Idle,
    /// Waiting before the next connection.
    Waiting { until: Time },
    /// The caller is connecting.
    Connecting { control_machine: usize, since: Time },
    /// Connected, not welcomed yet.
    Greeting { control_machine: usize, since: Time, hello_sent: bool },
    /// In a session.
    Open {
        control_machine: usize,
        last_heard: Time,
        next_ping: Time,
        sequence: u32,
        is_current: bool,
    },
}

impl Link {
    /// The control machine of the connection, if there is one.
    pub(super) fn control_machine(&self) -> Option<usize> {
        match *self {
            Link::Idle | Link::Waiting { .. } => None,
            Link::Connecting { control_machine, .. }
            | Link::Greeting { control_machine, .. }
            | Link::Open { control_machine, .. } => Some(control_machine),
        }
    }

    /// Whether hello and scope have been sent.
    pub(super) fn scope_sent(&self) -> bool {
        matches!(self, Link::Greeting { hello_sent: true, .. } | Link::Open { .. })
    }

    /// A message has come.
    pub(super) fn heard(&mut self, now: Time) {
        if let Link::Open { last_heard, .. } = self {
            *last_heard = now;
        }
    }

    /// A bookmark has matched the applied state; whether it is the first of the session.
    pub(super) fn becomes_current(&mut self) -> bool {
        match self {
            Link::Open { is_current, .. } => !std::mem::replace(is_current, true),
            _ => false,
        }
    }

    /// When the connection times out because no message came.
    pub(super) fn silent_at(&self, timing: &SubscriberTiming) -> Option<Time> {
        match *self {
            Link::Idle | Link::Waiting { .. } => None,
            Link::Connecting { since, .. } | Link::Greeting { since, .. } => {
                Some(since.plus(timing.silence_timeout))
            }
            Link::Open { last_heard, .. } => Some(last_heard.plus(timing.silence_timeout)),
        }
    }

    /// When something is to be done.
    pub(super) fn due(&self, timing: &SubscriberTiming) -> Option<Time> {
        let action = match *self {
            Link::Waiting { until } => Some(until),
            Link::Open { next_ping, .. } => Some(next_ping),
            _ => None,
        };
        [action, self.silent_at(timing)].into_iter().flatten().min()
    }

    /// The number of the ping that is due now, if one is.
    pub(super) fn next_ping(&mut self, now: Time, timing: &SubscriberTiming) -> Option<u32> {
        match self {
            Link::Open { next_ping, sequence, .. } if *next_ping <= now => {
                *next_ping = now.plus(timing.ping_interval);
                *sequence = sequence.wrapping_add(1);
                Some(*sequence)
            }
            _ => None,
        }
    }

    /// The state as the status reports it.
    pub(super) fn state(&self) -> ConnectionState {
        match *self {
            Link::Idle => ConnectionState::Idle,
            Link::Waiting { until } => ConnectionState::Waiting { until },
            Link::Connecting { control_machine, .. } => {
                ConnectionState::Connecting { control_machine }
            }
            Link::Greeting { control_machine, .. } => ConnectionState::Greeting { control_machine },
            Link::Open { control_machine, is_current: false, .. } => {
                ConnectionState::Syncing { control_machine }
            }
            Link::Open { control_machine, is_current: true, .. } => {
                ConnectionState::Current { control_machine }
            }
        }
    }
}
