//! The errors of appending a change file to a store.

use crate::body::MAX_BODY_BYTES;
use crate::name::{MAX_KEY_BYTES, ResourceName, ServiceName};

/// The reason for which a change file was not appended. The store is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The file's number is not one above that of the previous file.
    #[error("change number {found} is out of sequence; expected {expected}")]
    OutOfSequence {
        /// The number of the next file of the log.
        expected: u64,
        /// The file's number.
        found: u64,
    },
    /// The file's epoch is below that of the previous file.
    #[error("epoch {found} is below {current}, the epoch of the previous change")]
    EpochRegression {
        /// The epoch of the previous file.
        current: u32,
        /// The file's epoch.
        found: u32,
    },
    /// The version of a change in the file differs from the file's number.
    #[error("a change in file number {number} has version {found}; expected {number}")]
    VersionMismatch {
        /// The file's number.
        number: u64,
        /// The version of the change.
        found: u64,
    },
    /// The file changes a resource more than once, or removes a service and also changes one of its resources.
    #[error("{0} is changed more than once in one file")]
    DuplicateChange(ResourceName),
    /// The file removes a resource that does not exist.
    #[error("{0} is removed but does not exist")]
    UnknownResource(ResourceName),
    /// The file removes a service that has no resources.
    #[error("service {0} is removed but has no resources")]
    UnknownService(ServiceName),
    /// The body or the key of a resource is too long.
    #[error("{0} is too large: a body has at most {MAX_BODY_BYTES} bytes, a key {MAX_KEY_BYTES}")]
    ResourceTooLarge(ResourceName),
    /// The resources of a service would exceed [`crate::StoreLimits::service_bytes`].
    #[error("service {service} would have {bytes} bytes; at most {max} are allowed")]
    ServiceTooLarge {
        /// The service.
        service: ServiceName,
        /// The estimated bytes that the service would have.
        bytes: usize,
        /// The limit in bytes.
        max: usize,
    },
    /// The store would hold more than [`crate::StoreLimits::services`].
    #[error("the store would have more than {0} services")]
    TooManyServices(usize),
    /// The file exceeds [`crate::StoreLimits::change_bytes`].
    #[error("the change has {bytes} bytes; at most {max} are allowed")]
    ChangeTooLarge {
        /// The estimated bytes of the file's changes.
        bytes: usize,
        /// The limit in bytes.
        max: usize,
    },
}
