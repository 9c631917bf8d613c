//! Reads a file of a bounded size.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

/// Largest file, in bytes: some 100 for each of the maximum number of servers, and four times as many to spare.
const MAX_FILE_BYTES: u64 = 8 << 20;

/// Why a file can't be read.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The system reports an error.
    #[error("it can't be read: {0}")]
    Unreadable(#[from] io::Error),
    /// It is a folder, a pipe or a device.
    #[error("it can't be read: it is no regular file")]
    NotRegular,
    /// It is larger than any file of a configuration.
    #[error("it is longer than {MAX_FILE_BYTES} bytes")]
    TooLong,
}

/// The bytes of a file.
///
/// # Errors
///
/// If it is no regular file, can't be read, or is too long.
pub fn read_file(path: &Path) -> Result<Vec<u8>, FileError> {
    // Opening a pipe would block until something writes to it.
    if !std::fs::metadata(path)?.is_file() {
        return Err(FileError::NotRegular);
    }
    let mut bytes = Vec::new();
    let read = File::open(path)?.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    match read as u64 > MAX_FILE_BYTES {
        true => Err(FileError::TooLong),
        false => Ok(bytes),
    }
}
