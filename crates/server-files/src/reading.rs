//! Reads files, each only as often as it changes.

use std::fs::{File, Metadata};
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sableloom_server_list::{self as serverlist, Reading, Spec};
use sableloom_toml_diagnostics::Problem;
use sha2::{Digest, Sha256};

use crate::Files;

/// Largest file of servers, in bytes: some 100 for each of the most servers, and as many to spare.
pub const FILE_MAX: u64 = 8 << 20;
/// A file that has looked the same for less than this may have been changed again within the same tick of its
/// file system's clock: two seconds is the coarsest one in use (FAT). It is read again until then.
const SETTLED: Duration = Duration::from_secs(2);

/// A file as it was read last; an unchanged one is not judged again.
#[derive(Clone)]
pub(crate) struct Kept {
    path: PathBuf,
    seen: Option<Seen>,
    pub(crate) digest: [u8; 32],
    reading: Reading,
}

/// What the system says of a file and changes whenever the file does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stamp {
    device: u64,
    inode: u64,
    bytes: u64,
    /// Seconds and nanoseconds.
    modified: (i64, i64),
    changed: (i64, i64),
}

impl Stamp {
    fn of(meta: &Metadata) -> Self {
        Self {
            device: meta.dev(),
            inode: meta.ino(),
            bytes: meta.size(),
            modified: (meta.mtime(), meta.mtime_nsec()),
            changed: (meta.ctime(), meta.ctime_nsec()),
        }
    }
}

/// Since when a file looks as it does. Counted by this process: the file system's clock may be another
/// machine's, or be set.
#[derive(Clone, Copy, Debug)]
struct Seen {
    stamp: Stamp,
    first: Instant,
    /// Whether it was read after it had looked so for long enough, so that any later change shows.
    settled: bool,
}

impl Seen {
    fn now(stamp: Stamp, before: Option<Seen>) -> Self {
        match before.filter(|before| before.stamp == stamp) {
            Some(before) => Self { settled: before.first.elapsed() > SETTLED, ..before },
            None => Self { stamp, first: Instant::now(), settled: false },
        }
    }

    fn unchanged(&self, stamp: Stamp) -> bool {
        self.settled && self.stamp == stamp
    }
}

/// What the files say, in their order.
pub(crate) fn readings(kept: &[Kept]) -> Vec<Reading> {
    kept.iter().map(|kept| kept.reading.clone()).collect()
}

/// Reads and judges all files.
pub(crate) fn read_all(files: &Files, kept: &[Kept]) -> Vec<Kept> {
    let named = files.spec.files.iter().zip(&files.paths);
    named
        .map(|(name, path)| {
            let before = kept.iter().find(|kept| kept.path == *path);
            read_one(name, path, before, &files.spec)
        })
        .collect()
}

fn read_one(name: &str, path: &PathBuf, before: Option<&Kept>, spec: &Spec) -> Kept {
    // Before the text: what is changed meanwhile is read again.
    let stamp = std::fs::metadata(path).ok().map(|meta| Stamp::of(&meta));
    let seen_before = before.and_then(|before| before.seen);
    if let (Some(before), Some(seen), Some(stamp)) = (before, seen_before, stamp)
        && seen.unchanged(stamp)
    {
        return before.clone();
    }
    let seen = stamp.map(|stamp| Seen::now(stamp, seen_before));
    let bytes = match bytes_of(path) {
        Ok(bytes) => bytes,
        Err(message) => {
            let reading = Err(vec![Problem::of_file(name, message)]);
            return Kept { path: path.clone(), seen: None, digest: [0; 32], reading };
        }
    };
    let digest: [u8; 32] = Sha256::digest(&bytes).into();
    if let Some(before) = before.filter(|before| before.digest == digest) {
        return Kept { seen, ..before.clone() };
    }
    let reading = serverlist::read(name, &bytes, spec).map(Arc::new);
    Kept { path: path.clone(), seen, digest, reading }
}

/// A file's bytes, or why it can't be read.
pub fn bytes_of(path: &PathBuf) -> Result<Vec<u8>, String> {
    let failed = |e: std::io::Error| format!("it can't be read: {e}");
    // A pipe in its place would hold up whoever opens it.
    if !std::fs::metadata(path).map_err(failed)?.is_file() {
        return Err("it can't be read: it is no regular file".to_string());
    }
    let file = File::open(path).map_err(failed)?;
    let mut bytes = Vec::new();
    let read = file.take(FILE_MAX + 1).read_to_end(&mut bytes).map_err(failed)?;
    match read as u64 > FILE_MAX {
        true => Err(format!("it is longer than {FILE_MAX} bytes")),
        false => Ok(bytes),
    }
}

#[cfg(test)]
mod tests;
