//! How an attempt ended, and what the server reported of its load.

use crate::{RequestId, ServerId, Span};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have been executed.
    Error,
    /// Rejected by the server before execution.
    Rejected,
    /// No answer within the timeout; may have been executed.
    Timeout,
    /// No connection came up; not executed.
    ConnectFailed,
    /// The connection broke; may have been executed.
    Reset,
    /// Cancelled by this balancer; may have been executed.
    Cancelled,
    /// Superseded before it was issued; not executed.
    Superseded,
}

impl Outcome {
    /// Whether this outcome proves that the attempt was never executed.
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
    /// How long it took.
    pub latency: Span,
    /// The request is over with this attempt, whatever its outcome.
    pub ends_request: bool,
    /// What the server reported of its load.
    pub report: LoadReport,
}

/// A server's load report; a value that it does not contain is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests in progress.
    pub in_flight: Option<f64>,
    /// Requests queued at the server.
    pub queued: Option<f64>,
    /// Utilisation of its cores, 0 to 1.
    pub utilisation: Option<f64>,
    /// Recent service time, without time in the server's queue.
    pub service_time: Option<Span>,
}
