//! Resources of the distribution of configuration: their typed bodies with their encoding, and operators'
//! change files. Text and bytes in, typed values or all that is wrong out; no I/O, no clock.
//!
//! A body becomes what a site's file would have said: settings become a [`sableloom_site_config::Pool`], servers a
//! [`sableloom_server_list::Listing`], routes a [`sableloom_routes::Rule`]. The fields are read and checked by
//! the readers of those crates, so that there is one validator.

mod body;
mod change;
mod listing;
mod resolve;
mod tenant;

pub use body::{
    Body, BodyError, FORMAT_VERSION, RouteRule, ServerEntry, ServerState, UnknownClass,
};
pub use change::{
    ChangeEntry, ChangeFile, Edit, MAX_CHANGE_NUMBER, MAX_ENTRIES, is_complete, read_change,
};
pub use listing::{ListedServer, listing};
pub use resolve::{EmptyInventory, Inventory};
pub use tenant::{BURST_RANGE, LimitError, MAX_TENANTS, REQUESTS_PER_SECOND_RANGE, TenantLimit};
