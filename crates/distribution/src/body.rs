//! The encoded body of a resource.

use std::fmt;
use std::sync::Arc;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The maximum length of a resource's body in bytes. A change is not split over several messages, so that a body must
/// fit into a frame; four of this length do.
pub const MAX_BODY_BYTES: usize = 60 * 1024;

/// The encoded body of a resource, opaque to this crate. A clone shares the bytes. Decoding a message rejects a body
/// over [`MAX_BODY_BYTES`]; other constructors don't check the length.
#[derive(Clone, PartialEq, Eq, Hash, Default)]
pub struct ResourceBody(Arc<[u8]>);

impl ResourceBody {
    /// Returns the bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.0
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<Vec<u8>> for ResourceBody {
    fn from(bytes: Vec<u8>) -> Self {
        ResourceBody(bytes.into())
    }
}

impl From<&[u8]> for ResourceBody {
    fn from(bytes: &[u8]) -> Self {
        ResourceBody(bytes.into())
    }
}

impl AsRef<[u8]> for ResourceBody {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for ResourceBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.0.len())
    }
}

impl Serialize for ResourceBody {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ResourceBody {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = <&[u8]>::deserialize(deserializer)?;
        if bytes.len() > MAX_BODY_BYTES {
            return Err(D::Error::custom("body too long"));
        }
        Ok(ResourceBody(bytes.into()))
    }
}
