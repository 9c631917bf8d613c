//! When the last good state is written, and on which thread.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sableloom_distribution::{SavedState, SubscriberName};
use tokio::task::{JoinHandle, spawn_blocking};
use tokio::time::Instant;

use crate::state_file::write_state;

/// The state is written no more often than this, however many changes come: a restart gets the changes of the last
/// interval from a control machine, as it does with those that came while it was down.
pub const MIN_SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// The first state is written without that wait, because there is no earlier one to restart from.
const FIRST_SAVE_DELAY: Duration = Duration::from_millis(100);

/// Writes states to a file, one at a time, off the serving thread.
pub(crate) struct StateWriter {
    path: PathBuf,
    subscriber: SubscriberName,
    /// When the newest state is to be written; `None` if it is on the disk or on its way there.
    next_write: Option<Instant>,
    last_write_start: Option<Instant>,
    running_write: Option<JoinHandle<io::Result<()>>>,
}

impl StateWriter {
    pub(crate) fn new(path: PathBuf, subscriber: SubscriberName) -> Self {
        Self { path, subscriber, next_write: None, last_write_start: None, running_write: None }
    }

    /// Schedules a write, because the state is newer than the file.
    pub(crate) fn schedule(&mut self, now: Instant) {
        let at = match self.last_write_start {
            Some(start) => (start + MIN_SAVE_INTERVAL).max(now),
            None => now + FIRST_SAVE_DELAY,
        };
        self.next_write.get_or_insert(at);
    }

    /// When a state is to be written; `None` while a write runs.
    pub(crate) fn next_write(&self) -> Option<Instant> {
        self.next_write.filter(|_| self.running_write.is_none())
    }

    /// Starts to write a state.
    pub(crate) fn write(&mut self, now: Instant, state: SavedState) {
        self.next_write = None;
        self.last_write_start = Some(now);
        let (path, subscriber) = (self.path.clone(), self.subscriber.clone());
        self.running_write = Some(spawn_blocking(move || write_state(&path, &subscriber, &state)));
    }

    /// Waits until the running write has finished; never ends if none runs. It may be dropped at any time.
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
