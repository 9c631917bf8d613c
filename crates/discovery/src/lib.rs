//! The endpoint list from a discovery service over HTTP.
//!
//! A balancer needs the list of its servers from a service that may be slow, silent, restarted or moved, and that may send
//! anything. This crate keeps the list by long polls over HTTP: [`Discovery`] is an
//! [`EndpointSource`](sableloom_exchange::EndpointSource) that polls for ever, and reports each list or change to its
//! listener.
//!
//! It never decides when to poll, nor what silence means: `sableloom-discovery-schedule` does. And it never takes a server
//! into use by an answer that is incomplete: of such an answer only the servers that leave are taken.
//!
//! | module | concern |
//! | --- | --- |
//! | `discovery` | the source: polls, hedges, reports lists, logs problems |
//! | `poll` | one poll, from the request to a parsed list |
//! | `connection` | how discovery is reached |
//! | `endpoint_list` | the JSON form of the list |
//!
//! ```
//! use sableloom_discovery::EndpointList;
//!
//! let list: EndpointList = serde_json::from_str(
//!     r#"{"revision": 7, "complete": true, "members": [
//!         {"id": "s-1", "host_port": "10.0.0.1:9000", "phase": "SERVING"}]}"#,
//! )?;
//! assert_eq!(list.revision, 7);
//! assert_eq!(&*list.into_endpoints()[0].id, "s-1");
//! # Ok::<(), serde_json::Error>(())
//! ```

mod connection;
mod discovery;
mod endpoint_list;
mod poll;

pub use connection::{Dial, Stream, dial_tcp};
pub use discovery::{Discovery, DiscoveryOptions};
pub use endpoint_list::EndpointList;
