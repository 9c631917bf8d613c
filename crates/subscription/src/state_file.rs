//! The state file, which holds the last good state.
//!
//! A balancer that starts while no control machine can be reached restores its configuration from the state file. A new
//! state is written to a temporary file, synced and renamed into place, so that a crash leaves either the old state
//! file or the new one. A state file is used only if its magic bytes, format version, length, checksum and subscriber
//! name are as expected.
//!
//! The layout, with integers in big endian: magic bytes (8 bytes), format version (4), length of the name (2), length
//! of the state (8), name of the subscriber, state in postcard, SHA-256 of all bytes before (32).

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use sableloom_distribution::{SavedState, SubscriberName};
use sha2::{Digest, Sha256};

/// The first bytes of every state file.
const MAGIC: [u8; 8] = *b"SLSTATE\n";
/// The format version that is written. Version 1 has pools, servers and routes; version 2 also has tenants, which a
/// program that supports only version 1 cannot decode.
const FORMAT_VERSION: u32 = 2;
/// The oldest format version that is read. Every state of version 1 means the same in version 2, so that a balancer can
/// restore its state right after an upgrade.
const OLDEST_FORMAT_VERSION: u32 = 1;
/// The length in bytes of the checksum at the end, which covers all bytes before it.
const CHECKSUM_BYTES: usize = 32;
/// The number of bytes before the subscriber's name: magic bytes, format version, length of the name and length of the
/// state.
const HEADER_BYTES: usize = 8 + 4 + 2 + 8;
/// The maximum length in bytes of a state file that is read or written: twice the memory that configuration may take at
/// a balancer (32 MB). The limit bounds the memory that is used if another file is at the path.
pub const MAX_STATE_FILE_BYTES: u64 = 64 << 20;

/// The reason for which a state file is not used.
#[derive(Debug, thiserror::Error)]
pub enum StateFileError {
    /// The file cannot be opened or read.
    #[error("the file cannot be read: {0}")]
    Unreadable(io::Error),
    /// The file is longer than [`MAX_STATE_FILE_BYTES`].
    #[error("the file is longer than the maximum of {MAX_STATE_FILE_BYTES} bytes")]
    TooLong,
    /// The file does not begin with the magic bytes of a state file.
    #[error("the file is not a state file of a subscription")]
    NotAStateFile,
    /// The file has a format version that this program cannot read.
    #[error(
        "the format version is {0}; this program reads versions {OLDEST_FORMAT_VERSION} to {FORMAT_VERSION}"
    )]
    UnsupportedVersion(u32),
    /// The length of the file is not the length that its header gives, or the header is incomplete.
    #[error(
        "the file has {actual} bytes; its header gives a length of {expected} (0 if the header is incomplete)"
    )]
    LengthMismatch {
        /// The length in bytes that the header gives; 0 if the header is incomplete.
        expected: u64,
        /// The length of the file in bytes.
        actual: u64,
    },
    /// The checksum at the end does not match the bytes before it.
    #[error("the checksum does not match the contents of the file")]
    ChecksumMismatch,
    /// The file was written by the subscriber of this name, not by the one that reads it.
    #[error("the file holds the state of subscriber {0:?}")]
    OtherSubscriber(String),
    /// The checksum matches, but the state cannot be decoded.
    #[error("the state in the file cannot be decoded")]
    UndecodableState,
}

/// Encodes a state as the contents of a state file of this subscriber.
pub fn encode_state(subscriber: &SubscriberName, state: &SavedState) -> Vec<u8> {
    // Encoding cannot fail: postcard encodes every type of a state, and the output vector grows as needed.
    let body = postcard::to_allocvec(state).unwrap_or_default();
    let name = subscriber.as_str().as_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + name.len() + body.len() + CHECKSUM_BYTES);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_be_bytes());
    bytes.extend_from_slice(&(name.len() as u16).to_be_bytes());
    bytes.extend_from_slice(&(body.len() as u64).to_be_bytes());
    bytes.extend_from_slice(name);
    bytes.extend_from_slice(&body);
    let checksum = Sha256::digest(&bytes);
    bytes.extend_from_slice(&checksum);
    bytes
}

/// Decodes the contents of a state file that this subscriber wrote.
///
/// # Errors
///
/// Returns the first failed check of the contents: see [`StateFileError`].
pub fn decode_state(
    subscriber: &SubscriberName,
    bytes: &[u8],
) -> Result<SavedState, StateFileError> {
    let actual = bytes.len() as u64;
    let prefix_length = bytes.len().min(MAGIC.len());
    if bytes[..prefix_length] != MAGIC[..prefix_length] {
        return Err(StateFileError::NotAStateFile);
    }
    let length_mismatch = |expected| StateFileError::LengthMismatch { expected, actual };
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES).ok_or_else(|| length_mismatch(0))?;
    let version = u32::from_be_bytes(to_array(&header[8..12]));
    if !(OLDEST_FORMAT_VERSION..=FORMAT_VERSION).contains(&version) {
        return Err(StateFileError::UnsupportedVersion(version));
    }
    let name_length = usize::from(u16::from_be_bytes(to_array(&header[12..14])));
    let body_length = u64::from_be_bytes(to_array(&header[14..22]));
    let expected =
        ((HEADER_BYTES + name_length + CHECKSUM_BYTES) as u64).saturating_add(body_length);
    if expected != actual {
        return Err(length_mismatch(expected));
    }
    let (content, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
    if Sha256::digest(content).as_slice() != checksum {
        return Err(StateFileError::ChecksumMismatch);
    }
    let (name, _) = rest.split_at(name_length);
    if name != subscriber.as_str().as_bytes() {
        let name = String::from_utf8_lossy(name).into_owned();
        return Err(StateFileError::OtherSubscriber(name));
    }
    match postcard::take_from_bytes(&content[HEADER_BYTES + name_length..]) {
        Ok((state, [])) => Ok(state),
        _ => Err(StateFileError::UndecodableState),
    }
}

fn to_array<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let mut array = [0; N];
    array.copy_from_slice(bytes);
    array
}

/// Reads a state file that this subscriber wrote; returns `None` if there is no file at the path.
///
/// # Errors
///
/// Returns the reason for which the file is not used: see [`StateFileError`].
pub fn read_state(
    path: &Path,
    subscriber: &SubscriberName,
) -> Result<Option<SavedState>, StateFileError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(StateFileError::Unreadable(e)),
    };
    let mut bytes = Vec::new();
    let read_limit_bytes = MAX_STATE_FILE_BYTES + 1;
    file.take(read_limit_bytes).read_to_end(&mut bytes).map_err(StateFileError::Unreadable)?;
    if bytes.len() as u64 == read_limit_bytes {
        return Err(StateFileError::TooLong);
    }
    decode_state(subscriber, &bytes).map(Some)
}

/// Writes a state file, and replaces an earlier one at the path. Blocks until the file and its folder are synced.
///
/// # Errors
///
/// Returns the error of the operating system, or [`io::ErrorKind::FileTooLarge`] if the file would be longer than
/// [`MAX_STATE_FILE_BYTES`]. The earlier file stays in place, unless the sync of the folder is what failed.
pub fn write_state(path: &Path, subscriber: &SubscriberName, state: &SavedState) -> io::Result<()> {
    let bytes = encode_state(subscriber, state);
    if bytes.len() as u64 > MAX_STATE_FILE_BYTES {
        let message = format!(
            "the state file has {} bytes, at most {MAX_STATE_FILE_BYTES} are allowed",
            bytes.len()
        );
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, message));
    }
    let temporary = temporary_path(path);
    let mut file = File::create(&temporary)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    // A rename survives a power loss only after the folder is synced.
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

/// Returns the path of the temporary file, which is in the folder of the state file.
fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(".new");
    path.with_file_name(name)
}
