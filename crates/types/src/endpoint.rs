//! Endpoints: the servers that an endpoint source lists, and the kinds of list updates.

use std::net::SocketAddr;

use crate::Time;

/// The caller's handle for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Takes requests.
    Live,
    /// Finishes the requests that it has; gets no new ones.
    Draining,
    /// Withdrawn from the list.
    Gone,
}

/// An endpoint as the policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The caller's handle.
    pub id: ServerId,
    /// A hash of its name that is the same at every balancer.
    pub name_hash: u64,
    /// Its zone, by index.
    pub zone: u32,
    /// Its machine kind, by index.
    pub machine_type: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub status: EndpointStatus,
    /// Relative size; 1 where unknown.
    pub weight: f64,
    /// When it last started, if it may still be warming up.
    pub started: Option<Time>,
}

/// An endpoint as a source lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Its name, the same for as long as it is the same machine.
    pub id: Box<str>,
    /// Its network address.
    pub address: SocketAddr,
    /// Its zone, named as in the settings.
    pub zone: Box<str>,
    /// Its machine kind, named as in the settings.
    pub machine_type: Box<str>,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub status: EndpointStatus,
    /// Its relative size.
    pub size: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub up_since_ms: f64,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed endpoints only.
    Update,
    /// The full list.
    Full,
    /// The full list as last cached, possibly out of date.
    Restored,
    /// No list: a poll failed or the subscription broke.
    Unavailable,
}
