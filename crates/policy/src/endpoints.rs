//! The servers of the endpoint list in force, each under an index that stays the same while it is known.

use rustc_hash::FxHashMap;
use sableloom_types::{Endpoint, EndpointStatus, ServerId, Time};

use crate::server::Server;
use crate::service_time_estimate::ServiceTimeEstimate;

/// Servers by index. Indices of servers that were forgotten are used again.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    servers: Vec<Server>,
    by_id: FxHashMap<ServerId, usize>,
    /// Indices of servers that were forgotten, in descending order.
    vacant: Vec<usize>,
}

impl ServerTable {
    /// All servers by index, also those that are gone or forgotten.
    pub(crate) fn all(&self) -> &[Server] {
        &self.servers
    }

    /// The same, to be changed.
    pub(crate) fn all_mut(&mut self) -> &mut [Server] {
        &mut self.servers
    }

    /// Servers that the list has take requests.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|server| server.is_live())
    }

    /// Whether there are live servers, and all of them are ejected for a class.
    pub(crate) fn eject_everywhere(&self, class: usize, now: Time) -> bool {
        let mut live = self.live().peekable();
        live.peek().is_some() && live.all(|server| server.outliers[class].ejects(now))
    }

    /// A server by its id, while it is known.
    pub(crate) fn by_id(&self, id: ServerId) -> Option<&Server> {
        Some(&self.servers[*self.by_id.get(&id)?])
    }

    /// Whether a server is listed, or something of it is still open.
    pub(crate) fn has_server(&self, id: ServerId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Withdraws every server, before a full list.
    pub(crate) fn withdraw_all(&mut self) {
        self.servers.iter_mut().for_each(|server| server.status = EndpointStatus::Gone);
    }

    /// Whether an entry of a list says nothing: it withdraws a server that nobody knows.
    pub(crate) fn is_irrelevant(&self, endpoint: &Endpoint) -> bool {
        endpoint.status == EndpointStatus::Gone && !self.has_server(endpoint.id)
    }

    /// Takes over an entry of a list; see [`Server::update`].
    pub(crate) fn update(
        &mut self,
        endpoint: &Endpoint,
        classes: usize,
        initial_tokens: f64,
        now: Time,
    ) {
        let index = match self.by_id.get(&endpoint.id) {
            Some(index) => *index,
            None => self.insert(endpoint, classes, now),
        };
        self.servers[index].update(endpoint, initial_tokens, now);
    }

    fn insert(&mut self, endpoint: &Endpoint, classes: usize, now: Time) -> usize {
        let index = self.vacant.pop().unwrap_or(self.servers.len());
        self.by_id.insert(endpoint.id, index);
        let server = Server::new(endpoint, classes, now);
        if index == self.servers.len() {
            self.servers.push(server);
        } else {
            self.servers[index] = server;
        }
        index
    }

    /// Forgets servers that are gone. Failure: where servers are replaced all day, each call looked at every one
    /// that had ever been. One that has an attempt in flight, may still work on one, or was tried by a request that
    /// is still open stays known until a later list.
    pub(crate) fn forget_gone(&mut self, was_tried: impl Fn(usize) -> bool) {
        let (servers, vacant) = (&mut self.servers, &mut self.vacant);
        self.by_id.retain(|_, &mut index| {
            let server = &mut servers[index];
            let gone = server.status == EndpointStatus::Gone;
            if !gone || server.in_flight > 0 || was_tried(index) {
                return true;
            }
            server.estimate = ServiceTimeEstimate::UNKNOWN;
            vacant.push(index);
            false
        });
        // The order of a hash map must not decide which index is used next.
        vacant.sort_unstable_by(|a, b| b.cmp(a));
    }
}
