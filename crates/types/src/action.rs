//! The actions that the policy returns to its caller.

use crate::{RequestId, ServerId, Span, Time};

/// An action that the caller must carry out, in the order in which actions are returned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Forward the request to a server as its next attempt.
    Forward {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// The time after which the attempt times out.
        timeout: Span,
    },
    /// Reject the request: it was not executed, so the client may safely repeat it.
    Reject {
        /// The request.
        request: RequestId,
        /// The delay before a retry that the client is advised of (Retry-After); zero for no advice.
        retry_after: Span,
    },
    /// Fail the request: it may have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt that is in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt, from 0.
        attempt: usize,
    },
    /// Call the policy's timer at or after this time.
    SetTimer {
        /// The token to pass to the policy when the timer fires.
        token: u64,
        /// When the timer is due.
        at: Time,
    },
    /// Run a health check against a server.
    CheckHealth {
        /// The server.
        server: ServerId,
    },
    /// Open the subscription to the endpoint list, where the list has to be polled.
    Subscribe,
}
