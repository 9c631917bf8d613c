//! The ids and addresses of the servers that the endpoint lists name.

use std::net::SocketAddr;

use rustc_hash::FxHashMap;
use sableloom_types::settings::{DeploymentSettings, stable_hash, time_from_ms};
use sableloom_types::{Endpoint, EndpointStatus, ListedEndpoint, ServerId};

use crate::attempt_context::DispatchAddress;

/// A server that an endpoint list has named.
struct ServerRecord {
    name: Box<str>,
    address: SocketAddr,
    /// The address of the server while it accepts new attempts, shared with the attempts.
    dispatch_address: DispatchAddress,
    /// Whether the current list contains the server, as live or draining.
    listed: bool,
    /// When the process at the address started, in Unix milliseconds; 0 if it started long ago.
    up_since_ms: f64,
    /// The entry of the list in the form that the policy uses.
    endpoint: Endpoint,
}

/// Maps the servers' names to ids and addresses. A server keeps its id until it is removed.
#[derive(Default)]
pub(crate) struct AddressBook {
    servers: FxHashMap<ServerId, ServerRecord>,
    ids_by_name: FxHashMap<Box<str>, ServerId>,
    next_id: u32,
}

/// The result of recording an entry of a list.
pub(crate) struct RecordedEndpoint {
    /// The entry in the form that the policy uses.
    pub(crate) endpoint: Endpoint,
    /// Whether the server was recorded with another address before; `false` for a new server.
    pub(crate) address_changed: bool,
}

impl AddressBook {
    /// The number of servers that are kept.
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }

    pub(crate) fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|server| server.address)
    }

    pub(crate) fn dispatch_address(&self, server: ServerId) -> Option<&DispatchAddress> {
        self.servers.get(&server).map(|server| &server.dispatch_address)
    }

    /// Marks all servers as not listed, before the entries of a full list are recorded.
    pub(crate) fn begin_full_list(&mut self) {
        self.servers.values_mut().for_each(|server| server.listed = false);
    }

    /// Records one entry of a list.
    pub(crate) fn record(
        &mut self,
        settings: &DeploymentSettings,
        entry: &ListedEndpoint,
    ) -> RecordedEndpoint {
        let new_id = ServerId(self.next_id);
        let id = *self.ids_by_name.entry(entry.id.clone()).or_insert(new_id);
        if id == new_id {
            self.next_id += 1;
        }
        let endpoint = Endpoint {
            id,
            // The name is hashed rather than the address, because the address differs from one balancer to the next.
            name_hash: stable_hash(&entry.id),
            zone: index_of(&settings.zones, &entry.zone),
            machine_type: index_of(&settings.machine_types, &entry.machine_type),
            cell: entry.cell,
            status: entry.status,
            weight: entry.size,
            started: (entry.up_since_ms > 0.0).then(|| time_from_ms(entry.up_since_ms)),
        };
        let server = self.servers.entry(id).or_insert_with(|| ServerRecord {
            name: entry.id.clone(),
            address: entry.address,
            dispatch_address: DispatchAddress::default(),
            listed: true,
            up_since_ms: entry.up_since_ms,
            endpoint,
        });
        let address_changed = server.address != entry.address;
        server.address = entry.address;
        server.listed = entry.status != EndpointStatus::Gone;
        server.up_since_ms = entry.up_since_ms;
        server.endpoint = endpoint;
        server
            .dispatch_address
            .set((entry.status == EndpointStatus::Live).then_some(entry.address));
        RecordedEndpoint { endpoint, address_changed }
    }

    /// Withdraws the listed servers whose address a server has that started later, and returns them as gone. Their
    /// processes have ended, although the list does not say so yet: what is sent there reaches the later one.
    pub(crate) fn withdraw_superseded(&mut self) -> Vec<Endpoint> {
        let mut latest: FxHashMap<SocketAddr, f64> = FxHashMap::default();
        for server in self.servers.values().filter(|server| server.listed) {
            let started = latest.entry(server.address).or_insert(server.up_since_ms);
            *started = started.max(server.up_since_ms);
        }
        let is_superseded =
            |server: &ServerRecord| server.listed && latest[&server.address] > server.up_since_ms;
        let mut superseded: Vec<Endpoint> = Vec::new();
        for server in self.servers.values_mut().filter(|server| is_superseded(server)) {
            server.listed = false;
            server.dispatch_address.set(None);
            superseded.push(Endpoint { status: EndpointStatus::Gone, ..server.endpoint });
        }
        // The order does not depend on that of the hash map.
        superseded.sort_unstable_by_key(|endpoint| endpoint.id);
        superseded
    }

    /// Clears the dispatch addresses of the servers that the current list does not contain, so that no attempt at them
    /// starts, and returns their ids.
    pub(crate) fn withdraw_unlisted(&self) -> Vec<ServerId> {
        let unlisted = self.servers.iter().filter(|(_, server)| !server.listed);
        unlisted
            .map(|(id, server)| {
                server.dispatch_address.set(None);
                *id
            })
            .collect()
    }

    /// Removes the servers that are neither listed nor `in_use`, and returns their ids. Otherwise the address book of
    /// a long-running process would grow without bound as servers come and go.
    pub(crate) fn remove_unlisted(&mut self, in_use: impl Fn(ServerId) -> bool) -> Vec<ServerId> {
        let mut removed = Vec::new();
        self.servers.retain(|id, server| {
            let keep = server.listed || in_use(*id);
            if !keep {
                self.ids_by_name.remove(&server.name);
                removed.push(*id);
            }
            keep
        });
        removed
    }
}

/// The index of a name, or the number of names if it is not among them.
fn index_of(names: &[String], name: &str) -> u32 {
    names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
}
