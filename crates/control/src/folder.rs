//! Reads the numbered change files of a folder in the order of their numbers, and applies each file once.
//!
//! The next file is found by its name, so the cost of reading one more change does not depend on the number of files.
//! The folder is listed only when a watch is set and after watch events were lost.

use std::path::{Path, PathBuf};

use sableloom_distribution::{AppendError, LogEntry, LogStatus, hash_bytes};
use sableloom_resources::{Inventory, is_complete, read_change};
use sableloom_toml_diagnostics::Problem;

use crate::change_file::{
    FileNameKind, ReadError, change_file_name, check_file_number, classify_file_name, list_folder,
    read_change_file,
};
use crate::notice::Notice;
use crate::recent_hashes::RecentHashes;

/// The result of reading the next change file.
#[derive(Debug)]
pub enum NextChange {
    /// The next change, which is to be appended to the log. [`ChangeFolder::record_appended`] then moves on to the next
    /// file, and [`ChangeFolder::record_rejected`] keeps the folder at the same file.
    Ready(LogEntry),
    /// There is no next change, or it can't be applied yet. The notice gives the reason, unless
    /// the previous attempt had the same result.
    NotReady(Option<Notice>),
}

/// The number and the hash of a change file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeFileId {
    /// The number of the change, which is also the name of the file.
    pub number: u64,
    /// The hash of the bytes of the file.
    pub hash: u64,
}

impl ChangeFileId {
    /// The identity of the file that a log entry was read from.
    pub fn of_entry(entry: &LogEntry) -> Self {
        Self { number: entry.number, hash: entry.hash }
    }
}

/// A folder of change files, and the number up to which its files were applied.
#[derive(Debug)]
pub struct ChangeFolder {
    path: PathBuf,
    /// The number of the file that the log begins with.
    first: u64,
    /// The number of the file to be read next.
    next: u64,
    /// The largest number of a file that was found so far; 0 if there was none.
    latest: u64,
    hashes: RecentHashes,
    /// The last notice about the next file, which is not reported again.
    last_notice: Option<Notice>,
}

impl ChangeFolder {
    /// Creates a reader of the folder at `path`, of which no file was read yet. The log begins with the file of number
    /// `first`.
    pub fn new(path: PathBuf, first: u64) -> Self {
        let hashes = RecentHashes::default();
        Self { path, first, next: first, latest: 0, hashes, last_notice: None }
    }

    /// The path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The progress of reading. `blocked_reason` is the first line of the last notice about the next file; it is empty
    /// if there is no notice.
    pub fn status(&self) -> LogStatus {
        let notice = self.last_notice.as_ref().map(Notice::to_string).unwrap_or_default();
        let blocked_reason = notice.lines().next().unwrap_or_default().into();
        LogStatus { next: self.next, latest: self.latest, blocked_reason }
    }

    /// Lists the folder, and updates the largest number that was found. Returns a notice for each TOML file that is not
    /// named as a change file, or one notice if the folder can't be read.
    pub fn list(&mut self) -> Vec<Notice> {
        let files = match list_folder(&self.path) {
            Ok(files) => files,
            Err(error) => {
                let file = self.path.display().to_string();
                return vec![Notice::Unreadable { file, cause: error.to_string() }];
            }
        };
        let mut notices = Vec::new();
        for file in files {
            match file.kind {
                FileNameKind::Change(number) => self.latest = self.latest.max(number),
                FileNameKind::NotNumbered => notices.push(Notice::NotNumbered { file: file.name }),
                FileNameKind::Other => {}
            }
        }
        notices
    }

    /// Handles the event that the file `name` was written, renamed or removed. Returns a notice if the file is a TOML
    /// file that is not named as a change file, if a file that was applied was modified or removed or can't be read, or
    /// if the number of an existing file is lower than the first number of the log.
    pub fn handle_file_event(&mut self, name: &str) -> Option<Notice> {
        let number = match classify_file_name(name) {
            FileNameKind::Change(number) => number,
            FileNameKind::NotNumbered => {
                return Some(Notice::NotNumbered { file: name.to_string() });
            }
            FileNameKind::Other => return None,
        };
        if number >= self.next {
            if self.path.join(name).exists() {
                self.latest = self.latest.max(number);
            }
            return None;
        }
        self.handle_applied_file_event(name, number)
    }

    /// Handles an event of a file whose number is below the next one.
    fn handle_applied_file_event(&self, name: &str, number: u64) -> Option<Notice> {
        let file = name.to_string();
        let bytes = read_change_file(&self.path.join(name));
        if number < self.first {
            let first = change_file_name(self.first);
            return bytes.is_ok().then_some(Notice::BeforeFirst { file, first });
        }
        match bytes {
            Err(ReadError::Missing) => Some(Notice::Removed { file }),
            Err(error) => Some(Notice::Unreadable { file, cause: error.to_string() }),
            Ok(bytes) => {
                // The hashes of the oldest files are no longer held. Without the hash, a modification can't be told
                // from an event that left the contents as they were, so nothing is reported.
                let applied_hash = self.hashes.get(number, self.next)?;
                (applied_hash != hash_bytes(&bytes)).then_some(Notice::Modified { file })
            }
        }
    }

    /// Reads the next file if it exists and is complete, and resolves its change against `inventory`, which must hold
    /// the resources after the changes before it.
    pub fn read_next(&mut self, inventory: &dyn Inventory) -> NextChange {
        let next = self.next;
        let name = change_file_name(next);
        let notice = match read_change_file(&self.path.join(&name)) {
            Ok(bytes) if !is_complete(&bytes) => Some(Notice::Unfinished { file: name }),
            Ok(bytes) => match read_entry(&name, next, &bytes, inventory) {
                Ok(entry) => return NextChange::Ready(entry),
                Err(problems) => Some(Notice::Invalid(problems)),
            },
            Err(ReadError::Missing) if self.latest > next => {
                Some(Notice::Gap { missing: name, later: change_file_name(self.latest) })
            }
            Err(ReadError::Missing) => None,
            Err(error) => Some(Notice::Unreadable { file: name, cause: error.to_string() }),
        };
        NextChange::NotReady(self.notice_if_new(notice))
    }

    /// Records that the log has appended the next change, and moves on to the file after it.
    pub fn record_appended(&mut self, change: ChangeFileId) {
        self.next = change.number + 1;
        self.latest = self.latest.max(change.number);
        self.hashes.push(change.hash);
        self.last_notice = None;
    }

    /// Records that the log has rejected the next change. Returns a notice, unless the last one was the same.
    pub fn record_rejected(&mut self, change: ChangeFileId, error: &AppendError) -> Option<Notice> {
        let problem = Problem::of_file(&change_file_name(change.number), error.to_string());
        self.notice_if_new(Some(Notice::Invalid(vec![problem])))
    }

    /// Stores a notice about the next file. Returns the notice if it differs from the last one.
    fn notice_if_new(&mut self, notice: Option<Notice>) -> Option<Notice> {
        if self.last_notice == notice {
            return None;
        }
        self.last_notice.clone_from(&notice);
        notice
    }
}

/// Parses the bytes of a complete change file into an entry of the log. `name` is the name of the file in problems.
pub(crate) fn read_entry(
    name: &str,
    number: u64,
    bytes: &[u8],
    inventory: &dyn Inventory,
) -> Result<LogEntry, Vec<Problem>> {
    let change = read_change(name, bytes)?;
    check_file_number(&change, number)?;
    change.resolve(inventory)
}
