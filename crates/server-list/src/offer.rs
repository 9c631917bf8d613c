//! Readings of files that are offered, and the result.

use std::sync::Arc;

use sableloom_toml_diagnostics::Problem;

use crate::list_change::ListChange;
use crate::server_record::ServerListing;

/// What came of reading a file.
pub type ReadResult = Result<Arc<ServerListing>, Vec<Problem>>;

/// A change that is accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedList {
    /// The list's number in this process, from 1.
    pub revision: u64,
    /// A hash of the files' contents, the same in every process.
    pub hash: String,
    /// What it did.
    pub changes: Vec<ListChange>,
}

/// The result of offering files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OfferResult {
    /// The change, if one was accepted.
    pub applied: Option<AppliedList>,
    /// What was refused, and why. The last good list stays in force.
    pub problems: Vec<Problem>,
    /// Files that belong together say different versions: the rest is awaited.
    pub version_mismatch: Option<String>,
}
