//! The state machine of a subscriber's connection.

use sableloom_types::Time;

use super::options::SubscriberTiming;
use super::status::ConnectionState;

/// The state of the connection, with what its timers and its status need.
#[derive(Clone, Copy, Debug)]
pub(super) enum Connection {
    /// The subscriber has not been started.
    Idle,
    /// The subscriber waits before it connects again.
    Waiting { until: Time },
    /// The caller is establishing the connection.
    Connecting { control_machine: usize, since: Time },
    /// The connection is established, and no welcome has been received.
    Greeting { control_machine: usize, since: Time, hello_sent: bool },
    /// A welcome has been received: the session is open.
    Open {
        control_machine: usize,
        last_received: Time,
        next_ping: Time,
        /// The number of the last ping; 0 before the first.
        last_ping_sequence: u32,
        /// Whether a bookmark of the session has matched the applied state.
        is_current: bool,
    },
}

impl Connection {
    /// Returns the number of the control machine of the connection, if there is one.
    pub(super) fn control_machine(&self) -> Option<usize> {
        match *self {
            Connection::Idle | Connection::Waiting { .. } => None,
            Connection::Connecting { control_machine, .. }
            | Connection::Greeting { control_machine, .. }
            | Connection::Open { control_machine, .. } => Some(control_machine),
        }
    }

    /// Returns whether the hello and the scope have been sent on this connection.
    pub(super) fn scope_sent(&self) -> bool {
        matches!(self, Connection::Greeting { hello_sent: true, .. } | Connection::Open { .. })
    }

    /// Records that a message has been received.
    pub(super) fn record_message(&mut self, now: Time) {
        if let Connection::Open { last_received, .. } = self {
            *last_received = now;
        }
    }

    /// Records that a bookmark has matched the applied state. Returns whether it is the first one of the session.
    pub(super) fn mark_current(&mut self) -> bool {
        match self {
            Connection::Open { is_current, .. } => !std::mem::replace(is_current, true),
            _ => false,
        }
    }

    /// Returns when the connection times out unless a message is received before.
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

    /// Returns when the next timer of the connection expires, if there is one.
    pub(super) fn due(&self, timing: &SubscriberTiming) -> Option<Time> {
        let scheduled = match *self {
            Connection::Waiting { until } => Some(until),
            Connection::Open { next_ping, .. } => Some(next_ping),
            _ => None,
        };
        [scheduled, self.silence_deadline(timing)].into_iter().flatten().min()
    }

    /// Returns the number of the ping that is due now, if there is one, and schedules the next one.
    pub(super) fn next_ping(&mut self, now: Time, timing: &SubscriberTiming) -> Option<u32> {
        match self {
            Connection::Open { next_ping, last_ping_sequence, .. } if *next_ping <= now => {
                *next_ping = now.plus(timing.ping_interval);
                *last_ping_sequence = last_ping_sequence.wrapping_add(1);
                Some(*last_ping_sequence)
            }
            _ => None,
        }
    }

    /// Returns the state as the status reports it.
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
