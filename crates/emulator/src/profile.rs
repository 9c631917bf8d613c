//! The capacity, limits and warm-up of a node, and its faults.

use sableloom_types::Span;

use crate::cores::NodeCapacity;

/// The capacity, limits and warm-up of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeProfile {
    /// Its capacity when warm.
    pub capacity: NodeCapacity,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Work of a new connection, in microseconds of a core of speed 1.
    pub handshake: f64,
    /// Share of its capacity right after a start.
    pub slow_start_initial_share: f64,
    /// Time until it is warm; its capacity grows linearly.
    pub slow_start: Span,
    /// A cold node crashes when the work that it is sent in a window exceeds so many times what it can do then.
    pub overload_factor: f64,
    /// The length of that window.
    pub overload_window: Span,
    /// Maximum number of cached keys.
    pub cached_keys: usize,
    /// How long a key stays cached.
    pub cached_key_time: Span,
    /// Share of the work that a cached key saves.
    pub cached_key_saving: f64,
    /// Whether a queued request is dropped when its client has gone.
    pub drops_abandoned: bool,
    /// Mean work of a request, in microseconds of a core of speed 1. If given, the node crashes only beyond
    /// what is attributed to chance (see `Node::excess`); 0 if unknown.
    pub mean_work: f64,
}

impl NodeProfile {
    /// A node with the middle values of the operators' figures.
    pub fn of(capacity: NodeCapacity) -> Self {
        Self {
            capacity,
            connections: 160,
            handshake: 2250.0,
            slow_start_initial_share: 0.13,
            slow_start: Span(24_000_000),
            overload_factor: 3.0,
            overload_window: Span(1_500_000),
            cached_keys: 2000,
            cached_key_time: Span(5_000_000),
            cached_key_saving: 0.5,
            drops_abandoned: true,
            mean_work: 0.0,
        }
    }
}

/// A fault of a node for a class. The shares add up to at most 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Factor on the work.
    pub slower: f64,
    /// Share that is answered with an error at once.
    pub failing: f64,
    /// Share with an invalid answer.
    pub spoilt: f64,
    /// Share whose answer ends early.
    pub cut: f64,
}

impl Default for Fault {
    fn default() -> Self {
        Self { slower: 1.0, failing: 0.0, spoilt: 0.0, cut: 0.0 }
    }
}
