//! The ids and addresses of the servers that the endpoint lists name.

use std::net::SocketAddr;

use rustc_hash::FxHashMap;
use sableloom_types::settings::{DeploymentSettings, stable_hash, time_from_ms};
use sableloom_types::{Endpoint, EndpointStatus, ListedEndpoint, ServerId};

use crate::attempt_context::DispatchAddress;

/// A server that an endpoint list has named.
struct KnownServer {
    name: Box<str>,
    address: SocketAddr,
    /// The address of the server while it accepts new attempts, shared with the attempts.
    dispatch_address: DispatchAddress,
    /// Whether the current list contains the server, as live or draining.
    listed: bool,
}

/// Maps the servers' names to ids, which stay the same for as long as a server is known, and holds their
/// addresses.
#[derive(Default)]
pub(crate) struct AddressBook {
    servers: FxHashMap<ServerId, KnownServer>,
    ids_by_name: FxHashMap<Box<str>, ServerId>,
    next_id: u32,
}

/// The result of recording an entry of a list.
pub(crate) struct RecordedEndpoint {
    /// The server as the policy sees it.
    pub(crate) endpoint: Endpoint,
    pub(crate) address_changed: bool,
}

impl AddressBook {
    pub(crate) fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|known| known.address)
    }

    pub(crate) fn dispatch_address(&self, server: ServerId) -> Option<&DispatchAddress> {
        self.servers.get(&server).map(|known| &known.dispatch_address)
    }

    /// Marks all servers as not listed, before the entries of a full list are recorded.
    pub(crate) fn begin_full_list(&mut self) {
        self.servers.values_mut().for_each(|known| known.listed = false);
    }

    /// Records one entry of a list.
    pub(crate) fn record(
        &mut self,
        settings: &DeploymentSettings,
        entry: &ListedEndpoint,
    ) -> RecordedEndpoint {
        let fresh = ServerId(self.next_id);
        let id = *self.ids_by_name.entry(entry.id.clone()).or_insert(fresh);
        if id == fresh {
            self.next_id += 1;
        }
        let known = self.servers.entry(id).or_insert_with(|| KnownServer {
            name: entry.id.clone(),
            address: entry.address,
            dispatch_address: DispatchAddress::default(),
            listed: true,
        });
        known.listed = entry.status != EndpointStatus::Gone;
        known.dispatch_address.set((entry.status == EndpointStatus::Live).then_some(entry.address));
        let address_changed = known.address != entry.address;
        known.address = entry.address;
        let endpoint = Endpoint {
            id,
            // The hash is of the name and not of the address, which differs from one balancer to the next.
            name_hash: stable_hash(&known.name),
            zone: index_of(&settings.zones, &entry.zone),
            machine_type: index_of(&settings.machine_types, &entry.machine_type),
            cell: entry.cell,
            status: entry.status,
            weight: entry.size,
            started: (entry.up_since_ms > 0.0).then(|| time_from_ms(entry.up_since_ms)),
        };
        RecordedEndpoint { endpoint, address_changed }
    }

    /// Withdraws the dispatch addresses of the servers that the current list does not contain, and returns their ids.
    pub(crate) fn withdraw_unlisted(&self) -> Vec<ServerId> {
        let unlisted = self.servers.iter().filter(|(_, known)| !known.listed);
        unlisted
            .map(|(id, known)| {
                known.dispatch_address.set(None);
                *id
            })
            .collect()
    }

    /// Forgets the servers that are neither listed nor `in_use`, and returns their ids. Without this the address book
    /// would grow without bound, as new servers keep appearing over a long run.
    pub(crate) fn forget_unlisted(&mut self, in_use: impl Fn(ServerId) -> bool) -> Vec<ServerId> {
        let mut forgotten = Vec::new();
        self.servers.retain(|id, known| {
            let keep = known.listed || in_use(*id);
            if !keep {
                self.ids_by_name.remove(&known.name);
                forgotten.push(*id);
            }
            keep
        });
        forgotten
    }
}

/// The index of a name, or the number of names if it is not among them.
fn index_of(names: &[String], name: &str) -> u32 {
    names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
}
