//! The folder of numbered change files, read in order, each file once.
//!
//! The next file is found by its name, so that reading one more change costs the same whatever the number of
//! files. The folder is listed only at the start and after news of files were lost.

use std::collections::VecDeque;
use std::fmt;
use std::fs::File;
use std::io::{self, ErrorKind, Read};
use std::path::{Path, PathBuf};

use sableloom_distribution::{LogEntry, LogStatus, hash_bytes};
use sableloom_resources::{ChangeFile, Inventory, is_complete, read_change};
use sableloom_toml_diagnostics::Problem;

/// Largest change file, in bytes. Parsing takes some ten times as much memory for a moment; more goes into
/// several files.
pub const MAX_FILE_BYTES: u64 = 8 << 20;
/// Files whose hash is remembered, so that an altered one is noticed: ten days at 6,200 changes a day, half a
/// megabyte.
pub const REMEMBERED_FILES: usize = 65_536;

/// What an operator is to know about the folder. Each is reported when it begins to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The folder or a file can't be read.
    Unreadable {
        /// The file or folder.
        file: String,
        /// Why.
        cause: String,
    },
    /// The next file has no end yet: it is being written, or was cut.
    Unfinished {
        /// The file.
        file: String,
    },
    /// A file is missing that later ones come after.
    Gap {
        /// The missing file.
        missing: String,
        /// The latest file that is there.
        latest: String,
    },
    /// The next file is wrong; neither it nor later ones are taken.
    Wrong(Vec<Problem>),
    /// A file that was read before has other contents now; what it said first stays in force.
    Altered {
        /// The file.
        file: String,
    },
    /// A file that was read before is gone; what it said stays in force.
    Removed {
        /// The file.
        file: String,
    },
    /// A file with a lower number than the log begins with appeared; it is not taken.
    BeforeFirst {
        /// The file.
        file: String,
        /// The file that the log begins with.
        first: String,
    },
    /// A TOML file without a number as its name; it is not read.
    NotNumbered {
        /// The file.
        file: String,
    },
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Unreadable { file, cause } => write!(f, "{file}: it can't be read: {cause}"),
            Notice::Unfinished { file } => {
                write!(f, "{file}: unfinished, no [end] yet; it is read again when it changes")
            }
            Notice::Gap { missing, latest } => {
                write!(f, "{missing}: missing, and {latest} is there; waiting for it")
            }
            Notice::Wrong(problems) => {
                for problem in problems {
                    writeln!(f, "{problem}")?;
                }
                f.write_str("not taken, nor any later file, until it is mended")
            }
            Notice::Altered { file } => {
                write!(f, "{file}: altered after it was read; not taken, write a new change")
            }
            Notice::Removed { file } => {
                write!(f, "{file}: removed after it was read; what it said stays in force")
            }
            Notice::BeforeFirst { file, first } => {
                write!(f, "{file}: not taken, the log begins with {first}")
            }
            Notice::NotNumbered { file } => {
                write!(f, "{file}: not read, a change file is named as {}", file_name(124))
            }
        }
    }
}

/// What reading on came to.
#[derive(Debug)]
pub enum Next {
    /// The next change. [`Folder::taken`] goes on behind it.
    Change(LogEntry),
    /// There is no next change, or it can't be taken yet.
    Waiting(Option<Notice>),
}

/// A change that was read, without its contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadChange {
    /// Its number.
    pub number: u64,
    /// The hash of its file.
    pub hash: u64,
}

impl ReadChange {
    /// The change of an entry.
    pub fn of(entry: &LogEntry) -> Self {
        Self { number: entry.number, hash: entry.hash }
    }
}

/// The name of a change file.
pub fn file_name(number: u64) -> String {
    format!("{number:08}.toml")
}

/// What a file's name says it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameKind {
    /// A change file with this number.
    Change(u64),
    /// A TOML file that is not named as a change file.
    NotNumbered,
    /// Something else, as a temporary file; ignored.
    Other,
}

/// Judges a file's name.
pub fn name_kind(name: &str) -> NameKind {
    let Some(stem) = name.strip_suffix(".toml").filter(|stem| !stem.starts_with('.')) else {
        return NameKind::Other;
    };
    let number = stem.parse::<u64>().ok().filter(|number| *number > 0);
    match number.filter(|number| file_name(*number) == name) {
        Some(number) => NameKind::Change(number),
        None => NameKind::NotNumbered,
    }
}

/// Hashes of the files read last, by their numbers.
#[derive(Debug, Default)]
struct ReadFiles {
    hashes: VecDeque<u64>,
}

impl ReadFiles {
    fn push(&mut self, hash: u64) {
        if self.hashes.len() == REMEMBERED_FILES {
            self.hashes.pop_front();
        }
        self.hashes.push_back(hash);
    }

    /// The hash of a file that was read, `next` being the number of the one to be read next.
    fn get(&self, number: u64, next: u64) -> Option<u64> {
        let back = usize::try_from(next.checked_sub(number)?).ok()?;
        self.hashes.get(self.hashes.len().checked_sub(back)?).copied()
    }
}

/// A folder of change files, and how far it was read.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The number of the file that the log begins with.
    first: u64,
    /// The number of the file to be read next.
    next: u64,
    /// The largest number that was seen.
    latest: u64,
    read: ReadFiles,
    /// What was reported last of the next file.
    reported: Option<Notice>,
}

impl Folder {
    /// A folder of which nothing was read; the log begins with the file of number `first`.
    pub fn new(path: PathBuf, first: u64) -> Self {
        let read = ReadFiles::default();
        Self { path, first, next: first, latest: 0, read, reported: None }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The number of the file to be read next.
    pub fn next_number(&self) -> u64 {
        self.next
    }

    /// How reading goes: what is next, and why it waits.
    pub fn status(&self) -> LogStatus {
        let notice = self.reported.as_ref().map(Notice::to_string).unwrap_or_default();
        let blocked_reason = notice.lines().next().unwrap_or_default().into();
        LogStatus { next: self.next, latest: self.latest, blocked_reason }
    }

    /// Lists the folder, and notes which numbers there are.
    pub fn list(&mut self) -> Vec<Notice> {
        let numbers = match numbers(&self.path) {
            Ok(numbers) => numbers,
            Err(error) => {
                let file = self.path.display().to_string();
                return vec![Notice::Unreadable { file, cause: error.to_string() }];
            }
        };
        let mut notices = Vec::new();
        for (kind, name) in numbers {
            match kind {
                NameKind::Change(number) => self.latest = self.latest.max(number),
                NameKind::NotNumbered => notices.push(Notice::NotNumbered { file: name }),
                NameKind::Other => {}
            }
        }
        notices
    }

    /// A file was written, renamed or removed.
    pub fn changed(&mut self, name: &str) -> Option<Notice> {
        let number = match name_kind(name) {
            NameKind::Change(number) => number,
            NameKind::NotNumbered => return Some(Notice::NotNumbered { file: name.to_string() }),
            NameKind::Other => return None,
        };
        if number >= self.next {
            if self.path.join(name).exists() {
                self.latest = self.latest.max(number);
            }
            return None;
        }
        let bytes = read_bytes(&self.path.join(name));
        self.changed_after_read(name, number, bytes)
    }

    fn changed_after_read(
        &self,
        name: &str,
        number: u64,
        bytes: Result<Vec<u8>, ReadError>,
    ) -> Option<Notice> {
        let file = name.to_string();
        if number < self.first {
            let first = file_name(self.first);
            return bytes.is_ok().then_some(Notice::BeforeFirst { file, first });
        }
        let known = self.read.get(number, self.next);
        match bytes {
            Err(ReadError::Missing) => Some(Notice::Removed { file }),
            Err(ReadError::Other(cause)) => Some(Notice::Unreadable { file, cause }),
            // Too long ago to tell: nothing is said that may be wrong.
            Ok(bytes) => {
                known.filter(|known| *known != hash_bytes(&bytes)).map(|_| Notice::Altered { file })
            }
        }
    }

    /// Reads the next file, if it is there and whole, against what is in force.
    pub fn read_next(&mut self, inventory: &dyn Inventory) -> Next {
        let next = self.next;
        let name = file_name(next);
        let notice = match read_bytes(&self.path.join(&name)) {
            Ok(bytes) if !is_complete(&bytes) => Some(Notice::Unfinished { file: name }),
            Ok(bytes) => match judge(&name, next, &bytes, inventory) {
                Ok(entry) => return Next::Change(entry),
                Err(problems) => Some(Notice::Wrong(problems)),
            },
            Err(ReadError::Missing) if self.latest > next => {
                Some(Notice::Gap { missing: name, latest: file_name(self.latest) })
            }
            Err(ReadError::Missing) => None,
            Err(ReadError::Other(cause)) => Some(Notice::Unreadable { file: name, cause }),
        };
        Next::Waiting(self.once(notice))
    }

    /// The next file can't be taken for a reason that the log itself gives.
    pub fn refused(&mut self, change: ReadChange, cause: String) -> Option<Notice> {
        let problem = Problem::of_file(&file_name(change.number), cause);
        self.once(Some(Notice::Wrong(vec![problem])))
    }

    /// The next file was taken.
    pub fn taken(&mut self, change: ReadChange) {
        self.next = change.number + 1;
        self.latest = self.latest.max(change.number);
        self.read.push(change.hash);
        self.reported = None;
    }

    /// A notice the first time that it holds.
    fn once(&mut self, notice: Option<Notice>) -> Option<Notice> {
        if self.reported == notice {
            return None;
        }
        self.reported.clone_from(&notice);
        notice
    }
}

fn judge(
    name: &str,
    number: u64,
    bytes: &[u8],
    inventory: &dyn Inventory,
) -> Result<LogEntry, Vec<Problem>> {
    let change = read_change(name, bytes)?;
    check_number(&change, number)?;
    change.resolve(inventory)
}

/// A file's name and the number that it states agree.
pub(crate) fn check_number(change: &ChangeFile, number: u64) -> Result<(), Vec<Problem>> {
    if change.number == number {
        return Ok(());
    }
    let message = format!("{} is not the number of its name, {number}", change.number);
    let mut problem = Problem::of_file(&change.file, message);
    problem.field = "number".to_string();
    problem.help = Some("a change keeps the number that it was first given".to_string());
    Err(vec![problem])
}

/// The names in a folder, with what they say.
pub(crate) fn numbers(path: &Path) -> io::Result<Vec<(NameKind, String)>> {
    let mut numbers = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let name = entry?.file_name().to_string_lossy().into_owned();
        numbers.push((name_kind(&name), name));
    }
    Ok(numbers)
}

/// Why a file can't be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// It is not there.
    Missing,
    /// Something else.
    Other(String),
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::NotFound => ReadError::Missing,
            _ => ReadError::Other(error.to_string()),
        }
    }
}

/// A change file's bytes, within its bound.
pub(crate) fn read_bytes(path: &Path) -> Result<Vec<u8>, ReadError> {
    // A pipe in its place would hold up whoever opens it.
    if !std::fs::metadata(path)?.is_file() {
        return Err(ReadError::Other("it is no regular file".to_string()));
    }
    let mut bytes = Vec::new();
    let read = File::open(path)?.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    match read as u64 > MAX_FILE_BYTES {
        true => Err(ReadError::Other(format!("it is longer than {MAX_FILE_BYTES} bytes"))),
        false => Ok(bytes),
    }
}
