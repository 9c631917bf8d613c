//! May the attempt have run? The one place that says so, whatever the protocol.
//!
//! A transport reports facts: how the attempt ended, whether all of the request has left, and
//! whether the server disowned it. It never judges them. In doubt, an attempt may have run.

use sableloom_types::Outcome;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With the answer made for it, whole.
    Served,
    /// With an answer that says no, or that can't be used: unreadable, too long, spoilt.
    Fault,
    /// Its connection ended or broke before a whole answer.
    Broke,
    /// No connection came up.
    NoConnection,
    /// The transport did not begin it: the request was over, or its server is to get nothing new.
    NotBegun,
    /// Its time was up.
    TimeUp,
    /// The decision module withdrew it.
    Withdrawn,
    /// The request was over, by another attempt's answer or because its client left.
    Over,
}

/// What is known of an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFacts {
    /// How it ended.
    pub ended: Ended,
    /// The last byte of the request has left on a connection. A server begins no request before its
    /// last byte has come.
    pub left_whole: bool,
    /// The server stated that it never ran it: turned away unseen (`X-Never-Ran`), a stream refused
    /// or past the last one processed (RFC 9113, sections 6.8 and 8.7).
    pub not_executed: bool,
}

/// The outcome that the facts prove, or else the one that allows for its having run.
pub fn judge(facts: AttemptFacts) -> Outcome {
    let AttemptFacts { ended, left_whole, not_executed } = facts;
    match (ended, left_whole) {
        (Ended::Served, true) => Outcome::Ok,
        // The server's word counts, but not against an answer that it made.
        _ if not_executed => Outcome::Rejected,
        // An answer to a request that it could not have seen whole is not the one made for it.
        (Ended::Served | Ended::Fault | Ended::Broke | Ended::TimeUp, false) => {
            Outcome::ConnectFailed
        }
        (Ended::NoConnection, false) => Outcome::ConnectFailed,
        (Ended::NotBegun | Ended::Withdrawn | Ended::Over, false) => Outcome::Superseded,
        (Ended::Fault, true) => Outcome::Error,
        (Ended::TimeUp, true) => Outcome::Timeout,
        (Ended::Withdrawn | Ended::Over, true) => Outcome::Cancelled,
        // The last two contradict themselves: then nothing is proven.
        (Ended::Broke | Ended::NoConnection | Ended::NotBegun, true) => Outcome::Reset,
    }
}

#[cfg(test)]
mod tests;
