//! Servers as a file names them.

use std::net::SocketAddr;
use std::ops::Range;

use sableloom_toml_diagnostics::{Located, Problem};

/// What a server is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// It takes requests.
    Serving,
    /// It finishes what it has.
    Draining,
}

/// A server as a file names it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    /// Its name.
    pub id: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Its zone; empty for none.
    pub zone: String,
    /// Its relative size; one of 0 gets no requests.
    pub weight: f64,
    /// What it is to do.
    pub state: RecordState,
    /// When it last started, in Unix milliseconds, if that is stated.
    pub started_ms: Option<f64>,
    pub(crate) location: SourceLocation,
}

/// Where it stands in its file. Two servers that differ only in this are the same.
#[derive(Clone, Debug)]
pub(crate) struct SourceLocation {
    pub(crate) span: Range<usize>,
    pub(crate) line: usize,
    pub(crate) index: usize,
}

impl PartialEq for SourceLocation {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl ServerRecord {
    /// A server that comes from elsewhere than a file of servers: `index` is its place in its listing,
    /// `line` the line that set it.
    pub fn new(fields: ServerFields, index: usize, line: usize) -> Self {
        fields.record(SourceLocation { span: 0..0, line, index })
    }

    /// Whether it takes requests.
    pub fn serves(&self) -> bool {
        self.state == RecordState::Serving && self.weight > 0.0
    }

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

/// What a file says.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerListing {
    /// Files of a pool that say a version change together.
    pub version: Option<String>,
    /// How many serving servers it takes out, if it says so.
    pub takes_out: Option<usize>,
    /// Its servers, in their order.
    pub servers: Vec<ServerRecord>,
    /// Of its bytes.
    pub digest: [u8; 32],
}

/// The fields of one server.
#[derive(Clone, Debug)]
pub struct ServerFields {
    /// Its id.
    pub id: Located<String>,
    /// Where it is.
    pub address: Located<SocketAddr>,
    /// Its zone; empty for none.
    pub zone: String,
    /// Its relative size.
    pub weight: f64,
    /// What it is to do.
    pub state: RecordState,
    /// When it last started, in Unix milliseconds, if that is stated.
    pub started_ms: Option<f64>,
}

impl ServerFields {
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
