//! Differences between the list in force and the list that replaces it, server by server.

use std::fmt;
use std::net::SocketAddr;

/// Change of one server between the list in force and the list that replaces it. Servers are named by their ids.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// The server is new.
    Added(String),
    /// The server was draining after a list had left it out, and is listed again.
    Returned {
        /// Id of the server.
        id: String,
        /// Whether the server counts as restarted and warms up, because its id, its address or its stated start time is
        /// different.
        cold: bool,
    },
    /// No list names the server any more, so that it drains.
    Removed(String),
    /// The state of the server changed from serving to draining.
    SetToDraining(String),
    /// The state of the server changed from draining to serving.
    SetToServing(String),
    /// The server states a start time that differs from the start time stated or assumed before, so that it counts as
    /// restarted.
    Restarted(String),
    /// The weight of the server changed.
    WeightChanged {
        /// Id of the server.
        id: String,
        /// Weight in the replaced list.
        from: f64,
        /// Weight in the new list.
        to: f64,
    },
    /// The server at the same address has another id.
    Renamed {
        /// Id in the replaced list.
        from: String,
        /// Id in the new list.
        to: String,
    },
    /// The server with this id has another address.
    Moved {
        /// Id of the server.
        id: String,
        /// Address in the replaced list.
        from: SocketAddr,
        /// Address in the new list.
        to: SocketAddr,
    },
    /// The server with this id is in another zone.
    ZoneChanged(String),
}

impl fmt::Display for ListChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListChange::Added(id) => write!(f, "added {id}"),
            ListChange::Returned { id, cold: true } => write!(f, "returned cold {id}"),
            ListChange::Returned { id, cold: false } => write!(f, "returned {id}"),
            ListChange::Removed(id) => write!(f, "removed {id}"),
            ListChange::SetToDraining(id) => write!(f, "drained {id}"),
            ListChange::SetToServing(id) => write!(f, "resumed {id}"),
            ListChange::Restarted(id) => write!(f, "restarted {id}"),
            ListChange::WeightChanged { id, from, to } => {
                write!(f, "weight of {id} from {from} to {to}")
            }
            ListChange::Renamed { from, to } => write!(f, "renamed {from} to {to}"),
            ListChange::Moved { id, from, to } => write!(f, "moved {id} from {from} to {to}"),
            ListChange::ZoneChanged(id) => write!(f, "zone of {id}"),
        }
    }
}
