//! One poll of discovery: its request and its outcome.

use sableloom_types::{Span, Time};

/// A poll that is to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// How long discovery is asked to wait for a change; `None` for the full list at once.
    pub wait: Option<Span>,
    /// The time after which the poll counts as silent.
    pub deadline: Time,
    /// When to hedge the poll, that is, to make the same poll again on a connection of its own; `None` for no hedge.
    pub hedge_at: Option<Time>,
}

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// An answer arrived.
    Answered {
        /// Whether the answer has entries, or another version of the list.
        changed: bool,
    },
    /// No byte of an answer arrived by the deadline.
    Silent,
    /// The poll was rejected, its connection was lost, or its answer can't be used.
    Failed,
}
