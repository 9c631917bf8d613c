//! A server that a pool knows, from the list that names it until its drain is over.

use rustc_hash::FxHashSet;
use sableloom_types::{EndpointStatus, ListedEndpoint, Time};

use crate::server_record::ServerRecord;

/// A server that is in force, or drains.
#[derive(Clone, Debug)]
pub(crate) struct TrackedServer {
    /// Its name towards the policy for as long as it is known.
    pub(crate) name: Box<str>,
    pub(crate) record: ServerRecord,
    /// When it counts as started, in Unix milliseconds; 0 for long ago.
    pub(crate) up_since_ms: f64,
    /// No list names it; it is forgotten by then.
    pub(crate) drain_ends_at: Option<Time>,
}

impl TrackedServer {
    /// The endpoint as the policy sees it.
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

    /// Whether it takes requests.
    pub(crate) fn serves(&self) -> bool {
        self.drain_ends_at.is_none() && self.record.serves()
    }
}

/// The server's id, unless one that was renamed still has it as its name.
pub(crate) fn free_name(names: &FxHashSet<Box<str>>, server: &ServerRecord) -> Box<str> {
    let id: Box<str> = server.id.as_str().into();
    if !names.contains(&id) {
        return id;
    }
    let name = |n: usize| -> Box<str> { format!("{id} {n}").into() };
    (2..).map(name).find(|name| !names.contains(name)).unwrap_or_default()
}
