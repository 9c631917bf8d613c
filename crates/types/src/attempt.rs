//! The result of an attempt, and the load that the server reported with it.

use crate::{RequestId, ServerId, Span};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server served the request.
    Ok,
    /// The server answered with an error; the request may have been executed.
    Error,
    /// The server rejected the request before executing it.
    Rejected,
    /// No answer arrived within the timeout; the request may have been executed.
    Timeout,
    /// No connection was established; the request was not executed.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// This balancer cancelled the attempt; the request may have been executed.
    Cancelled,
    /// The attempt was cancelled, or no longer needed, before the request was fully sent; the request was not executed.
    Superseded,
}

impl Outcome {
    /// Whether this outcome proves that the attempt did not execute the request.
    pub fn not_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::Superseded)
    }
}

/// The end of an attempt as the caller observed it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: usize,
    /// The server that it was forwarded to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from the forwarding of the attempt to its end.
    pub latency: Span,
    /// Whether the request is finished with this attempt, whatever the outcome.
    pub ends_request: bool,
    /// The load that the server reported.
    pub report: LoadReport,
}

/// A server's load report; a value that the report does not contain is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests in progress at the server.
    pub in_flight: Option<f64>,
    /// Requests queued at the server.
    pub queued: Option<f64>,
    /// Utilisation of the server's cores, 0 to 1.
    pub utilisation: Option<f64>,
    /// Recent service time, without the time in the server's queue.
    pub service_time: Option<Span>,
}
