//! The servers of a service as a listing of `sableloom_server_list`, which validates it.

use std::net::SocketAddr;

use sableloom_server_list::{ServerFields, ServerListing, ServerRecord};
use sableloom_toml_diagnostics::Located;
use sha2::{Digest, Sha256};

use crate::server_entry::ServerEntry;

/// A server with its id and the line that set it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer<'s> {
    /// The id of the server.
    pub id: &'s str,
    /// The server.
    pub entry: &'s ServerEntry,
    /// The line of the change file that set it, from 1.
    pub line: u32,
}

/// The listing of servers, in their order. Problems of the server at index `n` are reported of the field `server[n]`.
pub fn listing(servers: &[ListedServer<'_>]) -> ServerListing {
    let mut digest = Sha256::new();
    let listed = servers.iter().enumerate().map(|(number, server)| {
        digest.update(server.id.as_bytes());
        digest.update([0]);
        digest.update(postcard::to_allocvec(server.entry).unwrap_or_default());
        ServerRecord::new(fields(server), number, server.line as usize)
    });
    let servers = listed.collect();
    ServerListing { version: None, takes_out: None, servers, digest: digest.finalize().into() }
}

fn fields(server: &ListedServer<'_>) -> ServerFields {
    let entry = server.entry;
    let address: SocketAddr = entry.address;
    ServerFields {
        id: found(server.id.to_string()),
        address: found(address),
        zone: entry.zone.clone().unwrap_or_default(),
        weight: entry.weight,
        state: entry.state.into(),
        started_ms: entry.started_ms.map(|at| at as f64),
    }
}

fn found<T>(value: T) -> Located<T> {
    Located { value, span: 0..0, field: String::new() }
}
