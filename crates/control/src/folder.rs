//! The folder of numbered change files, read in order, each file once.
//!
//! The next file is found by its name, so reading one more change costs the same whatever the number of files. The
//! folder is listed only at the start and after watch events were lost.

use std::path::{Path, PathBuf};

use sableloom_distribution::{AppendError, LogEntry, LogStatus, hash_bytes};
use sableloom_resources::{Inventory, is_complete, read_change};
use sableloom_toml_diagnostics::Problem;

use crate::change_file::{
    FileNameKind, ReadError, change_file_name, check_number, classify_file_name, list_files,
    read_bytes,
};
use crate::notice::Notice;
use crate::read_files::ReadFiles;

/// The result of reading the next change file.
#[derive(Debug)]
pub enum NextChange {
    /// The next change. [`ChangeFolder::record_appended`] moves on to the file after it.
    Ready(LogEntry),
    /// There is no next change, or it can't be applied yet. The notice is there the first time that its cause holds.
    NotReady(Option<Notice>),
}

/// A change that was read, without its contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeFileId {
    /// Its number.
    pub number: u64,
    /// The hash of its file.
    pub hash: u64,
}

impl ChangeFileId {
    /// The change of a log entry.
    pub fn of_entry(entry: &LogEntry) -> Self {
        Self { number: entry.number, hash: entry.hash }
    }
}

/// A folder of change files, and how far it was read.
#[derive(Debug)]
pub struct ChangeFolder {
    path: PathBuf,
    /// The number of the file that the log begins with.
    first: u64,
    /// The number of the file to be read next.
    next: u64,
    /// The largest number that was seen.
    latest: u64,
    read: ReadFiles,
    /// The last notice about the next file.
    reported: Option<Notice>,
}

impl ChangeFolder {
    /// A folder of which nothing was read yet; the log begins with the file of number `first`.
    pub fn new(path: PathBuf, first: u64) -> Self {
        let read = ReadFiles::default();
        Self { path, first, next: first, latest: 0, read, reported: None }
    }

    /// The path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The progress of reading: the next number, and why it waits.
    pub fn status(&self) -> LogStatus {
        let notice = self.reported.as_ref().map(Notice::to_string).unwrap_or_default();
        let blocked_reason = notice.lines().next().unwrap_or_default().into();
        LogStatus { next: self.next, latest: self.latest, blocked_reason }
    }

    /// Lists the folder, and remembers the largest number in it.
    pub fn list(&mut self) -> Vec<Notice> {
        let files = match list_files(&self.path) {
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

    /// Handles the event that a file was written, renamed or removed.
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
        self.changed_after_read(name, number)
    }

    /// A file with a number below the next one has changed.
    fn changed_after_read(&self, name: &str, number: u64) -> Option<Notice> {
        let file = name.to_string();
        let bytes = read_bytes(&self.path.join(name));
        if number < self.first {
            let first = change_file_name(self.first);
            return bytes.is_ok().then_some(Notice::BeforeFirst { file, first });
        }
        match bytes {
            Err(ReadError::Missing) => Some(Notice::Removed { file }),
            Err(error) => Some(Notice::Unreadable { file, cause: error.to_string() }),
            Ok(bytes) => {
                // The hash of a file that was read too long ago is forgotten. Nothing is reported then: it might be
                // false.
                let known = self.read.get(number, self.next)?;
                (known != hash_bytes(&bytes)).then_some(Notice::Modified { file })
            }
        }
    }

    /// Reads the next file, if it is there and complete, against the resources in force.
    pub fn read_next(&mut self, inventory: &dyn Inventory) -> NextChange {
        let next = self.next;
        let name = change_file_name(next);
        let notice = match read_bytes(&self.path.join(&name)) {
            Ok(bytes) if !is_complete(&bytes) => Some(Notice::Unfinished { file: name }),
            Ok(bytes) => match read_entry(&name, next, &bytes, inventory) {
                Ok(entry) => return NextChange::Ready(entry),
                Err(problems) => Some(Notice::Invalid(problems)),
            },
            Err(ReadError::Missing) if self.latest > next => {
                Some(Notice::Gap { missing: name, latest: change_file_name(self.latest) })
            }
            Err(ReadError::Missing) => None,
            Err(error) => Some(Notice::Unreadable { file: name, cause: error.to_string() }),
        };
        NextChange::NotReady(self.report_once(notice))
    }

    /// The log has appended the next change.
    pub fn record_appended(&mut self, change: ChangeFileId) {
        self.next = change.number + 1;
        self.latest = self.latest.max(change.number);
        self.read.push(change.hash);
        self.reported = None;
    }

    /// The log has rejected the next change.
    pub fn record_rejected(&mut self, change: ChangeFileId, error: &AppendError) -> Option<Notice> {
        let problem = Problem::of_file(&change_file_name(change.number), error.to_string());
        self.report_once(Some(Notice::Invalid(vec![problem])))
    }

    /// The notice if it differs from the last one.
    fn report_once(&mut self, notice: Option<Notice>) -> Option<Notice> {
        if self.reported == notice {
            return None;
        }
        self.reported.clone_from(&notice);
        notice
    }
}

/// Reads a complete change file into an entry of the log.
pub(crate) fn read_entry(
    name: &str,
    number: u64,
    bytes: &[u8],
    inventory: &dyn Inventory,
) -> Result<LogEntry, Vec<Problem>> {
    let change = read_change(name, bytes)?;
    check_number(&change, number)?;
    change.resolve(inventory)
}
