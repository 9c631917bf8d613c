//! Endpoints: the servers that an endpoint source lists, and the kinds of list updates.

use std::net::SocketAddr;

use crate::Time;

/// The caller's handle for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The server takes requests.
    Live,
    /// The server finishes the requests that it has and gets no new ones.
    Draining,
    /// The server is no longer on the list.
    Gone,
}

/// An endpoint as the policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The caller's handle.
    pub id: ServerId,
    /// A hash of the server's name that is the same at every balancer.
    pub name_hash: u64,
    /// The zone, by index in the settings.
    pub zone: u32,
    /// The machine type, by index in the settings.
    pub machine_type: u32,
    /// The cell within the zone.
    pub cell: u32,
    /// The state in the list.
    pub status: EndpointStatus,
    /// The relative size; 1 where unknown.
    pub weight: f64,
    /// When the server last started, if it may still be warming up.
    pub started: Option<Time>,
}

/// An endpoint as a source lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The name, which stays the same as long as the machine is the same.
    pub id: Box<str>,
    /// The network address.
    pub address: SocketAddr,
    /// The name of the zone, as in the settings.
    pub zone: Box<str>,
    /// The name of the machine type, as in the settings.
    pub machine_type: Box<str>,
    /// The cell within the zone.
    pub cell: u32,
    /// The state in the list.
    pub status: EndpointStatus,
    /// The relative size.
    pub size: f64,
    /// When the server last started, in Unix milliseconds; 0 if it started long ago.
    pub up_since_ms: f64,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The endpoints that changed, and no others.
    Update,
    /// The full list.
    Full,
    /// The full list as last cached, possibly out of date.
    Restored,
    /// No list, because a poll failed or the subscription broke.
    Unavailable,
}
