//! The decisions that the caller carries out.

use sableloom_types::{Span, Time};

use crate::connection::ConnectionId;

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The connection has a slot, under this id.
    Admitted(ConnectionId),
    /// This connection is to be evicted. The caller closes it and calls [`closed`], or reports why it can't be closed
    /// ([`bytes_waiting`], [`write_blocked`]); then it calls [`arrive`] again.
    ///
    /// [`arrive`]: crate::Admission::arrive
    /// [`closed`]: crate::Admission::closed
    /// [`bytes_waiting`]: crate::Admission::bytes_waiting
    /// [`write_blocked`]: crate::Admission::write_blocked
    Evict(ConnectionId),
    /// All slots are busy. The caller calls [`Admission::arrive`](crate::Admission::arrive) again after any other
    /// event, or at this time.
    Wait(Time),
    /// All slots have been busy for too long. The client is rejected with this Retry-After.
    Reject(Span),
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The connection was idle for longer than the idle timeout.
    IdleTimeout,
    /// The request was not complete within the request timeout.
    RequestTimeout,
    /// The client accepted none of its answer within the write timeout.
    WriteTimeout,
    /// The connection is evicted, because its slot has more value for others.
    MakeRoom,
}

/// A connection that is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// The connection.
    pub id: ConnectionId,
    /// Why it is to be closed.
    pub reason: ReleaseReason,
}

/// Whether a connection is kept alive after its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The connection becomes idle.
    Keep,
    /// The connection is closed, which the answer announces.
    Close,
    /// The connection becomes idle, and this other connection is to be closed.
    CloseOther(ConnectionId),
}
