//! Resources, changes to them, and the positions and versions that order the changes.

use std::fmt;
use std::sync::Arc;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::name::{ResourceName, ServiceName};

/// The most bytes of a resource's body. Four fit into a frame.
pub const MAX_BODY_BYTES: usize = 60 * 1024;
/// The most bytes of a file's name, a field's name or a problem's text in a message; longer ones are cut.
pub const MAX_TEXT_BYTES: usize = 512;

/// The encoded body of a resource, opaque here. Shared, so cheap to clone.
#[derive(Clone, PartialEq, Eq, Hash, Default)]
pub struct ResourceBody(Arc<[u8]>);

impl ResourceBody {
    /// The bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.0
    }

    /// How many bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether it has none.
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

/// Where an operator wrote a resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The change file, as the control machine names it; at most [`MAX_TEXT_BYTES`].
    #[serde(with = "shared_text")]
    pub file: Arc<str>,
    /// The line, from 1; 0 if unknown.
    pub line: u32,
}

/// A resource as it stands since a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Its name.
    pub name: ResourceName,
    /// The number of the change that last set it.
    pub version: u64,
    /// Where it was written.
    pub origin: Origin,
    /// What it says.
    pub body: ResourceBody,
}

impl Resource {
    /// Bytes that it takes in a message, about; never too few.
    pub fn encoded_size(&self) -> usize {
        self.name.encoded_size() + self.body.len() + self.origin.file.len() + 24
    }
}

/// A change to one resource, or the removal of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// It is now so.
    Set(Resource),
    /// It is no more.
    Remove {
        /// Which.
        name: ResourceName,
        /// The number of the change that removed it.
        version: u64,
    },
    /// Nothing of the service is left. In a change file only: the store makes single removals of it.
    RemoveService {
        /// Which.
        service: ServiceName,
        /// The number of the change that removed it.
        version: u64,
    },
}

impl Change {
    /// The service that it touches.
    pub fn service(&self) -> &ServiceName {
        match self {
            Change::Set(resource) => &resource.name.service,
            Change::Remove { name, .. } => &name.service,
            Change::RemoveService { service, .. } => service,
        }
    }

    /// The number of the change file that it came with.
    pub fn version(&self) -> u64 {
        match self {
            Change::Set(resource) => resource.version,
            Change::Remove { version, .. } | Change::RemoveService { version, .. } => *version,
        }
    }

    /// Bytes that it takes in a message, about; never too few.
    pub fn encoded_size(&self) -> usize {
        match self {
            Change::Set(resource) => resource.encoded_size() + 1,
            Change::Remove { name, .. } => name.encoded_size() + 11,
            Change::RemoveService { service, .. } => service.as_str().len() + 12,
        }
    }
}

/// One change file of the operator's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Its number, one above that of the file before.
    pub number: u64,
    /// Which history: raised by the operator only when an older one is restored or rewritten.
    pub epoch: u32,
    /// What it changes, each resource at most once.
    pub changes: Vec<Change>,
    /// A hash of the file's bytes ([`crate::hash_bytes`]).
    pub hash: u64,
}

/// How far a history has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Which history.
    pub epoch: u32,
    /// The number of the last change; 0 for none.
    pub number: u64,
    /// A running hash over all changes of the history up to that one.
    pub chain: u64,
}

impl Position {
    /// Whether it lies before another: by epoch, then by number.
    pub fn is_before(self, other: Position) -> bool {
        (self.epoch, self.number) < (other.epoch, other.number)
    }

    /// Whether both claim the same place of the same history and yet have read different changes.
    pub fn diverges_from(self, other: Position) -> bool {
        (self.epoch, self.number) == (other.epoch, other.number) && self.chain != other.chain
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{} ({:016x})", self.epoch, self.number, self.chain)
    }
}

/// What one has of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceVersion {
    /// Which service.
    pub service: ServiceName,
    /// The number of the last change that touched it; 0 for none.
    pub version: u64,
    /// The sum of the digests of its resources; 0 for none.
    pub digest: u64,
}

/// What a subscriber found wrong in a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Which resource.
    pub resource: ResourceName,
    /// Where it was written.
    pub origin: Origin,
    /// The field, empty if none in particular; at most [`MAX_TEXT_BYTES`].
    #[serde(with = "shared_text")]
    pub field: Arc<str>,
    /// What is wrong; at most [`MAX_TEXT_BYTES`].
    #[serde(with = "shared_text")]
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

pub(crate) mod shared_text {
    use std::sync::Arc;

    use serde::de::Error as _;
    use serde::{Deserialize, Deserializer, Serializer};

    use super::MAX_TEXT_BYTES;

    pub fn serialize<S: Serializer>(text: &Arc<str>, serializer: S) -> Result<S::Ok, S::Error> {
        let end = (0..=MAX_TEXT_BYTES.min(text.len())).rev().find(|i| text.is_char_boundary(*i));
        serializer.serialize_str(&text[..end.unwrap_or(0)])
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<str>, D::Error> {
        let text = <&str>::deserialize(deserializer)?;
        if text.len() > MAX_TEXT_BYTES {
            return Err(D::Error::custom("text too long"));
        }
        Ok(text.into())
    }
}
