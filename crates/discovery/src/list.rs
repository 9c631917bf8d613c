//! The form of a list of servers, as discovery writes it.

use std::net::SocketAddr;

use sableloom_exchange::ListedEndpoint;
use sableloom_types::EndpointStatus;
use serde::Deserialize;

/// A list of servers, or a change to one, as discovery writes it.
#[derive(Deserialize)]
pub struct Snapshot {
    /// Its version.
    #[serde(default)]
    pub revision: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub complete: bool,
    /// Entries that make no sense are left out one by one.
    members: Option<Vec<serde_json::Value>>,
}

/// One server, as discovery writes it.
#[derive(Deserialize)]
struct Written {
    id: Box<str>,
    host_port: SocketAddr,
    #[serde(default)]
    locality: Box<str>,
    #[serde(default)]
    flavor: Box<str>,
    #[serde(default)]
    cell: u32,
    phase: String,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
}

fn one() -> f64 {
    1.0
}

impl From<Written> for ListedEndpoint {
    fn from(written: Written) -> Self {
        Self {
            id: written.id,
            address: written.host_port,
            zone: written.locality,
            kind: written.flavor,
            cell: written.cell,
            status: match written.phase.as_str() {
                "SERVING" => EndpointStatus::Live,
                "DELETED" => EndpointStatus::Gone,
                // A phase that is not known here is no invitation to send.
                _ => EndpointStatus::Draining,
            },
            size: written.size,
            up_since_ms: written.up_since_ms,
        }
    }
}

impl Snapshot {
    /// Whether it says what a list says: one that is called whole and names no servers, not even
    /// none, is no list. Guards against an answer that would empty the list by what it lacks.
    pub fn is_list(&self) -> bool {
        self.members.is_some() || !self.complete
    }

    /// The servers that it names.
    pub fn entries(self) -> Vec<ListedEndpoint> {
        let read = |value| serde_json::from_value::<Written>(value).ok().map(ListedEndpoint::from);
        self.members.unwrap_or_default().into_iter().filter_map(read).collect()
    }
}

/// What leaves, of the entries that came whole in an answer that broke off or is out of order. Only
/// that is taken from it: a server comes back by a whole answer alone.
pub fn leaving(text: &[u8]) -> Vec<ListedEndpoint> {
    let key = b"\"members\"";
    let Some(at) = text.windows(key.len()).position(|w| w == key) else { return Vec::new() };
    let Some(open) = text[at..].iter().position(|&b| b == b'[') else { return Vec::new() };
    let mut rest = &text[at + open + 1..];
    let mut entries: Vec<ListedEndpoint> = Vec::new();
    loop {
        let skip = rest.iter().position(|b| !b.is_ascii_whitespace() && *b != b',');
        rest = &rest[skip.unwrap_or(rest.len())..];
        let mut values = serde_json::Deserializer::from_slice(rest).into_iter();
        let Some(Ok(value)) = values.next() else { break };
        rest = &rest[values.byte_offset()..];
        entries.extend(serde_json::from_value::<Written>(value).map(ListedEndpoint::from));
    }
    entries.retain(|entry| entry.status != EndpointStatus::Live);
    entries
}

#[cfg(test)]
mod tests;
