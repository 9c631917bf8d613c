//! Settings for the server lists of a pool.

use sableloom_types::Span;

/// Settings that an operator makes for the server lists of one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct ListSpec {
    /// Name of the pool.
    pub pool: String,
    /// Names of the files of the pool, as the operator wrote them.
    pub files: Vec<String>,
    /// Names of the zones that a server may be in; an empty list allows any zone.
    pub zones: Vec<String>,
    /// Maximum share of the serving servers, from 0 to 1, that one change may take out without stating their number in
    /// `takes_out`.
    pub max_removed_share: f64,
    /// How long a server that the lists leave out drains before its endpoint is removed.
    pub drain_time: Span,
}
