//! Decides whether an attempt may have been executed. No other module decides it, whatever the protocol.
//!
//! A transport reports facts: how the attempt ended, whether the request was written completely, and whether the
//! server stated that it did not execute the request. The transport does not interpret them. In doubt, an attempt may
//! have been executed.

use sableloom_types::Outcome;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete and successful answer arrived.
    Answered,
    /// An answer arrived that reports an error, or that can't be used because it is unreadable, too long or corrupt.
    UnusableAnswer,
    /// The connection was closed or reset before a complete answer arrived.
    ConnectionLost,
    /// No connection could be opened.
    ConnectFailed,
    /// The transport did not start the attempt: the request was finished, or the server accepts no new attempts.
    NotStarted,
    /// The deadline of the attempt passed.
    TimedOut,
    /// The policy cancelled the attempt.
    Cancelled,
    /// The request was finished by the answer of another attempt, or because its client disconnected.
    RequestFinished,
}

/// What is known of an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFacts {
    /// How the attempt ended.
    pub ended: AttemptEnd,
    /// Whether the last byte of the request was written to a connection. A server executes no request before it has
    /// received the last byte.
    pub fully_written: bool,
    /// Whether the server stated that it did not execute the request: it rejected the request unseen (`X-Never-Ran`),
    /// refused its stream, or sent a GOAWAY frame that excludes it (RFC 9113, sections 6.8 and 8.7).
    pub not_executed: bool,
}

/// Returns the outcome that the facts prove. Without proof, it is an outcome under which the request may have been
/// executed.
pub fn classify(facts: AttemptFacts) -> Outcome {
    let AttemptFacts { ended, fully_written, not_executed } = facts;
    match (ended, fully_written) {
        (AttemptEnd::Answered, true) => Outcome::Ok,
        // The server's statement counts, except against a successful answer of that server.
        _ if not_executed => Outcome::Rejected,
        // An answer to a request that the server can't have received completely belongs to another request.
        (
            AttemptEnd::Answered
            | AttemptEnd::UnusableAnswer
            | AttemptEnd::ConnectionLost
            | AttemptEnd::TimedOut
            | AttemptEnd::ConnectFailed,
            false,
        ) => Outcome::ConnectFailed,
        (AttemptEnd::NotStarted | AttemptEnd::Cancelled | AttemptEnd::RequestFinished, false) => {
            Outcome::Superseded
        }
        (AttemptEnd::UnusableAnswer, true) => Outcome::Error,
        (AttemptEnd::TimedOut, true) => Outcome::Timeout,
        (AttemptEnd::Cancelled | AttemptEnd::RequestFinished, true) => Outcome::Cancelled,
        // `ConnectFailed` and `NotStarted` contradict a request that was written completely, so they prove nothing.
        (AttemptEnd::ConnectionLost | AttemptEnd::ConnectFailed | AttemptEnd::NotStarted, true) => {
            Outcome::Reset
        }
    }
}

#[cfg(test)]
mod tests;
