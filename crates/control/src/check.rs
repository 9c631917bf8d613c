//! Checks change files without a control machine.

use std::path::Path;

use sableloom_distribution::{AppendError, Change, LogEntry, Position, Store, StoreLimits};
use sableloom_resources::{is_complete, read_change};
use sableloom_toml_diagnostics::Problem;

use crate::change_file::{
    FileNameKind, ReadError, change_file_name, check_file_number, classify_file_name, list_folder,
    read_change_file,
};
use crate::folder::read_entry;
use crate::notice::Notice;

/// The size of a log in which no problem was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSummary {
    /// The position after the last change.
    pub position: Position,
    /// Number of change files.
    pub files: usize,
    /// Number of services after the last change.
    pub services: usize,
    /// Number of resources after the last change.
    pub resources: usize,
    /// Number of those resources that are limits of tenants.
    pub tenants: usize,
}

/// Checks one change file without the changes before it. [`check_folder`] also checks that a change fits the changes
/// before it. The number in the file is checked against the name if the file is named as a change file.
///
/// # Errors
///
/// Returns all problems that were found in the file.
pub fn check_file(path: &Path) -> Result<(), Vec<Problem>> {
    let path_text = path.display().to_string();
    let bytes =
        read_change_file(path).map_err(|error| vec![problem_of_read_error(&path_text, &error)])?;
    let change = read_change(&path_text, &bytes)?;
    let name = path.file_name().map(|name| name.to_string_lossy().into_owned());
    match name.as_deref().map(classify_file_name) {
        Some(FileNameKind::Change(number)) => check_file_number(&change, number),
        _ => Ok(()),
    }
}

/// Checks a folder of change files as one log that begins with number `first`. A file that follows an invalid file is
/// checked against the resources of the valid files before it.
///
/// # Errors
///
/// Returns all problems that were found in the folder and its files.
pub fn check_folder(path: &Path, first: u64) -> Result<LogSummary, Vec<Problem>> {
    let path_text = path.display().to_string();
    let files =
        list_folder(path).map_err(|error| vec![Problem::of_file(&path_text, error.to_string())])?;
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
    check.check_numbers(&numbers, first);
    for number in &numbers {
        check.check_numbered_file(*number);
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

/// The state of the check of one folder.
struct FolderCheck<'f> {
    folder: &'f Path,
    /// The resources after the valid changes that were checked so far.
    store: Store,
    problems: Vec<Problem>,
}

impl FolderCheck<'_> {
    fn add_notice(&mut self, notice: &Notice) {
        // The text of a notice begins with the name of its file, so the problem has no file name of its own.
        self.problems.push(Problem::of_file("", notice.to_string()));
    }

    /// Reports each number below `first` and each gap. `numbers` must be sorted.
    fn check_numbers(&mut self, numbers: &[u64], first: u64) {
        let mut expected = first;
        for number in numbers {
            if *number < first {
                let (file, first) = (change_file_name(*number), change_file_name(first));
                self.add_notice(&Notice::BeforeFirst { file, first });
                continue;
            }
            if *number > expected {
                let (missing, later) = (change_file_name(expected), change_file_name(*number));
                self.add_notice(&Notice::Gap { missing, later });
            }
            expected = number + 1;
        }
    }

    fn check_numbered_file(&mut self, number: u64) {
        if let Err(problems) = self.append_file(number) {
            self.problems.extend(problems);
        }
    }

    fn append_file(&mut self, number: u64) -> Result<(), Vec<Problem>> {
        let name = change_file_name(number);
        let file_problem = |cause: &str| vec![Problem::of_file(&name, cause.to_string())];
        let bytes = read_change_file(&self.folder.join(&name))
            .map_err(|error| vec![problem_of_read_error(&name, &error)])?;
        // An incomplete file is parsed as well. Only if this finds no problem is the file reported as incomplete.
        let entry = if is_complete(&bytes) {
            read_entry(&name, number, &bytes, &self.store)?
        } else {
            read_change(&name, &bytes)?;
            return Err(file_problem(
                "the file is incomplete: the last table must be [end] with the key `changes`, and the file \
                 must end with a line break",
            ));
        };
        self.append_entry(entry).map_err(|error| file_problem(&error.to_string()))
    }

    /// Appends an entry to the store. After a problem, the entry is renumbered to follow the last one, so that a gap or
    /// an invalid file, which was reported, causes no further problems in later files.
    fn append_entry(&mut self, mut entry: LogEntry) -> Result<(), AppendError> {
        let expected = self.store.position().number + 1;
        if !self.problems.is_empty() {
            renumber(&mut entry, expected);
        }
        self.store.append(entry).map(|_| ())
    }
}

/// Sets the number of an entry, and the version of each of its changes to the same number.
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

fn problem_of_read_error(file: &str, error: &ReadError) -> Problem {
    let cause = match error {
        ReadError::Missing => error.to_string(),
        _ => format!("it can't be read: {error}"),
    };
    Problem::of_file(file, cause)
}
