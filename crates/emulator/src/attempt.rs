//! An attempt as it arrives at a node, and how it ended there.

use sableloom_types::Span;

/// One attempt as it arrives.
#[derive(Clone, Debug)]
pub struct NodeRequest<I> {
    /// The request's id.
    pub id: I,
    /// The attempt's number, of the shell's choosing and used once.
    pub attempt: u64,
    /// Its class.
    pub class: usize,
    /// Work in microseconds of a core of speed 1.
    pub work: f64,
    /// How long it waits for other systems while it holds its slot.
    pub wait: Span,
    /// Its key.
    pub key: Option<u64>,
    /// Whether it has an effect, so that its executions are counted.
    pub effect: bool,
    /// Uniform from 0 to 1: decides which fault of its class affects it.
    pub draw: f64,
}

/// How an attempt ended at the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A good answer.
    Served,
    /// An error; it may have run.
    Error,
    /// An invalid answer.
    Invalid,
    /// An answer that ends early.
    Truncated,
    /// Rejected without running.
    Rejected,
    /// The node went down, and the connection with it.
    Reset,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The attempt.
    pub attempt: u64,
    /// How it ended.
    pub outcome: AttemptOutcome,
}
