//! The configuration of a mirror.

use std::path::PathBuf;
use std::time::Duration;

use sableloom_exchange::Clock;
use sableloom_server_files::Files;
use sableloom_shadow::{ComparisonRules, CopyLimits};
use sableloom_types::Span;
use sableloom_types::settings::DeploymentSettings;
use tokio::sync::OwnedSemaphorePermit;

/// Descriptors of the second thread besides those of its pools: event queue, waker, record.
const DESCRIPTORS_PER_MIRROR: usize = 4;
/// Descriptors of each pool besides its connections: a watch, files that are read.
const DESCRIPTORS_PER_POOL: usize = 4;

/// A pool that receives copies.
pub struct MirroredPool {
    /// Its name.
    pub name: String,
    /// Settings of its policy.
    pub settings: DeploymentSettings,
    /// Its servers.
    pub files: Files,
}

/// The configuration of a mirror.
pub struct MirrorOptions {
    /// The name of the shadow.
    pub name: String,
    /// The live pool's name.
    pub live_pool: String,
    /// The pool that is tested.
    pub candidate: MirroredPool,
    /// A second pool of the live version, which shows differences that are not the candidate's.
    pub control_group: Option<MirroredPool>,
    /// Limits on the cost of copying.
    pub limits: CopyLimits,
    /// How answers are compared.
    pub rules: ComparisonRules,
    /// Names and latency objectives in milliseconds of the classes.
    pub classes: Vec<(String, f64)>,
    /// Time limit of a copy.
    pub copy_timeout: Duration,
    /// How long it takes until a change is visible at every server.
    pub settle: Span,
    /// How long after its failure a change whose outcome is unknown may still take effect.
    pub unknown_outcome_time: Span,
    /// Header fields that are not copied, in lower case.
    pub dropped_headers: Vec<String>,
    /// Whether differing values are recorded.
    pub records_values: bool,
    /// The file of the record.
    pub record_file: PathBuf,
    /// How often the record is written.
    pub record_interval: Duration,
    /// The clock of the live side.
    pub clock: Clock,
    /// The descriptors that it may use, released when it has ended.
    pub descriptors: OwnedSemaphorePermit,
}

impl MirrorOptions {
    /// Number of descriptors that a mirror with this many copies in flight and pools needs.
    pub fn descriptors(in_flight: usize, pools: usize) -> usize {
        DESCRIPTORS_PER_MIRROR + pools * (DESCRIPTORS_PER_POOL + in_flight)
    }
}
