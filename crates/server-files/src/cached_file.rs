//! Servers' files as they were read last: a file is read again only after it changed.

use std::fs::Metadata;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sableloom_server_list::{self as serverlist, ListSpec, ReadResult};
use sableloom_toml_diagnostics::Problem;
use sha2::{Digest, Sha256};

use crate::file::read_file;
use crate::files::Files;

/// A file whose metadata has been the same for less than this may have changed again within the same tick of its
/// file system's clock, of which two seconds is the coarsest one in use (FAT). It is read again until then.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// A file as it was read last; an unchanged one is not parsed again.
#[derive(Clone)]
pub(crate) struct CachedFile {
    path: PathBuf,
    observed: Option<ObservedStamp>,
    pub(crate) digest: [u8; 32],
    reading: ReadResult,
}

/// The metadata of a file that changes whenever its text does.
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

/// Since when a file has had its metadata. The time is this process's own: the clock of the file system may be another
/// machine's, or may be set.
#[derive(Clone, Copy, Debug)]
struct ObservedStamp {
    stamp: Stamp,
    since: Instant,
    /// Whether the file was read after it had been unchanged for [`SETTLE_TIME`], so that any later change shows.
    settled: bool,
}

impl ObservedStamp {
    fn now(stamp: Stamp, before: Option<ObservedStamp>) -> Self {
        match before.filter(|before| before.stamp == stamp) {
            Some(before) => Self { settled: before.since.elapsed() > SETTLE_TIME, ..before },
            None => Self { stamp, since: Instant::now(), settled: false },
        }
    }

    /// Whether the text that was read last is still the file's.
    fn is_current(&self, stamp: Stamp) -> bool {
        self.settled && self.stamp == stamp
    }
}

/// The parsed files, in their order.
pub(crate) fn readings(files: &[CachedFile]) -> Vec<ReadResult> {
    files.iter().map(|file| file.reading.clone()).collect()
}

/// Reads and parses all files that changed since they were cached.
pub(crate) fn read_files(files: &Files, cached: &[CachedFile]) -> Vec<CachedFile> {
    let named = files.spec.files.iter().zip(&files.paths);
    named
        .map(|(name, path)| {
            let before = cached.iter().find(|file| file.path == *path);
            read_changed(name, path, before, &files.spec)
        })
        .collect()
}

fn read_changed(
    name: &str,
    path: &Path,
    before: Option<&CachedFile>,
    spec: &ListSpec,
) -> CachedFile {
    // Before the text, so that a change in between is read the next time.
    let stamp = std::fs::metadata(path).ok().map(|meta| Stamp::of(&meta));
    let observed_before = before.and_then(|before| before.observed);
    if let (Some(before), Some(observed), Some(stamp)) = (before, observed_before, stamp)
        && observed.is_current(stamp)
    {
        return before.clone();
    }
    let observed = stamp.map(|stamp| ObservedStamp::now(stamp, observed_before));
    let bytes = match read_file(path) {
        Ok(bytes) => bytes,
        Err(error) => {
            let reading = Err(vec![Problem::of_file(name, error.to_string())]);
            return CachedFile { path: path.into(), observed: None, digest: [0; 32], reading };
        }
    };
    let digest: [u8; 32] = Sha256::digest(&bytes).into();
    if let Some(before) = before.filter(|before| before.digest == digest) {
        return CachedFile { observed, ..before.clone() };
    }
    let reading = serverlist::read(name, &bytes, spec).map(Arc::new);
    CachedFile { path: path.into(), observed, digest, reading }
}

#[cfg(test)]
mod tests;
