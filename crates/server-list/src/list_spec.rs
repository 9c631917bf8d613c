//! The settings of a pool's lists.

use sableloom_types::Span;

/// What an operator has set for a pool's lists.
#[derive(Clone, Debug, PartialEq)]
pub struct ListSpec {
    /// The pool's name.
    pub pool: String,
    /// Its files, as the operator named them.
    pub files: Vec<String>,
    /// Names of the zones that a server may be in; none if any will do.
    pub zones: Vec<String>,
    /// The largest share of the serving servers that one change takes out unless it says so.
    pub max_removed_share: f64,
    /// How long a server that a list leaves out is kept as draining.
    pub drain_time: Span,
}
