//! State of an open request and of its attempts.

use sableloom_types::Time;

/// What is known of whether an attempt was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// No result yet.
    InFlight,
    /// Provably not executed.
    NotExecuted,
    /// Ended, and may have been executed.
    MayHaveExecuted,
}

/// One forwarding of a request to a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Index of the server.
    pub(crate) server: usize,
    pub(crate) sent: Time,
    pub(crate) state: AttemptState,
}

/// A request that has no final answer yet, or an attempt that has no result yet.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) class: usize,
    pub(crate) key: Option<u64>,
    /// When the client stops waiting.
    pub(crate) deadline: Time,
    /// When an answer stops having any weight; attempts time out then.
    pub(crate) valuable_until: Time,
    /// When it must be abandoned if it is still queued.
    pub(crate) queue_deadline: Time,
    pub(crate) queued: bool,
    /// Its final answer is given or its client has left.
    pub(crate) ended: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// Whether an attempt of it is in flight.
    pub(crate) fn in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether every attempt of it provably was not executed.
    pub(crate) fn never_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::NotExecuted)
    }

    /// Whether an attempt of it went to this server.
    pub(crate) fn tried(&self, server: usize) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == server)
    }
}
