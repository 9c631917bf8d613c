//! Change files on disk: their names, and their bytes within a bound.

use std::fs::File;
use std::io::{self, ErrorKind, Read};
use std::path::Path;

use sableloom_resources::ChangeFile;
use sableloom_toml_diagnostics::Problem;

/// Largest change file, in bytes. Parsing takes some ten times as much memory for a moment, which guards a control
/// machine against running out of memory; a larger change goes into several files.
pub const MAX_FILE_BYTES: u64 = 8 << 20;

/// The name of a change file.
pub fn change_file_name(number: u64) -> String {
    format!("{number:08}.toml")
}

/// What the name of a file says about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileNameKind {
    /// A change file with this number.
    Change(u64),
    /// A TOML file that is not named as a change file is.
    NotNumbered,
    /// Another file, such as a temporary one; it is ignored.
    Other,
}

/// Classifies the name of a file.
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

/// A file of a folder, with the kind that its name says.
pub(crate) struct ListedFile {
    pub(crate) name: String,
    pub(crate) kind: FileNameKind,
}

/// Lists the files of a folder.
pub(crate) fn list_files(folder: &Path) -> io::Result<Vec<ListedFile>> {
    std::fs::read_dir(folder)?
        .map(|entry| {
            let name = entry?.file_name().to_string_lossy().into_owned();
            Ok(ListedFile { kind: classify_file_name(&name), name })
        })
        .collect()
}

/// Why a file can't be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    /// There is no such file.
    #[error("it is not there")]
    Missing,
    /// It is a folder, a pipe or a device.
    #[error("it is no regular file")]
    NotRegular,
    /// It is longer than [`MAX_FILE_BYTES`].
    #[error("it is longer than {MAX_FILE_BYTES} bytes")]
    TooLong,
    /// The system refused.
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

/// Reads the bytes of a change file.
pub(crate) fn read_bytes(path: &Path) -> Result<Vec<u8>, ReadError> {
    // Guards against a named pipe in the place of the file: opening one blocks the only thread.
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
