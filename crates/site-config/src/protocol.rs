//! Protocols of listeners and pools.

use sableloom_toml_diagnostics::Table;
use serde::{Deserialize, Serialize};

/// A protocol of clients or of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Protocol {
    /// HTTP/1.1 (RFC 9112).
    Http1,
}

/// The field `protocol`.
pub(crate) fn read_protocol(table: &Table<'_>) -> Protocol {
    let words = [("http/1.1", Protocol::Http1)];
    table.choice("protocol", &words).map_or(Protocol::Http1, |protocol| protocol.value)
}
