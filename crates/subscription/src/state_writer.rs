//! The schedule of writes of the state file, and the thread on which they run.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sableloom_distribution::{SavedState, SubscriberName};
use tokio::task::{JoinHandle, spawn_blocking};
use tokio::time::Instant;

use crate::state_file::write_state;

/// The minimum time between the starts of two writes of the state file. A process that restarts receives the changes
/// that were not saved from a control machine, together with the changes that were made while it was down.
pub const MIN_SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// The delay before the first write, shorter than [`MIN_SAVE_INTERVAL`]: this process has not yet written a state from
/// which it could restart.
const FIRST_SAVE_DELAY: Duration = Duration::from_millis(100);

/// Writes states to the state file, one at a time, on a thread other than the serving thread.
pub(crate) struct StateWriter {
    path: PathBuf,
    subscriber: SubscriberName,
    /// The time of the next write; `None` if the newest state has been written or is being written.
    next_write: Option<Instant>,
    last_write_start: Option<Instant>,
    running_write: Option<JoinHandle<io::Result<()>>>,
}

impl StateWriter {
    pub(crate) fn new(path: PathBuf, subscriber: SubscriberName) -> Self {
        Self { path, subscriber, next_write: None, last_write_start: None, running_write: None }
    }

    /// Schedules a write of the state, unless one is already scheduled.
    pub(crate) fn schedule(&mut self, now: Instant) {
        let at = match self.last_write_start {
            Some(start) => (start + MIN_SAVE_INTERVAL).max(now),
            None => now + FIRST_SAVE_DELAY,
        };
        self.next_write.get_or_insert(at);
    }

    /// Returns the time of the next write; `None` if no write is scheduled or while one runs.
    pub(crate) fn next_write(&self) -> Option<Instant> {
        self.next_write.filter(|_| self.running_write.is_none())
    }

    /// Starts to write a state on a blocking thread. The caller must not call this while a write runs.
    pub(crate) fn write(&mut self, now: Instant, state: SavedState) {
        self.next_write = None;
        self.last_write_start = Some(now);
        let (path, subscriber) = (self.path.clone(), self.subscriber.clone());
        self.running_write = Some(spawn_blocking(move || write_state(&path, &subscriber, &state)));
    }

    /// Waits until the running write finishes, and forever if none runs. The future is cancel safe: the result is not
    /// lost if the future is dropped.
    pub(crate) async fn wait_for_write(&mut self) -> io::Result<()> {
        let Some(running_write) = &mut self.running_write else {
            return std::future::pending().await;
        };
        let result = running_write.await.unwrap_or_else(|error| Err(io::Error::other(error)));
        self.running_write = None;
        result
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }
}
