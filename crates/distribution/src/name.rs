//! Names of services, subscribers and resources. They are validated when they are created and when they are decoded.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The maximum length of the name of a service or a subscriber, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The maximum length of a resource's key (for instance a server's id or a route's name), in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// The maximum number of bytes that the kind and the two lengths of a [`ResourceName`] take in a message.
const ENCODING_OVERHEAD_BYTES: usize = 5;

/// Why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name may not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("a name has at most {MAX_NAME_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    /// The text has a character other than `a-z`, `0-9`, `.`, `_` and `-`.
    #[error("a name is made of a-z, 0-9, '.', '_' and '-', not {0:?}")]
    InvalidCharacter(char),
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '.' | '_' | '-');
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(NameError::InvalidCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                // The text is borrowed: nothing is allocated for a name before its length has been checked.
                let text = <&str>::deserialize(deserializer)?;
                Self::try_from(text).map_err(D::Error::custom)
            }
        }
    };
}

checked_name! {
    /// The name of a service: 1 to [`MAX_NAME_BYTES`] bytes of `a-z`, `0-9`, `.`, `_` and `-`. A clone shares the
    /// text.
    ServiceName
}

checked_name! {
    /// The name of a subscriber, with the same length and characters as a [`ServiceName`].
    SubscriberName
}

/// The kind of a resource. Frames and saved states hold the index of the variant: the order must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ResourceKind {
    /// The settings of the service's pool. There is at most one per service, and its key is empty.
    Pool,
    /// A server of the pool; the key is the server's id.
    Server,
    /// A route to the pool; the key is the route's name.
    Route,
    /// The rate limit of a tenant of the service; the key is the tenant's name.
    Tenant,
}

/// The full name of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResourceName {
    /// The service that the resource belongs to.
    pub service: ServiceName,
    /// The kind of the resource.
    pub kind: ResourceKind,
    /// The key within the service and kind: empty for a pool, otherwise the id of the server or the name of the route
    /// or tenant. It has at most [`MAX_KEY_BYTES`] bytes.
    #[serde(with = "key_text")]
    pub key: Arc<str>,
}

impl ResourceName {
    /// Returns the name of a service's pool.
    pub fn pool(service: ServiceName) -> Self {
        ResourceName { service, kind: ResourceKind::Pool, key: "".into() }
    }

    /// Returns the name of a server with an id.
    pub fn server(service: ServiceName, id: &str) -> Self {
        ResourceName { service, kind: ResourceKind::Server, key: id.into() }
    }

    /// Returns the name of a route to a service.
    pub fn route(service: ServiceName, name: &str) -> Self {
        ResourceName { service, kind: ResourceKind::Route, key: name.into() }
    }

    /// Returns the name of the rate limit of a tenant.
    pub fn tenant(service: ServiceName, name: &str) -> Self {
        ResourceName { service, kind: ResourceKind::Tenant, key: name.into() }
    }

    /// Returns an upper bound of the number of bytes that the name takes in a message.
    pub fn encoded_size(&self) -> usize {
        self.service.as_str().len() + self.key.len() + ENCODING_OVERHEAD_BYTES
    }
}

impl fmt::Display for ResourceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            ResourceKind::Pool => write!(f, "pool {}", self.service),
            ResourceKind::Server => write!(f, "server {} of {}", self.key, self.service),
            ResourceKind::Route => write!(f, "route {} of {}", self.key, self.service),
            ResourceKind::Tenant => write!(f, "tenant {} of {}", self.key, self.service),
        }
    }
}

/// The encoding of a key in a message. Decoding checks the length before it allocates the key.
mod key_text {
    use std::sync::Arc;

    use serde::de::Error as _;
    use serde::{Deserialize, Deserializer, Serializer};

    use super::MAX_KEY_BYTES;

    pub(super) fn serialize<S: Serializer>(
        key: &Arc<str>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(key)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<str>, D::Error> {
        let text = <&str>::deserialize(deserializer)?;
        if text.len() > MAX_KEY_BYTES {
            return Err(D::Error::custom("key too long"));
        }
        Ok(text.into())
    }
}
