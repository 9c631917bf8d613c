//! The state of one connection.

use std::net::IpAddr;

use sableloom_types::Time;

/// The id of a connection. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// What a connection waits for; each kind has a hazard estimate of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitKind {
    /// The connection waits for its first byte.
    New,
    /// The connection waits for the rest of a request.
    Reading,
    /// The connection waits for the next request after its first answer.
    IdleAfterFirstAnswer,
    /// The connection waits for the next request after a later answer.
    IdleAfterLaterAnswer,
}

impl WaitKind {
    /// All kinds, in the order of their discriminants, which index the estimates.
    pub(crate) const ALL: [Self; 4] =
        [Self::New, Self::Reading, Self::IdleAfterFirstAnswer, Self::IdleAfterLaterAnswer];

    /// The kinds of idle connections.
    pub(crate) const IDLE: [Self; 2] = [Self::IdleAfterFirstAnswer, Self::IdleAfterLaterAnswer];

    /// The kind of an idle connection that was given this many answers.
    pub(crate) fn idle_after(answers: u32) -> Self {
        if answers > 1 { Self::IdleAfterLaterAnswer } else { Self::IdleAfterFirstAnswer }
    }
}

/// The stage of a connection, with the kind of its wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Waiting(WaitKind),
    /// The request is complete, and its answer has not been handed over to be written.
    Busy,
    /// The balancer or the client has begun to close the connection.
    Closing,
}

/// The state of one connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connection {
    pub(crate) source: IpAddr,
    pub(crate) stage: Stage,
    /// When the stage began.
    pub(crate) since: Time,
    /// When the current request began to arrive.
    pub(crate) request_started: Time,
    /// The number of answers that were handed over.
    pub(crate) answers: u32,
    /// Since when the client has accepted none of the written bytes. Such a connection is not evicted, because that
    /// would cut off an answer.
    pub(crate) blocked_since: Option<Time>,
    /// Whether bytes of the client have arrived and are not read yet; they may be a complete request.
    pub(crate) has_unread_bytes: bool,
    /// The memory that closing it frees, in bytes.
    pub(crate) memory: usize,
    /// When that memory grew last, or else when the connection was accepted.
    pub(crate) memory_grew_at: Time,
    /// Whether the connection is being shed, so that its memory is about to be free.
    pub(crate) is_shed: bool,
}

impl Connection {
    /// The memory that is about to be free as the connection is being shed, in bytes.
    pub(crate) fn shed_memory(&self) -> usize {
        if self.is_shed { self.memory } else { 0 }
    }

    /// Whether the connection may be evicted in a stage that allows eviction.
    pub(crate) fn is_evictable(&self) -> bool {
        self.blocked_since.is_none() && !self.has_unread_bytes
    }
}

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No byte has arrived on the connection yet.
    New,
    /// A part of a request has arrived.
    Reading,
    /// The connection is between requests.
    Idle,
    /// The request is complete, and its answer has not been handed over to be written.
    Busy,
    /// The balancer or the client has begun to close the connection.
    Closing,
}

impl From<Stage> for Phase {
    fn from(stage: Stage) -> Self {
        match stage {
            Stage::Waiting(WaitKind::New) => Self::New,
            Stage::Waiting(WaitKind::Reading) => Self::Reading,
            Stage::Waiting(WaitKind::IdleAfterFirstAnswer | WaitKind::IdleAfterLaterAnswer) => {
                Self::Idle
            }
            Stage::Busy => Self::Busy,
            Stage::Closing => Self::Closing,
        }
    }
}
