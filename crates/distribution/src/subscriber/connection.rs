//! The states of a subscriber's connection.

use sableloom_types::Time;

use super::options::SubscriberTiming;
use super::status::ConnectionState;

/// The connection and what has happened on it.
#[derive(Clone, Copy, Debug)]
pub(super) enum Connection {
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
        last_received: Time,
        next_ping: Time,
        sequence: u32,
        is_current: bool,
    },
}

impl Connection {
    /// The control machine of the connection, if there is one.
    pub(super) fn control_machine(&self) -> Option<usize> {
        match *self {
            Connection::Idle | Connection::Waiting { .. } => None,
            Connection::Connecting { control_machine, .. }
            | Connection::Greeting { control_machine, .. }
            | Connection::Open { control_machine, .. } => Some(control_machine),
        }
    }

    /// Whether hello and scope have been sent.
    pub(super) fn scope_sent(&self) -> bool {
        matches!(self, Connection::Greeting { hello_sent: true, .. } | Connection::Open { .. })
    }

    /// A message has come.
    pub(super) fn record_message(&mut self, now: Time) {
        if let Connection::Open { last_received, .. } = self {
            *last_received = now;
        }
    }

    /// A bookmark has matched the applied state; whether it is the first of the session.
    pub(super) fn mark_current(&mut self) -> bool {
        match self {
            Connection::Open { is_current, .. } => !std::mem::replace(is_current, true),
            _ => false,
        }
    }

    /// When the connection times out because no message came.
    pub(super) fn silence_deadline(&self, timing: &SubscriberTiming) -> Option<Time> {
        match *self {
            Connection::Idle | Connection::Waiting { .. } => None,
            Connection::Connecting { since, .. } | Connection::Greeting { since, .. } => {
                Some(since.plus(timing.silence_timeout))
            }
            Connection::Open { last_received, .. } => {
                Some(last_received.plus(timing.silence_timeout))
            }
        }
    }

    /// When something is to be done.
    pub(super) fn due(&self, timing: &SubscriberTiming) -> Option<Time> {
        let action = match *self {
            Connection::Waiting { until } => Some(until),
            Connection::Open { next_ping, .. } => Some(next_ping),
            _ => None,
        };
        [action, self.silence_deadline(timing)].into_iter().flatten().min()
    }

    /// The number of the ping that is due now, if one is.
    pub(super) fn next_ping(&mut self, now: Time, timing: &SubscriberTiming) -> Option<u32> {
        match self {
            Connection::Open { next_ping, sequence, .. } if *next_ping <= now => {
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
            Connection::Idle => ConnectionState::Idle,
            Connection::Waiting { until } => ConnectionState::Waiting { until },
            Connection::Connecting { control_machine, .. } => {
                ConnectionState::Connecting { control_machine }
            }
            Connection::Greeting { control_machine, .. } => {
                ConnectionState::Greeting { control_machine }
            }
            Connection::Open { control_machine, is_current: false, .. } => {
                ConnectionState::Syncing { control_machine }
            }
            Connection::Open { control_machine, is_current: true, .. } => {
                ConnectionState::Current { control_machine }
            }
        }
    }
}
