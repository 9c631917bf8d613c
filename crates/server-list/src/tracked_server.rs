//! A server of a pool, from the first list that names it to the end of its drain time.

use rustc_hash::FxHashSet;
use sableloom_types::{EndpointStatus, ListedEndpoint, Time};

use crate::server_record::ServerRecord;

/// A listed server, or a removed server that drains.
#[derive(Clone, Debug)]
pub(crate) struct TrackedServer {
    /// Name of the server as an endpoint of the policy, kept when the id of the server changes.
    pub(crate) name: Box<str>,
    pub(crate) record: ServerRecord,
    /// Start of the server for its warm-up, in Unix milliseconds; 0 stands for long ago.
    pub(crate) up_since_ms: f64,
    /// End of the drain time of a removed server; `None` for a listed server.
    pub(crate) drain_ends_at: Option<Time>,
}

impl TrackedServer {
    /// The endpoint that stands for the server in the policy.
    pub(crate) fn endpoint(&self) -> ListedEndpoint {
        let weight = self.record.weight;
        ListedEndpoint {
            id: self.name.clone(),
            address: self.record.address,
            zone: self.record.zone.as_str().into(),
            machine_type: Box::default(),
            cell: 0,
            status: if self.serves() { EndpointStatus::Live } else { EndpointStatus::Draining },
            size: if weight > 0.0 { weight } else { 1.0 },
            up_since_ms: self.up_since_ms,
        }
    }

    /// Whether the server is listed and receives requests.
    pub(crate) fn serves(&self) -> bool {
        self.drain_ends_at.is_none() && self.record.serves()
    }
}

/// A free name for the endpoint of a server: the id of the server, or the id with a number if the endpoint of a renamed
/// server still has the id as its name.
pub(crate) fn free_name(names: &FxHashSet<Box<str>>, server: &ServerRecord) -> Box<str> {
    let id: Box<str> = server.id.as_str().into();
    if !names.contains(&id) {
        return id;
    }
    let name = |n: usize| -> Box<str> { format!("{id} {n}").into() };
    (2..).map(name).find(|name| !names.contains(name)).unwrap_or_default()
}
