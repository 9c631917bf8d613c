//! Why a change file can't be appended to a store.

use crate::body::MAX_BODY_BYTES;
use crate::name::{MAX_KEY_BYTES, ResourceName, ServiceName};

/// Why a change file was not appended. Nothing of it has been applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The file's number is not one above that of the file before.
    #[error("change {found} does not follow, expected {expected}")]
    OutOfSequence {
        /// The number that is expected.
        expected: u64,
        /// The file's number.
        found: u64,
    },
    /// The file's epoch is below that of the file before.
    #[error("epoch {found} is below {current}")]
    EpochRegression {
        /// The epoch of the file before.
        current: u32,
        /// The file's epoch.
        found: u32,
    },
    /// A change of the file has another version than the file's number.
    #[error("version {found} in change {number}")]
    VersionMismatch {
        /// The file's number.
        number: u64,
        /// The version of the change.
        found: u64,
    },
    /// The file names a resource twice, or removes a service that it also changes.
    #[error("{0} is changed twice")]
    DuplicateChange(ResourceName),
    /// The file removes a resource that does not exist.
    #[error("{0} is removed and was not there")]
    UnknownResource(ResourceName),
    /// The file removes a service that has no resource.
    #[error("service {0} is removed and was not there")]
    UnknownService(ServiceName),
    /// A body or key is too long.
    #[error("{0} is too large: a body has at most {MAX_BODY_BYTES} bytes, a key {MAX_KEY_BYTES}")]
    ResourceTooLarge(ResourceName),
    /// A service would exceed [`crate::StoreLimits::service_bytes`].
    #[error("service {service} would have {bytes} bytes, at most {max}")]
    ServiceTooLarge {
        /// The service.
        service: ServiceName,
        /// The bytes that it would have.
        bytes: usize,
        /// The limit.
        max: usize,
    },
    /// There would be more than [`crate::StoreLimits::services`].
    #[error("more than {0} services")]
    TooManyServices(usize),
    /// The file exceeds [`crate::StoreLimits::change_bytes`].
    #[error("a change of {bytes} bytes, at most {max}")]
    ChangeTooLarge {
        /// The bytes of its changes.
        bytes: usize,
        /// The limit.
        max: usize,
    },
}
