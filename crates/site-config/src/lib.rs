//! A balancer's site file: what one process listens on, which classes of requests it knows, which pools of servers it
//! has and which requests go to which pool.
//!
//! An operator's file can be valid TOML and still make no sense: a route to a pool that does not exist, a deadline
//! under the latency objective, two listeners on one address. [`read`] turns the text into a [`Site`] in which every
//! reference is resolved and every bound is checked, or returns all problems with their line and field.
//!
//! Invariants:
//! - indices of pools and classes in a [`Site`] are valid for its own lists;
//! - a pool that gets copies of requests ([`Shadow`]) is never the target of a route;
//! - a site with control machines ([`Control`]) has no pools and routes of its own;
//! - [`changes_requiring_restart`] names everything that a running balancer cannot take over.
//!
//! Keys of the file are given in milliseconds where their name ends in `_ms`; a field of this crate may have another
//! name than its key, since keys are kept for the operators' sake. No I/O: the caller reads and writes files.
//!
//! ```
//! use sableloom_site_config::{Target, read};
//!
//! let text = r#"
//! [[listener]]
//! address = "127.0.0.1:8080"
//!
//! [[class]]
//! name = "balance"
//! aim_ms = 100
//! deadline_ms = 500
//! effect = "safe"
//! methods = "GET"
//!
//! [[pool]]
//! name = "points"
//! files = "points.toml"
//!
//! [otherwise]
//! pool = "points"
//! "#;
//! let site = read("site.toml", text.as_bytes()).expect("a site without problems");
//! assert_eq!(site.classes[0].latency_objective_ms, 100.0);
//! assert_eq!(site.fallback, Target::Pool(0));
//! ```

mod class;
mod conditions;
mod control;
mod fields;
mod fleet;
mod location;
mod pool;
mod pool_settings;
mod protocol;
mod read;
mod restart;
mod route;
mod shadow;
mod site;
mod tenants;

pub use class::{Class, ClassDefaults};
pub use conditions::{read_conditions, read_rejection};
pub use control::Control;
pub use fleet::{Fleet, MAX_MEMBERS, Member, read_members};
pub use location::SourceLocation;
pub use pool::Pool;
pub use pool_settings::{LoadReports, PoolSettings, SlowStart, UpstreamSettings};
pub use protocol::Protocol;
pub use read::read;
pub use restart::changes_requiring_restart;
pub use route::{Route, Target};
pub use shadow::Shadow;
pub use site::{Limits, Listener, Locality, Site};
pub use tenants::Tenants;
