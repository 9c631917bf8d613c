//! What is kept of one connection.

use std::net::IpAddr;

use sableloom_types::Time;

/// The id of a connection; it is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// What a connection waits for; each kind has a hazard estimate of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitKind {
    /// For its first byte.
    New,
    /// For the rest of a request.
    Reading,
    /// For the next request after its first answer.
    IdleAfterFirstAnswer,
    /// For the next request after a later answer.
    IdleAfterLaterAnswer,
}

impl WaitKind {
    /// All kinds, in the order of their numbers.
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
    /// Its request is complete, and the answer not yet handed over to be written.
    Busy,
    /// Its end was announced to the client, or by it.
    Closing,
}

/// The state of one connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connection {
    pub(crate) source: IpAddr,
    pub(crate) stage: Stage,
    /// When its stage began.
    pub(crate) since: Time,
    /// When its current request began to arrive.
    pub(crate) request_started: Time,
    pub(crate) answers: u32,
    /// Since when its peer has accepted none of what is written. Such a connection is not evicted, which would cut
    /// off an answer.
    pub(crate) blocked_since: Option<Time>,
    /// Bytes of its client wait to be read: they may be a complete request.
    pub(crate) has_unread_bytes: bool,
}

impl Connection {
    /// Whether it may be closed to make room for others, as far as its stage allows.
    pub(crate) fn is_evictable(&self) -> bool {
        self.blocked_since.is_none() && !self.has_unread_bytes
    }
}

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No byte has come on it yet.
    New,
    /// A part of a request has come.
    Reading,
    /// Between requests.
    Idle,
    /// Its request is complete, and the answer not yet handed over to be written.
    Busy,
    /// Its end was announced to the client, or by it.
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
