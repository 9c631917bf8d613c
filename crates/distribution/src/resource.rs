//! Resources, and the changes of operators to them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::body::ResourceBody;
use crate::name::{ResourceName, ServiceName};

/// The number of bytes that the variant of a change takes in a message.
const TAG_BYTES: usize = 1;
/// The maximum number of bytes that a version takes in a message.
const VERSION_BYTES: usize = 10;
/// The number of bytes that the estimate of a size counts for the length of a service's name.
const LENGTH_BYTES: usize = 1;
/// The maximum number of bytes that the version, the line and the lengths of a resource take in a message.
const RESOURCE_OVERHEAD_BYTES: usize = 24;

/// The file and the line in which an operator wrote a resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The name of the change file, as the control machine reports it. A message holds at most
    /// [`crate::MAX_TEXT_BYTES`] bytes of it.
    #[serde(with = "crate::bounded_text")]
    pub file: Arc<str>,
    /// The line number; the first line is 1, and 0 stands for an unknown line.
    pub line: u32,
}

/// A resource in the state that the change with the number `version` gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// The full name, which identifies the resource.
    pub name: ResourceName,
    /// The number of the change that last set it.
    pub version: u64,
    /// The place where an operator wrote the resource.
    pub origin: Origin,
    /// The encoded content, which this crate does not interpret.
    pub body: ResourceBody,
}

impl Resource {
    /// Returns an upper estimate of the number of bytes that the resource takes in a message.
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
        /// The name of the removed resource.
        name: ResourceName,
        /// The number of the change that removed the resource.
        version: u64,
    },
    /// All resources of the service are removed. Only an operator's change file may hold this variant: the store
    /// expands it into removals of single resources, and no frame carries it.
    RemoveService {
        /// The name of the service.
        service: ServiceName,
        /// The number of the change that removed the service.
        version: u64,
    },
}

impl Change {
    /// Returns the service that the change touches.
    pub fn service(&self) -> &ServiceName {
        match self {
            Change::Set(resource) => &resource.name.service,
            Change::Remove { name, .. } => &name.service,
            Change::RemoveService { service, .. } => service,
        }
    }

    /// Returns the number of the change file that the change comes from.
    pub fn version(&self) -> u64 {
        match self {
            Change::Set(resource) => resource.version,
            Change::Remove { version, .. } | Change::RemoveService { version, .. } => *version,
        }
    }

    /// Returns an upper estimate of the number of bytes that the change takes in a message.
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
