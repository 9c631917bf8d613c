//! The files that a pool's servers are read from.

use std::path::PathBuf;
use std::time::Duration;

use sableloom_server_list::ListSpec;

/// A pool's files.
#[derive(Clone, Debug)]
pub struct Files {
    /// Their settings.
    pub spec: ListSpec,
    /// The files' paths, in the order of the spec's names.
    pub paths: Vec<PathBuf>,
    /// How often the files are read again without a notification of a change.
    pub reread_interval: Duration,
}
