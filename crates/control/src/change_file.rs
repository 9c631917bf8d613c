//! Names of change files, and reading a change file up to a largest size.

use std::fs::File;
use std::io::{self, ErrorKind, Read};
use std::path::Path;

use sableloom_resources::ChangeFile;
use sableloom_toml_diagnostics::Problem;

/// Size of the largest change file, in bytes. Parsing a file briefly takes about ten times its size in memory, so the
/// limit keeps a control machine from running out of memory. A larger change is split into several files.
pub const MAX_FILE_BYTES: u64 = 8 << 20;

/// The name of the change file with this number: the number with at least eight digits, and `.toml`.
pub fn change_file_name(number: u64) -> String {
    format!("{number:08}.toml")
}

/// The kind of a file, which is determined from its name alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileNameKind {
    /// A change file with this number.
    Change(u64),
    /// A TOML file whose name is not one that [`change_file_name`] returns for a number above 0.
    NotNumbered,
    /// Another file, such as a temporary one, which is ignored: its name begins with a dot or does not end in `.toml`.
    Other,
}

/// The kind of the file with this name. `name` is the name in its folder, without a path.
pub fn classify_file_name(name: &str) -> FileNameKind {
    let Some(stem) = name.strip_suffix(".toml").filter(|stem| !stem.starts_with('.')) else {
        return FileNameKind::Other;
    };
    let number = stem.parse::<u64>().ok().filter(|number| *number > 0);
    match number.filter(|number| change_file_name(*number) == name) {
        Some(number) => FileNameKind::Change(number),
        None => FileNameKind::NotNumbered,
    }
}

/// An entry of a listed folder. A subfolder is listed like a file.
pub(crate) struct ListedFile {
    pub(crate) name: String,
    pub(crate) kind: FileNameKind,
}

/// Lists the entries of a folder, in no particular order.
pub(crate) fn list_folder(folder: &Path) -> io::Result<Vec<ListedFile>> {
    std::fs::read_dir(folder)?
        .map(|entry| {
            let name = entry?.file_name().to_string_lossy().into_owned();
            Ok(ListedFile { kind: classify_file_name(&name), name })
        })
        .collect()
}

/// Errors of [`read_change_file`].
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    /// There is no such file.
    #[error("it is not there")]
    Missing,
    /// The path is that of a folder, a pipe or a device.
    #[error("it is not a regular file")]
    NotRegular,
    /// The file is longer than [`MAX_FILE_BYTES`].
    #[error("it is longer than {MAX_FILE_BYTES} bytes")]
    TooLong,
    /// The operating system returned another error.
    #[error("{0}")]
    Io(io::Error),
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::NotFound => ReadError::Missing,
            _ => ReadError::Io(error),
        }
    }
}

/// Reads the bytes of a change file, at most [`MAX_FILE_BYTES`].
pub(crate) fn read_change_file(path: &Path) -> Result<Vec<u8>, ReadError> {
    // A named pipe is never opened: until another process writes to the pipe, opening it would block the only thread of
    // the control machine.
    if !std::fs::metadata(path)?.is_file() {
        return Err(ReadError::NotRegular);
    }
    let mut bytes = Vec::new();
    let read = File::open(path)?.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    match read as u64 > MAX_FILE_BYTES {
        true => Err(ReadError::TooLong),
        false => Ok(bytes),
    }
}

/// Checks that the number in a change file is the number in its name.
pub(crate) fn check_file_number(change: &ChangeFile, number: u64) -> Result<(), Vec<Problem>> {
    if change.number == number {
        return Ok(());
    }
    let message = format!("{} is not the number of its name, {number}", change.number);
    let mut problem = Problem::of_file(&change.file, message);
    problem.field = "number".to_string();
    problem.help = Some("a change keeps the number that it was first given".to_string());
    Err(vec![problem])
}
