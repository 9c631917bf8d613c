//! The body of a server.

use std::net::SocketAddr;

use sableloom_server_list::RecordState;
use serde::{Deserialize, Serialize};

/// The state that an operator gives a server. Encoded by position: the order of the variants must stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// The server gets requests.
    Serving,
    /// The server drains: it finishes its requests and gets no others.
    Draining,
}

impl From<RecordState> for ServerState {
    fn from(state: RecordState) -> Self {
        match state {
            RecordState::Serving => ServerState::Serving,
            RecordState::Draining => ServerState::Draining,
        }
    }
}

impl From<ServerState> for RecordState {
    fn from(state: ServerState) -> Self {
        match state {
            ServerState::Serving => RecordState::Serving,
            ServerState::Draining => RecordState::Draining,
        }
    }
}

/// A server of a pool. Its id is the key of its resource. Encoded by position: the order of the fields must stay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The address of the server.
    pub address: SocketAddr,
    /// The zone of the server, if any.
    pub zone: Option<String>,
    /// The relative capacity of the server; a server of weight 0 gets no requests.
    pub weight: f64,
    /// The state that the operator gives it.
    pub state: ServerState,
    /// When the server last started, in Unix milliseconds, if the operator states it.
    pub started_ms: Option<i64>,
}
