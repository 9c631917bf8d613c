//! Checks change files without a control machine.

use std::path::Path;

use sableloom_distribution::{AppendError, Change, LogEntry, Position, Store, StoreLimits};
use sableloom_resources::{is_complete, read_change};
use sableloom_toml_diagnostics::Problem;

use crate::change_file::{
    FileNameKind, ReadError, change_file_name, check_number, classify_file_name, list_files,
    read_bytes,
};
use crate::folder::read_entry;
use crate::notice::Notice;

/// The contents of a log that has no problem.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSummary {
    /// The position after its last change.
    pub position: Position,
    /// How many change files it has.
    pub files: usize,
    /// Services after the last change.
    pub services: usize,
    /// Resources after the last change.
    pub resources: usize,
    /// Of these, limits of tenants.
    pub tenants: usize,
}

/// Checks a change file by itself. [`check_folder`] also checks that it fits the changes before it.
///
/// # Errors
///
/// All problems that were found in the file.
pub fn check_file(path: &Path) -> Result<(), Vec<Problem>> {
    let shown = path.display().to_string();
    let bytes = read_bytes(path).map_err(|error| vec![unreadable(&shown, &error)])?;
    let change = read_change(&shown, &bytes)?;
    let name = path.file_name().map(|name| name.to_string_lossy().into_owned());
    match name.as_deref().map(classify_file_name) {
        Some(FileNameKind::Change(number)) => check_number(&change, number),
        _ => Ok(()),
    }
}

/// Checks a folder of change files as one log that begins with number `first`. A file after a wrong one is checked
/// against the resources of the good ones.
///
/// # Errors
///
/// All problems that were found in any of the files.
pub fn check_folder(path: &Path, first: u64) -> Result<LogSummary, Vec<Problem>> {
    let shown = path.display().to_string();
    let files =
        list_files(path).map_err(|error| vec![Problem::of_file(&shown, error.to_string())])?;
    let mut check = FolderCheck {
        folder: path,
        store: Store::new(StoreLimits::default()),
        problems: Vec::new(),
    };
    let mut numbers = Vec::new();
    for file in files {
        match file.kind {
            FileNameKind::Change(number) => numbers.push(number),
            FileNameKind::NotNumbered => check.add_notice(&Notice::NotNumbered { file: file.name }),
            FileNameKind::Other => {}
        }
    }
    numbers.sort_unstable();
    check.check_contiguous(&numbers, first);
    for number in &numbers {
        check.check_change(*number);
    }
    if !check.problems.is_empty() {
        return Err(check.problems);
    }
    let store = check.store;
    Ok(LogSummary {
        position: store.position(),
        files: numbers.len(),
        services: store.service_count(),
        resources: store.resource_count(),
        tenants: store.tenant_count(),
    })
}

/// A folder while it is checked.
struct FolderCheck<'f> {
    folder: &'f Path,
    /// The resources after the changes that were checked so far.
    store: Store,
    problems: Vec<Problem>,
}

impl FolderCheck<'_> {
    fn add_notice(&mut self, notice: &Notice) {
        self.problems.push(Problem::of_file("", notice.to_string()));
    }

    /// Reports each number below the first one and each gap.
    fn check_contiguous(&mut self, numbers: &[u64], first: u64) {
        let mut expected = first;
        for number in numbers {
            if *number < first {
                let (file, first) = (change_file_name(*number), change_file_name(first));
                self.add_notice(&Notice::BeforeFirst { file, first });
                continue;
            }
            if *number > expected {
                let (missing, latest) = (change_file_name(expected), change_file_name(*number));
                self.add_notice(&Notice::Gap { missing, latest });
            }
            expected = number + 1;
        }
    }

    fn check_change(&mut self, number: u64) {
        if let Err(problems) = self.append_file(number) {
            self.problems.extend(problems);
        }
    }

    fn append_file(&mut self, number: u64) -> Result<(), Vec<Problem>> {
        let name = change_file_name(number);
        let wrong = |cause: &str| vec![Problem::of_file(&name, cause.to_string())];
        let bytes = read_bytes(&self.folder.join(&name))
            .map_err(|error| vec![unreadable(&name, &error)])?;
        // What is wrong in an unfinished file is reported before its missing end.
        let entry = if is_complete(&bytes) {
            read_entry(&name, number, &bytes, &self.store)?
        } else {
            read_change(&name, &bytes)?;
            return Err(wrong("its last table is not [end], with a line end after it"));
        };
        self.append(entry).map_err(|error| wrong(&error.to_string()))
    }

    /// Appends an entry as if it followed the last one, also after a gap or a wrong file: those have been reported.
    fn append(&mut self, mut entry: LogEntry) -> Result<(), AppendError> {
        let expected = self.store.position().number + 1;
        if !self.problems.is_empty() {
            renumber(&mut entry, expected);
        }
        self.store.append(entry).map(|_| ())
    }
}

fn renumber(entry: &mut LogEntry, number: u64) {
    entry.number = number;
    for change in &mut entry.changes {
        match change {
            Change::Set(resource) => resource.version = number,
            Change::Remove { version, .. } | Change::RemoveService { version, .. } => {
                *version = number;
            }
        }
    }
}

fn unreadable(file: &str, error: &ReadError) -> Problem {
    let cause = match error {
        ReadError::Missing => error.to_string(),
        _ => format!("it can't be read: {error}"),
    };
    Problem::of_file(file, cause)
}
