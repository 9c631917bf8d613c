//! Results of reading files, and the result of offering them.

use std::sync::Arc;

use sableloom_toml_diagnostics::Problem;

use crate::list_change::ListChange;
use crate::server_record::ServerListing;

/// Result of reading one file: the listing of the file, or all problems of the file.
pub type ReadResult = Result<Arc<ServerListing>, Vec<Problem>>;

/// A list that was accepted and put in force.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedList {
    /// Number of the list in this process, counted from 1.
    pub revision: u64,
    /// Hash of the contents of the files. Every process computes the same hash for the same contents.
    pub hash: String,
    /// Differences to the list that was in force before.
    pub changes: Vec<ListChange>,
}

/// Result of offering files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OfferResult {
    /// The list that was put in force; `None` if nothing changed or the list was rejected.
    pub applied: Option<AppliedList>,
    /// Problems for which files or the combined list were rejected. The last accepted listings stay in force.
    pub problems: Vec<Problem>,
    /// A message with the versions of files, if files state different versions. Files that state a version are not
    /// applied until all versions agree.
    pub version_mismatch: Option<String>,
}
