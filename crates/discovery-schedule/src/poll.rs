//! One poll of discovery: what is asked, and how it ended.

use sableloom_types::{Span, Time};

/// A poll to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// How long discovery is asked to wait for a change; `None` for the full list at once.
    pub wait: Option<Span>,
    /// After this the poll counts as silent.
    pub deadline: Time,
    /// When to hedge it: to make the same poll again beside it, on a connection of its own.
    pub hedge_at: Option<Time>,
}

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// With an answer.
    Answered {
        /// Whether it has entries, or another version.
        changed: bool,
    },
    /// No byte of an answer came by its deadline.
    Silent,
    /// It was rejected, its connection was lost, or its answer can't be used.
    Failed,
}
