//! The decisions that the caller carries out.

use sableloom_types::{Span, Time};

use crate::connection::ConnectionId;

/// What is decided on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It has a slot, under this id.
    Admitted(ConnectionId),
    /// This connection has to make room. Close it and call [`closed`], or say why it can't be closed
    /// ([`bytes_waiting`], [`write_blocked`]); then ask again.
    ///
    /// [`closed`]: crate::Admission::closed
    /// [`bytes_waiting`]: crate::Admission::bytes_waiting
    /// [`write_blocked`]: crate::Admission::write_blocked
    Evict(ConnectionId),
    /// All slots are busy: ask again when anything has changed, or at this time.
    Wait(Time),
    /// All slots have been busy for too long: reject the client, with this Retry-After.
    Reject(Span),
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// It was idle for longer than the idle timeout.
    IdleTimeout,
    /// Its request was not complete within the request timeout.
    RequestTimeout,
    /// Its client accepts none of its answer.
    WriteTimeout,
    /// Its slot has more value for others.
    MakeRoom,
}

/// A connection that is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// The connection.
    pub id: ConnectionId,
    /// Why.
    pub reason: ReleaseReason,
}

/// Whether a connection is kept alive after its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// It becomes idle.
    Keep,
    /// It is closed, and the answer says so.
    Close,
    /// It becomes idle, and this other connection is to be closed.
    CloseOther(ConnectionId),
}
