//! Checks change files without a control machine.

use std::path::Path;

use sableloom_distribution::{Change, LogEntry, Position, Store, StoreLimits};
use sableloom_resources::{is_complete, read_change};
use sableloom_toml_diagnostics::Problem;

use crate::folder::{NameKind, Notice, ReadError, check_number, file_name, numbers, read_bytes};

/// A log without a problem.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checked {
    /// How far it goes.
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

/// Checks a change file by itself. Whether it fits what comes before is seen by [`check_folder`].
pub fn check_file(path: &Path) -> Result<(), Vec<Problem>> {
    let shown = path.display().to_string();
    let wrong = |cause: String| vec![Problem::of_file(&shown, cause)];
    let bytes = read_bytes(path).map_err(|error| wrong(read_error(error)))?;
    let change = read_change(&shown, &bytes)?;
    let name = path.file_name().map(|name| name.to_string_lossy().into_owned());
    match name.as_deref().map(crate::folder::name_kind) {
        Some(NameKind::Change(number)) => check_number(&change, number),
        _ => Ok(()),
    }
}

/// Checks a folder of change files as one log that begins with number `first`: all that is wrong with any of them.
/// Files after a wrong one are judged against what the good ones say.
pub fn check_folder(path: &Path, first: u64) -> Result<Checked, Vec<Problem>> {
    let shown = path.display().to_string();
    let names = numbers(path).map_err(|error| vec![Problem::of_file(&shown, error.to_string())])?;
    let mut check = FolderCheck { store: Store::new(StoreLimits::default()), problems: Vec::new() };
    let mut present = Vec::new();
    for (kind, file) in names {
        match kind {
            NameKind::Change(number) => present.push(number),
            NameKind::NotNumbered => check.notice(Notice::NotNumbered { file }),
            NameKind::Other => {}
        }
    }
    present.sort_unstable();
    check.contiguous(&present, first);
    for number in &present {
        check.file(path, *number);
    }
    if !check.problems.is_empty() {
        return Err(check.problems);
    }
    let store = check.store;
    Ok(Checked {
        position: store.position(),
        files: present.len(),
        services: store.service_count(),
        resources: store.resource_count(),
        tenants: store.tenant_count(),
    })
}

struct FolderCheck {
    store: Store,
    problems: Vec<Problem>,
}

impl FolderCheck {
    fn notice(&mut self, notice: Notice) {
        self.problems.push(Problem::of_file("", notice.to_string()));
    }

    fn contiguous(&mut self, present: &[u64], first: u64) {
        let mut expected = first;
        for number in present {
            if *number < first {
                let (file, first) = (file_name(*number), file_name(first));
                self.notice(Notice::BeforeFirst { file, first });
                continue;
            }
            if *number > expected {
                let (missing, latest) = (file_name(expected), file_name(*number));
                self.notice(Notice::Gap { missing, latest });
            }
            expected = number + 1;
        }
    }

    fn file(&mut self, folder: &Path, number: u64) {
        let name = file_name(number);
        if let Err(problems) = self.take(folder, &name, number) {
            self.problems.extend(problems);
        }
    }

    fn take(&mut self, folder: &Path, name: &str, number: u64) -> Result<(), Vec<Problem>> {
        let wrong = |cause: String| vec![Problem::of_file(name, cause)];
        let bytes = read_bytes(&folder.join(name)).map_err(|error| wrong(read_error(error)))?;
        let change = read_change(name, &bytes)?;
        if !is_complete(&bytes) {
            return Err(wrong("its last table is not [end], with a line end after it".to_string()));
        }
        check_number(&change, number)?;
        let entry = change.resolve(&self.store)?;
        self.append(entry).map_err(wrong)
    }

    /// Takes an entry as if it followed, also after a gap or a wrong file, which have been named.
    fn append(&mut self, mut entry: LogEntry) -> Result<(), String> {
        let expected = self.store.position().number + 1;
        if !self.problems.is_empty() {
            renumber(&mut entry, expected);
        }
        self.store.append(entry).map(|_| ()).map_err(|error| error.to_string())
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

fn read_error(error: ReadError) -> String {
    match error {
        ReadError::Missing => "it is not there".to_string(),
        ReadError::Other(cause) => format!("it can't be read: {cause}"),
    }
}
