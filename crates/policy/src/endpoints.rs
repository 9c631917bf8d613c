//! The servers of the current endpoint list, each with an index that stays the same while the server is known.

use rustc_hash::FxHashMap;
use sableloom_types::{Endpoint, EndpointStatus, ServerId, Time};

use crate::server::Server;
use crate::service_time_estimate::ServiceTimeEstimate;

/// The servers by index. The indices of removed servers are reused.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    servers: Vec<Server>,
    by_id: FxHashMap<ServerId, usize>,
    /// The indices of removed servers, in descending order.
    vacant: Vec<usize>,
    /// From when the list may lack changes of which the balancer counts as notified; `None` if it lacks none.
    outdated_from: Option<Time>,
}

impl ServerTable {
    /// All servers by index, including those that are gone or removed.
    pub(crate) fn all(&self) -> &[Server] {
        &self.servers
    }

    /// Sets from when the list may lack changes of which the balancer counts as notified; `None` if it lacks none.
    pub(crate) fn set_outdated_from(&mut self, time: Option<Time>) {
        self.outdated_from = time;
    }

    /// Whether the list may lack changes of which the balancer counts as notified.
    pub(crate) fn may_be_outdated(&self, now: Time) -> bool {
        self.outdated_from.is_some_and(|from| now >= from)
    }

    /// All servers by index, mutable.
    pub(crate) fn all_mut(&mut self) -> &mut [Server] {
        &mut self.servers
    }

    /// The servers that are live in the list.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|server| server.is_live())
    }

    /// Whether there are live servers and all of them are ejected for a class.
    pub(crate) fn is_ejected_everywhere(&self, class: usize, now: Time) -> bool {
        let mut live = self.live().peekable();
        live.peek().is_some() && live.all(|server| server.outliers[class].is_ejected(now))
    }

    /// The server with this id; `None` if it is unknown.
    pub(crate) fn by_id(&self, id: ServerId) -> Option<&Server> {
        Some(&self.servers[*self.by_id.get(&id)?])
    }

    /// Whether a server is on the list, or an open request or attempt still refers to it.
    pub(crate) fn has_server(&self, id: ServerId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Marks every server as gone, before a full list is applied.
    pub(crate) fn withdraw_all(&mut self) {
        self.servers.iter_mut().for_each(|server| server.status = EndpointStatus::Gone);
    }

    /// Whether an entry of a list has no effect, since it withdraws an unknown server.
    pub(crate) fn is_irrelevant(&self, endpoint: &Endpoint) -> bool {
        endpoint.status == EndpointStatus::Gone && !self.has_server(endpoint.id)
    }

    /// Applies an entry of a list; see [`Server::update`].
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

    /// Removes the servers that are gone. Without the removal, where servers are replaced all the time, each loop over
    /// the servers would visit all that were ever listed. A server that may still be executing an attempt, or that an
    /// open request has tried, is kept until a later list.
    pub(crate) fn remove_gone(&mut self, was_tried: impl Fn(usize) -> bool) {
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
        // Sorting makes the next index independent of the order of the hash map.
        vacant.sort_unstable_by(|a, b| b.cmp(a));
    }
}
