//! Client connections: reads complete requests, hands them to the service, writes the answers.

mod acceptor;
mod body;
mod client_handle;
mod client_memory;
mod connection;
mod context;
mod dialect;
mod frontend;
mod length_scan;
mod memory_charges;
mod rejection;
mod request;
mod request_head;

pub use context::ClientLimits;
pub use dialect::{Dialect, class_of};
pub use frontend::Frontend;
