//! The state that a subscriber keeps across a restart.

use serde::{Deserialize, Serialize};

use crate::name::ServiceName;
use crate::position::Position;
use crate::resource::Resource;

/// The last applied state, with which a subscriber starts again. Its encoding holds no names: the order of fields is
/// the format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedState {
    /// The latest position that any control machine has reported.
    pub position: Position,
    /// The services of which a version has been applied.
    pub services: Vec<SavedService>,
}

/// One service of a [`SavedState`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedService {
    /// The name of the service.
    pub service: ServiceName,
    /// The epoch of the log to which the version belongs.
    pub epoch: u32,
    /// The number of the last change that touched the service.
    pub version: u64,
    /// The wrapping sum of [`crate::resource_digest`] over the resources.
    pub digest: u64,
    /// All resources of the service.
    pub resources: Vec<Resource>,
}
