//! The JSON form of the endpoint list, as discovery writes it.

use std::net::SocketAddr;

use sableloom_exchange::ListedEndpoint;
use sableloom_types::EndpointStatus;
use serde::Deserialize;

/// An endpoint list, or a change to one, as discovery writes it.
#[derive(Deserialize)]
pub struct EndpointList {
    /// Its revision.
    #[serde(default)]
    pub revision: u64,
    /// Whether it is the full list.
    #[serde(default)]
    pub complete: bool,
    /// Entries that can't be parsed are left out one by one.
    members: Option<Vec<serde_json::Value>>,
}

/// One server, as discovery writes it. The fields are named as the keys are.
#[derive(Deserialize)]
struct Entry {
    id: Box<str>,
    host_port: SocketAddr,
    #[serde(default)]
    locality: Box<str>,
    #[serde(default)]
    flavor: Box<str>,
    #[serde(default)]
    cell: u32,
    phase: String,
    #[serde(default = "default_size")]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
}

fn default_size() -> f64 {
    1.0
}

impl From<Entry> for ListedEndpoint {
    fn from(entry: Entry) -> Self {
        Self {
            id: entry.id,
            address: entry.host_port,
            zone: entry.locality,
            machine_type: entry.flavor,
            cell: entry.cell,
            status: match entry.phase.as_str() {
                "SERVING" => EndpointStatus::Live,
                "DELETED" => EndpointStatus::Gone,
                // A phase that is not known here must not attract requests.
                _ => EndpointStatus::Draining,
            },
            size: entry.size,
            up_since_ms: entry.up_since_ms,
        }
    }
}

impl EndpointList {
    /// Whether it is a list: one that says that it is complete and has no `members`, not even an empty array, is none.
    /// Guards against an answer that would empty the list by what it lacks.
    pub fn is_list(&self) -> bool {
        self.members.is_some() || !self.complete
    }

    /// The servers that it names.
    pub fn into_endpoints(self) -> Vec<ListedEndpoint> {
        let parse = |value| serde_json::from_value::<Entry>(value).ok().map(ListedEndpoint::from);
        self.members.unwrap_or_default().into_iter().filter_map(parse).collect()
    }
}

/// The servers that leave, of the entries that came completely in an answer that was cut off or is invalid. Nothing else
/// is taken from it: a server comes into use by a complete answer only.
pub(crate) fn leaving_endpoints(text: &[u8]) -> Vec<ListedEndpoint> {
    let key = b"\"members\"";
    let Some(key_at) = text.windows(key.len()).position(|window| window == key) else {
        return Vec::new();
    };
    let Some(bracket) = text[key_at..].iter().position(|&byte| byte == b'[') else {
        return Vec::new();
    };
    let mut rest = &text[key_at + bracket + 1..];
    let mut entries: Vec<ListedEndpoint> = Vec::new();
    loop {
        let start = rest.iter().position(|byte| !byte.is_ascii_whitespace() && *byte != b',');
        rest = &rest[start.unwrap_or(rest.len())..];
        let mut values = serde_json::Deserializer::from_slice(rest).into_iter();
        let Some(Ok(value)) = values.next() else { break };
        rest = &rest[values.byte_offset()..];
        entries.extend(serde_json::from_value::<Entry>(value).map(ListedEndpoint::from));
    }
    entries.retain(|entry| entry.status != EndpointStatus::Live);
    entries
}

#[cfg(test)]
mod tests;
