//! Resources, and the changes to them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::body::ResourceBody;
use crate::name::{ResourceName, ServiceName};

/// The most bytes of a change's variant in a message.
const TAG_BYTES: usize = 1;
/// The most bytes of a version in a message.
const VERSION_BYTES: usize = 10;
/// Bytes that are counted for the length of a name in a message.
const LENGTH_BYTES: usize = 1;
/// The most bytes of a resource's version, line and lengths in a message.
const RESOURCE_OVERHEAD_BYTES: usize = 24;

/// Where an operator wrote a resource: file and line.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The change file, as the control machine names it; at most [`crate::MAX_TEXT_BYTES`].
    #[serde(with = "crate::bounded_text")]
    pub file: Arc<str>,
    /// The line, from 1; 0 if unknown.
    pub line: u32,
}

/// A resource as the change of number `version` set it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// The resource's name.
    pub name: ResourceName,
    /// The number of the change that last set it.
    pub version: u64,
    /// Where an operator wrote it.
    pub origin: Origin,
    /// The encoded content.
    pub body: ResourceBody,
}

impl Resource {
    /// An upper estimate of the bytes that it takes in a message.
    pub fn encoded_size(&self) -> usize {
        self.name.encoded_size()
            + self.body.len()
            + self.origin.file.len()
            + RESOURCE_OVERHEAD_BYTES
    }
}

/// A change to one resource, or the removal of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The resource is created or replaced.
    Set(Resource),
    /// The resource is removed.
    Remove {
        /// Its name.
        name: ResourceName,
        /// The number of the change that removed it.
        version: u64,
    },
    /// All resources of the service are removed. Only in an operator's change file: the store expands it into single
    /// removals, and no frame carries it.
    RemoveService {
        /// The service.
        service: ServiceName,
        /// The number of the change that removed it.
        version: u64,
    },
}

impl Change {
    /// The service that the change touches.
    pub fn service(&self) -> &ServiceName {
        match self {
            Change::Set(resource) => &resource.name.service,
            Change::Remove { name, .. } => &name.service,
            Change::RemoveService { service, .. } => service,
        }
    }

    /// The number of the change file that the change came with.
    pub fn version(&self) -> u64 {
        match self {
            Change::Set(resource) => resource.version,
            Change::Remove { version, .. } | Change::RemoveService { version, .. } => *version,
        }
    }

    /// An upper estimate of the bytes that it takes in a message.
    pub fn encoded_size(&self) -> usize {
        match self {
            Change::Set(resource) => resource.encoded_size() + TAG_BYTES,
            Change::Remove { name, .. } => name.encoded_size() + TAG_BYTES + VERSION_BYTES,
            Change::RemoveService { service, .. } => {
                service.as_str().len() + LENGTH_BYTES + TAG_BYTES + VERSION_BYTES
            }
        }
    }
}
