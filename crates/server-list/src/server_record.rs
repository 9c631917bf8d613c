//! Servers as a file lists them.

use std::net::SocketAddr;
use std::ops::Range;

use sableloom_toml_diagnostics::{Located, Problem};

/// State that a file sets for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The server receives requests.
    Serving,
    /// The server finishes its requests in flight and receives no new ones.
    Draining,
}

/// A server as a file lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    /// Id of the server, unique in the pool.
    pub id: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Zone of the server; empty if the server has none.
    pub zone: String,
    /// Relative size of the server. A server of weight 0 receives no requests.
    pub weight: f64,
    /// Whether the server is serving or draining.
    pub state: RecordState,
    /// Last start of the server in Unix milliseconds, if it is stated.
    pub started_ms: Option<f64>,
    pub(crate) location: SourceLocation,
}

/// Location of a server in its file. All locations compare as equal, so that two server records which differ only in
/// their locations are equal.
#[derive(Clone, Debug)]
pub(crate) struct SourceLocation {
    /// Byte range of the table of the server.
    pub(crate) span: Range<usize>,
    /// Line at which the table starts, counted from 1.
    pub(crate) line: usize,
    /// Index of the server among the servers of the file.
    pub(crate) index: usize,
}

impl PartialEq for SourceLocation {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl ServerRecord {
    /// A server that does not come from a file of servers. Problems of the server are reported for the field
    /// `server[index]` and the line `line`, counted from 1.
    pub fn new(fields: ServerFields, index: usize, line: usize) -> Self {
        fields.record(SourceLocation { span: 0..0, line, index })
    }

    /// Whether the server receives requests: it is serving and its weight is above 0.
    pub fn serves(&self) -> bool {
        self.state == RecordState::Serving && self.weight > 0.0
    }

    /// A problem with a field of this server in the file named `file`.
    pub(crate) fn problem(&self, file: &str, field: &str, message: String) -> Problem {
        Problem {
            file: file.to_string(),
            span: self.location.span.clone(),
            line: self.location.line,
            column: 1,
            field: format!("server[{}].{field}", self.location.index),
            message,
            help: None,
        }
    }
}

/// The contents of one file of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerListing {
    /// Version that the file states. Files of a pool that state a version are applied only when their versions agree.
    pub version: Option<String>,
    /// Number of serving servers that a change of the file takes out, if the file states it.
    pub takes_out: Option<usize>,
    /// Servers, in the order of the file.
    pub servers: Vec<ServerRecord>,
    /// Digest that changes with the contents; for a file, the SHA-256 digest of its bytes.
    pub digest: [u8; 32],
}

/// Fields of one server, read from a table.
#[derive(Clone, Debug)]
pub struct ServerFields {
    /// Id of the server.
    pub id: Located<String>,
    /// Address of the server.
    pub address: Located<SocketAddr>,
    /// Zone of the server; empty if the server has none.
    pub zone: String,
    /// Relative size of the server. A server of weight 0 receives no requests.
    pub weight: f64,
    /// Whether the server is serving or draining.
    pub state: RecordState,
    /// Last start of the server in Unix milliseconds, if it is stated.
    pub started_ms: Option<f64>,
}

impl ServerFields {
    /// The record of a server with these fields at a location.
    pub(crate) fn record(self, location: SourceLocation) -> ServerRecord {
        ServerRecord {
            id: self.id.value,
            address: self.address.value,
            zone: self.zone,
            weight: self.weight,
            state: self.state,
            started_ms: self.started_ms,
            location,
        }
    }
}
