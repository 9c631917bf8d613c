//! Connections to servers, and the attempts on them. What comes back is reported as facts; what they prove is judged by the
//! exchange.

mod answer;
mod connection_budget;
mod idle_pool;
mod load_report;
mod outgoing_request;
mod transport;
mod upstream_connection;
mod upstream_memory;

pub use connection_budget::ConnectionBudget;
pub use load_report::parse_load_report;
pub use transport::Http1Transport;
