//! What the balancer is told at its start, and the bounds that follow from its limits.

use std::env;
use std::net::SocketAddr;

use sableloom_discovery::EndpointList;
use sableloom_http1::ClientLimits;
use sableloom_types::settings::DeploymentSettings;
use serde::Deserialize;

/// Descriptors kept for all that is neither a client nor an upstream: standard streams, the
/// listener, the event queue, discovery.
pub const SOCKETS_OTHER: usize = 24;
/// Fewest descriptors and least memory that the balancer can work in.
const MIN_SOCKETS: usize = 64;
const MIN_MEMORY_MB: usize = 24;

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Option<EndpointList>,
    settings: DeploymentSettings,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub known: Option<EndpointList>,
    pub settings: DeploymentSettings,
    pub clients: ClientLimits,
    /// Most connections to upstreams.
    pub upstreams: usize,
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names; its siblings stand in where it is silent.
    pub fn load() -> Result<Self, String> {
        let path = env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG is not set".to_string())?;
        let text = std::fs::read(&path).map_err(|e| format!("configuration {path}: {e}"))?;
        Self::read(&text, &path)
    }

    /// Reads this text; `path` is what errors call it.
    pub fn read(text: &[u8], path: &str) -> Result<Self, String> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let file: File = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| format!("configuration {path}: field `{}`: {}", e.path(), e.inner()))?;
        Self::from_file(file).map_err(|e| format!("configuration {path}: {e}"))
    }

    /// Where discovery is, as the file says now: the one thing that a running balancer takes from
    /// a new file. It is read as loosely as that needs, so that whatever else is new or wrong in
    /// the file does not keep a balancer from the list.
    pub fn reread_discovery() -> Result<SocketAddr, String> {
        #[derive(Deserialize)]
        struct Moved {
            discovery: SocketAddr,
        }
        let path = env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG is not set".to_string())?;
        let text = std::fs::read(&path).map_err(|e| format!("configuration {path}: {e}"))?;
        let mut reader = serde_json::Deserializer::from_slice(&text);
        let moved: Moved = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| format!("configuration {path}: field `{}`: {}", e.path(), e.inner()))?;
        Ok(moved.discovery)
    }

    fn from_file(file: File) -> Result<Self, String> {
        let address = |field: &str, value: Option<String>, variable: &str| {
            let value = value.or_else(|| env::var(variable).ok());
            let value = value.ok_or(format!("field `{field}`: missing, and no {variable}"))?;
            value.parse().map_err(|_| format!("field `{field}`: no address: {value:?}"))
        };
        let Limits { memory_mb, sockets } = file.limits;
        if sockets < MIN_SOCKETS {
            return Err(format!("field `limits.sockets`: {sockets} is under {MIN_SOCKETS}"));
        }
        if memory_mb < MIN_MEMORY_MB {
            return Err(format!("field `limits.memory_mb`: {memory_mb} is under {MIN_MEMORY_MB}"));
        }
        let seed = match file.seed.as_str() {
            "" => 0,
            hex => u64::from_str_radix(hex, 16)
                .map_err(|_| format!("field `seed`: not up to 16 hex digits: {hex:?}"))?,
        };
        let (clients, upstreams) = split(memory_mb, sockets, SOCKETS_OTHER);
        Ok(Self {
            listen: address("listen", file.listen, "ROUTER_LISTEN")?,
            discovery: address("discovery", file.discovery, "ROUTER_DISCOVERY")?,
            seed,
            known: file.known,
            settings: file.settings,
            clients,
            upstreams,
        })
    }
}

/// What clients may hold of these limits, and the most connections to servers. `other` descriptors
/// are neither's.
pub fn split(memory_mb: usize, sockets: usize, other: usize) -> (ClientLimits, usize) {
    let sockets_left = sockets.saturating_sub(other);
    // Two fifths for upstreams: each connection carries one request at a time, and a third of
    // all descriptors may belong to clients that wait for one. Failure: with fewer, requests
    // waited here for a descriptor, and the upstream was blamed that could not be reached.
    let upstreams = sockets_left * 2 / 5;
    let clients = ClientLimits {
        max_connections: sockets_left - upstreams,
        // The platform lets clients hold a third of all descriptors for requests.
        max_client_connections: sockets / 3,
        body_memory: (memory_mb << 20) / 8,
    };
    (clients, upstreams)
}
