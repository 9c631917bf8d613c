//! Which route a request takes.
//!
//! A balancer has thousands of routes, and each request must find the first one in order whose conditions all hold. To
//! try them one after the other would cost time in proportion to their number. Two structures answer the same question:
//!
//! - [`RouteTable`] is compiled of all rules at once, for a site that lists its routes in a file;
//! - [`RouteIndex`] takes routes of many services one at a time, for a balancer that subscribes to control machines.
//!
//! Invariants: both find the route that a scan over all rules in order would find, and a lookup allocates nothing. Hosts
//! are compared without their case, port and last dot; paths byte by byte, as the client sent them.
//!
//! The crate never decodes a path, opens a file or reads a clock.
//!
//! ```
//! use sableloom_routes::{PathPattern, RequestHead, RouteTable, Rule};
//!
//! let rule = |prefix: &str| Rule {
//!     paths: vec![PathPattern::Prefix(prefix.to_string())],
//!     ..Rule::default()
//! };
//! let table = RouteTable::compile(vec![rule("/points/"), rule("/")])?;
//! let head = |path| RequestHead {
//!     host: b"shop.example",
//!     path,
//!     method: b"GET",
//!     class: 0,
//!     has_header: &|_, _| false,
//! };
//! assert_eq!(table.find(&head(b"/points/7")), Some(0));
//! assert_eq!(table.find(&head(b"/partners")), Some(1));
//! # Ok::<(), sableloom_routes::RouteTableError>(())
//! ```

mod index;
mod request;
mod rule;
mod table;

pub use index::{IndexedRoute, MAX_PATTERN_PAIRS_PER_ROUTE, RouteIndex, RouteOrder};
pub use request::RequestHead;
pub use rule::{HeaderCondition, HostPattern, Mismatch, PathPattern, Rule};
pub use table::{MAX_PATTERN_PAIRS, RouteTable, RouteTableError};
