//! A change file: the operators' unit of change, one numbered file of a log.

use sableloom_distribution::{ResourceName, ServiceName};

use crate::body::Body;

/// The effect of one entry of a change file.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Creates or replaces a resource.
    Set {
        /// The name of the resource.
        name: ResourceName,
        /// The body of the resource.
        body: Box<Body>,
    },
    /// Removes a resource.
    Remove(ResourceName),
    /// Removes a service with all of its resources.
    RemoveService(ServiceName),
}

impl Edit {
    /// The service that the edit touches.
    pub fn service(&self) -> &ServiceName {
        match self {
            Edit::Set { name, .. } | Edit::Remove(name) => &name.service,
            Edit::RemoveService(service) => service,
        }
    }
}

/// An entry of a change file.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeEntry {
    /// The effect of the entry.
    pub edit: Edit,
    /// The line in which the entry begins, from 1.
    pub line: u32,
    /// The table of the entry, as in `server[3]`.
    pub field: String,
}

/// A change file that is valid by itself. [`ChangeFile::resolve`] checks it against the existing resources.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeFile {
    /// The name of the file.
    pub file: String,
    /// The number of the file in the log.
    pub number: u64,
    /// The epoch of the log.
    pub epoch: u32,
    /// The entries, by kind of table and then in the order of the file.
    pub entries: Vec<ChangeEntry>,
    /// A hash of the file's bytes, the same in every process.
    pub hash: u64,
}
