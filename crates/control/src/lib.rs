//! A control machine: it reads an operator's change log from a folder of numbered files and serves it to subscribers
//! over TCP.
//!
//! Thousands of balancers must receive one operator's configuration, each change complete and in order, even if a file
//! is read while it is being written, a connection fails or a control machine terminates. Several control machines that
//! read the same files hold the same state, so a balancer may continue with any of them.
//!
//! The protocol logic is in other crates: `sableloom-distribution` decides what is sent to which subscriber and when,
//! and `sableloom-resources` parses change files. This crate owns the sockets, the files and the clock. A control
//! machine runs on one thread and sets one watch on the folder.
//!
//! A control machine never writes to the folder, never applies a part of a change file, and never skips a number. It
//! never applies a file twice: a file that is modified or removed after it was applied is reported, and the change has
//! no effect.
//!
//! The next change file is in one of these states:
//!
//! - absent: there is nothing to do, except that a [`Notice::Gap`] is reported if a file with a later number exists;
//! - unfinished: the file has no `[end]` table yet, because it is still being written or was truncated;
//! - invalid: the file is reported once, and neither this file nor a later one is applied until it is corrected;
//! - complete: the file is appended to the log, and every subscriber of its services is sent the change.
//!
//! [`check_folder`] checks a change log without a control machine:
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
mod recent_hashes;
mod server;
mod sessions;
mod settings;
mod status;
mod watch;

pub use change_file::{FileNameKind, MAX_FILE_BYTES, change_file_name, classify_file_name};
pub use check::{LogSummary, check_file, check_folder};
pub use folder::{ChangeFileId, ChangeFolder, NextChange};
pub use notice::Notice;
pub use recent_hashes::MAX_REMEMBERED_HASHES;
pub use server::{Server, StartError};
pub use settings::{NON_SESSION_CONNECTIONS, Settings, read_settings};
pub use status::{StatusError, StatusReport, fetch_status, fetch_status_totals};
