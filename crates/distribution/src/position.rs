//! Positions in the operators' log, and the versions of services.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name::ServiceName;

/// The position up to which a log has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position {
    /// The epoch of the log; the operators raise it when they restore or rewrite an older log.
    pub epoch: u32,
    /// The number of the last change that has been read; 0 for none.
    pub number: u64,
    /// A running hash over all changes of the log up to this one ([`crate::next_chain_hash`]).
    pub chain: u64,
}

impl Position {
    /// Returns whether the position is before another, by epoch and then by number.
    pub fn is_before(self, other: Position) -> bool {
        (self.epoch, self.number) < (other.epoch, other.number)
    }

    /// Returns whether both positions have the same epoch and number although different changes were read up to there.
    pub fn diverges_from(self, other: Position) -> bool {
        (self.epoch, self.number) == (other.epoch, other.number) && self.chain != other.chain
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{} ({:016x})", self.epoch, self.number, self.chain)
    }
}

/// The version and the digest of a service, in a store or as a subscriber has applied it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceVersion {
    /// The name of the service.
    pub service: ServiceName,
    /// The number of the last change that touched the service; 0 for none.
    pub version: u64,
    /// The wrapping sum of [`crate::resource_digest`] over the resources of the service; 0 if it has none.
    pub digest: u64,
}
