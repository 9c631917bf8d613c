//! Typed bodies of resources and their encoding.

use std::net::SocketAddr;

use sableloom_distribution::ResourceKind;
use sableloom_routes::{HeaderCondition, HostPattern, PathPattern, Rule};
use sableloom_server_list::State;
use sableloom_site_config::PoolSettings;
use serde::{Deserialize, Serialize};

use crate::tenant::TenantLimit;

/// Version of the encoding; the first byte of each body. A body of another version is refused.
pub const FORMAT_VERSION: u8 = 1;

/// What a server is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes requests.
    Serving,
    /// It finishes the requests that it has.
    Draining,
}

impl From<State> for ServerState {
    fn from(state: State) -> Self {
        match state {
            State::Serving => ServerState::Serving,
            State::Draining => ServerState::Draining,
        }
    }
}

impl From<ServerState> for State {
    fn from(state: ServerState) -> Self {
        match state {
            ServerState::Serving => State::Serving,
            ServerState::Draining => State::Draining,
        }
    }
}

/// A server of a pool. Its id is the key of its resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Where it is.
    pub address: SocketAddr,
    /// Its zone, if any.
    pub zone: Option<String>,
    /// Its relative size; one of 0 gets no requests.
    pub weight: f64,
    /// What it is to do.
    pub state: ServerState,
    /// When it last started, in Unix milliseconds, if that is stated.
    pub started_ms: Option<i64>,
}

/// A route to a service, or a refusal. Its name is the key of its resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Order among all routes, lower first; equal ranks are ordered by service, then by name.
    pub rank: u32,
    /// Hosts.
    pub hosts: Vec<HostPattern>,
    /// Paths.
    pub paths: Vec<PathPattern>,
    /// Methods.
    pub methods: Vec<String>,
    /// Headers; every one of them must be there.
    pub headers: Vec<HeaderCondition>,
    /// Names of classes; none for all. A balancer's site says which there are.
    pub classes: Vec<String>,
    /// Refuses what the route takes with this status of HTTP; otherwise it leads to the service's pool.
    pub refusal_status: Option<u16>,
}

impl RouteRule {
    /// The rule as routes are compiled from it; `classes` are those of the balancer's site in their order.
    /// Fails with the first class that is not among them.
    pub fn to_rule(&self, classes: &[&str]) -> Result<Rule, UnknownClass> {
        let index = |name: &String| {
            let position = classes.iter().position(|class| class == name);
            position.ok_or_else(|| UnknownClass(name.clone()))
        };
        Ok(Rule {
            hosts: self.hosts.clone(),
            paths: self.paths.clone(),
            methods: self.methods.clone(),
            headers: self.headers.clone(),
            classes: self.classes.iter().map(index).collect::<Result<_, _>>()?,
        })
    }
}

/// A route names a class that the balancer's site does not have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no class {0:?}")]
pub struct UnknownClass(pub String);

/// The body of a resource.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Settings of a service's pool.
    Pool(PoolSettings),
    /// A server.
    Server(ServerEntry),
    /// A route.
    Route(RouteRule),
    /// The limit of a tenant.
    Tenant(TenantLimit),
}

/// Why a body can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// There is nothing.
    #[error("an empty body")]
    EmptyInventory,
    /// It is in a version of the encoding that this program does not know.
    #[error("a body in version {0} of the encoding; this program knows {FORMAT_VERSION}")]
    Version(u8),
    /// The bytes are no body of its kind.
    #[error("a malformed body")]
    Malformed,
    /// More bytes than the body has.
    #[error("{0} bytes after the body")]
    Trailing(usize),
}

impl Body {
    /// The kind of resource that has such a body.
    pub fn kind(&self) -> ResourceKind {
        match self {
            Body::Pool(_) => ResourceKind::Pool,
            Body::Server(_) => ResourceKind::Server,
            Body::Route(_) => ResourceKind::Route,
            Body::Tenant(_) => ResourceKind::Tenant,
        }
    }

    /// The bytes: the version of the encoding, then the body in postcard.
    pub fn encode(&self) -> Vec<u8> {
        let start = vec![FORMAT_VERSION];
        let encoded = match self {
            Body::Pool(pool) => postcard::to_extend(pool, start),
            Body::Server(server) => postcard::to_extend(server, start),
            Body::Route(route) => postcard::to_extend(route, start),
            Body::Tenant(limit) => postcard::to_extend(limit, start),
        };
        // Appending to a vector of plain values has no way to fail.
        encoded.unwrap_or_default()
    }

    /// The body of a resource of this kind.
    pub fn decode(kind: ResourceKind, bytes: &[u8]) -> Result<Self, BodyError> {
        let (version, rest) = bytes.split_first().ok_or(BodyError::EmptyInventory)?;
        if *version != FORMAT_VERSION {
            return Err(BodyError::Version(*version));
        }
        match kind {
            ResourceKind::Pool => whole(rest).map(Body::Pool),
            ResourceKind::Server => whole(rest).map(Body::Server),
            ResourceKind::Route => whole(rest).map(Body::Route),
            ResourceKind::Tenant => whole(rest).map(Body::Tenant),
        }
    }
}

fn whole<'b, T: Deserialize<'b>>(bytes: &'b [u8]) -> Result<T, BodyError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(BodyError::Trailing(rest.len())),
        Err(_) => Err(BodyError::Malformed),
    }
}
