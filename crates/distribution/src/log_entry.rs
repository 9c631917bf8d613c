//! The entries of the operators' log.

use crate::resource::Change;

/// One change file of the operators' log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The number of the file, one above that of the previous file.
    pub number: u64,
    /// The epoch of the log, raised by the operators only when an older log is restored or rewritten.
    pub epoch: u32,
    /// The changes; each is of a different resource.
    pub changes: Vec<Change>,
    /// A hash of the file's bytes ([`crate::hash_bytes`]).
    pub hash: u64,
}
