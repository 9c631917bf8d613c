//! A control machine: it reads an operator's change log from a folder of numbered files and serves it to subscribers
//! over TCP.
//!
//! Thousands of balancers must get one operator's configuration, each change complete and in order, whatever happens
//! to a file while it is written, to a connection or to this process. Several control machines that read the same
//! files hold the same state, so a balancer may continue at any of them.
//!
//! The decisions are made elsewhere: `sableloom-distribution` decides what is sent to which subscriber and when, and
//! `sableloom-resources` reads what a change file says. This crate owns the sockets, the files and the clock. Everything
//! runs on one thread, and the folder has one watch.
//!
//! It never writes to the folder, never applies part of a change file, never skips a number, and never reads a file
//! again that is in force: a file that is altered or removed afterwards is reported and has no effect.
//!
//! The next change file is in one of these states:
//!
//! - absent: nothing to do, or a [`Notice::Gap`] if a later number is there;
//! - unfinished: without its `[end]` table, so still being written;
//! - wrong: it is reported once, and neither it nor a later file is applied until it is corrected;
//! - complete: it is appended to the log, and every subscriber of its services is sent the change.
//!
//! A change log can be checked without a control machine:
//!
//! ```
//! let changes = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/change-log");
//! let summary = sableloom_control::check_folder(changes.as_ref(), 1).expect("a log without a problem");
//! assert_eq!((summary.files, summary.services), (6, 3));
//! ```

mod change_file;
mod check;
mod connection;
mod folder;
mod listener;
mod log_reader;
mod notice;
mod outbox;
mod read_files;
mod server;
mod sessions;
mod settings;
mod status;
mod watch;

pub use change_file::{FileNameKind, MAX_FILE_BYTES, change_file_name, classify_file_name};
pub use check::{LogSummary, check_file, check_folder};
pub use folder::{ChangeFileId, ChangeFolder, NextChange};
pub use notice::Notice;
pub use read_files::MAX_REMEMBERED_HASHES;
pub use server::{Server, StartError};
pub use settings::{NON_SESSION_CONNECTIONS, Settings, read_settings};
pub use status::{StatusError, StatusReport, fetch_status, fetch_status_totals};
