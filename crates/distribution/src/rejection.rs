//! Why a subscriber does not apply a resource.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::ResourceName;
use crate::resource::Origin;

/// A problem that a subscriber found in a resource; the transaction that set the resource is not applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The resource.
    pub resource: ResourceName,
    /// Where an operator wrote it.
    pub origin: Origin,
    /// The field, empty if the problem is of no single field; at most [`crate::MAX_TEXT_BYTES`].
    #[serde(with = "crate::bounded_text")]
    pub field: Arc<str>,
    /// What is wrong; at most [`crate::MAX_TEXT_BYTES`].
    #[serde(with = "crate::bounded_text")]
    pub problem: Arc<str>,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.origin.file, self.origin.line, self.resource)?;
        if !self.field.is_empty() {
            write!(f, ", {}", self.field)?;
        }
        write!(f, ": {}", self.problem)
    }
}
