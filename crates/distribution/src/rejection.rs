//! The problems for which a subscriber rejects a transaction.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::ResourceName;
use crate::resource::Origin;

/// A problem that a subscriber has found in a resource. The subscriber applies nothing of the transaction
/// that sets the resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The name of the resource.
    pub resource: ResourceName,
    /// The place where an operator wrote the resource.
    pub origin: Origin,
    /// The name of the field, or empty if the problem is not in a single field. A message holds at most
    /// [`crate::MAX_TEXT_BYTES`] bytes of it.
    #[serde(with = "crate::bounded_text")]
    pub field: Arc<str>,
    /// A description of the problem. A message holds at most [`crate::MAX_TEXT_BYTES`] bytes of it.
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
