//! What a change of the list does to single servers.

use std::fmt;
use std::net::SocketAddr;

/// What a change did to one server, by its id.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// It is new.
    Added(String),
    /// It is back after it was left out; with a cold start if it is another or has started anew.
    Returned {
        /// Its id.
        id: String,
        /// It starts cold.
        cold: bool,
    },
    /// No list names it any more: it drains.
    Removed(String),
    /// It is to finish what it has.
    Drained(String),
    /// It serves again.
    Resumed(String),
    /// It has started anew.
    Restarted(String),
    /// Another weight.
    WeightChanged {
        /// Its id.
        id: String,
        /// Before.
        from: f64,
        /// Now.
        to: f64,
    },
    /// Another id for what is at the same address.
    Renamed {
        /// Before.
        from: String,
        /// Now.
        to: String,
    },
    /// The same id at another address.
    Moved {
        /// Its id.
        id: String,
        /// Before.
        from: SocketAddr,
        /// Now.
        to: SocketAddr,
    },
    /// Another zone.
    ZoneChanged(String),
}

impl fmt::Display for ListChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListChange::Added(id) => write!(f, "added {id}"),
            ListChange::Returned { id, cold: true } => write!(f, "returned cold {id}"),
            ListChange::Returned { id, cold: false } => write!(f, "returned {id}"),
            ListChange::Removed(id) => write!(f, "removed {id}"),
            ListChange::Drained(id) => write!(f, "drained {id}"),
            ListChange::Resumed(id) => write!(f, "resumed {id}"),
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
