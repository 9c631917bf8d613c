//! Shadow traffic: copies of a pool's requests to a candidate that is compared with it.

mod compare;
mod read;
mod settings;

use sableloom_shadow::{ComparisonRules, CopyLimits};

use crate::location::SourceLocation;
use crate::pool::Pool;

pub(crate) use read::{ShadowSections, read_shadows};

/// Copies of a pool's idempotent requests to a candidate; times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Shadow {
    /// Its name.
    pub name: String,
    /// The live pool, by index.
    pub live_pool: usize,
    /// The pool that gets copies. No route leads to it.
    pub candidate: Pool,
    /// The control group: a pool that gets the same copies and runs what the live pool runs.
    pub control_group: Option<Pool>,
    /// Limits on the cost of copying; the seed is this process's own.
    pub limits: CopyLimits,
    /// How responses are compared.
    pub rules: ComparisonRules,
    /// Timeout of a copy.
    pub timeout_ms: f64,
    /// How long it takes until every server sees a change of data.
    pub settle_ms: f64,
    /// Header fields of requests that are not copied.
    pub dropped_headers: Vec<String>,
    /// Whether values that differ are written to the record.
    pub records_values: bool,
    /// The file that the record is written to, relative to the site's folder.
    pub record_file: String,
    /// How often the record is written.
    pub record_interval_ms: f64,
    /// Where it is written.
    pub location: SourceLocation,
}

impl Shadow {
    /// The pools that get its copies.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        std::iter::once(&self.candidate).chain(&self.control_group)
    }
}
