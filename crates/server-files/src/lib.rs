//! Endpoint lists from files that are watched.
//!
//! Operators and deployment tools replace files in many ways: written in place, renamed over, swapped by a symlink, on a
//! network disk that hangs. A balancer must apply each complete change soon, must keep the list in force when a file is
//! broken, and must not stop forwarding requests while a disk is slow. This crate watches the files of each pool, reads
//! them on other threads, offers what they say to `sableloom-server-list`, and passes an accepted list on to the
//! subscriber of the pool.
//!
//! A pool's source is opened ([`ServerFiles::open`], all files must be good), watched ([`ServerFiles::watch`]), moved to
//! other settings ([`ServerFiles::prepare`], then [`ServerFiles::commit`]) and stopped ([`ServerFiles::stop`]).
//!
//! Invariants:
//! - readings of one pool never overlap, so that an older one is never applied after a newer one;
//! - a reading that finds problems changes nothing: the list in force stays;
//! - all pools of a process share one watch and at most two readings at a time.
//!
//! What a list says is judged by `sableloom-server-list` alone; this crate never does.
//!
//! ```no_run
//! # use std::{rc::Rc, time::Duration};
//! # use sableloom_exchange::{Clock, EndpointListener, EndpointSource};
//! # use sableloom_server_files::{Files, ServerFiles};
//! # use sableloom_server_list::ListSpec;
//! # use sableloom_toml_diagnostics::Problem;
//! # async fn example(spec: ListSpec, listener: Rc<dyn EndpointListener>) -> Result<(), Vec<Problem>> {
//! let files = Files {
//!     spec,
//!     paths: vec!["points.toml".into()],
//!     reread_interval: Duration::from_secs(5),
//! };
//! let source = ServerFiles::open(files, Clock::new()).await?;
//! source.clone().subscribe(listener);
//! source.watch();
//! # Ok(())
//! # }
//! ```

mod cached_file;
mod file;
mod files;
mod path_entries;
mod source;
mod watcher;

pub use file::{FileError, read_file};
pub use files::Files;
pub use source::{ListVersion, PreparedFiles, ServerFiles};
