//! How descriptors and memory are divided; no I/O, no clock.

use sableloom_http1::ClientLimits;

/// The memory of all that is neither a connection nor a message nor a server, in bytes.
const OTHER_BYTES: usize = 3 << 20;
/// What the state of one server takes, in bytes.
const SERVER_BYTES: usize = 1_700;
/// The most that one answer of discovery may take, as a share of all memory. Two may be read at a time, and parsed they
/// take several times as much.
const DISCOVERY_ANSWER_SHARE: f64 = 1.0 / 32.0;
/// The longest answer of discovery however much memory there is, in bytes: some 50,000 entries.
const MAX_DISCOVERY_ANSWER_BYTES: usize = 8 << 20;
/// The part of what is left that connections and messages are charged for. The rest is for what the allocator keeps
/// free between the blocks that are in use, and for copies that live for one turn.
const CHARGED_SHARE: f64 = 0.5;

/// How descriptors and memory are divided.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    pub clients: ClientLimits,
    pub max_upstream_connections: usize,
    /// What connections and their messages may hold, in bytes.
    pub connection_memory: usize,
    /// The longest answer of discovery, in bytes.
    pub discovery_answer: usize,
}

impl ConnectionLimits {
    /// Divides these limits; `other` descriptors are neither for clients nor for servers.
    pub(crate) fn new(memory_mb: usize, sockets: usize, other: usize) -> Self {
        let available = sockets.saturating_sub(other);
        // Two fifths for servers: each connection carries one request at a time, and a third of all descriptors may
        // belong to clients that wait for one. Failure: with fewer, requests waited here for a descriptor, and the
        // server that could not be connected to was taken for faulty.
        let max_upstream_connections = available * 2 / 5;
        let clients = ClientLimits {
            max_connections: available - max_upstream_connections,
            // The platform lets clients hold a third of all descriptors for requests.
            max_client_connections: sockets / 3,
        };
        let memory = memory_mb << 20;
        let discovery_answer = (memory as f64 * DISCOVERY_ANSWER_SHARE) as usize;
        let discovery_answer = discovery_answer.min(MAX_DISCOVERY_ANSWER_BYTES);
        let available = memory.saturating_sub(OTHER_BYTES + 2 * discovery_answer);
        let connection_memory = (available as f64 * CHARGED_SHARE) as usize;
        Self { clients, max_upstream_connections, connection_memory, discovery_answer }
    }
}

/// What of the memory of connections is taken by the state of this many servers, in bytes.
pub(crate) fn server_memory(servers: usize) -> usize {
    (servers as f64 * SERVER_BYTES as f64 * CHARGED_SHARE) as usize
}
