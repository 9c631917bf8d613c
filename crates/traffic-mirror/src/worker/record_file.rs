//! Writes the record of a mirror to its file.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use sableloom_exchange::Clock;
use sableloom_shadow::{Record, SkipReason};

use crate::job::Shared;
use crate::options::MirrorOptions;

/// Why a record is not written.
#[derive(Debug, thiserror::Error)]
enum RecordFileError {
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    #[error("it has no name")]
    NoName,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The file of a record.
pub(super) struct RecordFile {
    shadow: String,
    path: PathBuf,
    clock: Clock,
    shared: Arc<Shared>,
    /// The error that was logged last: each is logged once, and so is its end.
    logged: Option<String>,
}

impl RecordFile {
    pub(super) fn new(options: &MirrorOptions, shared: Arc<Shared>) -> Self {
        let (shadow, path) = (options.name.clone(), options.record_file.clone());
        Self { shadow, path, clock: options.clock, shared, logged: None }
    }

    /// Adds the gate's counters to a record, and writes it.
    pub(super) fn write(&mut self, record: &mut Record) {
        let counts = &self.shared.counts;
        record.written_ms = self.clock.now().0 / 1000;
        record.seen = counts.seen.load(Ordering::Relaxed);
        record.sampled = counts.sampled.load(Ordering::Relaxed);
        record.copied = counts.copied.load(Ordering::Relaxed);
        record.breaker_openings = counts.breaker_openings.load(Ordering::Relaxed);
        record.skipped = SkipReason::ALL
            .iter()
            .map(|reason| (reason.name().to_string(), counts.skipped(*reason)))
            .collect();
        let error = replace(&self.path, record).err().map(|error| error.to_string());
        self.log(error);
    }

    fn log(&mut self, error: Option<String>) {
        if error == self.logged {
            return;
        }
        let (name, path) = (&self.shadow, self.path.display());
        match &error {
            Some(e) => eprintln!("sableloom: shadow {name}: {path} is not written: {e}"),
            None => eprintln!("sableloom: shadow {name}: {path} is written again"),
        }
        self.logged = error;
    }
}

/// Replaces the file atomically: a reader finds either the old record or the new one.
fn replace(path: &Path, record: &Record) -> Result<(), RecordFileError> {
    let text = serde_json::to_vec_pretty(record)?;
    let mut name = path.file_name().ok_or(RecordFileError::NoName)?.to_os_string();
    name.push(".new");
    let new = path.with_file_name(name);
    fs::write(&new, text)?;
    Ok(fs::rename(&new, path)?)
}
