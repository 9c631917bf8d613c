//! Positions in a log, and the versions of services.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name::ServiceName;

/// How far a log has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position {
    /// The epoch of the log.
    pub epoch: u32,
    /// The number of the last change; 0 for none.
    pub number: u64,
    /// A running hash over all changes of the log up to that one.
    pub chain: u64,
}

impl Position {
    /// Whether the position lies before another: by epoch, then by number.
    pub fn is_before(self, other: Position) -> bool {
        (self.epoch, self.number) < (other.epoch, other.number)
    }

    /// Whether both claim the same place of the same log although different changes were read.
    pub fn diverges_from(self, other: Position) -> bool {
        (self.epoch, self.number) == (other.epoch, other.number) && self.chain != other.chain
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{} ({:016x})", self.epoch, self.number, self.chain)
    }
}

/// The version and the digest of a service, as a store has it or a subscriber has applied it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceVersion {
    /// The service.
    pub service: ServiceName,
    /// The number of the last change that touched it; 0 for none.
    pub version: u64,
    /// The sum of the digests of its resources; 0 for none.
    pub digest: u64,
}
