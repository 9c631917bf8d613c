//! May the attempt have been executed? This is the one place that decides it, whatever the protocol.
//!
//! A transport reports facts: how the attempt ended, whether the request was written completely, and whether the server
//! stated that it did not execute it. It never judges them. In doubt, an attempt may have been executed.

use sableloom_types::Outcome;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a complete answer that succeeded.
    Answered,
    /// With an answer that reports an error, or that can't be used: unreadable, too long, corrupt.
    UnusableAnswer,
    /// Its connection was closed or reset before a complete answer.
    ConnectionLost,
    /// No connection could be opened.
    ConnectFailed,
    /// The transport did not start it: the request was finished, or its server accepts nothing new.
    NotStarted,
    /// Its deadline passed.
    TimedOut,
    /// The policy cancelled it.
    Cancelled,
    /// The request was finished, by another attempt's answer or because its client disconnected.
    RequestFinished,
}

/// What is known of an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFacts {
    /// How it ended.
    pub ended: AttemptEnd,
    /// The last byte of the request was written to a connection. A server executes no request before its last byte
    /// has come.
    pub fully_written: bool,
    /// The server stated that it did not execute the request: rejected it unseen (`X-Never-Ran`), or refused
    /// its stream or went away before it (RFC 9113, sections 6.8 and 8.7).
    pub not_executed: bool,
}

/// The outcome that the facts prove, or else the one that allows for an execution.
pub fn classify(facts: AttemptFacts) -> Outcome {
    let AttemptFacts { ended, fully_written, not_executed } = facts;
    match (ended, fully_written) {
        (AttemptEnd::Answered, true) => Outcome::Ok,
        // The server's statement counts, but not against an answer that it made.
        _ if not_executed => Outcome::Rejected,
        // An answer to a request that the server can't have seen completely belongs to another one.
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
        // The last two contradict themselves: then nothing is proven.
        (AttemptEnd::ConnectionLost | AttemptEnd::ConnectFailed | AttemptEnd::NotStarted, true) => {
            Outcome::Reset
        }
    }
}

#[cfg(test)]
mod tests;
