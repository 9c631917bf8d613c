//! Decides which list of servers is in force for a pool.
//!
//! The files of an operator change at any time. They may be half written, contradict each other or remove all servers
//! of a pool by mistake. This crate receives the results of reading the files, and returns an accepted change or a
//! rejection. After a rejection, the last accepted list stays in force. The crate does no I/O and reads no clock.
//!
//! [`read`] parses and checks the contents of one file. [`FileLists`] holds the state of a pool whose files are read as
//! a whole, [`IncrementalList`] holds the state of a pool whose servers change one by one.
//!
//! Invariants:
//!
//! - a change is accepted as a whole or not at all;
//! - a server that a list leaves out drains before its endpoint is removed;
//! - each address has one endpoint for the policy, whatever the id of the server at the address.
//!
//! ```
//! use std::sync::Arc;
//!
//! use sableloom_server_list::{FileLists, ListSpec, read};
//! use sableloom_types::{Span, Time};
//!
//! let spec = ListSpec {
//!     pool: "points".into(),
//!     files: vec!["points.toml".into()],
//!     zones: Vec::new(),
//!     max_removed_share: 0.5,
//!     drain_time: Span(2_000_000),
//! };
//! let text = b"[[server]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\n[end]\nservers = 1\n";
//! let reading = read("points.toml", text, &spec).map(Arc::new);
//! let mut lists = FileLists::new(spec);
//! assert!(lists.offer(Time(0), &[reading]).applied.is_some());
//! assert_eq!(lists.endpoints().len(), 1);
//! ```

mod clock;
mod combined_files;
mod file;
mod file_lists;
mod incremental_list;
mod list_change;
mod list_spec;
mod merge;
mod offer;
mod removal_guard;
mod server_record;
mod tracked_server;

pub use clock::MAX_CLOCK_DIFFERENCE_MS;
pub use file::{MAX_SERVERS, MAX_WEIGHT, read, read_server, read_server_fields};
pub use file_lists::FileLists;
pub use incremental_list::{IncrementalList, ServerChange, ServerDescription};
pub use list_change::ListChange;
pub use list_spec::ListSpec;
pub use offer::{AppliedList, OfferResult, ReadResult};
pub use server_record::{RecordState, ServerFields, ServerListing, ServerRecord};
