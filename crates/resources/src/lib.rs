//! Resources of the distribution of configuration: their typed bodies, the encoding of these, and operators' change files.
//!
//! Operators describe pools, servers, routes and tenants in numbered TOML files. A wrong file must be reported with all of
//! its problems, each with line and field, before anything of it is applied; a right one must mean the same at each
//! control machine and at each balancer. [`read_change`] parses a file into [`Edit`]s, [`ChangeFile::resolve`] checks them
//! against the existing resources and makes a [`sableloom_distribution::LogEntry`], and [`Body::decode`] gives a balancer
//! back what the operator wrote.
//!
//! Never: no I/O and no clock. Nothing is validated twice in two ways: settings become
//! [`sableloom_site_config::PoolSettings`], servers a [`sableloom_server_list::ServerListing`] and routes a
//! [`sableloom_routes::Rule`], read by the readers of those crates.
//!
//! Invariants: a change file that has not been written completely is not read ([`is_complete`]); a file names a resource at
//! most once, so that the order of its entries has no meaning; a body is decoded only as a whole and only in
//! [`FORMAT_VERSION`].
//!
//! ```
//! use sableloom_resources::{EmptyInventory, is_complete, read_change};
//!
//! let text = br#"number = 1
//! epoch = 1
//! [[pool]]
//! service = "points"
//! [[server]]
//! service = "points"
//! id = "points-1"
//! address = "10.0.0.1:9001"
//! [end]
//! changes = 2
//! "#;
//! assert!(is_complete(text));
//! let change = read_change("00000001.toml", text).expect("a valid file");
//! let entry = change.resolve(&EmptyInventory).expect("a valid change");
//! assert_eq!((entry.number, entry.changes.len()), (1, 2));
//! ```

mod body;
mod change_file;
mod completeness;
mod inventory;
mod listing;
mod read_change;
mod resolve;
mod route_rule;
mod server_entry;
mod tenant;

pub use body::{Body, BodyError, FORMAT_VERSION};
pub use change_file::{ChangeEntry, ChangeFile, Edit};
pub use completeness::is_complete;
pub use inventory::{EmptyInventory, Inventory};
pub use listing::{ListedServer, listing};
pub use read_change::{MAX_CHANGE_NUMBER, MAX_ENTRIES, read_change};
pub use route_rule::{RouteRule, UnknownClass};
pub use server_entry::{ServerEntry, ServerState};
pub use tenant::{BURST_RANGE, LimitError, MAX_TENANTS, REQUESTS_PER_SECOND_RANGE, TenantLimit};
