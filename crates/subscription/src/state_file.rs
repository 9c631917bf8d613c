//! The last good state in a file.
//!
//! A balancer that starts while no control machine can be reached begins from it. It is written to a temporary file,
//! synced and renamed into place, so that a crash leaves the old file or the new one. It is used only if it is complete:
//! its length and checksum are checked, and it names its format and the subscriber that wrote it.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use sableloom_distribution::{SavedState, SubscriberName};
use sha2::{Digest, Sha256};

/// The first bytes of each state file.
const MAGIC: [u8; 8] = *b"SLSTATE\n";
/// The version of the format, after [`MAGIC`]. Version 1 had pools, servers and routes; version 2 has tenants as well,
/// which a program of version 1 could not decode.
const FORMAT_VERSION: u32 = 2;
/// The oldest version that is read. What it can hold means the same in the present one, so a balancer starts from its
/// state also right after an upgrade.
const OLDEST_FORMAT_VERSION: u32 = 1;
/// Bytes of the checksum at the end, over all bytes before it.
const CHECKSUM_BYTES: usize = 32;
/// Bytes before the subscriber's name: magic, version, length of the name, length of the state.
const HEADER_BYTES: usize = 8 + 4 + 2 + 8;
/// Longest file that is read or written: twice the memory that configuration may take at a balancer (32 MB). Guards
/// against a wrong file in its place.
pub const MAX_STATE_FILE_BYTES: u64 = 64 << 20;

/// Why a state file is not used.
#[derive(Debug, thiserror::Error)]
pub enum StateFileError {
    /// It can't be read.
    #[error("it can't be read: {0}")]
    Unreadable(io::Error),
    /// It is longer than [`MAX_STATE_FILE_BYTES`].
    #[error("it is longer than {MAX_STATE_FILE_BYTES} bytes")]
    TooLong,
    /// It does not begin as a state file does.
    #[error("it is no state file of a subscription")]
    NotAStateFile,
    /// It has a version of the format that this program does not know.
    #[error(
        "its format is version {0}; this program knows {OLDEST_FORMAT_VERSION} to {FORMAT_VERSION}"
    )]
    UnsupportedVersion(u32),
    /// It has fewer or more bytes than its header says.
    #[error("it is torn: {actual} bytes where {expected} are said")]
    LengthMismatch {
        /// The length by its header; 0 if the header itself is not complete.
        expected: u64,
        /// The length of the file.
        actual: u64,
    },
    /// Its checksum is not that of its bytes.
    #[error("it is altered: its checksum does not fit")]
    ChecksumMismatch,
    /// Another subscriber wrote it.
    #[error("it is the state of subscriber {0:?}")]
    OtherSubscriber(String),
    /// Its checksum matches, but its state can't be decoded.
    #[error("its state can't be decoded")]
    UndecodableState,
}

/// Encodes a state file.
pub fn encode_state(subscriber: &SubscriberName, state: &SavedState) -> Vec<u8> {
    // A state is made of values that postcard encodes without fail, into a vector that grows.
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

/// Decodes a state file that the subscriber of this name wrote.
///
/// # Errors
///
/// Why the bytes are not used: see [`StateFileError`].
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

/// Reads a state file; `None` if there is no file.
///
/// # Errors
///
/// Why the file is not used: see [`StateFileError`].
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

/// Writes a state file in place of the one that is there. It blocks until the file is on the disk.
///
/// # Errors
///
/// The system's error, or [`io::ErrorKind::FileTooLarge`] if the state takes more than [`MAX_STATE_FILE_BYTES`]. The
/// earlier file is still there then, unless only the sync of its folder failed.
pub fn write_state(path: &Path, subscriber: &SubscriberName, state: &SavedState) -> io::Result<()> {
    let bytes = encode_state(subscriber, state);
    if bytes.len() as u64 > MAX_STATE_FILE_BYTES {
        let message = format!("the state has {} bytes, over {MAX_STATE_FILE_BYTES}", bytes.len());
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, message));
    }
    let temporary = temporary_path(path);
    let mut file = File::create(&temporary)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    // The rename survives a power loss only once the folder is synced.
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}

/// Where a file is written before it is renamed into place.
fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(".new");
    path.with_file_name(name)
}
