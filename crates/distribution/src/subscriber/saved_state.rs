//! What a subscriber keeps over a restart.

use serde::{Deserialize, Serialize};

use crate::name::ServiceName;
use crate::position::Position;
use crate::resource::Resource;

/// The state that a restart begins with: the last that was applied. Stored by position: the order of fields is the
/// format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedState {
    /// The furthest position that any control machine has shown.
    pub position: Position,
    /// The services that have been applied.
    pub services: Vec<SavedService>,
}

/// One service of a [`SavedState`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedService {
    /// The service.
    pub service: ServiceName,
    /// The epoch of its version.
    pub epoch: u32,
    /// Its version.
    pub version: u64,
    /// Its digest.
    pub digest: u64,
    /// Its resources.
    pub resources: Vec<Resource>,
}
