//! Names of services, subscribers and resources, checked where they are made and where they are read.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The most bytes of a service's or subscriber's name.
pub const MAX_NAME_BYTES: usize = 128;
/// The most bytes of a resource's key (a server's id, a route's name).
pub const MAX_KEY_BYTES: usize = 256;

/// Why a text is no name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// It has no bytes.
    #[error("a name may not be empty")]
    Empty,
    /// It is longer than [`MAX_NAME_BYTES`].
    #[error("a name has at most {MAX_NAME_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    /// It has a character other than `a-z`, `0-9`, `.`, `_` and `-`.
    #[error("a name is made of a-z, 0-9, '.', '_' and '-', not {0:?}")]
    Character(char),
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
        Some(c) => Err(NameError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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
                // Borrowed, so that nothing is allocated before the length has been checked.
                let text = <&str>::deserialize(deserializer)?;
                Self::try_from(text).map_err(D::Error::custom)
            }
        }
    };
}

checked_name! {
    /// The name of a service: 1 to [`MAX_NAME_BYTES`] bytes of `a-z`, `0-9`, `.`, `_` and `-`. Cheap to clone.
    ServiceName
}

checked_name! {
    /// The name of a subscriber, by the same rule as [`ServiceName`].
    SubscriberName
}

/// What a resource is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ResourceKind {
    /// Settings of a service's pool; one a service, with an empty key.
    Pool,
    /// A server of the pool; the key is its id.
    Server,
    /// A route to the pool; the key is its name.
    Route,
    /// The limit of a tenant of the service; the key is the tenant's name.
    Tenant,
}

/// The full name of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResourceName {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// What it is.
    pub kind: ResourceKind,
    /// Empty for a pool, a server's id, a route's or tenant's name; at most [`MAX_KEY_BYTES`].
    #[serde(with = "key_text")]
    pub key: Arc<str>,
}

impl ResourceName {
    /// A service's pool.
    pub fn pool(service: ServiceName) -> Self {
        ResourceName { service, kind: ResourceKind::Pool, key: "".into() }
    }

    /// A server of a service.
    pub fn server(service: ServiceName, id: &str) -> Self {
        ResourceName { service, kind: ResourceKind::Server, key: id.into() }
    }

    /// A route to a service.
    pub fn route(service: ServiceName, name: &str) -> Self {
        ResourceName { service, kind: ResourceKind::Route, key: name.into() }
    }

    /// The limit of a tenant of a service.
    pub fn tenant(service: ServiceName, name: &str) -> Self {
        ResourceName { service, kind: ResourceKind::Tenant, key: name.into() }
    }

    /// Bytes that it takes in a message, about.
    pub fn encoded_size(&self) -> usize {
        self.service.as_str().len() + self.key.len() + 5
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

mod key_text {
    use std::sync::Arc;

    use serde::de::Error as _;
    use serde::{Deserialize, Deserializer, Serializer};

    use super::MAX_KEY_BYTES;

    pub fn serialize<S: Serializer>(key: &Arc<str>, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(key)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<str>, D::Error> {
        let text = <&str>::deserialize(deserializer)?;
        if text.len() > MAX_KEY_BYTES {
            return Err(D::Error::custom("key too long"));
        }
        Ok(text.into())
    }
}
