//! HTTP/1.1 (RFC 9112) between clients, the exchange and servers.
//!
//! The exchange knows no protocol. This crate has both sides of HTTP/1.1 for it: the [`Frontend`] accepts client
//! connections, reads complete requests, hands them to a service and writes its answers; the [`Http1Transport`] runs single
//! attempts on connections to servers. hyper parses and writes the messages.
//!
//! It never decides on a request: which client holds a connection is decided by `sableloom-admission`, everything else by
//! the exchange. What must hold here:
//!
//! - a transport reports whether a request was written completely from the bytes that its socket accepted, and asks
//!   [`AttemptContext::may_send_first_byte`](sableloom_exchange::AttemptContext::may_send_first_byte) right before the
//!   first byte of an attempt;
//! - the last byte of a request is held back on a reused connection for as long as an end of the connection, or a
//!   duplicate answer to the request before, may still come: no server executes a request without its last byte;
//! - a request that was accepted gets its one answer, also while the process shuts down.
//!
//! | module | concern |
//! | --- | --- |
//! | `tracked_stream`, `request_progress`, `hyper_io` | a TCP connection, the facts about its bytes, and hyper's side of it |
//! | `reuse_guard` | how long the last byte is held back on a reused connection |
//! | `memory` | what messages hold beyond what each connection has of its own |
//! | `upstream` | attempts, idle connections to servers, the descriptors that they share |
//! | `front` | client connections and their requests |
//!
//! ```
//! use hyper::{HeaderMap, Method, Uri};
//! use sableloom_http1::{Dialect, class_of};
//! use sableloom_types::settings::DeploymentSettings;
//!
//! let settings: DeploymentSettings = serde_json::from_value(serde_json::json!({
//!     "Balancers": 1, "Tick": 1.0, "RegistryMode": "automatic",
//!     "Services": [{"Name": "read", "Aim": 100.0, "Deadline": 400.0, "Effect": "retryable"}],
//!     "PolicyLimits": {"MaxAttempts": 3},
//!     "Safety": {"Cold": 10_000.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0},
//! }))?;
//! let uri = Uri::from_static("/read/account");
//! let class = class_of(&settings, &Dialect::Platform, &Method::GET, &uri, &HeaderMap::new());
//! assert_eq!(class, Ok(0));
//! # Ok::<(), serde_json::Error>(())
//! ```

mod count_guard;
mod fields;
mod front;
mod hyper_io;
mod limits;
mod memory;
mod request_progress;
mod reuse_guard;
mod tracked_stream;
mod upstream;

pub use front::{ClientLimits, Dialect, Frontend, class_of};
pub use limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
pub use memory::MemoryBudget;
pub use upstream::{ConnectionBudget, Http1Transport, parse_load_report};
