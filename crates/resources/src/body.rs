//! The typed bodies of resources and their encoding.

use sableloom_distribution::ResourceKind;
use sableloom_site_config::PoolSettings;
use serde::Deserialize;

use crate::route_rule::RouteRule;
use crate::server_entry::ServerEntry;
use crate::tenant::TenantLimit;

/// The version of the encoding, which is the first byte of each body. A body of another version is not decoded.
pub const FORMAT_VERSION: u8 = 1;

/// The body of a resource.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// The settings of a service's pool.
    Pool(PoolSettings),
    /// A server.
    Server(ServerEntry),
    /// A route.
    Route(RouteRule),
    /// The rate limit of a tenant.
    Tenant(TenantLimit),
}

/// Why a body can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// There are no bytes.
    #[error("an empty body")]
    Empty,
    /// The body has another version of the encoding.
    #[error("a body in version {0} of the encoding; this program knows {FORMAT_VERSION}")]
    Version(u8),
    /// The bytes are no body of this kind.
    #[error("a malformed body")]
    Malformed,
    /// There are bytes after the body.
    #[error("{0} bytes after the body")]
    Trailing(usize),
}

impl Body {
    /// The kind of the resources that have such a body.
    pub fn kind(&self) -> ResourceKind {
        match self {
            Body::Pool(_) => ResourceKind::Pool,
            Body::Server(_) => ResourceKind::Server,
            Body::Route(_) => ResourceKind::Route,
            Body::Tenant(_) => ResourceKind::Tenant,
        }
    }

    /// Encodes the body: the version of the encoding, then the body in postcard.
    pub fn encode(&self) -> Vec<u8> {
        let start = vec![FORMAT_VERSION];
        let encoded = match self {
            Body::Pool(pool) => postcard::to_extend(pool, start),
            Body::Server(server) => postcard::to_extend(server, start),
            Body::Route(route) => postcard::to_extend(route, start),
            Body::Tenant(limit) => postcard::to_extend(limit, start),
        };
        // Plain values can always be appended to a vector.
        encoded.unwrap_or_default()
    }

    /// Decodes the body of a resource of this kind.
    ///
    /// # Errors
    ///
    /// If the bytes are not exactly one body of this kind and of [`FORMAT_VERSION`].
    pub fn decode(kind: ResourceKind, bytes: &[u8]) -> Result<Self, BodyError> {
        let (version, rest) = bytes.split_first().ok_or(BodyError::Empty)?;
        if *version != FORMAT_VERSION {
            return Err(BodyError::Version(*version));
        }
        match kind {
            ResourceKind::Pool => decode_exactly(rest).map(Body::Pool),
            ResourceKind::Server => decode_exactly(rest).map(Body::Server),
            ResourceKind::Route => decode_exactly(rest).map(Body::Route),
            ResourceKind::Tenant => decode_exactly(rest).map(Body::Tenant),
        }
    }
}

fn decode_exactly<'b, T: Deserialize<'b>>(bytes: &'b [u8]) -> Result<T, BodyError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(BodyError::Trailing(rest.len())),
        Err(_) => Err(BodyError::Malformed),
    }
}
