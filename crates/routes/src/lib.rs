//! Finds the route for a request.
//!
//! A balancer can have thousands of routes, and a request takes the first route, in the order of the routes, whose
//! conditions all hold. A scan takes time in proportion to the number of routes. Two data structures avoid the scan:
//!
//! - [`RouteTable`] is compiled from all rules at once, for a site that lists its routes in a file;
//! - [`RouteIndex`] adds and removes routes of many services one by one, for a balancer that subscribes to control
//!   machines.
//!
//! Invariants: both find the route that a scan over all rules in order would find, and a lookup allocates no memory.
//! Hosts are compared without case, port and trailing dot; paths are compared byte by byte, as the client sent them.
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
